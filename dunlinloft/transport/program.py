"""How both programs start: flags, logging, settings and the event loop."""

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
STARTUP_DELAY_S = 0.35  # how long a process that nothing waits for leaves the processor to others at a start

_SETTINGS = flags.DEFINE_string(
    "settings", None, f"The settings file; else the one that {SETTINGS_VARIABLE} names."
)


class Program(Protocol):
    """A process built from its settings: `DataPlane` or `ControlPlane`."""

    async def run(self) -> None:
        """Serve until SIGTERM."""


def starts_delayed(settings: Settings) -> bool:
    """Whether nothing waits for this process at a start: a control plane that holds no replicated state."""
    return settings.listeners_config.control_plane is not None and not settings.counts_for_quorum


def run_program(load: Callable[[Settings], Program]) -> None:
    """Run a program to its end; called by the `__main__` module of each.

    Parameters
    ----------
    load:
        Imports what the program needs and builds it. Called once the settings are known, so that settings
        that can't be used are reported without loading the rest.
    """

    def main(arguments: list[str]) -> None:
        """Read the settings, build the program and run it; the command line has no arguments."""
        if len(arguments) > 1:
            raise app.UsageError(f"no argument expected, got {arguments[1]!r}")
        logging.set_verbosity(logging.INFO)
        logging.use_python_logging(quiet=True)
        path = _SETTINGS.value or os.environ.get(SETTINGS_VARIABLE)
        if path is None:
            sys.exit(f"--settings or {SETTINGS_VARIABLE}: the path of a settings file expected")
        try:
            settings = read_settings(path)
        except SettingsError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        if starts_delayed(settings):
            time.sleep(STARTUP_DELAY_S)
        program = load(settings)
        import uvloop

        # Collection is off since `__main__` began. What is alive now lives as long as the process: no later
        # collection has to look at it.
        gc.freeze()
        gc.enable()
        uvloop.run(program.run())

    app.run(main)
