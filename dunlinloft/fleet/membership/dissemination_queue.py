"""A queue of updates to disseminate, each transmitted a bounded number of times.

The queue stores only names. Records are created with the message that carries them, so they are always
current. The number of transmissions grows with the logarithm of the fleet's size (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from collections.abc import Callable

from dunlinloft.fleet.messages import Record

RETRANSMIT_MULTIPLIER = 4  # transmissions per power of ten of members, as memberlist's RetransmitMult
MAX_PIGGYBACK_BYTES = 1150  # share of `wire.MAX_DATAGRAM_BYTES` for records
LONG_QUEUE_LENGTH = 20  # queued updates above which gossip is sent to more members
MAX_CANDIDATES = 64  # updates considered for one message


class DisseminationQueue:
    """Names whose records are to be sent, with the number of remaining transmissions of each."""

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}
        self._with_metadata: set[str] = set()  # names whose metadata is to be sent too

    def __len__(self) -> int:
        return len(self._remaining)

    def add(self, name: str, members: int, include_metadata: bool) -> None:
        """Queue a member's record for the number of transmissions that a fleet of `members` requires."""
        if self._remaining.pop(name, None) is None:
            self._with_metadata.discard(name)
        if include_metadata:
            self._with_metadata.add(name)
        self._remaining[name] = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 2))

    def next_records(
        self, record_of: Callable[[str, bool], Record | None], max_bytes: int = MAX_PIGGYBACK_BYTES
    ) -> list[Record]:
        """Return records for one message, those transmitted least often first.

        Parameters
        ----------
        record_of: returns the record of a name, with or without metadata; None if the name is unknown.
        max_bytes: limit of the estimated total size.
        """
        if not self._remaining:
            return []
        records: list[Record] = []
        # Sorted by remaining transmissions: records just sent move back, so a long queue is served in turns.
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
