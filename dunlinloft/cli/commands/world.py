"""The command `world`: the control plane under injected faults in virtual time."""

from __future__ import annotations

import sys

import click


@click.command("world")
@click.option("--seeds", type=click.IntRange(1), default=10_000, show_default=True, help="So many.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="The first one.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
def world(seeds: int, first: int, jobs: int) -> None:
    """Play the control plane under overlapping troubles in virtual time, by seed.

    Prints the shortest schedule of each seed that breaks a rule. Exit status: 0 where none does, 1 else.
    """
    from dunlinloft.cli.handlers import simulated_world

    sys.exit(simulated_world.play(range(first, first + seeds), jobs))
