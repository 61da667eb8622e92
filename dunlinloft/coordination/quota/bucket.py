"""The token bucket that a quota's owner keeps for one tenant."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.decaying_sum import DecayingSum
from dunlinloft.coordination.quota.shares import USAGE_DECAY_MS, TenantShares

# Nodes may draw reserves only while the bucket is above this fraction of its capacity.
RESERVE_MIN_LEVEL_FRACTION = 0.3
# Returned to a node as the wait if the tenant's rate is zero, so that none can be computed.
NO_RATE_WAIT_MS = 1_000.0
# Added to each computed wait.
WAIT_MARGIN_MS = 1.0


@dataclass(slots=True)
class QuotaBucket:
    """A tenant's remaining quota, and the part of its reserve pool that nodes may hold.

    Attributes
    ----------
    base_capacity
        Capacity when the reserve pool has been drawn completely.
    reserve_pool
        Maximum amount that all nodes' reserves may hold together. The part that no node holds adds to the
        bucket's capacity.
    level
        Amount currently available.
    reported_reserves
        Reserve by node, as first reported to this bucket.
    unreported_reserves
        Upper bound on the reserves of nodes that have not reported yet.
    drawn_reserves
        Total drawn into reserves since the bucket opened. Never decreases, since the reserves may still hold
        all of it.
    first_attempt_demand
        Amounts recently requested by first attempts, whether granted or not.
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
        """Current capacity, which shrinks as nodes draw on the reserve pool."""
        outstanding = self.unreported_reserves + sum(self.reported_reserves.values()) + self.drawn_reserves
        return self.base_capacity + max(0.0, self.reserve_pool - outstanding)

    def fill(self, amount: float) -> None:
        """Add an amount, up to the capacity."""
        self.level = min(self.capacity, self.level + amount)

    def try_consume(self, amount: float, rate_per_s: float, required_multiple: float = 1.0) -> float:
        """Consume an amount if at least `required_multiple` times the amount is available.

        Returns 0 if the amount was consumed, otherwise the time in ms until the bucket will have refilled
        far enough at `rate_per_s`. A request larger than the capacity requires a full bucket.
        """
        needed = min(required_multiple * amount, self.capacity)
        if self.level >= needed:
            self.level -= amount
            return 0.0
        if not rate_per_s:
            return NO_RATE_WAIT_MS
        return WAIT_MARGIN_MS + 1_000.0 * (needed - self.level) / rate_per_s

    def draw_reserve(self, wanted: float) -> float:
        """Draw up to `wanted` for a node's reserve from the bucket's surplus; return the drawn amount."""
        surplus = self.level - RESERVE_MIN_LEVEL_FRACTION * self.capacity
        drawn = max(0.0, min(wanted, surplus))
        self.level -= drawn
        self.drawn_reserves += drawn
        return drawn
