"""The open streams to control-plane replicas: sending, and whether a replica is still there."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from msgspec import Struct

from dunlinloft.coordination.stream import ControlPlaneView
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.message_stream import MessageWriter

# A replica sends something at least every 300 ms; after this long without, it may be dead.
MAX_RECEIVE_GAP_MS = 700.0


class ReplicaStreams:
    """The streams that are open now, by the replica's address.

    `Subscriptions` opens and closes them; the request path sends on them through `ControlStreams`.
    """

    def __init__(self) -> None:
        self._writers: dict[str, MessageWriter] = {}
        self._received_ms: dict[str, float] = {}  # last message, or the opening, of each stream
        self.view: ControlPlaneView | None = None  # as announced last; None before that

    def __contains__(self, address: object) -> bool:
        """Whether a stream to a replica is open."""
        return address in self._writers

    @contextlib.contextmanager
    def open(self, address: str, writer: MessageWriter) -> Iterator[None]:
        """Register an established stream until its context ends; then its connection is aborted."""
        self._writers[address] = writer
        self._received_ms[address] = now_ms()
        try:
            yield
        finally:
            writer.abort()
            del self._writers[address]

    def on_received(self, address: str) -> None:
        """A message arrived."""
        self._received_ms[address] = now_ms()

    @property
    def epoch(self) -> int:
        """The epoch of the replicas announced last; 0 before any."""
        return 0 if self.view is None else self.view.epoch

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is up and was opened or received from recently."""
        return (
            address in self._writers and now_ms() - self._received_ms.get(address, 0.0) < MAX_RECEIVE_GAP_MS
        )

    def send(self, address: str, message: Struct) -> bool:
        """Send to one replica; returns whether there is a stream to it."""
        writer = self._writers.get(address)
        if writer is None:
            return False
        writer.send(message)
        return True

    def broadcast(self, message: Struct) -> None:
        """Send to all replicas with an open stream."""
        for writer in self._writers.values():
            writer.send(message)

    def addresses(self) -> list[str]:
        """The replicas with an open stream, in the order of opening."""
        return list(self._writers)
