"""Range digests: two sides that know many servers find out in one message which ranges of them differ.

Servers fall into ranges by a hash of their id. A range's digest is the exclusive or of its records' digests,
so that it follows each change in constant time and doesn't depend on the order in which servers became known.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from dunlinloft.coordination.stream import ServerRecord

RANGES = 64


def range_of(server_id: str) -> int:
    """The range that a server falls into."""
    return zlib.crc32(server_id.encode()) % RANGES


def digest_of(record: ServerRecord) -> int:
    """Of what a node has to know of a server: not of what every heartbeat changes."""
    text = f"{record.id}|{record.service}|{record.address}|{record.zone}|{record.capacity}|{record.state}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")


class RangeDigests:
    """The digests of a set of records, kept up to date."""

    def __init__(self, records: Iterable[ServerRecord] = ()) -> None:
        self._ranges = [0] * RANGES
        for record in records:
            self.toggle(record)

    def toggle(self, record: ServerRecord | None) -> None:
        """Put a record in, or take it out again."""
        if record is not None:
            self._ranges[range_of(record.id)] ^= digest_of(record)

    def whole(self) -> tuple[int, ...]:
        """All ranges' digests."""
        return tuple(self._ranges)

    def differing(self, others: tuple[int, ...]) -> tuple[int, ...]:
        """The ranges in which another side, with these digests, knows something else."""
        if len(others) != RANGES:
            return tuple(range(RANGES))
        return tuple(
            n for n, (mine, other) in enumerate(zip(self._ranges, others, strict=True)) if mine != other
        )
