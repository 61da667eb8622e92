"""What operators see of cells: a node's own, and all that a process of the directory knows."""

from __future__ import annotations

import json
from typing import Any

from rich.console import Group
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli import SUCCESS, UNKEPT
from dunlinloft.fleetcli import NoAnswer, bad, out, read
from dunlinloft.tables import PLAIN


def cell_text(state: dict[str, Any]) -> list[str]:
    """A node's cell as a person reads it: what is wrong last, where the eye stops."""
    place, known = state["place"], state["directory"]
    lines = [
        f"service {escape(state['service'])} in {escape(state['region'])}: cell {state['cell']}, epoch "
        f"{state['epoch']}, {state['members']} members there of {state['most']} at most"
        + (", and this one reports" if state["reporter"] else ""),
        f"part {place['number'] + 1} of {place['nodes']}; {state['cuts']} cuts or merges since the start",
    ]
    if known["age_s"] is None:
        lines.append("[red]the directory has not answered yet[/]")
    else:
        lines.append(
            f"the directory: {known['service_members']} members in {known['cells']} cells, known for "
            f"{known['age_s']} s at the oldest ({known['bound_s']:.0f} s is the bound)"
        )
    if known["unanswered"]:
        lines.append(f"[yellow]{known['unanswered']} questions to it in a row had no answer[/]")
    if state["fallback"]:
        lines.append("[yellow]the fallback is in force: no part of a budget grows[/]")
    return lines


def cell(admin: str, as_json: bool) -> int:
    """Print a node's cell; the exit status."""
    try:
        state = read(admin, "/admin/fleet/cell")
    except NoAnswer as problem:
        return bad(problem)
    if as_json:
        out.print_json(json.dumps(state))
    else:
        for line in cell_text(state):
            out.print(line, highlight=False)
    return UNKEPT if state["fallback"] else SUCCESS


def cells_table(state: dict[str, Any], service: str = "") -> Group:
    """All cells, those that are stale first."""
    services = {name: cells for name, cells in state["services"].items() if service in ("", name)}
    counted = sum(c["counted"] for cells in services.values() for c in cells)
    head = [
        f"directory of {escape(state['fleet'])} at {escape(state['name'])}, {state['processes']} processes: "
        f"{len(services)} services, {sum(map(len, services.values()))} cells, {counted} members"
    ]
    if state["learning"]:
        head.append("[yellow]it has started lately and may not know of all yet[/]")
    rows = Table("service", "region", "cell", "epoch", "members", "load", "program", "age s", "", **PLAIN)
    flat = [(name, c) for name, cells in services.items() for c in cells]
    for name, c in sorted(flat, key=lambda item: (not item[1]["stale"], item[0], item[1]["region"])):
        rows.add_row(
            escape(name), escape(c["region"]), c["cell"], str(c["epoch"]), str(c["members"]),
            f"{c['load']:.0f}", escape(c["program"]), f"{c['age_s']:.0f}",
            "[yellow]stale[/]" if c["stale"] else "",
        )  # fmt: skip
    return Group(*head, rows)


def directory(admin: str, service: str, as_json: bool) -> int:
    """Print what a process of the directory knows; the exit status."""
    try:
        state = read(admin, "/admin/directory")
    except NoAnswer as problem:
        return bad(problem)
    if service and service not in state["services"]:
        return bad(NoAnswer(f"{admin}: no cell of a service {service!r} is known there"))
    if as_json:
        out.print_json(json.dumps(state))
    else:
        out.print(cells_table(state, service))
    stale = any(c["stale"] for cells in state["services"].values() for c in cells)
    return UNKEPT if stale or state["learning"] else SUCCESS
