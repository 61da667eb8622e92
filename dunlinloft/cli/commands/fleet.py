"""The command group `fleet`: one node's view of the fleet, by way of its admin endpoint."""

from __future__ import annotations

import sys

import click

from dunlinloft.cli.options import admin_option, json_option


@click.group()
def fleet() -> None:
    """Look at a fleet of nodes by way of one node's admin endpoint."""


@fleet.command("members")
@admin_option
@json_option
def show_members(admin: str, as_json: bool) -> None:
    """Who is there, and who is not; exit status 1 where views differ or a name is taken twice."""
    from dunlinloft.cli.handlers import fleet_members

    sys.exit(fleet_members.show_members(admin, as_json))


@fleet.command("watch")
@admin_option
def watch_members(admin: str) -> None:
    """The same, live, until Ctrl-C."""
    from dunlinloft.cli.handlers import fleet_members

    sys.exit(fleet_members.watch_members(admin))


@fleet.command("cell")
@admin_option
@json_option
def show_cell(admin: str, as_json: bool) -> None:
    """A node's cell and what it knows of its whole service; exit status 1 where the fallback is in force."""
    from dunlinloft.cli.handlers import cells

    sys.exit(cells.show_cell(admin, as_json))


@fleet.command("directory")
@click.option("--service", default="", help="This service's cells alone.")
@admin_option
@json_option
def show_directory(admin: str, service: str, as_json: bool) -> None:
    """The cells that a process of the directory knows; exit status 1 where some are stale."""
    from dunlinloft.cli.handlers import cells

    sys.exit(cells.show_directory(admin, service, as_json))


@fleet.command("duties")
@admin_option
@json_option
def show_leases(admin: str, as_json: bool) -> None:
    """Who holds which duty; exit status 1 where nobody holds one."""
    from dunlinloft.cli.handlers import leases

    sys.exit(leases.show_leases(admin, as_json))


@fleet.command("state")
@admin_option
@json_option
def show_shared_state(admin: str, as_json: bool) -> None:
    """What the members share, with ages; exit status 1 where a fallback is in force."""
    from dunlinloft.cli.handlers import shared_state

    sys.exit(shared_state.show_shared_state(admin, as_json))


@fleet.command("ledger")
@click.option("--set", "entries", multiple=True, metavar="KEY=VALUE", help="Such as limit/TENANT=120.")
@admin_option
@json_option
def update_state_table(entries: tuple[str, ...], admin: str, as_json: bool) -> None:
    """The fleet's small records; exit status 1 where an entry is not kept."""
    from dunlinloft.cli.handlers import state_table

    sys.exit(state_table.update_state_table(admin, entries, as_json))


@fleet.command("voters")
@click.option("--add", default="", metavar="MEMBER", help="Have this member vote too.")
@click.option("--remove", default="", metavar="MEMBER", help="Have this one vote no more.")
@admin_option
@json_option
def change_voters(add: str, remove: str, admin: str, as_json: bool) -> None:
    """Who votes, and other voters, one at a time; exit status 1 where one is missing or a change fails."""
    from dunlinloft.cli.handlers import state_table

    sys.exit(state_table.change_voters(admin, add, remove, as_json))


@fleet.command("hand-over")
@click.argument("lease", metavar="DUTY")
@click.option(
    "--to", "successor", default="", help="The member that should hold it; whoever is next where not given."
)
@admin_option
def transfer_lease(lease: str, successor: str, admin: str) -> None:
    """Have the holder hand a duty over."""
    from dunlinloft.cli.handlers import leases

    sys.exit(leases.transfer_lease(admin, lease, successor))
