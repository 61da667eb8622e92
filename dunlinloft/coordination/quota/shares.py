"""Standing shares of one tenant's rate: the fraction that each node may spend without the quota's owner.

The outstanding shares never add up to more than one:

- A share expires, by the node's clock, `SHARE_LIFETIME_MS` after the node sent the request that the owner
  answered last. The owner counts it as outstanding for `SHARE_ACCOUNTING_MS` after it received that request.
- A reduced share counts with its old size until the node reports the new one.
- Shares that a previous owner may have granted count until every node has reported what it holds.

Shares follow the nodes' usage. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dunlinloft.coordination.decaying_sum import DecayingSum

SHARE_LIFETIME_MS = 15_000.0
SHARE_ACCOUNTING_MS = 20_000.0  # longer than the lifetime, for message delay and clock drift
# Time constant with which recent usage decays.
USAGE_DECAY_MS = 4_000.0
# Fraction of the rate that is split evenly, so that a node with new traffic gets a share.
EVEN_SPLIT_FRACTION = 0.25
# A share is at most this multiple of an even split, which bounds the shares that were not reported.
MAX_SHARE_MULTIPLE = 3.0


@dataclass(slots=True)
class _NodeShare:
    """One node's share as last granted by the owner and as last reported by the node."""

    usage: DecayingSum
    granted: float = 0.0
    reported: float = 0.0
    reported_ms: float = 0.0

    @property
    def outstanding(self) -> float:
        """Upper bound on the node's share: a grant may not have arrived or been reported yet."""
        return max(self.granted, self.reported)


class TenantShares:
    """The owner's accounting of the shares of one tenant's rate.

    Attributes
    ----------
    max_unreported
        Upper bound on the shares that a previous owner granted to nodes that have not reported; set by the
        owner.
    """

    def __init__(self) -> None:
        self._by_node: dict[str, _NodeShare] = {}
        self._autonomous: set[str] = set()
        self._usage = DecayingSum(USAGE_DECAY_MS)  # of all nodes
        self._outstanding = 0.0  # of all nodes
        self._accounted = 0.0  # sum of the shares in nodes' first reports: granted by a previous owner
        self.max_unreported = 1.0

    def on_report(self, node: str, share: float, autonomous: bool, now_ms: float) -> None:
        """Handle a node's report of the share it holds and whether it spends the share without this owner."""
        node_share = self._by_node.get(node)
        if node_share is None:
            node_share = _NodeShare(DecayingSum(USAGE_DECAY_MS))
            self._by_node[node] = node_share
            self._accounted += share
        outstanding_before = node_share.outstanding
        node_share.reported = share
        if autonomous:
            self._autonomous.add(node)
        else:
            self._autonomous.discard(node)
        node_share.reported_ms = now_ms
        self._outstanding += node_share.outstanding - outstanding_before

    def grant(self, node: str, spent: float, node_count: int, now_ms: float, may_grow: bool = True) -> float:
        """Record usage of a node that has just reported, and return the share that it holds from now on.

        `may_grow` is False while the owner does not know yet how many nodes there are.
        """
        node_share = self._by_node[node]
        node_share.usage.add(spent, now_ms)
        self._usage.add(spent, now_ms)
        outstanding_before = node_share.outstanding
        unallocated = 1.0 - (self._outstanding - outstanding_before) - self._unreported_share()
        # The node may keep the share it holds, which counts as outstanding in any case.
        max_share = max(unallocated, node_share.reported) if may_grow else node_share.reported
        node_share.granted = max(0.0, min(self._target_share(node_share, node_count, now_ms), max_share))
        self._outstanding += node_share.outstanding - outstanding_before
        return node_share.granted

    def _target_share(self, node_share: _NodeShare, node_count: int, now_ms: float) -> float:
        total_usage = self._usage.value(now_ms)
        even_share = 1.0 / node_count
        usage_share = node_share.usage.value(now_ms) / total_usage if total_usage else even_share
        return min(
            MAX_SHARE_MULTIPLE * even_share,
            EVEN_SPLIT_FRACTION * even_share + (1.0 - EVEN_SPLIT_FRACTION) * usage_share,
        )

    def autonomous_fraction(self, disconnected: Iterable[str]) -> float:
        """Return the fraction of the rate that nodes may currently spend without the owner.

        This is the sum of the shares of `disconnected` nodes, of nodes that reported autonomous spending, and
        of nodes that have not reported.
        """
        node_shares = (self._by_node.get(node) for node in self._autonomous.union(disconnected))
        # fsum is exact, so the result does not depend on the iteration order of the set.
        outstanding = math.fsum(each.outstanding for each in node_shares if each is not None)
        return min(1.0, outstanding + self._unreported_share())

    def _unreported_share(self) -> float:
        """Return the share that a previous owner may have granted to nodes that have not reported yet."""
        return max(0.0, min(self.max_unreported, 1.0 - self._accounted))

    def expire(self, now_ms: float) -> None:
        """Drop shares that have expired at their nodes; called periodically."""
        oldest_ms = now_ms - SHARE_ACCOUNTING_MS
        expired = [node for node, share in self._by_node.items() if share.reported_ms < oldest_ms]
        for node in expired:
            del self._by_node[node]
            self._autonomous.discard(node)
        self._outstanding = sum(node_share.outstanding for node_share in self._by_node.values())
