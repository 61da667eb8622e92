"""Options shared by several commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

Command = TypeVar("Command", bound=Callable[..., Any])


def _reject_renamed(context: click.Context, option: click.Parameter, value: str | None) -> None:
    if value is not None:
        raise click.UsageError("--door is called --admin now")


def admin_option(command: Command) -> Command:
    """Add `--admin`, the address of a node's admin endpoint.

    The option's former name `--door` is rejected with a hint rather than accepted.
    """
    former = click.option("--door", hidden=True, expose_value=False, is_eager=True, callback=_reject_renamed)
    current = click.option("--admin", required=True, help="A node's `management` address, as host:port.")
    return former(current(command))


def json_option(command: Command) -> Command:
    """Add `--json`, which prints the endpoint's document unabridged."""
    return click.option("--json", "as_json", is_flag=True, help="Print the full JSON document.")(command)


def reason_option(command: Command) -> Command:
    """Add `--why`, the operator's reason, which is recorded with a change."""
    return click.option("--why", "reason", default="", help="Recorded with user name and time.")(command)
