"""Settings that are read again while the process runs, on SIGHUP or when the seeds are needed."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging

from dunlinloft.exceptions import SettingsError
from dunlinloft.settings import Settings, read_settings
from dunlinloft.transport.clock import now_ms

SEED_RELOAD_INTERVAL_MS = 2_000.0  # minimum time between reads of the file for the seeds


class LiveSettings:
    """The settings as last read.

    Listeners, zone and grace period are taken from them once, at the start; seeds and the bounds of new retry
    budgets are always those of `current`.
    """

    def __init__(self, settings: Settings, read: Callable[[str], Settings] = read_settings) -> None:
        """Start with settings that were already read; `read` reads their file again."""
        self.current = settings
        self._read = read
        self._read_ms = now_ms()

    def seeds(self) -> tuple[str, ...]:
        """The seeds, from a new read of the file if the last one is older than `SEED_RELOAD_INTERVAL_MS`."""
        if now_ms() - self._read_ms > SEED_RELOAD_INTERVAL_MS:
            self.reload()
            self._read_ms = now_ms()
        return self.current.seed_addresses()

    def reload(self) -> None:
        """Read the file again; invalid settings are logged and ignored. Also the SIGHUP handler."""
        path = self.current.path
        if path is None:
            return
        try:
            self.current = self._read(path)
        except SettingsError as error:
            logging.error("event=settings_refused error=%s", error)
