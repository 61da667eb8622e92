"""Local health: whether this process is scheduled in time. An unhealthy process suspects others more slowly.

Based on Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017, section IV.A). In addition, late
timers of this process lower its health, since they show a problem immediately, even without a pending probe.
"""

from __future__ import annotations

MAX_SCORE = 8  # the saturation S of Lifeguard's multiplier, with the paper's value
LATE_TIMER_MS = 60.0  # a timer that fires this late shows that the process was not scheduled
UNRELIABLE_AFTER_LATE_MS = 1_000.0  # time after a late timer during which no time-out counts against others


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`, and the time of the last late timer."""

    def __init__(self) -> None:
        self.score = 0
        self.late_timers = 0
        self._last_late_ms = -1e18

    def probe_succeeded(self) -> None:
        """Lower the score after a probe was acknowledged in time."""
        self.score = max(0, self.score - 1)

    def degrade(self, by: int = 1) -> None:
        """Raise the score after a failure that this process may have caused itself."""
        self.score = min(MAX_SCORE, self.score + by)

    def timer_fired(self, due_ms: float, now: float) -> bool:
        """Record that a timer due at `due_ms` fired; return whether it was in time."""
        if now - due_ms <= LATE_TIMER_MS:
            return True
        self._last_late_ms = now
        self.late_timers += 1
        self.degrade()
        return False

    def is_reliable(self, now: float) -> bool:
        """Return whether recent time-outs may be attributed to other members."""
        return now - self._last_late_ms > UNRELIABLE_AFTER_LATE_MS

    def multiplier(self) -> float:
        """Return the factor for this process's time-outs and probe period."""
        return 1.0 + self.score
