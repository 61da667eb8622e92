"""The command `explore`: exhaustive and random exploration of the fleet's state machines."""

from __future__ import annotations

import sys

import click


@click.command("explore")
@click.argument("system", type=click.Choice(["duties", "ledger", "membership", "voters"]))
@click.option(
    "--depth", type=click.IntRange(1), default=40, show_default=True, help="Maximum depth, in events."
)
@click.option("--states", type=click.IntRange(1), default=100_000, show_default=True, help="Maximum states.")
@click.option(
    "--walk",
    "moves",
    type=click.IntRange(0),
    default=100_000,
    show_default=True,
    help="Steps of random walks.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random walks.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Write a violating trace here.")
@click.option("--replay", "replayed", type=click.Path(dir_okay=False), help="Replay this trace instead.")
def explore(
    system: str,
    depth: int,
    states: int,
    moves: int,
    seed: int,
    jobs: int,
    trace: str | None,
    replayed: str | None,
) -> None:
    """Explore all event orders of a state machine up to a depth, then sample larger ones by random walks.

    Exit status: 0 if no property is violated, 1 if one is, 2 for an invalid trace file.
    """
    from dunlinloft.cli.handlers import exploration

    if replayed is not None:
        sys.exit(exploration.replay_file(system, replayed))
    sys.exit(exploration.explore(system, depth, states, seed, moves, jobs, trace))
