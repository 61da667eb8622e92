"""Polls a node's readiness as the front does, and decides whether the front admits the node."""

from __future__ import annotations

from dataclasses import dataclass

READINESS_POLL_S = 0.1
WITHDRAWAL_DELAY_MS = 200.0  # time for which connections continue after a node's first negative readiness
READY = 200  # the HTTP status of a node that is ready
UNREACHABLE = 0  # in place of a status


@dataclass(slots=True)
class FrontWatch:
    """The front's view of one node. Times are in milliseconds.

    Attributes
    ----------
    unreachable_delay_ms
        After which a node that doesn't answer is withdrawn.
    admitted
        Whether the front sends the node new connections.
    """

    unreachable_delay_ms: float
    admitted: bool = True
    _unreachable_since_ms: float | None = None
    _not_ready_since_ms: float | None = None

    def on_status(self, status: int, now_ms: float) -> None:
        """Handle the result of one poll: an HTTP status, or `UNREACHABLE`."""
        if status == READY:
            self.admitted = True
            self._unreachable_since_ms = None
            self._not_ready_since_ms = None
        elif status == UNREACHABLE:
            if self._unreachable_since_ms is None:
                self._unreachable_since_ms = now_ms
            if now_ms - self._unreachable_since_ms >= self.unreachable_delay_ms:
                self.admitted = False
        else:
            if self._not_ready_since_ms is None:
                self._not_ready_since_ms = now_ms
            if now_ms - self._not_ready_since_ms >= WITHDRAWAL_DELAY_MS:
                self.admitted = False
