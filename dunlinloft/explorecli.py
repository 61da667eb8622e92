"""What `dunlinloft explore` prints: how much was looked at, and the shortest trace that breaks something."""

from __future__ import annotations

import json
from pathlib import Path

from rich.console import Console
from rich.markup import escape

from dunlinloft.cli import BAD_FILE, SUCCESS, UNKEPT
from lab.explore.duties import Duties
from lab.explore.ledger import LedgerSystem
from lab.explore.membership import MembershipSystem
from lab.explore.search import Found, Move, System, exhaust_with, replay, shorten, wander
from lab.explore.voters import VotersSystem

SYSTEMS: dict[str, list[System]] = {
    "duties": [Duties(copies=0, releases=0), Duties(held=False, restarts=0)],
    "ledger": [LedgerSystem()],
    "membership": [MembershipSystem()],
    "voters": [VotersSystem()],
}
WALKS: dict[str, System] = {
    "duties": Duties(tries=4, copies=3, restarts=2, waits=30),
    "ledger": LedgerSystem(writes=4, restarts=3, copies=4),
    "membership": MembershipSystem(),
    "voters": VotersSystem(restarts=3, asked=3, copies=2),
}
STEPS = 80  # of a walk
out, err = Console(), Console(stderr=True, soft_wrap=True)


def explore(
    name: str, depth: int, states: int, seed: int, moves: int, jobs: int, trace_file: str | None
) -> int:
    """Exhaust to a depth, then walk; the exit status."""
    for system in SYSTEMS[name]:
        found = exhaust_with(system, depth, states, jobs)
        if found.broken:
            return _broken(system, found, trace_file)
        bounds = ", ".join(f"{key.strip('_')} {value}" for key, value in _bounds(system).items())
        whole = "all there are" if found.whole else f"all to depth {found.depth}"
        out.print(f"{name} ({bounds}): {found.states} states, {whole}; {_pace(found)}", highlight=False)
    if not moves:
        return SUCCESS
    found = wander(WALKS[name], seed, STEPS, moves)
    if found.broken:
        return _broken(WALKS[name], found, trace_file)
    out.print(f"{name}, walks (seed {seed}): {found.states} states, depth {found.depth}; {_pace(found)}")
    return SUCCESS


def _bounds(system: System) -> dict[str, int]:
    most = getattr(system, "_most", None)
    return most if most is not None else {k: v for k, v in vars(system).items() if isinstance(v, int)}


def _pace(found: Found) -> str:
    pace = found.states / max(1e-3, found.seconds)
    return f"{found.moves} moves in {found.seconds:.0f} s, {pace:.0f} states a second"


def _broken(system: System, found: Found, trace_file: str | None) -> int:
    trace = shorten(system, found.trace)
    _show(system, trace)
    if trace_file:
        Path(trace_file).write_text(json.dumps([list(move) for move in trace]), encoding="utf-8")
        out.print(f"{trace_file} is written: see --replay", highlight=False)
    return UNKEPT


def _show(system: System, trace: list[Move]) -> str:
    lines, why = replay(system, trace)
    for n, line in enumerate(lines):
        out.print(f"{n + 1:3d}  {line}", highlight=False, markup=False, soft_wrap=True)
    out.print(f"[red]{escape(why)}[/]" if why else "nothing is broken by it", highlight=False)
    return why


def replay_file(name: str, trace_file: str) -> int:
    """Play a trace again; the exit status."""
    try:
        raw = json.loads(Path(trace_file).read_text(encoding="utf-8"))
        trace = [tuple(move) for move in raw]
    except (OSError, ValueError, TypeError) as problem:
        err.print(f"[red]{escape(trace_file)}: no trace: {escape(str(problem))}[/]", highlight=False)
        return BAD_FILE
    systems = [WALKS[name], *SYSTEMS[name]]
    broken = [system for system in systems if replay(system, trace)[1]]
    return UNKEPT if _show((broken or systems)[0], trace) else SUCCESS
