"""An exponentially decaying sum, which estimates recent usage and its rate."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingSum:
    """A sum of amounts that decays with a time constant; `amount` is its value at `updated_ms`.

    Times are in milliseconds of a monotonic clock.
    """

    time_constant_ms: float
    amount: float = 0.0
    updated_ms: float = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Add an amount used now."""
        self.amount = self.value(now_ms) + amount
        self.updated_ms = now_ms

    def value(self, now_ms: float) -> float:
        """Return the decayed sum at this time."""
        return self.amount * math.exp((self.updated_ms - now_ms) / self.time_constant_ms)

    def rate_per_s(self, now_ms: float) -> float:
        """Return the recent rate of added amounts, per second."""
        return self.value(now_ms) / (self.time_constant_ms / 1_000.0)
