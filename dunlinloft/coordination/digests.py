"""Range digests: two sides that know many servers find in one message which ranges of them differ.

Servers fall into ranges by a hash of their id. A range's digest is the exclusive or of its records' digests,
so that it follows each change in constant time and doesn't depend on the order in which servers became known.
Both sides of a stream compute the same digests: ranges and hashes are part of the protocol.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from dunlinloft.coordination.stream import ServerRecord

RANGE_COUNT = 64
DIGEST_BYTES = 7  # so that a digest fits a signed 64-bit integer


def range_of(server_id: str) -> int:
    """The range that a server falls into."""
    return zlib.crc32(server_id.encode()) % RANGE_COUNT


def digest_of(record: ServerRecord) -> int:
    """The digest of what a node has to know of a server, without what every heartbeat changes."""
    text = f"{record.id}|{record.service}|{record.address}|{record.zone}|{record.capacity}|{record.state}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


class RangeDigests:
    """The digests of a set of records, updated with each change."""

    def __init__(self, records: Iterable[ServerRecord] = ()) -> None:
        self._ranges = [0] * RANGE_COUNT
        for record in records:
            self.toggle(record)

    def toggle(self, record: ServerRecord | None) -> None:
        """Put a record in, or take it out again; None does nothing."""
        if record is not None:
            self._ranges[range_of(record.id)] ^= digest_of(record)

    def values(self) -> tuple[int, ...]:
        """All ranges' digests, by range."""
        return tuple(self._ranges)

    def differing_ranges(self, others: tuple[int, ...]) -> tuple[int, ...]:
        """The ranges in which another side, with these digests, knows something else.

        All of them where the other side counts other ranges, as a node without any digests does.
        """
        if len(others) != RANGE_COUNT:
            return tuple(range(RANGE_COUNT))
        return tuple(
            n for n, (own, other) in enumerate(zip(self._ranges, others, strict=True)) if own != other
        )
