"""Updates that wait to be disseminated: each is sent a bounded number of times.

The queue keeps whose record is to be sent; the record itself is made when a message is, so it is always the
newest. The number of transmissions grows with the logarithm of the fleet's size (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from collections.abc import Callable

from dunlinloft.fleet.messages import Record

RETRANSMIT_MULTIPLIER = 4  # transmissions per power of ten of members; memberlist's RetransmitMult is 4 too
MAX_PIGGYBACK_BYTES = 1150  # of `wire.MAX_DATAGRAM_BYTES`, for records
LONG_QUEUE_LENGTH = 20  # updates from which gossip goes to more members at a time
MAX_CANDIDATES = 64  # updates that are looked at for one message


class DisseminationQueue:
    """Names whose records are still to be sent, and how many transmissions each has left."""

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}
        self._with_metadata: set[str] = set()  # those whose metadata is new too

    def __len__(self) -> int:
        return len(self._remaining)

    def add(self, name: str, members: int, include_metadata: bool) -> None:
        """Queue a member's record for as many transmissions as a fleet of `members` needs."""
        if self._remaining.pop(name, None) is None:
            self._with_metadata.discard(name)
        if include_metadata:
            self._with_metadata.add(name)
        self._remaining[name] = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 2))

    def next_records(
        self, record_of: Callable[[str, bool], Record | None], max_bytes: int = MAX_PIGGYBACK_BYTES
    ) -> list[Record]:
        """Records for one message, those transmitted least often first.

        Parameters
        ----------
        record_of: makes the record of a name, with its metadata or without; None if it is not known.
        max_bytes: estimated size that all of them may take.
        """
        if not self._remaining:
            return []
        records: list[Record] = []
        # By transmissions left, so what has just been sent moves back and a long queue takes turns.
        order = sorted(self._remaining, key=self._remaining.__getitem__, reverse=True)
        for name in order[:MAX_CANDIDATES]:
            record = record_of(name, name in self._with_metadata)
            if record is None:
                del self._remaining[name]
                continue
            size = record.estimated_size()
            if size > max_bytes:
                continue
            max_bytes -= size
            records.append(record)
            self._remaining[name] -= 1
            if self._remaining[name] <= 0:
                del self._remaining[name]
        return records
