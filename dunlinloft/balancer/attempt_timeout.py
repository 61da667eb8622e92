"""The timeout of an attempt."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.latency_baseline import LatencyBaseline

REMAINING_SHARE = 0.95  # maximum share of the remaining time for an attempt that a retry may follow
USUAL_DELAY_FACTOR = 8.0  # maximum timeout, as a multiple of the usual delay
# Minimum of that limit, as a share of the latency target: the node itself may be a few milliseconds late.
LATENCY_TARGET_SHARE_MIN = 0.1


def attempt_timeout_ms(
    cls: api.RequestClass, baseline: LatencyBaseline, remaining_ms: float, last: bool
) -> float:
    """Return the timeout of an attempt.

    It is limited to a multiple of the usual delay: calls to a failed zone that wait until their deadline
    would fill the concurrency slots of the tier above (incident i2750ee).

    Parameters
    ----------
    remaining_ms
        Time left until the deadline.
    last
        Whether no retry can follow.
    """
    if baseline.established:
        share = max(USUAL_DELAY_FACTOR * baseline.usual_share, LATENCY_TARGET_SHARE_MIN)
        longest_ms = share * cls.latency_target_ms
    else:
        longest_ms = remaining_ms
    return min(longest_ms, remaining_ms if last else REMAINING_SHARE * remaining_ms)
