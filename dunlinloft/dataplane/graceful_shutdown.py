"""Graceful shutdown of a node: how long it accepts requests after SIGTERM, and which ones it refuses."""

from __future__ import annotations

from dataclasses import dataclass

# Time until the platform stops sending connections: it needs two readiness polls, one second apart.
READINESS_PROPAGATION_MS = 2_600.0
# Requests still in flight this long before the grace period ends are abandoned, so that the process exits
# before the platform kills it.
EXIT_MARGIN_MS = 600.0


@dataclass(slots=True)
class GracefulShutdown:
    """The state of a shutdown; owned by the process, read by the frontend and by every exchange.

    All times are milliseconds of the monotonic clock.
    """

    grace_period_ms: float
    started_ms: float | None = None

    def start(self, now_ms: float) -> None:
        """Start draining; called once, on SIGTERM."""
        self.started_ms = now_ms

    @property
    def started(self) -> bool:
        """Whether the node is draining: it reports unready and closes each connection after its response."""
        return self.started_ms is not None

    @property
    def readiness_propagation_ms(self) -> float:
        """Duration after SIGTERM within which the platform may still send new connections."""
        return min(READINESS_PROPAGATION_MS, (self.grace_period_ms - EXIT_MARGIN_MS) / 2.0)

    @property
    def deadline_ms(self) -> float:
        """Time at which requests in flight are abandoned and responded to; infinite before SIGTERM."""
        return (
            float("inf")
            if self.started_ms is None
            else self.started_ms + self.grace_period_ms - EXIT_MARGIN_MS
        )

    def refuses(self, request_deadline_ms: float, now_ms: float) -> bool:
        """Whether a request that arrives now is refused, because it may outlast the shutdown.

        Requests that arrive before the platform has stopped sending connections are always accepted; after
        that, requests arrive only on clients' persistent connections.
        """
        if self.started_ms is None or now_ms < self.started_ms + self.readiness_propagation_ms:
            return False
        return self.is_outlasted_by(request_deadline_ms)

    def is_outlasted_by(self, request_deadline_ms: float) -> bool:
        """Whether a request with this deadline may still be in flight when the shutdown abandons it."""
        return request_deadline_ms > self.deadline_ms
