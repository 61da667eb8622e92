"""How long a client has waited for a request already, over all its tries.

A try tells only what time is left. Of a kind of request all first tries tell the same, the most; what is
missing from that has passed. A request that can't be in time any more gives way at its server to those that
can.
"""

from __future__ import annotations

from boltons.cacheutils import LRU

ROUTES_MOST = 16_384  # kinds of request remembered
LATE_PRIORITY = 4  # added to the priority of what is late anyway; 9 is the least urgent


class Lateness:
    """The most time that was left to a request of each route."""

    def __init__(self) -> None:
        self._most_ms: LRU[str, float] = LRU(ROUTES_MOST)

    def waited_ms(self, route: str, left_ms: float) -> float:
        """How long a client has waited when a try comes that has so much time left."""
        most_ms = self._most_ms.get(route, 0.0)
        if left_ms > most_ms:
            self._most_ms[route] = left_ms
            return 0.0
        return most_ms - left_ms


def priority_of(priority: int, waited_ms: float, aim_ms: float) -> int:
    """The priority that a server is told, 0 to 9."""
    late = waited_ms >= aim_ms
    return min(9, max(0, priority) + LATE_PRIORITY * late)
