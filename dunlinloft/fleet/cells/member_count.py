"""Counts the processes of a service in cells that share a budget.

A share may shrink at once and grows with a delay, as in `fleet.member_count`. A greater total counts at once.
A smaller total counts only after the directory has reported it, completely and within the age bound, for the
whole grace period, and only if it is more than half of the previous total, so at most one side of a network
partition increases its share. The fallback, while the directory is unavailable or its reports are too old, is
that no share grows and the configured number is the lower bound.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.fleet.cells.partition import UNDIVIDED, CellPartition
from dunlinloft.fleet.cells.service_totals import ServiceTotals
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS, MemberCount, Position


@dataclass(frozen=True, slots=True)
class PendingDecrease:
    """A smaller total, reported since `since_ms`; `max_members` is the greatest one reported since then."""

    since_ms: float
    max_members: int


class CellMemberCount:
    """Counts the processes of a service from the members of its own cell and the directory's totals.

    Owned by the host (`node.fleet.cells`), which passes the live members to `observe` and reads `position`.

    Parameters
    ----------
    own: name of this process.
    number, nodes: its configured position.
    grace_ms: how long a missing process still counts, and a smaller total has to last.
    """

    def __init__(self, own: str, number: int, nodes: int, grace_ms: float = MISSING_MEMBER_GRACE_MS) -> None:
        self._configured = Position(number, nodes)
        self._grace_ms = grace_ms
        self._own_cell = MemberCount(own, 0, 1, grace_ms)
        self._total = nodes
        self._pending_decrease: PendingDecrease | None = None
        self._preceding_members = 0
        self.uses_fallback = True

    def reconfigure(self, number: int, nodes: int) -> None:
        """Apply a changed configuration."""
        self._configured = Position(number, nodes)
        self._pending_decrease = None
        self._total = max(self._total, nodes)

    def total(self) -> int:
        """Return how many processes of all cells count."""
        return self._total

    def cell(self) -> int:
        """Return how many processes of this cell count."""
        return self._own_cell.total()

    def counted_names(self) -> frozenset[str]:
        """Return the names of the processes of this cell that count."""
        return self._own_cell.counted_names()

    def retain(self, is_ours: Callable[[str], bool]) -> None:
        """Drop processes that left this cell by a split or a merge; their own cell counts them."""
        self._own_cell.retain(is_ours)
        self._pending_decrease = None

    def observe(
        self, alive: set[str], now: float, totals: ServiceTotals | None = None,
        partition: CellPartition = UNDIVIDED,
    ) -> None:  # fmt: skip
        """Update from the live members of this cell and the totals of the service, if there are any."""
        self._own_cell.observe(alive, now)
        own = self._own_cell.total()
        members = totals.members(own, partition) if totals is not None else own
        self.uses_fallback = totals is None or not totals.is_usable(partition, now)
        if totals is not None:
            self._preceding_members = totals.response.preceding_members
        if self.uses_fallback or members >= self._total:
            self._pending_decrease = None
            self._total = max(self._total, members, self._configured.nodes if self.uses_fallback else 0)
            return
        pending = self._pending_decrease or PendingDecrease(now, members)
        pending = PendingDecrease(pending.since_ms, max(pending.max_members, members))
        if now - pending.since_ms >= self._grace_ms and 2 * pending.max_members > self._total:
            self._total = pending.max_members
            self._pending_decrease = None
        else:
            self._pending_decrease = pending

    def position(self) -> Position:
        """Return this process's position among all that count; the configured one if the totals agree."""
        if self._total == self._configured.nodes:
            return self._configured
        return Position(
            (self._preceding_members + self._own_cell.position().number) % self._total, self._total
        )
