"""`dunlinloft fleet state`: the state that members replicate, with the age of each record."""

from __future__ import annotations

import json

from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import AdminRequestError, decode_document, request_document
from dunlinloft.cli.admin_documents import KeyAffinity, SharedLimits, SharedStateDocument
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE


def show_shared_state(admin: str, as_json: bool) -> ExitCode:
    """Print the shared state; fails if a fallback is active."""
    try:
        raw = request_document(admin, "/admin/shared")
        document = decode_document(raw, SharedStateDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    limits = document.limits
    affinity = document.affinity
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        _print_shared_state(document)
    fallback = (limits.in_use and limits.fallback) or (affinity.in_use and affinity.isolated)
    return ExitCode.CHECK_FAILED if fallback else ExitCode.SUCCESS


def _print_shared_state(document: SharedStateDocument) -> None:
    stdout.print(
        f"in the view of {document.own_name}; shared: {', '.join(document.shared_kinds)}", highlight=False
    )
    lines = (
        *_verdict_lines(document),
        *_limit_lines(document.limits),
        *_affinity_lines(document.affinity),
    )
    for line in lines:
        stdout.print(line, highlight=False)
    rows = Table("kind", "of", "version", "age", "by way of", "bytes", **PLAIN_STYLE)
    for record in document.records:
        source = escape(record.source or "itself")
        age = f"{record.age_s:.2f} s"
        rows.add_row(
            record.kind, escape(record.writer), str(record.version), age, source,
            str(record.bytes),
        )  # fmt: skip
    stdout.print(rows)


def _verdict_lines(document: SharedStateDocument) -> list[str]:
    """Format the fleet's shared outlier verdicts on servers."""
    if "verdicts" not in document.shared_kinds:
        return []
    lines = []
    for verdict in document.verdicts:
        classes = ", ".join(verdict.classes) or "all classes"
        findings = [f"avoided for {classes}"] if verdict.avoid else []
        findings += [f"{verdict.slowdown:.1f} times slower than its peers"] if verdict.slowdown > 1.0 else []
        lines.append(f"[yellow]server {escape(verdict.name)}: {escape(', '.join(findings))}[/]")
    return lines or ["no server is avoided or slow"]


def _limit_lines(limits: SharedLimits) -> list[str]:
    """Format this member's share of the tenants' rate limits."""
    if not limits.in_use:
        return []
    known = f"demand of {limits.known} of {limits.counted} members is known"
    lines = [f"[yellow]{known}; even shares are assumed for the others[/]" if limits.fallback else known]
    for tenant, share in limits.shares.items():
        lines.append(f"{escape(tenant)}: {share.share_per_s:.1f} of {share.quota_per_s:.0f} requests/s here")
    return [*lines, f"fleet-wide retry limit: {limits.retry_share:.0%} of local retries"]


def _affinity_lines(affinity: KeyAffinity) -> list[str]:
    """Format the zones that requests with an idempotency key are pinned to."""
    if not affinity.in_use:
        return []
    lines = [f"home zones of keyed requests: {', '.join(affinity.home_zones)}"]
    if affinity.isolated:
        lines.append("[red]too few members are reachable: retries of keyed requests are rejected[/]")
    for zone in affinity.unavailable:
        status = "its keys use other zones" if zone in affinity.redirected else "not all members know yet"
        lines.append(f"[yellow]zone {escape(zone)} is unavailable for this node: {status}[/]")
    for name, zones in affinity.elsewhere.items():
        if zones:
            lines.append(f"[yellow]{escape(name)} sends keys of {escape(', '.join(zones))} to other zones[/]")
    counts = [f"{count} {outcome}" for outcome, count in sorted(affinity.counts.items())]
    return [*lines, f"counts: {', '.join(counts)}"] if counts else lines
