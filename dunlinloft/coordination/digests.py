"""Range digests: with one message, two peers find the ranges in which their server records differ.

Servers are assigned to ranges by a hash of their id. A range's digest is the XOR of its records' digests, so
that an update takes constant time and the order of insertion doesn't matter. Both ends of a stream compute
the same digests: ranges and hashes are part of the protocol.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from dunlinloft.coordination.stream import ServerRecord

RANGE_COUNT = 64
DIGEST_BYTES = 7  # so that a digest fits a signed 64-bit integer


def range_of(server_id: str) -> int:
    """Return the range that a server is assigned to."""
    return zlib.crc32(server_id.encode()) % RANGE_COUNT


def digest_of(record: ServerRecord) -> int:
    """Return the digest of the fields that nodes need, without those that every heartbeat changes."""
    text = f"{record.id}|{record.service}|{record.address}|{record.zone}|{record.capacity}|{record.state}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


class RangeDigests:
    """The range digests of a set of records, updated incrementally."""

    def __init__(self, records: Iterable[ServerRecord] = ()) -> None:
        self._ranges = [0] * RANGE_COUNT
        for record in records:
            self.toggle(record)

    def toggle(self, record: ServerRecord | None) -> None:
        """Add a record, or remove one that was added before; None does nothing."""
        if record is not None:
            self._ranges[range_of(record.id)] ^= digest_of(record)

    def values(self) -> tuple[int, ...]:
        """Return the digests of all ranges, in range order."""
        return tuple(self._ranges)

    def differing_ranges(self, others: tuple[int, ...]) -> tuple[int, ...]:
        """Return the ranges whose digests differ from a peer's.

        Returns all ranges if the peer has a different number of them, such as a node without any digests.
        """
        if len(others) != RANGE_COUNT:
            return tuple(range(RANGE_COUNT))
        return tuple(
            n for n, (own, other) in enumerate(zip(self._ranges, others, strict=True)) if own != other
        )
