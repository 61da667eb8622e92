"""What was used of late: a sum that fades. Times are in milliseconds of a steady clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

USED_MS = 4_000.0  # time constant


@dataclass(slots=True)
class Use:
    """A fading sum of amounts."""

    amount: float = 0.0
    at_ms: float = 0.0

    def count(self, amount: float, now_ms: float) -> None:
        """Add an amount."""
        self.amount = self.at(now_ms) + amount
        self.at_ms = now_ms

    def at(self, now_ms: float) -> float:
        """What is left of the sum."""
        return self.amount * math.exp((self.at_ms - now_ms) / USED_MS)

    def per_s(self, now_ms: float) -> float:
        """The rate at which amounts came of late."""
        return self.at(now_ms) / (USED_MS / 1_000.0)
