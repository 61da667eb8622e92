"""The program `dunlinloft` with all its command groups."""

from __future__ import annotations

import click

from dunlinloft.cli.commands.explore import explore
from dunlinloft.cli.commands.fleet import fleet
from dunlinloft.cli.commands.lab import lab
from dunlinloft.cli.commands.node import check, directory, serve
from dunlinloft.cli.commands.release import release
from dunlinloft.cli.commands.state import state
from dunlinloft.cli.commands.world import world


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def main() -> None:
    """dunlinloft: a load-balancing node, its fleet, and the lab that tests and measures them."""


for command in (serve, directory, check, fleet, release, explore, lab, state, world):
    main.add_command(command)
