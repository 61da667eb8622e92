"""How well this process itself does: one that is late accuses others more slowly.

After Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017). Here lateness of own timers
counts first: it is seen at once, whether or not anything was asked of anybody.
"""

from __future__ import annotations

MOST = 8
LATE_MS = 60.0  # a timer so late says that this process does not get its turns
SPOILT_MS = 1_000.0  # so long after such a timer, nothing that ran out is anybody else's fault


class Health:
    """A score from 0, well, to `MOST`."""

    def __init__(self) -> None:
        self.score = 0
        self._late_ms = -1e18
        self.lates = 0

    def better(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        """Something went wrong that may be this process's own fault."""
        self.score = min(MOST, self.score + by)

    def turn(self, due_ms: float, now: float) -> bool:
        """Note when a timer was due that fires now; whether it came in time."""
        if now - due_ms <= LATE_MS:
            return True
        self._late_ms = now
        self.lates += 1
        self.worse()
        return False

    def sound(self, now: float) -> bool:
        """Whether what ran out lately may be held against others."""
        return now - self._late_ms > SPOILT_MS

    def factor(self) -> float:
        """What own waits are multiplied with."""
        return 1.0 + self.score
