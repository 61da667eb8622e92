"""The command group `release`: staged releases of servers."""

from __future__ import annotations

import sys

import click

from dunlinloft.cli.options import admin_option, json_option, reason_option


@click.group()
def release() -> None:
    """Staged releases: begin, watch, halt and take back, by way of the ledger holder's admin endpoint."""


@release.group("start")
def start_release() -> None:
    """Begin a release."""


@start_release.command("servers")
@click.option("--since", default="", metavar="TIME", help="Servers started from then on are new.")
@click.option("--names", default="", metavar="A,B,...", help="These servers are new.")
@click.option("--stages", default="", metavar="1,5,25,50,100", help="Percent of first sends, stage by stage.")
@click.option("--bake", default="", metavar="30s", help="How long each stage is looked at, at least.")
@reason_option
@admin_option
def start_server_release(since: str, names: str, stages: str, bake: str, reason: str, admin: str) -> None:
    """Let servers of a new build have traffic in stages.

    TIME is `now`, Unix seconds or ISO 8601. Begin before the first of them starts.
    """
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.start(admin, since, names, stages, bake, reason))


@release.command("status")
@admin_option
@json_option
def show_status(admin: str, as_json: bool) -> None:
    """How far it is and on what evidence; exit status 1 where it is halted or taken back."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.show_status(admin, as_json))


@release.command("watch")
@admin_option
def watch_status(admin: str) -> None:
    """The same, live, until Ctrl-C."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.watch_status(admin))


@release.command("history")
@admin_option
def show_history(admin: str) -> None:
    """Releases that have ended, how and why."""
    from dunlinloft.cli.handlers import releases

    sys.exit(releases.show_history(admin))


def _add_control_command(action: str, help: str) -> None:
    """Add a command that sends one action to the release controller."""

    @release.command(action, help=help)
    @reason_option
    @admin_option
    def send_action(reason: str, admin: str) -> None:
        """`help` is what operators read of it."""
        from dunlinloft.cli.handlers import releases

        sys.exit(releases.control(admin, action, reason))


_add_control_command("pause", "Stay in this stage; harm is still looked for.")
_add_control_command("resume", "Go on after a pause or halt.")
_add_control_command("skip", "Go on to the next stage at once, where no harm was seen.")
_add_control_command("halt", "Freeze the share.")
_add_control_command("abort", "Take the new servers back to nothing.")
