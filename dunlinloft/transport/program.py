"""How both programs start: flags, logs, settings, the event loop."""

from __future__ import annotations

import gc
import os
import sys
from typing import Protocol

import uvloop
from absl import app, flags, logging

from dunlinloft.settings import VARIABLE, Settings, SettingsError, read_settings

BAD_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, f"The settings file; else the one that {VARIABLE} names.")


class Program(Protocol):
    """A process made of its settings."""

    def __init__(self, settings: Settings) -> None: ...

    async def run(self) -> None:
        """Serve until SIGTERM."""


def start(program: type[Program]) -> None:
    """Run a program to its end."""

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
        gc.freeze()
        gc.enable()
        uvloop.run(program(settings).run())

    app.run(main)
