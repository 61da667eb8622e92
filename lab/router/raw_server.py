"""A model server on raw sockets, which counts requests and answers, resets or ignores them as scripted."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
READ_SIZE = 65_536


@dataclass(frozen=True, slots=True)
class Arrival:
    """One received request."""

    attempt: str
    head: bytes
    body: bytes
    position: int  # index of the request on its connection


@dataclass
class Connection:
    """A connection from a node."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: int = 0

    def send(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection; discards data not sent yet."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def closed(self) -> None:
        """Wait until the node has closed the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(READ_SIZE):
                pass


Script = Callable[[Connection, Arrival], Awaitable[None]]


def answer(
    arrival: Arrival, body: bytes, *, length: bool = True, stream: bool = False, attempt: str | None = None
) -> bytes:
    """Return a signed HTTP response in bytes."""
    head = [
        b"HTTP/1.1 200 OK",
        b"X-Attempt-Id: " + (attempt or arrival.attempt).encode(),
        b"X-Server-Signature: raw",
    ]
    if stream:
        head.append(b"Content-Type: text/event-stream")
    if length:
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + HEAD_END + body


def events(first: int, last: int) -> bytes:
    """Return the events of a stream with numbers from `first` to `last`."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(first, last + 1))


@dataclass
class RawServer:
    """Runs `script` on each request, and `on_head` on its head before the body is read."""

    script: Script
    on_head: Callable[[Connection, bytes], Awaitable[None]] | None = None
    runs: Counter[str] = field(default_factory=Counter)  # received requests by attempt id
    arrivals: list[Arrival] = field(default_factory=list)
    connections: list[Connection] = field(default_factory=list)
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start listening on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        for connection in self.connections:
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                arrival = await self._read(connection)
                self.arrivals.append(arrival)
                self.runs[arrival.attempt] += 1
                await self.script(connection, arrival)

    async def _read(self, connection: Connection) -> Arrival:
        head = await connection.reader.readuntil(HEAD_END)
        if self.on_head is not None:
            await self.on_head(connection, head)
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
        names = {name.lower(): value for name, value in fields.items()}
        body = await connection.reader.readexactly(int(names.get(b"content-length", b"0")))
        position, connection.requests = connection.requests, connection.requests + 1
        return Arrival(names.get(b"x-attempt-id", b"").decode(), head, body, position)
