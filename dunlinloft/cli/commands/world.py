"""The command `world`: simulation of the control plane with injected faults in virtual time."""

from __future__ import annotations

import sys

import click

PROCESSES = "processes"
REPLICAS = "replicas"


@click.command("world")
@click.option("--seeds", type=click.IntRange(1), default=10_000, show_default=True, help="Number of seeds.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="First seed.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
@click.option(
    "--scope",
    type=click.Choice([PROCESSES, REPLICAS]),
    default=PROCESSES,
    show_default=True,
    help="Whole control planes and nodes, or only the replicas' state machines.",
)
def world(seeds: int, first: int, jobs: int, scope: str) -> None:
    """Simulate the control plane with overlapping faults in virtual time, one run per seed.

    Prints the shortest fault schedule for each seed that violates a rule. Exit status: 0 if none, else 1.
    """
    from dunlinloft.cli.handlers import simulated_world

    chosen = range(first, first + seeds)
    if scope == REPLICAS:
        sys.exit(simulated_world.play_replicas(chosen, jobs))
    sys.exit(simulated_world.play_processes(chosen, jobs))
