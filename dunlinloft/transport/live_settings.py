"""The settings file while a process runs: seeds may change in it with or without a signal."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging

from dunlinloft.exceptions import SettingsError
from dunlinloft.settings import Settings, read_settings
from dunlinloft.transport.clock import now_ms

SEED_RELOAD_INTERVAL_MS = 2_000.0  # between reads of the file while the seeds are in use


class LiveSettings:
    """The settings as read last.

    What is fixed at the start (listeners, zone, grace period) is taken from them once; seeds and the bounds
    of new retry budgets are those of `current`.
    """

    def __init__(self, settings: Settings, read: Callable[[str], Settings] = read_settings) -> None:
        """Begin with the settings that were read at the start; `read` reads their file again."""
        self.current = settings
        self._read = read
        self._read_ms = now_ms()

    def seeds(self) -> tuple[str, ...]:
        """The seeds as they are in the file now; reads it again where that is due."""
        if now_ms() - self._read_ms > SEED_RELOAD_INTERVAL_MS:
            self.reload()
            self._read_ms = now_ms()
        return self.current.seed_addresses()

    def reload(self) -> None:
        """Read the file again (also the SIGHUP handler); settings that can't be read change nothing."""
        path = self.current.path
        if path is None:
            return
        try:
            self.current = self._read(path)
        except SettingsError as error:
            logging.error("event=settings_refused error=%s", error)
