"""The token bucket of one tenant at the owner of its quota."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.decaying_sum import DecayingSum
from dunlinloft.coordination.quota.shares import USAGE_DECAY_MS, TenantShares

# A reserve is filled only while the bucket is above this fraction of its capacity.
RESERVE_MIN_LEVEL_FRACTION = 0.3
# The wait that a node is given where its tenant has no rate, so that none can be computed.
NO_RATE_WAIT_MS = 1_000.0
# Added to each computed wait.
WAIT_MARGIN_MS = 1.0


@dataclass(slots=True)
class QuotaBucket:
    """What is left of a tenant's quota, and what of its reserve pool nodes may hold.

    Attributes
    ----------
    base_capacity
        Capacity while nodes have drawn the full reserve pool.
    reserve_pool
        What nodes' reserves may hold together; what no node holds adds to the bucket's capacity.
    level
        What is left now.
    reported_reserves
        By node: the reserve that it reported when this bucket opened.
    unreported_reserves
        What nodes may hold that have not reported yet.
    drawn_reserves
        What was drawn into reserves since the bucket opened. None of it is ever taken off, as reserves may
        still be full of it.
    first_attempt_demand
        Amounts requested by first attempts recently, granted or not.
    """

    base_capacity: float
    reserve_pool: float
    level: float
    shares: TenantShares
    reported_reserves: dict[str, float] = field(default_factory=dict)
    unreported_reserves: float = 0.0
    drawn_reserves: float = 0.0
    first_attempt_demand: DecayingSum = field(default_factory=lambda: DecayingSum(USAGE_DECAY_MS))

    @property
    def capacity(self) -> float:
        """What the bucket may hold now: less, the more of the pool nodes may hold."""
        outstanding = self.unreported_reserves + sum(self.reported_reserves.values()) + self.drawn_reserves
        return self.base_capacity + max(0.0, self.reserve_pool - outstanding)

    def fill(self, amount: float) -> None:
        """Add what came in, up to the capacity."""
        self.level = min(self.capacity, self.level + amount)

    def try_consume(self, amount: float, rate_per_s: float, required_multiple: float = 1.0) -> float:
        """Take an amount if `required_multiple` times as much is there.

        Returns 0 where the amount was taken, else the time in ms until it will be there at `rate_per_s`.
        A request larger than the capacity needs a full bucket.
        """
        needed = min(required_multiple * amount, self.capacity)
        if self.level >= needed:
            self.level -= amount
            return 0.0
        if not rate_per_s:
            return NO_RATE_WAIT_MS
        return WAIT_MARGIN_MS + 1_000.0 * (needed - self.level) / rate_per_s

    def draw_reserve(self, wanted: float) -> float:
        """Take up to `wanted` for a node's reserve, of what is not short here; return the amount."""
        surplus = self.level - RESERVE_MIN_LEVEL_FRACTION * self.capacity
        drawn = max(0.0, min(wanted, surplus))
        self.level -= drawn
        self.drawn_reserves += drawn
        return drawn
