"""Buffered request bodies, and the memory that all bodies together may use.

A body of up to `MAX_BUFFERED_BYTES` is buffered until its request has ended, so that it can be replayed. A
larger one is streamed: what was forwarded is released, and it is read from the client no faster than the
server reads it. While memory is exhausted, smaller ones are streamed as well.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BYTES = 64 * 1024  # of one request or response body that is buffered completely
MAX_BODY_BYTES = 32 * 1024 * 1024
CHUNK_BYTES = 32 * 1024  # per read, and buffered for a peer that reads slowly
BYTES_PER_MB = 1024 * 1024
PROGRAM_MB = 24  # memory that the program itself takes
BODIES_MEMORY_SHARE = 0.4  # of the remaining memory
MAX_BODIES_MB = 24


class Memory:
    """Memory used by buffered bodies; once its budget is used up, bodies are streamed where possible."""

    __slots__ = ("budget_bytes", "used_bytes")

    def __init__(self, limit_mb: float) -> None:
        self.used_bytes = 0
        self.set_limit(limit_mb)

    def set_limit(self, limit_mb: float) -> None:
        """Set the budget to a share of the process's memory limit (MB)."""
        budget_mb = min(max(BODIES_MEMORY_SHARE * (limit_mb - PROGRAM_MB), 1.0), MAX_BODIES_MB)
        self.budget_bytes = int(budget_mb * BYTES_PER_MB)

    def is_exhausted(self) -> bool:
        """Return whether the budget is used up."""
        return self.used_bytes >= self.budget_bytes


def _ignore() -> None:
    pass


class Body:
    """A request's body: what the client has sent, less what was forwarded and released.

    Attributes
    ----------
    length
        In bytes, as the client declared it; None for a chunked body.
    size
        Bytes received so far.
    released_bytes
        Bytes at the start that are no longer buffered.
    complete
        Whether all of it was received.
    streaming
        Whether it is forwarded as it arrives; what was forwarded is released.
    on_data
        Called when more was received.
    on_drained
        Called when all that was received has been forwarded.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunks",
        "_memory",
        "complete",
        "length",
        "on_data",
        "on_drained",
        "released_bytes",
        "size",
        "streaming",
    )

    def __init__(self, memory: Memory, length: int | None) -> None:
        self._memory = memory
        self.length = length
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self.size = 0
        self.released_bytes = 0
        self.complete = False
        self.streaming = False
        self.on_data: Callable[[], None] = _ignore
        self.on_drained: Callable[[], None] = _ignore

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._chunks.append(data)
        self.size += len(data)
        self._buffered_bytes += len(data)
        self._memory.used_bytes += len(data)
        self.streaming = self.streaming or self.size > MAX_BUFFERED_BYTES or self._memory.is_exhausted()
        self.on_data()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self.on_data()

    def is_full(self) -> bool:
        """Return whether to stop reading for now.

        Never before the body is streamed, as nothing would drain it.
        """
        limit = CHUNK_BYTES if self._memory.is_exhausted() else MAX_BUFFERED_BYTES
        return self.streaming and self._buffered_bytes >= limit

    def data_from(self, offset: int) -> bytes:
        """Return the received bytes from an offset on, which must not have been released."""
        if len(self._chunks) > 1:
            self._chunks = [b"".join(self._chunks)]
        return self._chunks[0][offset - self.released_bytes :] if self._chunks else b""

    def on_forwarded(self) -> None:
        """Note that all received bytes were forwarded; a streamed body releases them."""
        if self.streaming:
            self.released_bytes = self.size
            self._release()
            self.on_drained()

    def is_replayable(self) -> bool:
        """Return whether the body can be sent again from its start."""
        return not self.released_bytes

    def close(self) -> None:
        """Release all buffered bytes, which are no longer needed."""
        self.released_bytes = self.size
        self._release()
        self.on_data = _ignore
        self.on_drained = _ignore

    def _release(self) -> None:
        self._chunks.clear()
        self._memory.used_bytes -= self._buffered_bytes
        self._buffered_bytes = 0
