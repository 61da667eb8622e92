"""Standing shares of one tenant's rate: which part of it each node may spend without the quota's owner.

The shares that are out never add up to more than one. A share ends on its holder's clock
`SHARE_VALID_MS` after the holder asked for what the owner last answered; the owner counts it as out for
`SHARE_KEPT_MS` after it heard that. A share that shrinks counts with its old size until the holder tells
the new one; what an earlier owner may have given counts until all nodes have said what they hold. Shares
follow what nodes spend. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dunlinloft.coordination.recent_use import Use

SHARE_VALID_MS = 15_000.0
SHARE_KEPT_MS = 20_000.0  # longer: a message may be on its way for long, and clocks differ
EVEN_PART = 0.25  # of the rate that is shared evenly, so that a node whose traffic begins has something
MOST_X = 3.0  # times the even part that a share is at most, so that one unknown share is bounded


@dataclass(slots=True)
class _Holder:
    """One node's share."""

    use: Use
    told: float = 0.0  # the last answer's
    held: float = 0.0  # as the node said last; what counts is the larger
    heard_ms: float = 0.0

    @property
    def out(self) -> float:
        """What it may be spending."""
        return max(self.told, self.held)


class TenantShares:
    """The shares of one tenant's quota, at its owner."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._alone: set[str] = set()
        self._use = Use()
        self._out = 0.0  # of all holders
        self._accounted = 0.0  # of an earlier owner's shares: those whose holders were heard
        self.unknown_most = 1.0  # of what an earlier owner gave to nodes that have not said what they hold

    def heard(self, node: str, held: float, alone: bool, now_ms: float) -> None:
        """A node said what it holds, and whether it spends that without this owner."""
        holder = self._holders.get(node)
        if holder is None:
            holder = self._holders[node] = _Holder(Use())
            self._accounted += held
        before = holder.out
        holder.held = held
        (self._alone.add if alone else self._alone.discard)(node)
        holder.heard_ms = now_ms
        self._out += holder.out - before

    def give(self, node: str, spent: float, nodes: int, now_ms: float) -> float:
        """The share that a node holds from now on; it has just been heard, and spent an amount."""
        holder = self._holders[node]
        holder.use.count(spent, now_ms)
        self._use.count(spent, now_ms)
        before = holder.out
        free = 1.0 - (self._out - before) - self._unknown()
        # What it holds already may stay: that is counted as out in any case.
        holder.told = max(0.0, min(self._wanted(holder, nodes, now_ms), max(free, holder.held)))
        self._out += holder.out - before
        return holder.told

    def _wanted(self, holder: _Holder, nodes: int, now_ms: float) -> float:
        whole = self._use.at(now_ms)
        even = 1.0 / nodes
        by_use = holder.use.at(now_ms) / whole if whole else even
        return min(MOST_X * even, EVEN_PART * even + (1.0 - EVEN_PART) * by_use)

    def spent_elsewhere(self, disconnected: Iterable[str]) -> float:
        """The part of the rate that may be spent without the owner now, by these nodes and unknown ones."""
        holders = (self._holders.get(node) for node in self._alone.union(disconnected))
        out = sum(holder.out for holder in holders if holder is not None)
        return min(1.0, out + self._unknown())

    def _unknown(self) -> float:
        """Shares of an earlier owner, at nodes that have not been heard yet."""
        return max(0.0, min(self.unknown_most, 1.0 - self._accounted))

    def forget(self, now_ms: float) -> None:
        """Drop shares that have ended at their holders; to be called now and then."""
        oldest_ms = now_ms - SHARE_KEPT_MS
        for node in [name for name, holder in self._holders.items() if holder.heard_ms < oldest_ms]:
            del self._holders[node]
            self._alone.discard(node)
        self._out = sum(holder.out for holder in self._holders.values())
