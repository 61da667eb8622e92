"""`dunlinloft fleet cell` and `directory`: a node's own cell, and all cells known to the directory."""

from __future__ import annotations

import json

from rich.console import Group
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.admin_client import AdminRequestError, decode_document, request_document
from dunlinloft.cli.admin_documents import CellDocument, DirectoryDocument
from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE


def cell_lines(document: CellDocument) -> list[str]:
    """Format a node's cell as text; warnings come last, where they are noticed."""
    position = document.position
    known = document.directory
    lines = [
        f"service {escape(document.service)} in {escape(document.region)}: cell {document.cell}, "
        f"epoch {document.epoch}, {document.members} of at most {document.max_members} members"
        + (", of which this is the reporter" if document.reporter else ""),
        f"budget share {position.number + 1} of {position.nodes}; {document.splits} splits or merges so far",
    ]
    if known.age_s is None:
        lines.append("[red]the directory has not responded yet[/]")
    else:
        lines.append(
            f"directory: {known.service_members} members in {known.cells} cells, oldest data "
            f"{known.age_s} s old (bound {known.bound_s:.0f} s)"
        )
    if known.unanswered:
        lines.append(f"[yellow]the last {known.unanswered} directory requests were not answered[/]")
    if document.fallback:
        lines.append("[yellow]the fallback is active: budget shares do not grow[/]")
    return lines


def show_cell(admin: str, as_json: bool) -> ExitCode:
    """Print a node's cell; fails if the fallback is active."""
    try:
        raw = request_document(admin, "/admin/fleet/cell")
        document = decode_document(raw, CellDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if as_json:
        stdout.print_json(json.dumps(raw))
    else:
        for line in cell_lines(document):
            stdout.print(line, highlight=False)
    return ExitCode.CHECK_FAILED if document.fallback else ExitCode.SUCCESS


def render_directory(document: DirectoryDocument, service: str = "") -> Group:
    """Render the cells of a service, or of all services if none is named; stale ones first."""
    services = {name: cells for name, cells in document.services.items() if service in ("", name)}
    counted = sum(cell.counted for cells in services.values() for cell in cells)
    lines = [
        f"directory of {escape(document.fleet)} at {escape(document.name)}, "
        f"{document.processes} processes: {len(services)} services, "
        f"{sum(map(len, services.values()))} cells, {counted} members"
    ]
    if document.learning:
        lines.append("[yellow]it has started lately and may not know of all yet[/]")
    columns = ("service", "region", "cell", "epoch", "members", "load", "program", "age s", "")
    rows = Table(*columns, **PLAIN_STYLE)
    flat = [(name, cell) for name, cells in services.items() for cell in cells]
    for name, cell in sorted(flat, key=lambda item: (not item[1].stale, item[0], item[1].region)):
        rows.add_row(
            escape(name), escape(cell.region), cell.cell, str(cell.epoch), str(cell.members),
            f"{cell.load:.0f}", escape(cell.program), f"{cell.age_s:.0f}",
            "[yellow]stale[/]" if cell.stale else "",
        )  # fmt: skip
    return Group(*lines, rows)


def show_directory(admin: str, service: str, as_json: bool) -> ExitCode:
    """Print the cells that a directory process knows; fails if one is stale or it is still learning."""
    try:
        raw = request_document(admin, "/admin/directory")
        document = decode_document(raw, DirectoryDocument)
    except AdminRequestError as error:
        return report_invalid_input(error)
    if service and service not in document.services:
        return report_invalid_input(f"{admin}: no known cell of service {service!r}")
    if as_json:
        stdout.print_json(json.dumps(raw))
    else:
        stdout.print(render_directory(document, service))
    stale = any(cell.stale for cells in document.services.values() for cell in cells)
    return ExitCode.CHECK_FAILED if stale or document.learning else ExitCode.SUCCESS
