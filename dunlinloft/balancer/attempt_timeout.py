"""How long an attempt may take before it is timed out."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.latency_baseline import LatencyBaseline

REMAINING_SHARE = 0.95  # of the time left, for an attempt that another may follow
USUAL_DELAY_FACTOR = 8.0  # times the usual delay: the longest that an attempt may take
LATENCY_TARGET_SHARE_MIN = 0.1  # that it is given at least: the node itself may be late by some milliseconds


def attempt_timeout_ms(
    cls: api.RequestClass, baseline: LatencyBaseline, remaining_ms: float, last: bool
) -> float:
    """How long an attempt may take, with `remaining_ms` left to the deadline; `last`: no other can follow.

    Calls to a lost zone that wait out a whole deadline would fill the slots of the tier above (i2750ee).
    """
    if baseline.established:
        share = max(USUAL_DELAY_FACTOR * baseline.usual_share, LATENCY_TARGET_SHARE_MIN)
        longest_ms = share * cls.latency_target_ms
    else:
        longest_ms = remaining_ms
    return min(longest_ms, remaining_ms if last else REMAINING_SHARE * remaining_ms)
