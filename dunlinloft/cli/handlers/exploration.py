"""`dunlinloft explore`: model checking of the fleet's state machines; prints the shortest violating trace."""

from __future__ import annotations

import json
from pathlib import Path

from rich.markup import escape

from dunlinloft.cli.consoles import report_invalid_input, stdout
from dunlinloft.cli.exit_codes import ExitCode
from lab.explore.duties import Duties
from lab.explore.ledger import LedgerSystem
from lab.explore.membership import MembershipSystem
from lab.explore.search import (
    Move,
    SearchResult,
    System,
    exhaustive_search_with,
    random_walk,
    replay,
    shorten,
)
from lab.explore.voters import VotersSystem

# Bounds are small enough for exhaustive search.
EXHAUSTIVE_SYSTEMS: dict[str, list[System]] = {
    "duties": [Duties(copies=0, releases=0), Duties(held=False, restarts=0)],
    "ledger": [LedgerSystem()],
    "membership": [MembershipSystem()],
    "voters": [VotersSystem()],
}
# Larger systems, sampled by random walks.
RANDOM_WALK_SYSTEMS: dict[str, System] = {
    "duties": Duties(tries=4, copies=3, restarts=2, waits=30),
    "ledger": LedgerSystem(writes=4, restarts=3, copies=4),
    "membership": MembershipSystem(),
    "voters": VotersSystem(restarts=3, asked=3, copies=2),
}
RANDOM_WALK_STEPS = 80  # per walk


def explore(
    name: str, depth: int, states: int, seed: int, moves: int, jobs: int, trace_file: str | None
) -> ExitCode:
    """Explore all event orders up to a depth, then walk at random; fails if a property is violated."""
    for system in EXHAUSTIVE_SYSTEMS[name]:
        found = exhaustive_search_with(system, depth, states, jobs)
        if found.broken:
            return _report_violation(system, found, trace_file)
        bounds = ", ".join(f"{key.strip('_')} {value}" for key, value in _bounds(system).items())
        extent = "exhaustive" if found.whole else f"exhaustive to depth {found.depth}"
        stdout.print(
            f"{name} ({bounds}): {found.states} states, {extent}; {_rate_text(found)}", highlight=False
        )
    if not moves:
        return ExitCode.SUCCESS
    found = random_walk(RANDOM_WALK_SYSTEMS[name], seed, RANDOM_WALK_STEPS, moves)
    if found.broken:
        return _report_violation(RANDOM_WALK_SYSTEMS[name], found, trace_file)
    stdout.print(
        f"{name}, random walks (seed {seed}): {found.states} states, depth {found.depth}; {_rate_text(found)}"
    )
    return ExitCode.SUCCESS


def _bounds(system: System) -> dict[str, int]:
    """Return how often each kind of event may occur in a system."""
    limits = getattr(system, "_limits", None)
    return limits if limits is not None else {k: v for k, v in vars(system).items() if isinstance(v, int)}


def _rate_text(found: SearchResult) -> str:
    states_per_s = found.states / max(1e-3, found.seconds)
    return f"{found.moves} moves in {found.seconds:.0f} s, {states_per_s:.0f} states/s"


def _report_violation(system: System, found: SearchResult, trace_file: str | None) -> ExitCode:
    trace = shorten(system, found.trace)
    _print_replay(system, trace)
    if trace_file:
        Path(trace_file).write_text(json.dumps([list(move) for move in trace]), encoding="utf-8")
        stdout.print(f"wrote {trace_file}; replay it with --replay", highlight=False)
    return ExitCode.CHECK_FAILED


def _print_replay(system: System, trace: list[Move]) -> str:
    """Print a trace step by step; returns the violation that it ends in, or an empty string."""
    lines, violation = replay(system, trace)
    for number, line in enumerate(lines, 1):
        stdout.print(f"{number:3d}  {line}", highlight=False, markup=False, soft_wrap=True)
    verdict = f"[red]{escape(violation)}[/]" if violation else "no property is violated"
    stdout.print(verdict, highlight=False)
    return violation


def replay_file(name: str, trace_file: str) -> ExitCode:
    """Replay a trace written by an earlier exploration; fails if it violates a property."""
    try:
        encoded = json.loads(Path(trace_file).read_text(encoding="utf-8"))
        trace = [tuple(move) for move in encoded]
    except (OSError, ValueError, TypeError) as error:
        return report_invalid_input(f"{trace_file}: not a trace file: {error}")
    systems = [RANDOM_WALK_SYSTEMS[name], *EXHAUSTIVE_SYSTEMS[name]]
    violated = [system for system in systems if replay(system, trace)[1]]
    violation = _print_replay((violated or systems)[0], trace)
    return ExitCode.CHECK_FAILED if violation else ExitCode.SUCCESS
