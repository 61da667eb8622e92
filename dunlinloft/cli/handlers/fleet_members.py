"""`dunlinloft fleet members` and `watch`: one node's view of the fleet's membership."""

from __future__ import annotations

import json
import time

from rich.console import Group
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import (
    AdminRequestError,
    decode_document,
    request_document,
    watch_document,
)
from dunlinloft.cli.admin_documents import FleetMember, MembershipDocument
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE

STATE_COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim", "quiet": "yellow"}
STATE_ORDER = {"suspect": 0, "dead": 1, "alive": 2, "left": 3}  # sorted by need for attention
LAST_IN_ORDER = 9


def render_members(document: MembershipDocument) -> Group:
    """Render the membership view: summary lines and warnings, then one row per member."""
    columns = ("member", "state", "for", "started", "rev", "accusers", "rtt ms", "agrees", "zone", "notes")
    rows = Table(*columns, **PLAIN_STYLE)
    ordered = sorted(
        document.members,
        key=lambda member: (STATE_ORDER.get(member.state, LAST_IN_ORDER), member.name),
    )
    for member in ordered:
        rows.add_row(*_member_cells(member))
    return Group(*_summary_lines(document), rows)


def _summary_lines(document: MembershipDocument) -> list[str]:
    own = document.own
    divergence = document.divergence
    position = document.position
    lines = [
        f"fleet {document.fleet} in the view of {own.name}: {document.alive_members} members alive, "
        f"budget share {position.number + 1} of {position.nodes}",
        f"own state {own.state}, local health {document.health} (0 is healthy), "
        f"{document.messages_s:.0f} messages/s, {document.bytes_s:.0f} bytes/s",
    ]
    if divergence.members:
        lines.append(
            f"[yellow]{divergence.members} members have a different view, "
            f"the longest for {divergence.longest_s} s[/]"
        )
    if own.conflicting_address:
        address = escape(own.conflicting_address)
        lines.append(f"[red]another machine uses the name {escape(own.name)}: {address}[/]")
    return lines


def _member_cells(member: FleetMember) -> list[str]:
    colour = STATE_COLOURS.get(member.state, "white")
    return [
        escape(member.name),
        f"[{colour}]{member.state}[/]",
        _duration_text(member.since_s),
        time.strftime("%d %H:%M:%S", time.gmtime(member.started_ms / 1000.0)),
        str(member.revision),
        escape(", ".join(member.accusers)),
        f"{member.rtt_ms:.1f}",
        "yes" if member.agrees else "[yellow]no[/]",
        escape(str(member.metadata.get("zone", ""))),
        "draining" if member.metadata.get("draining") else "",
    ]


def _duration_text(seconds: float) -> str:
    if seconds < 120.0:
        return f"{seconds:.0f} s"
    return f"{seconds / 60.0:.0f} min" if seconds < 7200.0 else f"{seconds / 3600.0:.0f} h"


def show_members(admin: str, as_json: bool) -> ExitCode:
    """Print the members; fails if views differ or another machine uses this node's name."""
    try:
        raw = request_document(admin)
        document = decode_document(raw, MembershipDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        stdout.print(render_members(document), highlight=False)
    consistent = not document.divergence.members and not document.own.conflicting_address
    return ExitCode.SUCCESS if consistent else ExitCode.CHECK_FAILED


def watch_members(admin: str) -> ExitCode:
    """Display the members, refreshed until interrupted."""
    return watch_document(admin, "/admin/fleet", MembershipDocument, render_members)
