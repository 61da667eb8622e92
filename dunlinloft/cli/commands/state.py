"""The command group `state`: data directories of control planes."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def state() -> None:
    """Inspect control planes' data directories; only `begin` changes one."""


@state.command("inspect")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")
def inspect(folder: str, as_json: bool) -> None:
    """Show the state that FOLDER recovers to: view, chain, version, remembered changes, known servers."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.inspect(Path(folder), as_json))


@state.command("verify")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def verify(folder: str) -> None:
    """Read every block in FOLDER. Exit status: 0 all complete, 1 torn end, 2 no readable state."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.verify(Path(folder)))


@state.command("newest")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
def newest(folders: tuple[str, ...]) -> None:
    """Find the data directory with the newest state. Exit status: 2 if none is readable."""
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.find_newest([Path(folder) for folder in folders]))


@state.command("begin")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--address", required=True, help="host:port of this replica's internal listener.")
@click.option(
    "--after-epoch", required=True, type=click.IntRange(0), help="The highest epoch in any directory."
)
@click.option(
    "--i-know-what-is-lost", "confirmed", is_flag=True, help="Confirm; without it, nothing is changed."
)
def begin(folder: str, address: str, after_epoch: int, confirmed: bool) -> None:
    """Begin a new epoch from the state in FOLDER, after more disks were lost than replication tolerates.

    The process must be stopped. All other control planes must start with empty directories; they copy this
    state.
    """
    from dunlinloft.cli.handlers import replica_state

    sys.exit(replica_state.begin_epoch(Path(folder), address, after_epoch, confirmed))
