"""The reports that a directory process holds, in a store as used by the shared state."""

from __future__ import annotations

from dunlinloft.fleet.cells.index import MAX_CELLS, CellIndex
from dunlinloft.fleet.cells.messages import CellSummary
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.shared_state.messages import Content, Entry
from dunlinloft.fleet.shared_state.store import Store


class ReportStore(Store):
    """Reports by service, region and reporter; each stored report is also added to the index.

    Owned by `Directory`. A stale report is replaced by any fresh one.
    """

    def __init__(self, name: str, incarnation: int, index: CellIndex) -> None:
        super().__init__(name, incarnation, MAX_CELLS)
        self._index = index
        self._now = 0.0

    def merge(self, entry: Entry, transit_ms: float, source: str, now: float) -> bool:
        """Merge a record that may be older or newer than the stored one; return whether it was stored."""
        self._now = now
        stored = self._records.get((entry.kind, entry.writer))
        # A reporter whose clock went backwards before a restart has a smaller incarnation than before.
        if stored is not None and stored.age_ms(now) > MAX_REPORT_AGE_MS > entry.age_ms + transit_ms:
            del self._records[entry.kind, entry.writer]
        return super().merge(entry, transit_ms, source, now)

    def _insert(self, entry: Entry, content: Content, written_ms: float, source: str) -> None:
        super()._insert(entry, content, written_ms, source)
        if isinstance(content, CellSummary):
            cell, _, name = entry.writer.partition("|")
            service, _, region = cell.rpartition("@")
            self._index.add_report(service, region, name, content, written_ms, self._now)

    def discard_expired(self, now: float, after_ms: float) -> None:
        """Drop the records that have not been renewed for `after_ms`."""
        for key in [key for key, record in self._records.items() if record.age_ms(now) > after_ms]:
            del self._records[key]
