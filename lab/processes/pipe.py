"""A stream's bytes on their way over a link, in order, with what the link does to them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lab.lines import DirectedLink


class Pipe:
    """One direction of a connection: what is pushed comes out later, and the end last (as None)."""

    __slots__ = ("_deliver", "_line", "_waiting")

    def __init__(self, line: DirectedLink, deliver: Callable[[bytes | None], None]) -> None:
        self._line, self._deliver = line, deliver
        self._waiting: deque[bytes | None] = deque()

    def push(self, data: bytes | None) -> None:
        """Send a piece, or the end."""
        self._waiting.append(data)
        self._line.carry(len(data) if data else 0, self._pop)

    def _pop(self) -> None:
        # Whichever timer comes first, the oldest piece goes first: a stream keeps its order.
        if self._waiting:
            self._deliver(self._waiting.popleft())

    def drop(self) -> None:
        """Nobody reads it any more."""
        self._waiting.clear()
        self._deliver = _nowhere


def _nowhere(data: bytes | None) -> None:
    pass
