"""`dunlinloft fleet ledger` and `voters`: the replicated state table, and the members that vote on leases."""

from __future__ import annotations

import json
import time
import urllib.parse

from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import AdminRequestError, decode_document, request_document
from dunlinloft.cli.admin_documents import StateTableDocument, VotersDocument
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE

TABLE_PATH = "/admin/ledger"
VOTERS_PATH = "/admin/voters"
POLL_INTERVAL_S = 0.1  # between checks of a pending entry
MAX_POLLS = 20
# Entry states as the endpoint encodes them.
COMMITTED, PENDING, UNKNOWN = "kept", "under way", "unknown"


def update_state_table(admin: str, entries: tuple[str, ...], as_json: bool) -> ExitCode:
    """Write entries, each given as KEY=VALUE, then print the table; fails if an entry is not committed."""
    status = ExitCode.SUCCESS
    try:
        for entry in entries:
            if _write_entry(admin, entry) != COMMITTED:
                status = ExitCode.CHECK_FAILED
        raw = request_document(admin, TABLE_PATH)
        document = decode_document(raw, StateTableDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        _print_state_table(document)
    return status


def _write_entry(admin: str, entry: str) -> str:
    key, equals, value = entry.partition("=")
    if not key or not equals:
        raise AdminRequestError(f"{entry!r}: expected KEY=VALUE")
    query = urllib.parse.urlencode({"key": key, "value": value})
    number = request_document(admin, f"{TABLE_PATH}/enter?{query}", "POST")["entry"]
    state = _await_entry(admin, number)
    stdout.print(f"{key}: {state}", highlight=False)
    return state


def _print_state_table(document: StateTableDocument) -> None:
    if not document.is_owner:
        owner = document.owner or "nobody"
        stdout.print(f"{document.own_name} does not hold the ledger; its holder is {owner}", highlight=False)
        return
    if document.rows_lost:
        stdout.print(
            "[red]rows may be lost: a majority of the voters lost their state. Write missing rows again[/]"
        )
    rows = Table("key", "value", "token", **PLAIN_STYLE)
    for row in document.rows:
        rows.add_row(escape(row.key), escape(row.value), str(row.token))
    stdout.print(f"ledger: {document.step}, token {document.token}", highlight=False)
    stdout.print(rows)


def change_voters(admin: str, add: str, remove: str, as_json: bool) -> ExitCode:
    """Add or remove a voter if one is named, then print all; fails if one is missing or outdated."""
    status = ExitCode.SUCCESS
    try:
        if add or remove:
            query = urllib.parse.urlencode({"add": add, "remove": remove})
            number = request_document(admin, f"{VOTERS_PATH}/change?{query}", "POST")["entry"]
            state = _await_entry(admin, number)
            stdout.print(f"{'+' + add if add else '-' + remove}: {state}", highlight=False)
            status = ExitCode.SUCCESS if state == COMMITTED else ExitCode.CHECK_FAILED
        raw = request_document(admin, VOTERS_PATH)
        document = decode_document(raw, VotersDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    missing = [row.name for row in document.voters if not row.alive]
    if as_json:
        print(json.dumps(raw, indent=2))
    else:
        _print_voters(document, missing)
    return ExitCode.CHECK_FAILED if missing or document.outdated else status


def _print_voters(document: VotersDocument, missing: list[str]) -> None:
    names = [row.name for row in document.voters]
    configured = document.configured
    quorum = len(names) // 2 + 1
    source = f"in the view of {document.own_name}, after change {document.change}"
    stdout.print(f"{source}: {', '.join(names)} vote, quorum {quorum}", highlight=False)
    if missing:
        stdout.print(f"[red]not alive: {escape(', '.join(missing))}[/]", highlight=False)
    if set(names) != set(configured):
        listed = escape(", ".join(configured))
        stdout.print(f"[yellow]the configuration still names {listed}: update the configuration files[/]")
    if len(names) % 2 == 0:
        stdout.print("[yellow]even number of voters: add or remove one[/]")
    for name, known_voters in document.outdated.items():
        stdout.print(
            f"[yellow]{escape(name)} still assumes the voters {escape(known_voters)}[/]", highlight=False
        )
    if document.change_blocked_reason:
        owner = document.owner or "nobody"
        reason = document.change_blocked_reason if document.is_owner else f"ask the holder, {owner}"
        stdout.print(f"voters can't be changed here now: {escape(reason)}", highlight=False)


def _await_entry(admin: str, number: int) -> str:
    """Poll an entry until it is decided or `MAX_POLLS` is reached; returns its last state."""
    state = PENDING
    for _ in range(MAX_POLLS):
        entries = decode_document(request_document(admin, TABLE_PATH), StateTableDocument).entries
        state = next((entry.state for entry in entries if entry.number == number), UNKNOWN)
        if state != PENDING:
            break
        time.sleep(POLL_INTERVAL_S)
    return state
