"""Delivers a stream's bytes in order over a simulated link."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lab.lines import DirectedLink


class Pipe:
    """One direction of a connection: delivers pushed chunks after the link's delay, and None for its end."""

    __slots__ = ("_deliver", "_link", "_pending")

    def __init__(self, link: DirectedLink, deliver: Callable[[bytes | None], None]) -> None:
        self._link, self._deliver = link, deliver
        self._pending: deque[bytes | None] = deque()

    def push(self, data: bytes | None) -> None:
        """Send a chunk, or None for the end."""
        self._pending.append(data)
        self._link.carry(len(data) if data else 0, self._deliver_next)

    def _deliver_next(self) -> None:
        # Whichever timer fires first, the oldest chunk is delivered: a stream keeps its order.
        if self._pending:
            self._deliver(self._pending.popleft())

    def drop(self) -> None:
        """Discard pending and future chunks."""
        self._pending.clear()
        self._deliver = _discard


def _discard(data: bytes | None) -> None:
    pass
