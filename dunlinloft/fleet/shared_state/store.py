"""Replicated records by kind and writer, as one process holds them, each with an upper bound on its age.

Of two records of the same kind and writer the one with the greater (incarnation, version) wins, so merging is
commutative, associative and idempotent. Of two copies of a record the smaller bound on its age is kept.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from dunlinloft.fleet.shared_state.messages import (
    AFFINITY_BINDINGS,
    HEARTBEAT,
    OBSERVATION_REPORT,
    OPERATOR_LIMITS,
    RECORD_KIND_NAMES,
    RELEASE,
    SUMMARY,
    TALLY,
    Content,
    Entry,
    decode,
)

# The rates of two clocks differ by at most this share; measured times are lengthened by it.
MAX_CLOCK_DRIFT = 0.02
# Size limit of a record's content, by kind.
MAX_CONTENT_BYTES = {
    OBSERVATION_REPORT: 600, HEARTBEAT: 500, AFFINITY_BINDINGS: 1100, OPERATOR_LIMITS: 1000, RELEASE: 300,
    TALLY: 1100, SUMMARY: 400,
}  # fmt: skip
# Records of a kind; beyond that the oldest record of an unknown writer is evicted, or else the oldest of all.
MAX_WRITERS = 2048

Key = tuple[int, str]


class StoredRecord:
    """A record in the store."""

    __slots__ = ("content", "data", "incarnation", "sequence", "source", "version", "written_ms")

    def __init__(self, entry: Entry, content: Content, written_ms: float, sequence: int, source: str) -> None:
        self.incarnation = entry.incarnation
        self.version = entry.version
        self.data = entry.content
        self.content = content
        self.written_ms = written_ms  # lower bound on the time of writing, on this process's clock
        self.sequence = sequence  # its offset in this process's log
        self.source = source  # the process it was pulled from; empty for this process's own records

    def age_ms(self, now: float) -> float:
        """Return an upper bound on the record's age."""
        return (now - self.written_ms) * (1.0 + MAX_CLOCK_DRIFT)


class StoreItem(NamedTuple):
    """A record with its key."""

    kind: int
    writer: str
    record: StoredRecord


class Store:
    """All records that one process holds, including its own.

    `sequence` is the end of its log of changes, from which `anti_entropy` serves other processes.
    """

    def __init__(self, name: str, incarnation: int, max_writers: int = MAX_WRITERS) -> None:
        self.name = name
        self.incarnation = incarnation
        self._max_writers = max_writers
        self._records: dict[Key, StoredRecord] = {}  # in order of their last change
        self._incarnations: dict[str, int] = {}  # of the live members
        self._version = 0
        self.sequence = 0
        self.counts: Counter[str] = Counter()  # broken, long, foreign, overflow, stale

    def set_incarnation(self, incarnation: int) -> None:
        """Adopt this process's new incarnation; its records under the former one are removed."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            for key in [key for key in self._records if key[1] == self.name]:
                del self._records[key]

    def write(self, kind: int, data: bytes, content: Content, now: float) -> bool:
        """Write a record of this process; return False without writing if it exceeds its kind's limit."""
        if len(data) > MAX_CONTENT_BYTES[kind]:
            self.counts["long"] += 1
            return False
        self._version += 1
        entry = Entry(kind, self.name, self.incarnation, self._version, 0, data)
        self._insert(entry, content, now, "")
        return True

    def _insert(self, entry: Entry, content: Content, written_ms: float, source: str) -> None:
        key = entry.kind, entry.writer
        self._records.pop(key, None)
        self.sequence += 1
        self._records[key] = StoredRecord(entry, content, written_ms, self.sequence, source)

    def merge(self, entry: Entry, transit_ms: float, source: str, now: float) -> bool:
        """Merge a record that was in transit for at most `transit_ms`; return whether it was new."""
        if entry.writer == self.name or entry.kind not in RECORD_KIND_NAMES:
            return False
        incarnation = self._incarnations.get(entry.writer)
        if incarnation is not None and entry.incarnation < incarnation:
            self.counts["stale"] += 1
            return False
        written_ms = now - entry.age_ms - transit_ms * (1.0 + MAX_CLOCK_DRIFT)
        record = self._records.get((entry.kind, entry.writer))
        if record is not None:
            current, received = (record.incarnation, record.version), (entry.incarnation, entry.version)
            if current == received:
                record.written_ms = max(record.written_ms, written_ms)
            if current >= received:
                return False
        if len(entry.content) > MAX_CONTENT_BYTES[entry.kind] or entry.age_ms < 0:
            self.counts["long"] += 1
            return False
        content = decode(entry.kind, entry.content)
        if content is None:
            self.counts["broken"] += 1
            return False
        self._insert(entry, content, written_ms, source)
        self._evict(entry.kind)
        return True

    def _evict(self, kind: int) -> None:
        """Remove a record if a kind has too many: the oldest of an unknown writer, or else the oldest."""
        if len(self._records) <= self._max_writers:
            return
        keys = [key for key in self._records if key[0] == kind and key[1] != self.name]
        if len(keys) > self._max_writers:
            unknown = [key for key in keys if key[1] not in self._incarnations]
            del self._records[min(unknown or keys, key=lambda key: self._records[key].written_ms)]
            self.counts["overflow"] += 1

    def set_members(self, alive: dict[str, int]) -> None:
        """Replace the live members and their incarnations.

        Records of members that are no longer alive, and of earlier incarnations, are removed. Records of
        writers that have not been alive here yet are kept, as they may arrive before the membership update.
        """
        removed = self._incarnations.keys() - alive.keys()
        self._incarnations = dict(alive)
        for key, record in list(self._records.items()):
            writer = key[1]
            superseded = record.incarnation < alive.get(writer, record.incarnation)
            if writer != self.name and (writer in removed or superseded):
                del self._records[key]

    def read(self, kind: int, max_age_ms: float, now: float) -> Iterator[tuple[str, StoredRecord]]:
        """Yield the records of a kind by live members that are no older than `max_age_ms` for certain."""
        for writer, record in self.others(kind):
            alive = self._incarnations.get(writer) == record.incarnation
            if alive and record.age_ms(now) <= max_age_ms:
                yield writer, record

    def get(self, kind: int, writer: str) -> StoredRecord | None:
        """Return a record of any age; None if its writer is not alive or has written none of this kind."""
        record = self._records.get((kind, writer))
        if record is None:
            return None
        if writer != self.name and self._incarnations.get(writer) != record.incarnation:
            return None
        return record

    def changed_after(self, cursor: int, reader: str) -> list[StoreItem]:
        """Return records changed after an offset of the log, oldest first, except those the reader has."""
        changed = []
        for (kind, writer), record in reversed(self._records.items()):
            if record.sequence <= cursor:
                break
            # A reader at cursor 0 may have restarted and lost the records that were pulled from it.
            if reader != writer and (reader != record.source or not cursor):
                changed.append(StoreItem(kind, writer, record))
        return changed[::-1]

    def others(self, kind: int) -> Iterator[tuple[str, StoredRecord]]:
        """Yield all records of a kind by other writers, known or not, of any age."""
        for (record_kind, writer), record in self._records.items():
            if record_kind == kind and writer != self.name:
                yield writer, record

    def all(self) -> Iterator[StoreItem]:
        """Yield all records, for the admin endpoint and checks."""
        for (kind, writer), record in self._records.items():
            yield StoreItem(kind, writer, record)
