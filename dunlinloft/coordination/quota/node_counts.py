"""The fewest nodes that any standing share which is still valid may have been computed with.

A share is at most a multiple of an even split among the nodes that its granter knew. While nodes join, an
owner that knows more of them must not bound earlier grants by its own, larger number. Times are in
milliseconds of a steady clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from dunlinloft.coordination.quota.shares import SHARE_ACCOUNTING_MS

# Longest time by which another replica learns of a node later: two exchanges of nodes between replicas.
NODE_DISCOVERY_MS = 2_000.0
HISTORY_MS = SHARE_ACCOUNTING_MS + NODE_DISCOVERY_MS


class _CountSample(NamedTuple):
    """A number of nodes, and until when it was the present one."""

    nodes: int
    until_ms: float


class NodeCountHistory:
    """The numbers of nodes of the last `HISTORY_MS`; owned by `QuotaOwner`."""

    def __init__(self, started_ms: float) -> None:
        """Begin at the start of the process: what was there before is not known."""
        self._started_ms = started_ms
        self._counts: deque[_CountSample] = deque()  # rising numbers: only those that are the smallest since

    def record(self, nodes: int, now_ms: float) -> None:
        """Take the present number of nodes."""
        while self._counts and self._counts[-1].nodes >= nodes:
            self._counts.pop()
        self._counts.append(_CountSample(nodes, now_ms))
        while self._counts[0].until_ms < now_ms - HISTORY_MS:
            self._counts.popleft()

    def min_count(self, now_ms: float) -> int:
        """Return the smallest number; 1 while the history does not reach back far enough."""
        if not self._counts or now_ms - self._started_ms < HISTORY_MS:
            return 1
        return max(1, self._counts[0].nodes)

    def has_discovered_nodes(self, now_ms: float) -> bool:
        """Return whether the process has been up for long enough to have learned of all nodes."""
        return now_ms - self._started_ms >= NODE_DISCOVERY_MS
