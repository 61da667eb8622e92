"""`dunlinloft fleet duties` and `hand-over`: the leases of the fleet's singleton roles and their holders."""

from __future__ import annotations

import json
import urllib.parse

from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import AdminRequestError, decode_document, request_document
from dunlinloft.cli.admin_documents import LeasesDocument
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE

HISTORY_SHOWN = 10  # most recent lease changes printed


def show_leases(admin: str, as_json: bool) -> ExitCode:
    """Print the holder of each role; fails if a role has none."""
    try:
        raw = request_document(admin, "/admin/duties")
        document = decode_document(raw, LeasesDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        _print_leases(document)
    every_role_owned = all(row.owner for row in document.leases)
    return ExitCode.SUCCESS if every_role_owned else ExitCode.CHECK_FAILED


def _print_leases(document: LeasesDocument) -> None:
    own = document.own_name
    voters = document.voters
    stdout.print(
        f"in the view of {own}, which {_voting_status(document)}; voters: {', '.join(voters)}",
        highlight=False,
    )
    rows = Table("duty", "holder", "token", "left", "why nobody", **PLAIN_STYLE)
    for row in document.leases:
        remaining = f"{row.remaining_s:.1f} s" if row.remaining_s is not None else ""
        owner = escape(row.owner) or "[red]nobody[/]"
        rows.add_row(row.role, owner, str(row.token or ""), remaining, escape(row.unowned_reason))
    stdout.print(rows)
    for group in document.diverged_groups:
        names = ", ".join(group.members)
        stdout.print(f"diverged view for {group.duration_s:.0f} s: {names}", highlight=False, markup=False)
    for event in document.history[-HISTORY_SHOWN:]:
        reason = f": {event.reason}" if event.reason else ""
        stdout.print(
            f"{event.time} {event.event} {event.role}, token {event.token}{reason}",
            highlight=False,
        )


def _voting_status(document: LeasesDocument) -> str:
    if document.may_vote:
        return "may vote"
    return "may not vote now" if document.own_name in document.voters else "is not a voter"


def transfer_lease(admin: str, lease: str, successor: str) -> ExitCode:
    """Request the holder to transfer a role's lease; with an empty successor the node chooses one."""
    query = urllib.parse.urlencode({"duty": lease, "to": successor})
    try:
        request_document(admin, f"/admin/duties/hand-over?{query}", "POST")
    except AdminRequestError as error:
        return report_invalid_input(error)
    stdout.print(f"{lease}: transfer requested to {successor or 'the next candidate'}", highlight=False)
    return ExitCode.SUCCESS
