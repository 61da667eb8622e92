"""Local health: whether this process is scheduled in time; one that is not suspects others more slowly.

After Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017, section IV.A). Here the lateness of
this process's own timers counts first: it shows at once, whether or not a probe is pending.
"""

from __future__ import annotations

MAX_SCORE = 8  # the saturation S of Lifeguard's multiplier, which the paper sets to 8 too
LATE_TIMER_MS = 60.0  # a timer that fires this late shows that the process was not scheduled
UNRELIABLE_AFTER_LATE_MS = 1_000.0  # for so long after a late timer no time-out counts against others


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`, and when a timer was last late."""

    def __init__(self) -> None:
        self.score = 0
        self.late_timers = 0
        self._last_late_ms = -1e18

    def probe_succeeded(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self, by: int = 1) -> None:
        """Something failed that may be this process's own fault."""
        self.score = min(MAX_SCORE, self.score + by)

    def timer_fired(self, due_ms: float, now: float) -> bool:
        """Record that a timer due at `due_ms` fires now; whether it is in time."""
        if now - due_ms <= LATE_TIMER_MS:
            return True
        self._last_late_ms = now
        self.late_timers += 1
        self.degrade()
        return False

    def is_reliable(self, now: float) -> bool:
        """Whether recent time-outs may be taken for a failure of other members."""
        return now - self._last_late_ms > UNRELIABLE_AFTER_LATE_MS

    def multiplier(self) -> float:
        """Factor for this process's own time-outs and probe period."""
        return 1.0 + self.score
