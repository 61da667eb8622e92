"""How both programs start: flags, logs, settings, the event loop."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable
from typing import Protocol

from absl import app, flags, logging

from dunlinloft.settings import VARIABLE, Settings, SettingsError, read_settings

BAD_SETTINGS = 2
GIVE_WAY_S = 0.35  # that a process on which little waits leaves the processor to others at a start

_SETTINGS = flags.DEFINE_string("settings", None, f"The settings file; else the one that {VARIABLE} names.")


class Program(Protocol):
    """A process made of its settings."""

    async def run(self) -> None:
        """Serve until SIGTERM."""


def gives_way(settings: Settings) -> bool:
    """Whether a process has something to do that can wait: a control plane that holds no state."""
    return settings.listeners_config.control_plane is not None and not settings.counts_for_quorum


def start(load: Callable[[Settings], Program]) -> None:
    """Run a program to its end; `load` imports what it needs, once the settings are known."""

    def main(arguments: list[str]) -> None:
        if len(arguments) > 1:
            raise app.UsageError(f"no argument expected, got {arguments[1]!r}")
        logging.set_verbosity(logging.INFO)
        logging.use_python_logging(quiet=True)
        path = _SETTINGS.value or os.environ.get(VARIABLE)
        if path is None:
            sys.exit(f"--settings or {VARIABLE}: the path of a settings file expected")
        try:
            settings = read_settings(path)
        except SettingsError as error:
            print(error, file=sys.stderr)
            sys.exit(BAD_SETTINGS)
        if gives_way(settings):
            time.sleep(GIVE_WAY_S)
        program = load(settings)
        import uvloop

        gc.freeze()
        gc.enable()
        uvloop.run(program.run())

    app.run(main)
