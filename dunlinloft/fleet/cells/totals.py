"""What one member knows of its whole service, and among how many budgets are parted.

A part of a budget may shrink at once and grows late, as in `fleet.member_count`: what is seen more counts at
once; less counts only once the directory has said so, whole and within its bound, for as long as the census
holds the missing, and then only where it is more than half of what counted before. So of two parts of a
fleet that can't see each other one at most takes more. While the directory is silent, or what it says too
old, nothing grows, and the file's number is the least that counts: that is the fallback.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.fleet.cells.cut import Cut
from dunlinloft.fleet.cells.messages import Found
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS, MemberCount

BOUND_MS = 30_000.0  # what the directory says may be so old
DRIFT = 0.02  # rates of two clocks differ by so much at most
WHOLE = Cut()


@dataclass(slots=True)
class Totals:
    """The directory's answer, as of when it was asked for."""

    cell: tuple[int, int]  # of the asker
    asked_ms: float
    found: Found

    def age_ms(self, now: float) -> float:
        """No less than the age of the oldest that it rests on."""
        return self.found.age_ms + (now - self.asked_ms) * (1.0 + DRIFT)

    def good(self, cut: Cut, now: float) -> bool:
        """Whether it may be acted upon: of this cell, whole, and within the bound."""
        return self.found.sure and self.cell == cut.cell() and self.age_ms(now) <= BOUND_MS

    def members(self, own: int, cut: Cut) -> int:
        """Of the service, where so many count in the own cell, which is this one by now."""
        found = self.found
        apart = found.own >= 0 and self.cell == cut.cell()
        return max(own, found.total - found.own + own if apart else found.total)


class CellCensus:
    """The place of one process among those of its kind, of whom it sees its cell's and a sum."""

    def __init__(self, own: str, number: int, nodes: int, hold_ms: float = MISSING_MEMBER_GRACE_MS) -> None:
        self._file, self._hold_ms = (number, nodes), hold_ms
        self._inner = MemberCount(own, 0, 1, hold_ms)
        self._base = nodes
        self._less: tuple[float, int] | None = None  # since when fewer are told, and the most told since
        self._before = 0
        self.fallback = True

    def reconfigure(self, number: int, nodes: int) -> None:
        """The file says something else now."""
        self._file, self._less = (number, nodes), None
        self._base = max(self._base, nodes)

    def total(self) -> int:
        """How many count, in all cells."""
        return self._base

    def cell(self) -> int:
        """How many count in this cell."""
        return self._inner.total()

    def counted_names(self) -> frozenset[str]:
        """The names of those of this cell that count."""
        return self._inner.counted_names()

    def retain(self, mine: Callable[[str], bool]) -> None:
        """The cell was cut or merged: who is not of it is missed no more, as its own cell counts it."""
        self._inner.retain(mine)
        self._less = None

    def observe(self, here: set[str], now: float, totals: Totals | None = None, cut: Cut = WHOLE) -> None:
        """Take in who is there now in this cell, and what is known of the others."""
        self._inner.observe(here, now)
        members = totals.members(self._inner.total(), cut) if totals is not None else self._inner.total()
        self.fallback = totals is None or not totals.good(cut, now)
        if totals is not None:
            self._before = totals.found.before
        if self.fallback or members >= self._base:
            self._less = None
            self._base = max(self._base, members, self._file[1] if self.fallback else 0)
            return
        since, most = self._less or (now, members)
        self._less = since, max(most, members)
        if now - since >= self._hold_ms and 2 * self._less[1] > self._base:
            self._base, self._less = self._less[1], None

    def position(self) -> tuple[int, int]:
        """This process's number, from 0, and how many there are; the file's where that says as many."""
        if self._base == self._file[1]:
            return self._file
        return (self._before + self._inner.position()[0]) % self._base, self._base
