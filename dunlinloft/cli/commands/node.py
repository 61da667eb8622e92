"""Commands that start a process of the node in service, and the check of its configuration file."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import NoReturn

import click

from dunlinloft.cli.exit_codes import ExitCode

CONFIG_VARIABLE = "NODE_CONFIG"  # names the configuration file to the node's process


def _replace_process(module: str, config: str | None) -> NoReturn:
    """Become `python -m MODULE`.

    The process is the same as one that the platform starts: nothing of the command line stays in memory.
    """
    if config is not None:
        os.environ[CONFIG_VARIABLE] = config
    os.execv(sys.executable, [sys.executable, "-B", "-m", module])


@click.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def serve(config: str | None) -> None:
    """Run a node from CONFIG, or from the file that NODE_CONFIG names."""
    _replace_process("dunlinloft.node", config)


@click.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def directory(config: str | None) -> None:
    """Run a process of the directory of cells from CONFIG, or from the file that NODE_CONFIG names."""
    _replace_process("dunlinloft.node.fleet.directory", config)


@click.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--directory", "of_directory", is_flag=True, help="It is for a process of the directory.")
def check(config: str, of_directory: bool) -> None:
    """Say all that is wrong with a node's CONFIG, each with its path in the file."""
    from dunlinloft.cli.handlers.config_check import check_file

    problems = check_file(Path(config), of_directory)
    for problem in problems:
        click.echo(f"{config}: {problem}", err=True)
    if problems:
        sys.exit(ExitCode.CHECK_FAILED)
    process = "a process of the directory" if of_directory else "a node"
    click.echo(f"{config}: {process} can be started with it")
