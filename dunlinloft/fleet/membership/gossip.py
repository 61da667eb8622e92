"""News on its way: each piece goes out with so many messages, and then no more.

What is kept is whose news there is; the record is written when a message is made, so it is always the
newest. The number of times grows with the logarithm of the fleet's size (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from collections.abc import Callable

from dunlinloft.fleet.messages import Record

TIMES = 4  # for each power of ten of members
ROOM = 1150  # bytes of a datagram that records may take
FULL = 20  # pieces from which more members are told at a time


class News:
    """Whose records are still to be told, and how often each."""

    def __init__(self) -> None:
        self._left: dict[str, int] = {}
        self._whole: set[str] = set()  # those whose facts are news too

    def __len__(self) -> int:
        return len(self._left)

    def add(self, name: str, members: int, facts: bool) -> None:
        """Tell of this one from now on, so often as a fleet of this size needs; with its facts or not."""
        if self._left.pop(name, None) is None:
            self._whole.discard(name)
        if facts:
            self._whole.add(name)
        self._left[name] = TIMES * math.ceil(math.log10(members + 2))

    def take(self, record: Callable[[str, bool], Record | None], room: int = ROOM) -> list[Record]:
        """Records for a message, those told least often first."""
        if not self._left:
            return []
        found: list[Record] = []
        # Newest first, and what has been told goes to the end: a long queue takes turns.
        for name in sorted(self._left, key=self._left.__getitem__, reverse=True)[:64]:
            told = record(name, name in self._whole)
            if told is None:
                del self._left[name]
                continue
            size = told.size()
            if size > room:
                continue
            room -= size
            found.append(told)
            self._left[name] -= 1
            if self._left[name] <= 0:
                del self._left[name]
        return found
