"""Quota bounds, and how the permitted overshoot is divided among bucket, reserves and initial levels."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# Fractions of the permitted excess (`QuotaBounds.permitted_excess`): for the bucket, in addition to the
# burst, and for the reserves of all nodes together.
BUCKET_EXCESS_FRACTION = 0.1
RESERVE_EXCESS_FRACTION = 0.6
# Fractions of the tolerance: for the reserves of all nodes together, and for a new owner's initial level.
RESERVE_TOLERANCE_FRACTION = 0.6
INITIAL_TOLERANCE_FRACTION = 0.2
# Initial level of a new owner's bucket, in seconds of the tenant's rate. An ownership change stops nodes from
# spending the rate for longer than this. An owner that starts before the full wait has passed gets less.
TAKEOVER_LEVEL_S = 0.3
EARLY_TAKEOVER_LEVEL_S = 0.2
FLEET_RESTART_LEVEL_S = 1.0  # nothing was spent while all processes were down


class BucketStart(Enum):
    """The circumstances in which an owner opens a tenant's bucket; they determine its initial level."""

    FLEET_RESTART = auto()  # no node has been up for longer than the owner: all processes were down
    AFTER_LEASE_TIMEOUT = auto()  # waited for the maximum duration of the previous owner's lease
    AFTER_LEASE_EXPIRED = auto()  # a majority confirmed that the previous owner's lease had expired
    REPEATED_TAKEOVER = auto()  # another owner started in the same window, or may have


INITIAL_LEVEL_S = {
    BucketStart.FLEET_RESTART: FLEET_RESTART_LEVEL_S,
    BucketStart.AFTER_LEASE_TIMEOUT: TAKEOVER_LEVEL_S,
    BucketStart.AFTER_LEASE_EXPIRED: EARLY_TAKEOVER_LEVEL_S,
    BucketStart.REPEATED_TAKEOVER: 0.0,
}


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's configured rate limit."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The deployment's limits on how far usage may exceed a quota.

    In any window of `window_s` seconds all nodes together may spend at most
    (1 + `overshoot`) * (rate * `window_s` + burst) + `tolerance`.
    """

    window_s: float
    overshoot: float  # ratio
    tolerance: float  # amount

    def permitted_excess(self, limit: QuotaLimit) -> float:
        """Return the amount by which usage in a window may exceed rate and burst, without the tolerance."""
        return self.overshoot * (limit.rate_per_s * self.window_s + limit.burst)

    def base_capacity(self, limit: QuotaLimit) -> float:
        """Return the capacity of a bucket whose reserve pool has been drawn completely."""
        return limit.burst + BUCKET_EXCESS_FRACTION * self.permitted_excess(limit)

    def reserve_pool(self, limit: QuotaLimit) -> float:
        """Return the maximum amount that the reserves of all nodes may hold together."""
        return (
            RESERVE_EXCESS_FRACTION * self.permitted_excess(limit)
            + RESERVE_TOLERANCE_FRACTION * self.tolerance
        )

    def initial_level(self, limit: QuotaLimit, start: BucketStart) -> float:
        """Return the level of a newly opened bucket for which no previous owner handed over a level.

        This level is part of the overshoot and tolerance permitted per window, which suffice for one new
        owner: any further owner in the same window starts at zero.
        """
        if start is BucketStart.REPEATED_TAKEOVER:
            return 0.0
        level = INITIAL_LEVEL_S[start] * limit.rate_per_s + INITIAL_TOLERANCE_FRACTION * self.tolerance
        return min(level, self.base_capacity(limit))
