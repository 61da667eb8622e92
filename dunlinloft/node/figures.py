"""Metrics for operators: counters since the process started, and gauges that are read on demand.

Each counter is incremented in one place, where the event happens. Counters never decrease, and a class that
is removed from the settings keeps its counters.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dunlinloft.node.admin_reply import JsonObject

SUCCESS, BUSY, FAILURE = "success", "busy", "failure"
OK_STATUS = 200
BUSY_STATUSES = (429, 503)  # the caller may retry


class NodeMetrics:
    """The metrics of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._calls: dict[str, dict[str, int]] = {}  # by class and outcome
        self.backend_calls = 0
        self.reconfig_ok = 0
        self.reconfig_failed = 0
        self._gauges: dict[str, Callable[[], int]] = {}
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add counters for these classes; existing ones keep theirs."""
        for name in classes:
            self._calls.setdefault(name, {SUCCESS: 0, BUSY: 0, FAILURE: 0})

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Register a gauge, whose value `read` returns."""
        self._gauges[name] = read

    def on_request_completed(self, cls: str, status: int) -> None:
        """Count a request's response, or its failure; unknown classes are not counted."""
        if cls in self._calls:
            self._calls[cls][_outcome(status)] += 1

    def on_attempt_written(self) -> None:
        """Count an attempt that was written completely to a server."""
        self.backend_calls += 1

    def to_json(self) -> JsonObject:
        """Return all metrics in the form of the admin endpoint."""
        return {
            "calls": {name: dict(counts) for name, counts in self._calls.items()},
            "backend_calls": self.backend_calls,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        } | {name: read() for name, read in self._gauges.items()}


def _outcome(status: int) -> str:
    if status == OK_STATUS:
        return SUCCESS
    return BUSY if status in BUSY_STATUSES else FAILURE
