"""Bodies on their way through the node, and the memory that all of them together may take.

A request's body up to `WHOLE` bytes is held until its request has ended, so that it can be sent again.
A larger one flows: what has been sent on is dropped, and its caller is read no faster than the server
takes it. While memory is short smaller ones flow too.
"""

from __future__ import annotations

from collections.abc import Callable

WHOLE = 64 * 1024  # so much of a body, or of an answer, is held to have it whole
MAX_BODY = 32 * 1024 * 1024
PIECE = 32 * 1024  # read at once, and held for a peer that takes it slowly
MEGABYTE = 1024 * 1024
OWN_MB, BODIES_SHARE, MOST_MB = 24, 0.4, 24  # what the program itself takes; bodies' part of the rest


class Memory:
    """Bytes of bodies held now; over the budget nothing is held that can flow."""

    __slots__ = ("budget", "held")

    def __init__(self, limit_mb: float) -> None:
        self.held = 0
        self.share(limit_mb)

    def share(self, limit_mb: float) -> None:
        """Keep to a part of so many megabytes."""
        spare_mb = min(max(BODIES_SHARE * (limit_mb - OWN_MB), 1.0), MOST_MB)
        self.budget = int(spare_mb * MEGABYTE)

    def short(self) -> bool:
        return self.held >= self.budget


def _nothing() -> None:
    pass


class Body:
    """A request's body: what its caller has sent, less what has flowed on and is no longer held."""

    __slots__ = (
        "_memory",
        "_pieces",
        "_held",
        "dropped",
        "flows",
        "go_on",
        "length",
        "reader",
        "size",
        "whole",
    )

    def __init__(self, memory: Memory, length: int | None) -> None:
        self._memory, self.length = memory, length  # None: told in chunks
        self._pieces: list[bytes] = []
        self._held = self.size = self.dropped = 0
        self.whole = self.flows = False
        self.reader: Callable[[], None] = _nothing  # told of what has come
        self.go_on: Callable[[], None] = _nothing  # told of what has gone

    def feed(self, data: bytes) -> None:
        """More has come."""
        self._pieces.append(data)
        self.size += len(data)
        self._held += len(data)
        self._memory.held += len(data)
        self.flows = self.flows or self.size > WHOLE or self._memory.short()
        self.reader()

    def finish(self) -> None:
        """All of it has come."""
        self.whole = True
        self.reader()

    def full(self) -> bool:
        """Whether no more should be read for now; never before it flows, as it might wait for ever."""
        return self.flows and self._held >= (PIECE if self._memory.short() else WHOLE)

    def after(self, offset: int) -> bytes:
        """What is held from there on; it must not have been dropped."""
        if len(self._pieces) > 1:
            self._pieces = [b"".join(self._pieces)]
        return self._pieces[0][offset - self.dropped :] if self._pieces else b""

    def passed(self) -> None:
        """All that has come was sent on: drop it, if it flows and more is to come or it was large."""
        if self.flows:
            self.dropped = self.size
            self._release()
            self.go_on()

    def repeatable(self) -> bool:
        return not self.dropped

    def close(self) -> None:
        """Nobody needs it any more."""
        self.dropped = self.size
        self._release()
        self.reader = self.go_on = _nothing

    def _release(self) -> None:
        self._pieces.clear()
        self._memory.held -= self._held
        self._held = 0
