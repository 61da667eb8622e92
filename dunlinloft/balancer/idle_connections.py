"""Learns the idle time after which connections are closed instead of reused.

A request that is sent on a connection which was silently dropped is lost.
"""

from __future__ import annotations

import math

from dunlinloft.balancer.interface import Result

IDLE_LOSS_FACTOR = 0.5  # lowers the trusted idle time after losses on idle connections
IDLE_SUCCESS_FACTOR = 1.03  # raises the trusted idle time after each answer on an idle connection


class IdleConnections:
    """Learns one trusted idle time for the connections to all servers. Owned by `Balancer`.

    It is shared, as connections that are dropped while idle have been seen at all servers alike.
    """

    __slots__ = ("_lost_ms", "_trusted_ms")

    def __init__(self) -> None:
        self._trusted_ms = math.inf
        self._lost_ms = math.inf  # idle time of a recent loss, until a connection idle for as long has served

    def stale(self, idle_ms: float) -> bool:
        """Return whether a connection that was idle for this long should be closed rather than used."""
        return idle_ms > self._trusted_ms

    def record_result(self, idle_ms: float, result: Result) -> None:
        """Lower the trusted idle time after two losses, unless an answer after as long came between them."""
        if result in (Result.TIMEOUT, Result.RESET):
            self._trusted_ms = min(self._trusted_ms, IDLE_LOSS_FACTOR * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Result.SERVED:
            self._trusted_ms *= IDLE_SUCCESS_FACTOR
            self._lost_ms = math.inf if idle_ms >= self._lost_ms else self._lost_ms
