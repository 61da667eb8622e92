"""News on its way: each piece goes out with so many messages, and then no more.

What is kept is whose news there is; the record is written when a message is made, so it is always the
newest. The number of times grows with the logarithm of the fleet's size (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from collections.abc import Callable

from dunlinloft.fleet.messages import Record

RETRANSMIT_MULTIPLIER = 4  # for each power of ten of members
MAX_PIGGYBACK_BYTES = 1150  # bytes of a datagram that records may take
LONG_QUEUE_LENGTH = 20  # pieces from which more members are told at a time


class DisseminationQueue:
    """Whose records are still to be told, and how often each."""

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}
        self._with_metadata: set[str] = set()  # those whose facts are news too

    def __len__(self) -> int:
        return len(self._remaining)

    def add(self, name: str, members: int, include_metadata: bool) -> None:
        """Tell of this one from now on, so often as a fleet of this size needs; with its facts or not."""
        if self._remaining.pop(name, None) is None:
            self._with_metadata.discard(name)
        if include_metadata:
            self._with_metadata.add(name)
        self._remaining[name] = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 2))

    def next_records(
        self, record: Callable[[str, bool], Record | None], room: int = MAX_PIGGYBACK_BYTES
    ) -> list[Record]:
        """Records for a message, those told least often first."""
        if not self._remaining:
            return []
        found: list[Record] = []
        # Newest first, and what has been told goes to the end: a long queue takes turns.
        for name in sorted(self._remaining, key=self._remaining.__getitem__, reverse=True)[:64]:
            told = record(name, name in self._with_metadata)
            if told is None:
                del self._remaining[name]
                continue
            size = told.estimated_size()
            if size > room:
                continue
            room -= size
            found.append(told)
            self._remaining[name] -= 1
            if self._remaining[name] <= 0:
                del self._remaining[name]
        return found
