"""The retry budget that all nodes share, and the gate in the retry path."""

from __future__ import annotations

from collections import deque

from nickelbridge.logic import DelayController

RATIO_SHARE = 0.8  # of the budget's ratio that is used
ALLOWANCE_SHARE = 0.6  # of its allowance, divided evenly among the nodes


class RetryBudget:
    """One service's retries from this node: what it may add up to in a window is its part of the fleet's."""

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._allowance = allowance * ALLOWANCE_SHARE
        self._window_ms = window_s * 1_000.0
        self._first: deque[float] = deque()
        self._further: deque[float] = deque()

    def first(self, now_ms: float) -> None:
        """A request came."""
        self._first.append(now_ms)
        self._forget(self._first, now_ms)

    def may_send(self, nodes: int, now_ms: float) -> bool:
        """Whether a further send fits; it is counted where it does."""
        self._forget(self._first, now_ms)
        self._forget(self._further, now_ms)
        if len(self._further) + 1 > self._ratio * len(self._first) + self._allowance / max(1, nodes):
            return False
        self._further.append(now_ms)
        return True

    def _forget(self, times: deque[float], now_ms: float) -> None:
        while times and times[0] < now_ms - self._window_ms:
            times.popleft()


def gate_allows(controller: DelayController, draw: float, now_ms: float) -> bool:
    """Whether the delay controller grants a retry; `draw` is uniform in 0 to 1. Counts the failure."""
    return draw < controller.retry_probability(now_ms)
