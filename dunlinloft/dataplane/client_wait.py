"""Estimates how long a client has already waited for a request, over all its attempts.

An attempt carries only its remaining time (`X-Deadline-Ms`). First attempts on a route all carry the same
value, which is the largest; the difference to it is the time that has elapsed. A request that can no longer
meet its latency target gets a lower priority at its server, in favour of requests that still can.
"""

from __future__ import annotations

from boltons.cacheutils import LRU

MAX_ROUTES = 16_384  # routes whose largest remaining time is remembered
LATE_PRIORITY_PENALTY = 4  # added after the latency target is missed; larger values are less urgent
LOWEST_PRIORITY = 9  # the least urgent value of the `Priority` header


class ClientWaitEstimator:
    """Remembers the largest remaining time seen on each route; owned by the frontend."""

    def __init__(self) -> None:
        self._largest_remaining_ms: LRU[str, float] = LRU(MAX_ROUTES)

    def waited_ms(self, route: str, remaining_ms: float) -> float:
        """Estimate how long the client had waited before an attempt arrived with `remaining_ms` left."""
        largest_ms = self._largest_remaining_ms.get(route, 0.0)
        if remaining_ms > largest_ms:
            self._largest_remaining_ms[route] = remaining_ms
            return 0.0
        return largest_ms - remaining_ms


def effective_priority(priority: int, waited_ms: float, latency_target_ms: float) -> int:
    """The priority to send to the server (0 to 9, 0 most urgent), lowered for requests past their target."""
    late = waited_ms >= latency_target_ms
    return min(LOWEST_PRIORITY, max(0, priority) + LATE_PRIORITY_PENALTY * late)
