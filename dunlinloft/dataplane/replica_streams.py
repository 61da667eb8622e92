"""The open streams to control-plane replicas: sending, and liveness of a replica."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from msgspec import Struct

from dunlinloft.coordination.stream import ControlPlaneView
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.message_stream import MessageWriter

# A replica that has sent nothing for this long may be dead: it sends a message at least every 300 ms.
MAX_RECEIVE_GAP_MS = 700.0


class ReplicaStreams:
    """The open streams, by address of the replica.

    `Subscriptions` opens and closes them; the request path sends on them through `ControlStreams`.
    """

    def __init__(self) -> None:
        self._writers: dict[str, MessageWriter] = {}
        self._received_ms: dict[str, float] = {}  # time of each stream's last message, or of its opening
        self.view: ControlPlaneView | None = None  # last announced; None before the first announcement

    def __contains__(self, address: object) -> bool:
        """Whether a stream to a replica is open."""
        return address in self._writers

    @contextlib.contextmanager
    def open(self, address: str, writer: MessageWriter) -> Iterator[None]:
        """Register an established stream until the context exits, then abort its connection."""
        self._writers[address] = writer
        self._received_ms[address] = now_ms()
        try:
            yield
        finally:
            writer.abort()
            del self._writers[address]

    def on_received(self, address: str) -> None:
        """Record that a message arrived."""
        self._received_ms[address] = now_ms()

    @property
    def epoch(self) -> int:
        """The epoch of the last announced view; 0 before the first announcement."""
        return 0 if self.view is None else self.view.epoch

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is open, and was opened or received a message recently."""
        return (
            address in self._writers and now_ms() - self._received_ms.get(address, 0.0) < MAX_RECEIVE_GAP_MS
        )

    def send(self, address: str, message: Struct) -> bool:
        """Send to one replica; returns whether a stream to it is open."""
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
        """Addresses of the replicas with an open stream, in the order of opening."""
        return list(self._writers)
