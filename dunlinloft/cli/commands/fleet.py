"""The command group `fleet`: one node's view of the fleet, read from its admin endpoint."""

from __future__ import annotations

import sys

import click

from dunlinloft.cli.options import admin_option, json_option


@click.group()
def fleet() -> None:
    """Inspect a fleet of nodes through one node's admin endpoint."""


@fleet.command("members")
@admin_option
@json_option
def show_members(admin: str, as_json: bool) -> None:
    """Show the membership; exit status 1 if views differ or two machines share a name."""
    from dunlinloft.cli.handlers import fleet_members

    sys.exit(fleet_members.show_members(admin, as_json))


@fleet.command("watch")
@admin_option
def watch_members(admin: str) -> None:
    """Show the membership, refreshed until Ctrl-C."""
    from dunlinloft.cli.handlers import fleet_members

    sys.exit(fleet_members.watch_members(admin))


@fleet.command("cell")
@admin_option
@json_option
def show_cell(admin: str, as_json: bool) -> None:
    """Show a node's cell and what it knows of its service; exit status 1 if the fallback is active."""
    from dunlinloft.cli.handlers import cells

    sys.exit(cells.show_cell(admin, as_json))


@fleet.command("directory")
@click.option("--service", default="", help="Only this service's cells.")
@admin_option
@json_option
def show_directory(admin: str, service: str, as_json: bool) -> None:
    """Show the cells that a directory process knows; exit status 1 if one is stale or it still learns."""
    from dunlinloft.cli.handlers import cells

    sys.exit(cells.show_directory(admin, service, as_json))


@fleet.command("duties")
@admin_option
@json_option
def show_leases(admin: str, as_json: bool) -> None:
    """Show who holds the lease of each singleton role (duty); exit status 1 if one has no holder."""
    from dunlinloft.cli.handlers import leases

    sys.exit(leases.show_leases(admin, as_json))


@fleet.command("state")
@admin_option
@json_option
def show_shared_state(admin: str, as_json: bool) -> None:
    """Show the state that members replicate, with ages; exit status 1 if a fallback is active."""
    from dunlinloft.cli.handlers import shared_state

    sys.exit(shared_state.show_shared_state(admin, as_json))


@fleet.command("ledger")
@click.option(
    "--set", "entries", multiple=True, metavar="KEY=VALUE", help="Entry to write, such as limit/TENANT=120."
)
@admin_option
@json_option
def update_state_table(entries: tuple[str, ...], admin: str, as_json: bool) -> None:
    """Write to and show the replicated state table; exit status 1 if a write is not committed."""
    from dunlinloft.cli.handlers import state_table

    sys.exit(state_table.update_state_table(admin, entries, as_json))


@fleet.command("voters")
@click.option("--add", default="", metavar="MEMBER", help="Member to add to the voters.")
@click.option("--remove", default="", metavar="MEMBER", help="Member to remove from the voters.")
@admin_option
@json_option
def change_voters(add: str, remove: str, admin: str, as_json: bool) -> None:
    """Add or remove a voter, then show all; exit status 1 if one is missing or outdated or a change fails."""
    from dunlinloft.cli.handlers import state_table

    sys.exit(state_table.change_voters(admin, add, remove, as_json))


@fleet.command("hand-over")
@click.argument("lease", metavar="DUTY")
@click.option(
    "--to", "successor", default="", help="Member that takes the lease; the node chooses one by default."
)
@admin_option
def transfer_lease(lease: str, successor: str, admin: str) -> None:
    """Transfer the lease of a singleton role (duty) to another member."""
    from dunlinloft.cli.handlers import leases

    sys.exit(leases.transfer_lease(admin, lease, successor))
