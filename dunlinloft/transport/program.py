"""Startup of both programs: flags, logging, settings and the event loop."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable
from typing import Protocol

from absl import app, flags, logging

from dunlinloft.exceptions import SettingsError
from dunlinloft.settings import SETTINGS_VARIABLE, Settings, read_settings

EXIT_BAD_SETTINGS = 2
STARTUP_DELAY_S = 0.35  # for a process that nothing waits for, to leave the CPU to those starting beside it

_SETTINGS = flags.DEFINE_string(
    "settings", None, f"Path of the settings file; defaults to the value of {SETTINGS_VARIABLE}."
)


class Program(Protocol):
    """A process built from its settings: `DataPlane` or `ControlPlane`."""

    async def run(self) -> None:
        """Serve until SIGTERM."""


def starts_delayed(settings: Settings) -> bool:
    """Whether nothing waits for the start of this process: a control plane without replicated state."""
    return settings.listeners_config.control_plane is not None and not settings.counts_for_quorum


def run_program(load: Callable[[Settings], Program]) -> None:
    """Run a program until it ends; called by its `__main__` module.

    Parameters
    ----------
    load:
        Imports the program's modules and builds it. Called after the settings were read, so that invalid
        settings are reported without loading the rest.
    """

    def main(arguments: list[str]) -> None:
        """Read the settings, build the program and run it; positional arguments are rejected."""
        if len(arguments) > 1:
            raise app.UsageError(f"no argument expected, got {arguments[1]!r}")
        logging.set_verbosity(logging.INFO)
        logging.use_python_logging(quiet=True)
        path = _SETTINGS.value or os.environ.get(SETTINGS_VARIABLE)
        if path is None:
            sys.exit(f"no settings file given; set --settings or {SETTINGS_VARIABLE} to its path")
        try:
            settings = read_settings(path)
        except SettingsError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        if starts_delayed(settings):
            time.sleep(STARTUP_DELAY_S)
        program = load(settings)
        import uvloop

        # `__main__` disabled garbage collection. Objects alive now live as long as the process, so they are
        # excluded from all later collections.
        gc.freeze()
        gc.enable()
        uvloop.run(program.run())

    app.run(main)
