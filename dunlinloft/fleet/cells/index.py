"""What a directory's process makes of the reports that it holds: cells by service, and sums of them.

Reports overlap while a cell is cut or merges, and two members may speak for one cell for a while. A sum may
be too great then and never too small, as parts of budgets follow it: of several words for one cell the
greatest counts, of a cell and its parts whichever is more, and what was replaced goes only once what
replaces it has been known for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.fleet.cells.cut import Cut, path
from dunlinloft.fleet.cells.messages import MOST_ADDRESSES, Find, Summary
from dunlinloft.fleet.cells.totals import BOUND_MS

SETTLE_MS = 15_000.0  # since cells last changed, before a service's sum counts as whole
FORGET_MS = 2 * 3_600_000.0  # a cell that nobody reported for so long has ended; regions come back sooner

MOST_CELLS = 200_000  # that are known; beyond that no other is taken in, and no sum is sure
MOST_VOICES = 16  # members that speak for one cell; beyond that the oldest word goes
MOST_COUNTED = 100_000  # members of a cell: whoever says more is broken
MOST_ADDRESS = 64  # characters of an address

Key = tuple[str, int, int]  # region, depth, bits


def sound(summary: Summary) -> bool:
    """Whether a summary can be one at all: one that can't would spoil sums, or answers that carry it on."""
    return (
        Cut(summary.epoch, summary.depth, summary.bits).sound()
        and 0 <= summary.members <= summary.counted <= MOST_COUNTED
        and len(summary.addresses) <= MOST_ADDRESSES
        and all(len(address) <= MOST_ADDRESS for address in summary.addresses)
    )


@dataclass(slots=True)
class Voice:
    """A member's latest word for a cell."""

    summary: Summary
    born_ms: float


@dataclass(slots=True)
class Cell:
    """One cell, by what was said of it."""

    region: str
    cut: Cut
    first_ms: float
    voices: dict[str, Voice] = field(default_factory=dict)

    def youngest(self) -> Voice:
        return max(self.voices.values(), key=lambda voice: voice.born_ms)

    def age_ms(self, now: float) -> float:
        """Of the youngest word."""
        return now - self.youngest().born_ms

    def fresh(self, now: float) -> bool:
        return self.age_ms(now) <= BOUND_MS

    def counted(self, now: float) -> int:
        """Of those that count, the most that a fresh word says, else the youngest."""
        return max(summary.counted for summary in self._told(now))

    def members(self, now: float) -> int:
        """Of those there, in the same way: one that is cut off speaks for itself alone."""
        return max(summary.members for summary in self._told(now))

    def _told(self, now: float) -> list[Summary]:
        fresh = [v.summary for v in self.voices.values() if now - v.born_ms <= BOUND_MS]
        return fresh or [self.youngest().summary]

    def addresses(self) -> list[str]:
        """Some members' addresses, of the youngest word first."""
        voices = sorted(self.voices.values(), key=lambda voice: -voice.born_ms)
        found = dict.fromkeys(a for voice in voices for a in voice.summary.addresses)
        return list(found)[:MOST_ADDRESSES]


@dataclass(slots=True)
class Service:
    """The cells of one service, and when their set last changed."""

    cells: dict[Key, Cell] = field(default_factory=dict)
    changed_ms: float = -1e18


@dataclass(slots=True)
class Sums:
    """What a member of one cell is told of its service."""

    cut: Cut = field(default_factory=Cut)
    addresses: list[str] = field(default_factory=list)
    total: int = 0
    own: int = -1
    before: int = 0
    cells: int = 0
    sure: bool = False
    age_ms: float = 0.0
    sibling: int = -1
    sibling_epoch: int = 0
    sibling_addresses: list[str] = field(default_factory=list)


def tally(cells: list[Cell], depth: int, bits: int, now: float) -> int:
    """How many members count under a prefix, never too few."""
    own = max((cell.counted(now) for cell in cells if cell.cut.depth == depth), default=0)
    below = [cell for cell in cells if cell.cut.depth > depth]
    if not below:
        return own
    halves: tuple[list[Cell], list[Cell]] = ([], [])
    for cell in below:
        halves[cell.cut.bits >> (cell.cut.depth - depth - 1) & 1].append(cell)
    return max(own, sum(tally(half, depth + 1, 2 * bits + n, now) for n, half in enumerate(halves) if half))


def covers(cells: list[Cell], whole: Cut) -> bool:
    """Whether these parts of a cell make it up."""
    if any(cell.cut.contains(whole) for cell in cells):
        return True
    if not cells:
        return False
    halves = (Cut(0, whole.depth + 1, 2 * whole.bits + n) for n in (0, 1))
    return all(
        covers([c for c in cells if half.contains(c.cut) or c.cut.contains(half)], half) for half in halves
    )


class Index:
    """All services."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.count = 0  # of cells

    def take(
        self, service: str, region: str, name: str, summary: Summary, born_ms: float, now: float
    ) -> None:
        """A member's word for its cell."""
        if not sound(summary):
            return
        cut = Cut(summary.epoch, summary.depth, summary.bits)
        cell = self._cell(service, region, cut, now)
        if cell is None:
            return
        if cut.epoch > cell.cut.epoch:
            cell.cut = cut
        cell.voices[name] = Voice(summary, born_ms)
        if len(cell.voices) > MOST_VOICES:
            del cell.voices[min(cell.voices, key=lambda who: cell.voices[who].born_ms)]

    def _cell(self, service: str, region: str, cut: Cut, now: float) -> Cell | None:
        key = region, cut.depth, cut.bits
        known = self.services.get(service)
        if known is not None and key in known.cells:
            return known.cells[key]
        if self.count >= MOST_CELLS:
            return None
        known = self.services.setdefault(service, Service())
        cell = known.cells[key] = Cell(region, cut, now)
        self.count += 1
        known.changed_ms = now
        return cell

    def prune(self, now: float) -> None:
        """Let go of what is over: gone, replaced, or unheard of for too long."""
        for name, service in list(self.services.items()):
            for key, cell in list(service.cells.items()):
                if cell.fresh(now):
                    for who in [who for who, v in cell.voices.items() if now - v.born_ms > BOUND_MS]:
                        del cell.voices[who]
                if self._over(service, cell, now):
                    del service.cells[key]
                    self.count -= 1
                    service.changed_ms = now
            if not service.cells:
                del self.services[name]

    def _over(self, service: Service, cell: Cell, now: float) -> bool:
        if cell.members(now) == 0 or cell.age_ms(now) > FORGET_MS:
            return True
        newer = [
            other for other in service.cells.values()
            if other.region == cell.region and other.cut.key() > cell.cut.key()
            and now - other.first_ms >= SETTLE_MS
        ]  # fmt: skip
        if any(other.cut.contains(cell.cut) and other is not cell for other in newer):
            return True
        return covers(
            [other for other in newer if cell.cut.contains(other.cut) and other is not cell], cell.cut
        )

    def sums(self, find: Find, now: float) -> Sums:
        """What this asker is told."""
        service = self.services.get(find.service)
        mine = Cut(find.epoch, find.depth, find.bits)
        sums = Sums(mine)
        if service is None:
            return sums
        here = [cell for cell in service.cells.values() if cell.region == find.region]
        regions = sorted({cell.region for cell in service.cells.values()})
        by_region = {
            region: tally([c for c in service.cells.values() if c.region == region], 0, 0, now)
            for region in regions
        }
        sums.total, sums.cells = sum(by_region.values()), len(service.cells)
        sums.before = sum(count for region, count in by_region.items() if region < find.region)
        start = mine.bits << (32 - mine.depth)
        sums.before += sum(c.counted(now) for c in here if c.cut.bits << (32 - c.cut.depth) < start)
        needed = [cell for cell in service.cells.values() if not self._replaced(service, cell, now)]
        sums.age_ms = max((cell.age_ms(now) for cell in needed), default=0.0)
        whole = self.count < MOST_CELLS and sums.age_ms <= BOUND_MS
        sums.sure = whole and now - service.changed_ms >= SETTLE_MS
        self._point(sums, here, mine, path(find.name))
        self._siblings(sums, here, mine, now)
        exact = service.cells.get((find.region, mine.depth, mine.bits))
        alone = all(c is exact or not (c.cut.contains(mine) or mine.contains(c.cut)) for c in here)
        if exact is not None and alone:
            sums.own = exact.counted(now)
        return sums

    def _replaced(self, service: Service, cell: Cell, now: float) -> bool:
        """Whether it is stale and a newer cell, heard of lately, overlaps it."""
        return not cell.fresh(now) and any(
            other.region == cell.region and other.cut.key() > cell.cut.key() and other.fresh(now)
            and (other.cut.contains(cell.cut) or cell.cut.contains(other.cut))
            for other in service.cells.values()
        )  # fmt: skip

    def _point(self, sums: Sums, here: list[Cell], mine: Cut, askers_path: int) -> None:
        """The asker's cell, or what shows that its own was cut."""
        holding = [cell for cell in here if cell.cut.holds(askers_path)]
        best = max(holding, key=lambda c: c.cut.key(), default=None)
        if best is not None:
            sums.addresses = best.addresses()
        parts = [cell for cell in here if mine.contains(cell.cut)]
        best = best or max(parts, key=lambda c: c.cut.key(), default=None)
        if best is not None and (best.cut.key() > mine.key() or not mine.holds(askers_path)):
            sums.cut = best.cut

    def _siblings(self, sums: Sums, here: list[Cell], mine: Cut, now: float) -> None:
        if not mine.depth:
            return
        sibling = Cut(0, mine.depth, mine.bits ^ 1)
        cells = [c for c in here if sibling.contains(c.cut) or c.cut.contains(sibling)]
        if not cells:
            sums.sibling = 0 if sums.sure else -1
        elif len(cells) == 1 and cells[0].cut.cell() == sibling.cell() and cells[0].fresh(now):
            sums.sibling = cells[0].members(now)
            sums.sibling_epoch, sums.sibling_addresses = cells[0].cut.epoch, cells[0].addresses()[:3]
