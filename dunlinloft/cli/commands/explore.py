"""The command `explore`: exhaustive and random exploration of the fleet's state machines."""

from __future__ import annotations

import sys

import click


@click.command("explore")
@click.argument("system", type=click.Choice(["duties", "ledger", "membership", "voters"]))
@click.option("--depth", type=click.IntRange(1), default=40, show_default=True, help="Moves to a state.")
@click.option("--states", type=click.IntRange(1), default=100_000, show_default=True, help="At most.")
@click.option(
    "--walk", "moves", type=click.IntRange(0), default=100_000, show_default=True, help="At random."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the walk.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Write what breaks something here.")
@click.option("--replay", "replayed", type=click.Path(dir_okay=False), help="Play such a trace instead.")
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
    """Try all orders of events on the fleet's cores, and walk at random beyond.

    Exit status: 0 where nothing broke, 1 where something did, 2 for a bad file.
    """
    from dunlinloft.cli.handlers import exploration

    if replayed is not None:
        sys.exit(exploration.replay_file(system, replayed))
    sys.exit(exploration.explore(system, depth, states, seed, moves, jobs, trace))
