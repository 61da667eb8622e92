"""`dunlinloft release`: staged releases, managed through the release controller's admin endpoint."""

from __future__ import annotations

import getpass
import json
import time
import urllib.parse
from datetime import UTC, datetime

from rich.console import Group
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import (
    AdminRequestError,
    decode_document,
    request_document,
    watch_document,
)
from dunlinloft.cli.admin_documents import ReleaseDocument, ReleasePlan
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE

ADMIN_PATH = "/admin/releases"
EVIDENCE_SHOWN = 6  # rows printed, strongest evidence first
STATE_COLOURS = {
    "baking": "cyan",
    "paused": "yellow",
    "halted": "red",
    "back": "red",
    "done": "green",
    "undone": "red",
}
FAILED_STATES = ("halted", "back", "undone")


def parse_unix_time(text: str) -> float:
    """Convert `now`, Unix seconds or an ISO 8601 time (UTC if it has no offset) to Unix seconds.

    Raises `ValueError` for anything else.
    """
    if text == "now":
        return time.time()
    try:
        return float(text)
    except ValueError:
        parsed_time = datetime.fromisoformat(text)
    return (parsed_time if parsed_time.tzinfo else parsed_time.replace(tzinfo=UTC)).timestamp()


def start(admin: str, since: str, names: str, stages: str, bake: str, reason: str) -> ExitCode:
    """Start a release of the named servers, or of those started since a time."""
    query = {"names": names, "stages": stages, "bake": bake, "why": reason, "by": _operator_name()}
    if since:
        try:
            query["since"] = f"{parse_unix_time(since):.3f}"
        except ValueError:
            return report_invalid_input(
                f"--since: invalid time {since!r}; expected now, Unix seconds or 2026-12-01T08:00:00"
            )
    given = {key: value for key, value in query.items() if value}
    return _post(admin, "start", given, "release started")


def control(admin: str, action: str, reason: str) -> ExitCode:
    """Send one action to the release controller: pause, resume, skip, halt or abort."""
    query = {"what": action, "why": reason, "by": _operator_name()}
    return _post(admin, "say", query, f"{action}: accepted")


def _operator_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):  # the user ID has no account name
        return "unknown"


def _post(admin: str, path: str, query: dict[str, str], confirmation: str) -> ExitCode:
    try:
        request_document(admin, f"{ADMIN_PATH}/{path}?{urllib.parse.urlencode(query)}", "POST")
    except AdminRequestError as error:
        return report_invalid_input(error)
    stdout.print(f"{confirmation}; see `release status`", highlight=False)
    return ExitCode.SUCCESS


def render_release(document: ReleaseDocument) -> Group:
    """Render a release: in full from its controller, otherwise the share that this member applies."""
    if not document.is_controller:
        return _render_follower(document)
    if document.plan is None:
        return Group(f"{escape(document.own_name)} is the release controller; there has been no release")
    rows = Table("evidence", "class", "new", "bad", "old", "bad", "says", **PLAIN_STYLE)
    for evidence in document.evidence[:EVIDENCE_SHOWN]:
        new_ratio = evidence.new_bad / max(1, evidence.new)
        old_ratio = evidence.old_bad / max(1, evidence.old)
        rows.add_row(
            evidence.metric, escape(evidence.request_class), str(evidence.new), f"{new_ratio:.2%}",
            str(evidence.old), f"{old_ratio:.2%}", f"{evidence.value:.2f}",
        )  # fmt: skip
    total = f"total evidence of harm {document.value:.2f}; the release is rolled back at 100"
    return Group(*_release_lines(document, document.plan), rows, total)


def _render_follower(document: ReleaseDocument) -> Group:
    """Render the share that a node other than the controller applies."""
    order = document.order
    controller = document.controller or "nobody"
    applied = f"release {order.release}, new servers get at most {order.share:.0%}" if order.release else ""
    lines = [
        f"applied by {escape(document.own_name)}: {applied or 'no release'}",
        f"the release controller is {escape(controller)}: use its admin endpoint",
    ]
    if document.stale:
        lines.append("[yellow]the release controller is not heard from: the share stays as it is[/]")
    return Group(*lines)


def _release_lines(document: ReleaseDocument, plan: ReleasePlan) -> list[str]:
    """Format the release's state, its progress through the stages, and what blocks it."""
    state = plan.state
    stages = " ".join(
        f"[bold]{share:.0%}[/]" if number == plan.stage else f"{share:.0%}"
        for number, share in enumerate(plan.stages)
    )
    lines = [
        f"release {plan.id}: [{STATE_COLOURS.get(state, 'white')}]{state}[/], "
        f"new servers get at most {plan.share:.0%}; stages {stages}",
        f"{document.new_servers} of {document.servers} servers are new; "
        f"baked {document.baked_s:.0f} of {plan.bake_s:.0f} s in this stage",
        f"latest change by {escape(plan.changed_by)}: {escape(plan.reason or 'no reason given')}",
    ]
    if document.blocked_reason:
        lines.append(f"[yellow]blocked: {escape(document.blocked_reason)}[/]")
    if document.lacks_capacity and state == "back":
        lines.append("[red]the old servers lack capacity: less important requests are rejected meanwhile[/]")
    return lines


def show_status(admin: str, as_json: bool) -> ExitCode:
    """Print the release; fails if it is halted, rolled back, undone, or its controller isn't heard from."""
    try:
        raw = request_document(admin, ADMIN_PATH)
        document = decode_document(raw, ReleaseDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        stdout.print(render_release(document), highlight=False)
    failed = document.stale or (document.plan is not None and document.plan.state in FAILED_STATES)
    return ExitCode.CHECK_FAILED if failed else ExitCode.SUCCESS


def watch_status(admin: str) -> ExitCode:
    """Display the release, refreshed until interrupted."""
    return watch_document(admin, ADMIN_PATH, ReleaseDocument, render_release)


def show_history(admin: str) -> ExitCode:
    """Print the completed releases; only the controller's node has them."""
    try:
        document = decode_document(request_document(admin, ADMIN_PATH), ReleaseDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    rows = Table("release", "ended", "how", "at", "by", "why", **PLAIN_STYLE)
    for row in document.history:
        end_time = time.strftime("%d %b %H:%M:%S", time.gmtime(row.completed_s))
        state = f"[{STATE_COLOURS.get(row.state, 'white')}]{row.state}[/]"
        stage = f"stage {row.stage + 1}"
        rows.add_row(str(row.id), end_time, state, stage, escape(row.changed_by), escape(row.reason))
    if not document.is_controller:
        controller = escape(document.controller or "nobody")
        stdout.print(f"{escape(document.own_name)} is not the release controller; ask {controller}")
    else:
        stdout.print(rows)
    return ExitCode.SUCCESS
