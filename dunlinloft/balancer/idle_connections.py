"""From which idle time on connections are closed before use: what is sent on a dropped one is lost."""

from __future__ import annotations

import math

from dunlinloft.balancer.interface import Result

IDLE_LOSS_FACTOR = 0.5  # on the idle time that is trusted, after a loss on such a connection
IDLE_SUCCESS_FACTOR = 1.03  # on it, after each answer on a connection that had been idle


class IdleConnections:
    """Learns how long connections may be idle, over all servers (Rosario fresh-big). Owned by `Balancer`."""

    __slots__ = ("_lost_ms", "_trusted_ms")

    def __init__(self) -> None:
        self._trusted_ms = math.inf
        self._lost_ms = math.inf  # idle time of the last loss, until one that was idle as long is served

    def stale(self, idle_ms: float) -> bool:
        """Whether a connection that was idle for so long is better closed than used."""
        return idle_ms > self._trusted_ms

    def record_result(self, idle_ms: float, result: Result) -> None:
        """Two losses after an idle time, with nothing served after as long a one, lower what is trusted."""
        if result in (Result.TIMEOUT, Result.RESET):
            self._trusted_ms = min(self._trusted_ms, IDLE_LOSS_FACTOR * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Result.SERVED:
            self._trusted_ms *= IDLE_SUCCESS_FACTOR
            self._lost_ms = math.inf if idle_ms >= self._lost_ms else self._lost_ms
