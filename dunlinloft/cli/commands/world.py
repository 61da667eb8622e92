"""The command `world`: the control side under injected faults in virtual time."""

from __future__ import annotations

import sys

import click

PROCESSES = "processes"
REPLICAS = "replicas"


@click.command("world")
@click.option("--seeds", type=click.IntRange(1), default=10_000, show_default=True, help="So many.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="The first one.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
@click.option(
    "--scope",
    type=click.Choice([PROCESSES, REPLICAS]),
    default=PROCESSES,
    show_default=True,
    help="Whole control planes and nodes, or the replicas' state machines alone.",
)
def world(seeds: int, first: int, jobs: int, scope: str) -> None:
    """Play the control side under overlapping faults in virtual time, by seed.

    Prints the shortest schedule of each seed that breaks a rule. Exit status: 0 where none does, 1 else.
    """
    from dunlinloft.cli.handlers import simulated_world

    chosen = range(first, first + seeds)
    if scope == REPLICAS:
        sys.exit(simulated_world.play_replicas(chosen, jobs))
    sys.exit(simulated_world.play_processes(chosen, jobs))
