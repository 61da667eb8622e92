"""How well this process itself does: one that is late accuses others more slowly.

After Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017). Here lateness of own timers
counts first: it is seen at once, whether or not anything was asked of anybody.
"""

from __future__ import annotations

MAX_SCORE = 8
LATE_TIMER_MS = 60.0  # a timer so late says that this process does not get its turns
UNRELIABLE_AFTER_LATE_MS = 1_000.0  # so long after such a timer, nothing that ran out is anybody else's fault


class LocalHealth:
    """A score from 0, well, to `MOST`."""

    def __init__(self) -> None:
        self.score = 0
        self._last_late_ms = -1e18
        self.late_timers = 0

    def probe_succeeded(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self, by: int = 1) -> None:
        """Something went wrong that may be this process's own fault."""
        self.score = min(MAX_SCORE, self.score + by)

    def timer_fired(self, due_ms: float, now: float) -> bool:
        """Note when a timer was due that fires now; whether it came in time."""
        if now - due_ms <= LATE_TIMER_MS:
            return True
        self._last_late_ms = now
        self.late_timers += 1
        self.degrade()
        return False

    def is_reliable(self, now: float) -> bool:
        """Whether what ran out lately may be held against others."""
        return now - self._last_late_ms > UNRELIABLE_AFTER_LATE_MS

    def multiplier(self) -> float:
        """What own waits are multiplied with."""
        return 1.0 + self.score
