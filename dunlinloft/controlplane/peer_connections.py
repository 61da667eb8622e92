"""Outgoing connections to other replicas: one per address, re-established when lost.

Connections are one-way: messages to a replica use the connection that this side opened, and its responses
use the one that it opened.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

import msgspec

from dunlinloft.transport import message_stream
from dunlinloft.transport.exceptions import ConnectError
from dunlinloft.transport.tasks import BackgroundTasks

RECONNECT_INTERVAL_S = 0.08
IDLE_TIMEOUT_S = 60.0  # unused connections are closed after this, since the replica has left
MAX_QUEUED_FRAMES = 64  # frames queued per connection while it is being established


class PeerConnection:
    """Sends messages to one replica.

    Delivery is best effort: messages that can't be sent are dropped, because the coordination protocols
    retransmit everything that has to arrive.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._writer: message_stream.MessageWriter | None = None
        self._queued_frames: list[bytes] = []

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message, or queue it while the connection is being established."""
        if self._writer is not None:
            self._writer.send_frame(frame)
        elif len(self._queued_frames) < MAX_QUEUED_FRAMES:
            self._queued_frames.append(frame)

    async def run(self) -> None:
        """Maintain the connection until cancelled."""
        while True:
            try:
                reader, writer = await message_stream.connect(self._address)
            except ConnectError:
                self._queued_frames.clear()
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            self._writer = message_stream.MessageWriter(writer)
            for frame in self._queued_frames:
                self._writer.send_frame(frame)
            self._queued_frames.clear()
            try:
                await reader.read(1)  # the peer never writes here, so this returns when it closes
            except OSError:
                pass
            finally:
                self._writer.abort()
                self._writer = None
            await asyncio.sleep(RECONNECT_INTERVAL_S)


class _OpenConnection(msgspec.Struct):
    """A connection, the task that runs it, and its last use in seconds on the event loop's clock."""

    connection: PeerConnection
    task: asyncio.Task[None]
    last_used_s: float


class PeerConnections:
    """All connections to other replicas, by address; an async context manager that owns their tasks."""

    def __init__(self) -> None:
        self._open: dict[str, _OpenConnection] = {}
        self._tasks = BackgroundTasks()

    async def __aenter__(self) -> PeerConnections:
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._tasks.__aexit__(exception_type, exception, traceback)

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message to the replica at an address."""
        self.send_frame(address, message_stream.encode_frame(message))

    def send_frame(self, address: str, frame: bytes) -> None:
        """Send an encoded message to the replica at an address, opening a connection if there is none."""
        now_s = asyncio.get_running_loop().time()
        opened = self._open.get(address)
        if opened is None:
            connection = PeerConnection(address)
            opened = _OpenConnection(connection, self._tasks.start(connection.run()), now_s)
            self._open[address] = opened
        opened.last_used_s = now_s
        opened.connection.send_frame(frame)

    def close_idle(self) -> None:
        """Close connections unused for `IDLE_TIMEOUT_S`."""
        cutoff_s = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        for address in [address for address, opened in self._open.items() if opened.last_used_s < cutoff_s]:
            self._open.pop(address).task.cancel()
