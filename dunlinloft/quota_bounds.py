"""The bounds of the quota rule that a deployment's settings state, in the form of the pure core.

Apart from `dunlinloft.settings`, which imports no other package of the product, so that the transport below
the programs may read settings.
"""

from __future__ import annotations

from dunlinloft.coordination.quota.bounds import QuotaBounds
from dunlinloft.settings import TimingBounds


def quota_bounds(timing_bounds: TimingBounds) -> QuotaBounds:
    """The interval, overshoot and tolerance of tenants' quotas; both programs give them to their quotas."""
    return QuotaBounds(
        timing_bounds.quota_interval_s, timing_bounds.quota_overshoot, timing_bounds.quota_tolerance
    )
