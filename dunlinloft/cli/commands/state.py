"""The command group `state`: data directories of control planes."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def state() -> None:
    """Look at control planes' data directories; only `begin` changes one."""


@state.command("inspect")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As one line of JSON.")
def inspect(folder: str, as_json: bool) -> None:
    """Say what FOLDER recovers to: view, chain, version, orders remembered, servers known."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.inspect(Path(folder), as_json))


@state.command("verify")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def verify(folder: str) -> None:
    """Read every block in FOLDER. Exit status: 0 all whole, 1 a torn end, 2 no state can be read."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.verify(Path(folder)))


@state.command("newest")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
def newest(folders: tuple[str, ...]) -> None:
    """Say which of these data directories holds the newest state. Exit status: 2 where none can be read."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.find_newest([Path(folder) for folder in folders]))


@state.command("begin")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--address", required=True, help="host:port of this replica's internal listener.")
@click.option(
    "--after-epoch", required=True, type=click.IntRange(0), help="The highest epoch in any directory."
)
@click.option("--i-know-what-is-lost", "confirmed", is_flag=True, help="Without it, nothing is changed.")
def begin(folder: str, address: str, after_epoch: int, confirmed: bool) -> None:
    """Begin a new epoch from the state in FOLDER, after more disks were lost than may be.

    The process must not run. All other control planes start with empty directories, and copy this state.
    """
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.begin_epoch(Path(folder), address, after_epoch, confirmed))
