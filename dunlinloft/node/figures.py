"""What the operators' staff read: counts since the process started, and gauges asked for on reading.

Each count is raised in one place, where what it counts happens. Counts never fall, and a class that
has vanished from the settings keeps its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

SUCCESS, BUSY, FAILURE = "success", "busy", "failure"
REFUSALS = (429, 503)  # whoever gets one may try again


class Figures:
    """The counts of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._calls: dict[str, dict[str, int]] = {}
        self.backend_calls = self.reconfig_ok = self.reconfig_failed = 0
        self._gauges: dict[str, Callable[[], int]] = {}
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes from now on, beside those known before."""
        for name in classes:
            self._calls.setdefault(name, {SUCCESS: 0, BUSY: 0, FAILURE: 0})

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Show what `read` says at the time."""
        self._gauges[name] = read

    def ended(self, cls: str, status: int) -> None:
        """A request has got its answer, or failed with one begun; of classes never known nothing is kept."""
        if cls in self._calls:
            outcome = SUCCESS if status == 200 else BUSY if status in REFUSALS else FAILURE
            self._calls[cls][outcome] += 1

    def written(self) -> None:
        """An attempt was written whole to a server."""
        self.backend_calls += 1

    def read(self) -> dict[str, Any]:
        """All of it, in the form that the admin endpoint shows."""
        return {
            "calls": {name: dict(counts) for name, counts in self._calls.items()},
            "backend_calls": self.backend_calls,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        } | {name: read() for name, read in self._gauges.items()}
