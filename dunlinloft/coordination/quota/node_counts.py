"""Recent node counts, and the minimum from which any standing share that is still valid may derive.

A share is at most a multiple of an even split among the nodes known to the owner that granted it. While nodes
join, an owner that knows more nodes must not derive the upper bound of earlier grants from its own, larger
count. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from dunlinloft.coordination.quota.shares import SHARE_ACCOUNTING_MS

# Maximum delay until all replicas know a node: two rounds of node exchange between replicas.
NODE_DISCOVERY_MS = 2_000.0
HISTORY_MS = SHARE_ACCOUNTING_MS + NODE_DISCOVERY_MS


class _CountSample(NamedTuple):
    """A node count, and the time when it was last recorded."""

    nodes: int
    until_ms: float


class NodeCountHistory:
    """The node counts of the last `HISTORY_MS`; owned by `QuotaOwner`."""

    def __init__(self, started_ms: float) -> None:
        """Start an empty history at the start of the process; earlier counts are unknown."""
        self._started_ms = started_ms
        self._counts: deque[_CountSample] = deque()  # ascending; each is the minimum recorded since

    def record(self, nodes: int, now_ms: float) -> None:
        """Record the current node count."""
        while self._counts and self._counts[-1].nodes >= nodes:
            self._counts.pop()
        self._counts.append(_CountSample(nodes, now_ms))
        while self._counts[0].until_ms < now_ms - HISTORY_MS:
            self._counts.popleft()

    def min_count(self, now_ms: float) -> int:
        """Return the minimum node count; 1 while the process is younger than `HISTORY_MS`."""
        if not self._counts or now_ms - self._started_ms < HISTORY_MS:
            return 1
        return max(1, self._counts[0].nodes)

    def has_discovered_nodes(self, now_ms: float) -> bool:
        """Return whether the process has been up long enough to know all nodes."""
        return now_ms - self._started_ms >= NODE_DISCOVERY_MS
