"""Among how many processes of a service in cells a budget is shared.

A share may shrink at once and grows late, as in `fleet.member_count`: a greater total counts at once; a
smaller one counts only once the directory has reported it, complete and within the bound on ages, for the
whole grace time, and then only where it is more than half of what counted before. So of two sides of a
network partition one at most takes more. While the directory does not answer, or what it reports is too old,
no share grows, and the configured number is the floor: that is the fallback.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.fleet.cells.partition import UNDIVIDED, CellPartition
from dunlinloft.fleet.cells.service_totals import ServiceTotals
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS, MemberCount, Position


@dataclass(frozen=True, slots=True)
class PendingDecrease:
    """The total has been smaller since `since_ms`; `max_members` is the greatest reported since then."""

    since_ms: float
    max_members: int


class CellMemberCount:
    """Counts the processes of a service, of which it sees those of its own cell and the directory's totals.

    Owned by the host (`node.fleet.cells`), which reports who is alive (`observe`) and reads `position`.

    Parameters
    ----------
    own: name of this process.
    number, nodes: its position by its configuration.
    grace_ms: how long a missing process counts on, and a smaller total has to last.
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
        """Take a changed configuration."""
        self._configured = Position(number, nodes)
        self._pending_decrease = None
        self._total = max(self._total, nodes)

    def total(self) -> int:
        """How many processes count, in all cells."""
        return self._total

    def cell(self) -> int:
        """How many processes count in this cell."""
        return self._own_cell.total()

    def counted_names(self) -> frozenset[str]:
        """The names of those of this cell that count."""
        return self._own_cell.counted_names()

    def retain(self, is_ours: Callable[[str], bool]) -> None:
        """Drop all that are not of this cell after a split or a merge: their own cell counts them."""
        self._own_cell.retain(is_ours)
        self._pending_decrease = None

    def observe(
        self, alive: set[str], now: float, totals: ServiceTotals | None = None,
        partition: CellPartition = UNDIVIDED,
    ) -> None:  # fmt: skip
        """Take in who is alive in this cell, and the totals of the service where there are any."""
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
        """This process's position among all that count; the configured one where it names as many."""
        if self._total == self._configured.nodes:
            return self._configured
        return Position(
            (self._preceding_members + self._own_cell.position().number) % self._total, self._total
        )
