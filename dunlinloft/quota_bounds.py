"""Converts the quota bounds in a deployment's settings to the type that the quota state machines take.

Separate from `dunlinloft.settings`, which imports no other package of the product, so that the transport
layer below the programs may read settings.
"""

from __future__ import annotations

from dunlinloft.coordination.quota.bounds import QuotaBounds
from dunlinloft.settings import TimingBounds


def quota_bounds(timing_bounds: TimingBounds) -> QuotaBounds:
    """Return the interval, overshoot and tolerance of tenants' quotas, as both programs use them."""
    return QuotaBounds(
        timing_bounds.quota_interval_s, timing_bounds.quota_overshoot, timing_bounds.quota_tolerance
    )
