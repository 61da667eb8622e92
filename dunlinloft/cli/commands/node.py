"""Commands that start a node or directory process, and that check a configuration file."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import NoReturn

import click

from dunlinloft.cli.exit_codes import ExitCode

CONFIG_VARIABLE = "NODE_CONFIG"  # environment variable with the path of the configuration file


def _replace_process(module: str, config: str | None) -> NoReturn:
    """Replace this process by `python -m MODULE`.

    The result equals a process that the platform starts: nothing of the command line stays in memory.
    """
    if config is not None:
        os.environ[CONFIG_VARIABLE] = config
    os.execv(sys.executable, [sys.executable, "-B", "-m", module])


@click.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def serve(config: str | None) -> None:
    """Run a node with CONFIG, by default the file named by NODE_CONFIG."""
    _replace_process("dunlinloft.node", config)


@click.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def directory(config: str | None) -> None:
    """Run a process of the cell directory with CONFIG, by default the file named by NODE_CONFIG."""
    _replace_process("dunlinloft.node.fleet.directory", config)


@click.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--directory", "of_directory", is_flag=True, help="CONFIG is for a directory process.")
def check(config: str, of_directory: bool) -> None:
    """Report all problems of a node's CONFIG, each with its path in the file."""
    from dunlinloft.cli.handlers.config_check import check_file

    problems = check_file(Path(config), of_directory)
    for problem in problems:
        click.echo(f"{config}: {problem}", err=True)
    if problems:
        sys.exit(ExitCode.CHECK_FAILED)
    process = "a directory process" if of_directory else "a node"
    click.echo(f"{config}: valid for {process}")
