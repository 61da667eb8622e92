"""The command group `release`: staged releases of servers."""

from __future__ import annotations

import sys

import click

from dunlinloft.cli.options import admin_option, json_option, reason_option


@click.group()
def release() -> None:
    """Manage staged releases through the admin endpoint of the node that holds the `ledger` lease."""


@release.group("start")
def start_release() -> None:
    """Start a release."""


@start_release.command("servers")
@click.option("--since", default="", metavar="TIME", help="Servers started at or after TIME are new.")
@click.option("--names", default="", metavar="A,B,...", help="These servers are new.")
@click.option(
    "--stages", default="", metavar="1,5,25,50,100", help="Percent of first attempts in each stage."
)
@click.option("--bake", default="", metavar="30s", help="Minimum time to observe each stage.")
@reason_option
@admin_option
def start_server_release(since: str, names: str, stages: str, bake: str, reason: str, admin: str) -> None:
    """Send traffic to servers of a new build in stages.

    TIME is `now`, Unix seconds or ISO 8601. Start the release before the first of the new servers starts.
    """
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.start(admin, since, names, stages, bake, reason))


@release.command("status")
@admin_option
@json_option
def show_status(admin: str, as_json: bool) -> None:
    """Show progress and evidence; exit status 1 if halted, rolled back or the controller is not heard."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.show_status(admin, as_json))


@release.command("watch")
@admin_option
def watch_status(admin: str) -> None:
    """Show the release, refreshed until Ctrl-C."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.watch_status(admin))


@release.command("history")
@admin_option
def show_history(admin: str) -> None:
    """Show completed releases with their outcome and reason."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.show_history(admin))


def _add_control_command(action: str, help: str) -> None:
    """Add a command that sends one action to the release controller."""

    @release.command(action, help=help)
    @reason_option
    @admin_option
    def send_action(reason: str, admin: str) -> None:
        """Send the action; the decorator's `help` is the command's help text."""
        from dunlinloft.cli.handlers import releases

        sys.exit(releases.control(admin, action, reason))


_add_control_command("pause", "Stay in this stage; regressions are still detected.")
_add_control_command("resume", "Continue after a pause or halt.")
_add_control_command("skip", "Advance to the next stage now, unless a regression was detected.")
_add_control_command("halt", "Freeze the new servers' traffic share.")
_add_control_command("abort", "Roll back: reduce the new servers' traffic share to zero.")
