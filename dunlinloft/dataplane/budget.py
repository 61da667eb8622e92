"""The retry budget that all nodes share, and the gate in the retry path."""

from __future__ import annotations

from dunlinloft.balancer.averages import SlidingCount
from dunlinloft.balancer.logic import DelayController

RATIO_SHARE = 0.8  # of the budget's ratio that is used
ALLOWANCE_SHARE = 0.6  # of its allowance, divided evenly among the nodes


class RetryBudget:
    """One service's retries from this node: what it may add up to in a window is its part of the fleet's."""

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._allowance = allowance * ALLOWANCE_SHARE
        self._first = SlidingCount(window_s * 1_000.0)
        self._further = SlidingCount(window_s * 1_000.0)

    def first(self, now_ms: float) -> None:
        """A request came."""
        self._first.add(now_ms)

    def may_send(self, nodes: int, now_ms: float) -> bool:
        """Whether a further send fits; it is counted where it does."""
        most = self._ratio * self._first.count(now_ms) + self._allowance / max(1, nodes)
        if self._further.count(now_ms) + 1 > most:
            return False
        self._further.add(now_ms)
        return True


def gate_allows(controller: DelayController, draw: float, now_ms: float) -> bool:
    """Whether the delay controller grants a retry; `draw` is uniform in 0 to 1. Counts the failure."""
    return draw < controller.retry_probability(now_ms)
