"""The limits on retries: the budget that all nodes share, and the delay controller."""

from __future__ import annotations

from dunlinloft.balancer.averages import SlidingWindowCounter
from dunlinloft.balancer.delay_controller import DelayController

# Safety factors on the configured budget, so that the fleet stays below it (`docs/system.md`).
RATIO_SAFETY_FACTOR = 0.8  # of the ratio of retries to requests
ALLOWANCE_SAFETY_FACTOR = 0.6  # of the allowance, which is divided evenly among the nodes


class RetryBudget:
    """Limits this node's retries to one service to the node's share of the fleet's budget.

    Within a sliding window the fleet may retry `ratio` times its requests plus `allowance`.
    """

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._allowance = allowance * ALLOWANCE_SAFETY_FACTOR
        self._requests = SlidingWindowCounter(window_s * 1_000.0)
        self._retries = SlidingWindowCounter(window_s * 1_000.0)

    def on_request(self, now_ms: float) -> None:
        """Count a client's request."""
        self._requests.add(now_ms)

    def acquire_retry(self, node_count: int, now_ms: float) -> bool:
        """Whether the budget allows one more retry; if so, counts it."""
        limit = self._ratio * self._requests.count(now_ms) + self._allowance / max(1, node_count)
        if self._retries.count(now_ms) + 1 > limit:
            return False
        self._retries.add(now_ms)
        return True


def retry_granted(controller: DelayController, sample: float, now_ms: float) -> bool:
    """Whether the delay controller grants a retry, for a uniform sample in [0, 1); counts the failure."""
    return sample < controller.retry_probability(now_ms)
