"""The index of a directory process: the reported cells by service, and sums over them.

Reports overlap while a cell is split or merged, and two members may temporarily report for one cell. A sum
may then be too great but never too small, as shares of budgets depend on it. So the greatest of several
reports for one cell counts, the greater of a cell and its subsets counts, and a replaced cell is dropped only
after its replacement has been known for some time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.fleet.cells.messages import MAX_SUMMARY_ADDRESSES, CellSummary, LookupRequest
from dunlinloft.fleet.cells.partition import PATH_BITS, CellPartition, name_path
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS

STABILIZATION_MS = 15_000.0  # after a change of its cells, before a service's sum counts as complete
# A cell without reports for so long has ended; partitioned regions are expected to return sooner.
CELL_RETENTION_MS = 2 * 3_600_000.0
NEVER_CHANGED_MS = -1e18  # long before any reading of the clock

MAX_CELLS = 200_000  # in the index; when it is full no cell is added, and no sum is reliable
MAX_REPORTERS = 16  # per cell; beyond that the oldest report is dropped
MAX_COUNTED_MEMBERS = 100_000  # per cell; a greater number is invalid
MAX_ADDRESS_LENGTH = 64  # characters
MAX_SIBLING_ADDRESSES = 3  # in one response

CellKey = tuple[str, int, int]  # region, depth, bits


def is_valid_summary(summary: CellSummary) -> bool:
    """Whether all fields are in range; others would corrupt sums, or the responses that contain them."""
    return (
        CellPartition(summary.epoch, summary.depth, summary.bits).is_valid()
        and 0 <= summary.members <= summary.counted_members <= MAX_COUNTED_MEMBERS
        and len(summary.addresses) <= MAX_SUMMARY_ADDRESSES
        and all(len(address) <= MAX_ADDRESS_LENGTH for address in summary.addresses)
    )


@dataclass(slots=True)
class ReceivedSummary:
    """A reporter's latest summary of its cell, and its creation time on this process's clock."""

    summary: CellSummary
    created_ms: float


@dataclass(slots=True)
class CellRecord:
    """One cell, with the latest summary of each of its reporters."""

    region: str
    partition: CellPartition
    first_reported_ms: float
    summaries: dict[str, ReceivedSummary] = field(default_factory=dict)  # by the reporter's name

    def latest(self) -> ReceivedSummary:
        """Return the newest summary."""
        return max(self.summaries.values(), key=lambda received: received.created_ms)

    def age_ms(self, now: float) -> float:
        """Return the age of the newest summary."""
        return now - self.latest().created_ms

    def is_fresh(self, now: float) -> bool:
        """Whether the newest summary is within the age bound."""
        return self.age_ms(now) <= MAX_REPORT_AGE_MS

    def counted_members(self, now: float) -> int:
        """Return the members that count: the greatest number in fresh summaries, else the newest one's."""
        return max(summary.counted_members for summary in self._current_summaries(now))

    def members(self, now: float) -> int:
        """Return the live members, likewise the greatest, as an isolated reporter reports only itself."""
        return max(summary.members for summary in self._current_summaries(now))

    def _current_summaries(self, now: float) -> list[CellSummary]:
        fresh = [s.summary for s in self.summaries.values() if now - s.created_ms <= MAX_REPORT_AGE_MS]
        return fresh or [self.latest().summary]

    def addresses(self) -> list[str]:
        """Return addresses of some members, those of the newest summary first."""
        by_age = sorted(self.summaries.values(), key=lambda received: -received.created_ms)
        unique = dict.fromkeys(address for received in by_age for address in received.summary.addresses)
        return list(unique)[:MAX_SUMMARY_ADDRESSES]

    def discard_stale_summaries(self, now: float) -> None:
        """Drop the summaries beyond the age bound."""
        stale = [name for name, s in self.summaries.items() if now - s.created_ms > MAX_REPORT_AGE_MS]
        for name in stale:
            del self.summaries[name]


@dataclass(slots=True)
class ServiceRecord:
    """The cells of one service, and when their set last changed."""

    cells: dict[CellKey, CellRecord] = field(default_factory=dict)
    changed_ms: float = NEVER_CHANGED_MS


@dataclass(slots=True)
class ServiceSums:
    """The sums of a service for a member of one cell; the fields are those of `LookupResponse`."""

    partition: CellPartition = field(default_factory=CellPartition)
    addresses: list[str] = field(default_factory=list)
    service_members: int = 0
    own_cell_members: int = -1
    preceding_members: int = 0
    cell_count: int = 0
    is_reliable: bool = False
    age_ms: float = 0.0
    sibling_members: int = -1
    sibling_epoch: int = 0
    sibling_addresses: list[str] = field(default_factory=list)


def count_members(cells: list[CellRecord], depth: int, bits: int, now: float) -> int:
    """Return how many members count under the prefix `bits` of length `depth`; never too few.

    `cells` are those under the prefix. If a cell and subsets of it are known, the greater number counts.
    """
    own = max((cell.counted_members(now) for cell in cells if cell.partition.depth == depth), default=0)
    below = [cell for cell in cells if cell.partition.depth > depth]
    if not below:
        return own
    halves: tuple[list[CellRecord], list[CellRecord]] = ([], [])
    for cell in below:
        halves[cell.partition.bits >> (cell.partition.depth - depth - 1) & 1].append(cell)
    return max(
        own, sum(count_members(half, depth + 1, 2 * bits + n, now) for n, half in enumerate(halves) if half)
    )


def is_covered(cells: list[CellRecord], partition: CellPartition) -> bool:
    """Whether these cells together contain all of a partition."""
    if any(cell.partition.contains(partition) for cell in cells):
        return True
    if not cells:
        return False
    halves = (CellPartition(0, partition.depth + 1, 2 * partition.bits + n) for n in (0, 1))
    return all(
        is_covered([cell for cell in cells if _overlap(half, cell.partition)], half) for half in halves
    )


def _overlap(one: CellPartition, other: CellPartition) -> bool:
    return one.contains(other) or other.contains(one)


class CellIndex:
    """The cells of all services that one directory process knows.

    Owned by `Directory`; `ReportStore` adds reports as they arrive.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceRecord] = {}
        self.cell_count = 0

    def add_report(
        self, service: str, region: str, name: str, summary: CellSummary, created_ms: float, now: float
    ) -> None:
        """Add the summary that the member `name` reported; an invalid one is ignored."""
        if not is_valid_summary(summary):
            return
        partition = CellPartition(summary.epoch, summary.depth, summary.bits)
        cell = self._get_or_add_cell(service, region, partition, now)
        if cell is None:
            return
        if partition.epoch > cell.partition.epoch:
            cell.partition = partition
        cell.summaries[name] = ReceivedSummary(summary, created_ms)
        if len(cell.summaries) > MAX_REPORTERS:
            del cell.summaries[min(cell.summaries, key=lambda reporter: cell.summaries[reporter].created_ms)]

    def _get_or_add_cell(
        self, service: str, region: str, partition: CellPartition, now: float
    ) -> CellRecord | None:
        """Return the record of a cell; None if it is new and the index is full."""
        key = region, partition.depth, partition.bits
        known = self.services.get(service)
        if known is not None and key in known.cells:
            return known.cells[key]
        if self.cell_count >= MAX_CELLS:
            return None
        known = self.services.setdefault(service, ServiceRecord())
        cell = CellRecord(region, partition, now)
        known.cells[key] = cell
        self.cell_count += 1
        known.changed_ms = now
        return cell

    def prune(self, now: float) -> None:
        """Drop cells that have ended, were replaced, or have not been reported for `CELL_RETENTION_MS`."""
        for name, service in list(self.services.items()):
            for key, cell in list(service.cells.items()):
                if cell.is_fresh(now):
                    cell.discard_stale_summaries(now)
                if self._is_obsolete(service, cell, now):
                    del service.cells[key]
                    self.cell_count -= 1
                    service.changed_ms = now
            if not service.cells:
                del self.services[name]

    def _is_obsolete(self, service: ServiceRecord, cell: CellRecord, now: float) -> bool:
        if cell.members(now) == 0 or cell.age_ms(now) > CELL_RETENTION_MS:
            return True
        newer = [
            other for other in service.cells.values()
            if other.region == cell.region and other.partition.key() > cell.partition.key()
            and now - other.first_reported_ms >= STABILIZATION_MS
        ]  # fmt: skip
        if any(other.partition.contains(cell.partition) and other is not cell for other in newer):
            return True
        subsets = [other for other in newer if cell.partition.contains(other.partition) and other is not cell]
        return is_covered(subsets, cell.partition)

    def sums_for(self, request: LookupRequest, now: float) -> ServiceSums:
        """Return the sums of a service relative to the requester's cell."""
        service = self.services.get(request.service)
        own = CellPartition(request.epoch, request.depth, request.bits)
        sums = ServiceSums(own)
        if service is None:
            return sums
        in_region = [cell for cell in service.cells.values() if cell.region == request.region]
        self._add_counts(sums, service, request.region, in_region, now)
        current = [cell for cell in service.cells.values() if not self._is_replaced(service, cell, now)]
        sums.age_ms = max((cell.age_ms(now) for cell in current), default=0.0)
        is_complete = self.cell_count < MAX_CELLS and sums.age_ms <= MAX_REPORT_AGE_MS
        sums.is_reliable = is_complete and now - service.changed_ms >= STABILIZATION_MS
        self._add_cell_of_requester(sums, in_region, own, name_path(request.name))
        self._add_sibling(sums, in_region, own, now)
        exact = service.cells.get((request.region, own.depth, own.bits))
        if exact is not None and all(
            cell is exact or not _overlap(cell.partition, own) for cell in in_region
        ):
            sums.own_cell_members = exact.counted_members(now)
        return sums

    def _add_counts(
        self,
        sums: ServiceSums,
        service: ServiceRecord,
        own_region: str,
        in_region: list[CellRecord],
        now: float,
    ) -> None:
        """Add the counts of the service, and of the cells that precede the requester's by region and path."""
        own = sums.partition
        by_region = {
            region: count_members([c for c in service.cells.values() if c.region == region], 0, 0, now)
            for region in sorted({cell.region for cell in service.cells.values()})
        }
        sums.service_members = sum(by_region.values())
        sums.cell_count = len(service.cells)
        sums.preceding_members = sum(count for region, count in by_region.items() if region < own_region)
        start = own.bits << (PATH_BITS - own.depth)
        sums.preceding_members += sum(
            cell.counted_members(now)
            for cell in in_region
            if cell.partition.bits << (PATH_BITS - cell.partition.depth) < start
        )

    def _is_replaced(self, service: ServiceRecord, cell: CellRecord, now: float) -> bool:
        """Whether the cell is stale and a fresh, newer one overlaps it."""
        return not cell.is_fresh(now) and any(
            other.region == cell.region and other.partition.key() > cell.partition.key()
            and other.is_fresh(now) and _overlap(other.partition, cell.partition)
            for other in service.cells.values()
        )  # fmt: skip

    def _add_cell_of_requester(
        self, sums: ServiceSums, in_region: list[CellRecord], own: CellPartition, path: int
    ) -> None:
        """Add the cell that the requester belongs to, or one that shows that its cell was split."""
        holding = [cell for cell in in_region if cell.partition.includes_path(path)]
        best = max(holding, key=lambda cell: cell.partition.key(), default=None)
        if best is not None:
            sums.addresses = best.addresses()
        subsets = [cell for cell in in_region if own.contains(cell.partition)]
        best = best or max(subsets, key=lambda cell: cell.partition.key(), default=None)
        if best is not None and (best.partition.key() > own.key() or not own.includes_path(path)):
            sums.partition = best.partition

    def _add_sibling(
        self, sums: ServiceSums, in_region: list[CellRecord], own: CellPartition, now: float
    ) -> None:
        """Add the cell that the requester's could merge with, if it is a single fresh cell."""
        if not own.depth:
            return
        sibling = CellPartition(0, own.depth, own.bits ^ 1)
        cells = [cell for cell in in_region if _overlap(sibling, cell.partition)]
        if not cells:
            sums.sibling_members = 0 if sums.is_reliable else -1
        elif len(cells) == 1 and cells[0].partition.cell() == sibling.cell() and cells[0].is_fresh(now):
            sums.sibling_members = cells[0].members(now)
            sums.sibling_epoch = cells[0].partition.epoch
            sums.sibling_addresses = cells[0].addresses()[:MAX_SIBLING_ADDRESSES]
