"""`dunlinloft fleet duties` and `hand-over`: leases of the fleet's singleton roles and who holds them."""

from __future__ import annotations

import json
import urllib.parse

from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import AdminDocument, AdminRequestError, request_document
from dunlinloft.cli.consoles import report_invalid, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE

HISTORY_SHOWN = 10  # latest lease changes that are printed


def show_leases(admin: str, as_json: bool) -> ExitCode:
    """Print who holds which role; fails where nobody holds one."""
    try:
        document = request_document(admin, "/admin/duties")
    except AdminRequestError as error:
        return report_invalid(error)
    if as_json:
        print(json.dumps(document, indent=2))
    else:
        _print_leases(document)
    every_role_owned = all(row["holder"] for row in document["duties"])
    return ExitCode.SUCCESS if every_role_owned else ExitCode.CHECK_FAILED


def _print_leases(document: AdminDocument) -> None:
    own, voters = document["self"], document["voters"]
    stdout.print(
        f"as {own} sees it, which {_voting_status(document)}; voters {', '.join(voters)}", highlight=False
    )
    rows = Table("duty", "holder", "token", "left", "why nobody", **PLAIN_STYLE)
    for row in document["duties"]:
        remaining = f"{row['remaining_s']:.1f} s" if "remaining_s" in row else ""
        owner = escape(row["holder"]) or "[red]nobody[/]"
        rows.add_row(row["duty"], owner, str(row["token"] or ""), remaining, escape(row.get("why", "")))
    stdout.print(rows)
    for group in document["divergence"]:
        names = ", ".join(group["members"])
        stdout.print(f"one view for {group['for_s']:.0f} s: {names}", highlight=False, markup=False)
    for event in document["history"][-HISTORY_SHOWN:]:
        reason = f": {event['why']}" if event["why"] else ""
        stdout.print(
            f"{event['time']} {event['what']} {event['duty']}, token {event['token']}{reason}",
            highlight=False,
        )


def _voting_status(document: AdminDocument) -> str:
    if document["votes"]:
        return "votes"
    return "does not vote now" if document["self"] in document["voters"] else "is no voter"


def transfer_lease(admin: str, lease: str, successor: str) -> ExitCode:
    """Request the holder to hand a role's lease to a successor; an empty one lets the node choose."""
    query = urllib.parse.urlencode({"duty": lease, "to": successor})
    try:
        request_document(admin, f"/admin/duties/hand-over?{query}", "POST")
    except AdminRequestError as error:
        return report_invalid(error)
    stdout.print(f"{lease} is handed over to {successor or 'whoever is next'}", highlight=False)
    return ExitCode.SUCCESS
