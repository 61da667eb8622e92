"""How the excess that the rule permits in a window is divided: bucket, reserves, first level of an owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# Fractions of the permitted excess (`QuotaBounds.permitted_excess`). The bucket holds the first beside the
# burst, all nodes' reserves together the second.
BUCKET_EXCESS_FRACTION = 0.1
RESERVE_EXCESS_FRACTION = 0.6
# Fractions of the tolerance: of all reserves together, and of a new owner's first level.
RESERVE_TOLERANCE_FRACTION = 0.6
INITIAL_TOLERANCE_FRACTION = 0.2
# A new owner's first level, in seconds of the tenant's rate: while ownership changed, nodes spent none of the
# rate for longer than that. An owner that starts before the full wait gets less.
TAKEOVER_LEVEL_S = 0.3
EARLY_TAKEOVER_LEVEL_S = 0.2
FLEET_RESTART_LEVEL_S = 1.0  # all processes had been down, so nothing was spent meanwhile


class BucketStart(Enum):
    """Under which circumstances an owner opens a tenant's bucket, which decides its first level."""

    FLEET_RESTART = auto()  # no node runs longer than the owner: all had been down
    AFTER_LEASE_TIMEOUT = auto()  # the previous owner's lease was waited for in full
    AFTER_LEASE_EXPIRED = auto()  # a majority showed that the previous owner's lease had expired
    REPEATED_TAKEOVER = auto()  # another owner began within the same window, or may have


INITIAL_LEVEL_S = {
    BucketStart.FLEET_RESTART: FLEET_RESTART_LEVEL_S,
    BucketStart.AFTER_LEASE_TIMEOUT: TAKEOVER_LEVEL_S,
    BucketStart.AFTER_LEASE_EXPIRED: EARLY_TAKEOVER_LEVEL_S,
    BucketStart.REPEATED_TAKEOVER: 0.0,
}


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit, as the operators' configuration states it."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The rule on quotas, as the deployment states it.

    In any window of `window_s` seconds all nodes together may spend
    (1 + `overshoot`) * (rate * `window_s` + burst) + `tolerance`.
    """

    window_s: float
    overshoot: float  # ratio
    tolerance: float  # amount

    def permitted_excess(self, limit: QuotaLimit) -> float:
        """Return by how much a window may exceed rate and burst, apart from the tolerance."""
        return self.overshoot * (limit.rate_per_s * self.window_s + limit.burst)

    def base_capacity(self, limit: QuotaLimit) -> float:
        """Return the capacity of a bucket while nodes have drawn the full reserve pool."""
        return limit.burst + BUCKET_EXCESS_FRACTION * self.permitted_excess(limit)

    def reserve_pool(self, limit: QuotaLimit) -> float:
        """Return the most that all nodes' reserves may hold together."""
        return (
            RESERVE_EXCESS_FRACTION * self.permitted_excess(limit)
            + RESERVE_TOLERANCE_FRACTION * self.tolerance
        )

    def initial_level(self, limit: QuotaLimit, start: BucketStart) -> float:
        """Return the level that a bucket opens with where no previous owner handed one over.

        That level comes out of what the rule permits beyond rate and burst, which is enough for one owner in
        a window: a second one begins with nothing.
        """
        if start is BucketStart.REPEATED_TAKEOVER:
            return 0.0
        level = INITIAL_LEVEL_S[start] * limit.rate_per_s + INITIAL_TOLERANCE_FRACTION * self.tolerance
        return min(level, self.base_capacity(limit))
