"""JSON lines over TCP: connections that notice a silent peer, and writers that a slow reader can't fill."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import msgspec

MOST_LINE = 64 * 1024 * 1024  # bytes
MOST_UNSENT = 32 * 1024 * 1024  # bytes; a peer that reads slower loses its connection
CONNECT_S = 0.4
SILENT_MS = 1_000  # unacknowledged bytes end a connection after so long

_encode = msgspec.json.Encoder().encode


def tune(writer: asyncio.StreamWriter) -> None:
    """Have the kernel end the connection soon once the peer is out of reach."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)


class LineWriter:
    """Writes messages; drops the connection of a peer that doesn't read."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def send(self, message: msgspec.Struct) -> None:
        """Queue one message."""
        self.send_line(encoded(message))

    def send_line(self, line: bytes) -> None:
        """Queue one message that is a line already."""
        if self._writer.is_closing():
            return
        self._writer.write(line)
        if self._writer.transport.get_write_buffer_size() > MOST_UNSENT:
            self._writer.transport.abort()

    def abort(self) -> None:
        """End the connection at once."""
        self._writer.transport.abort()


def encoded(message: msgspec.Struct) -> bytes:
    """A message as a line."""
    return _encode(message) + b"\n"


async def read_messages(
    reader: asyncio.StreamReader,
    decoder: msgspec.json.Decoder[Any],
    take: Callable[[Any], None],
    silent_s: float,
) -> str:
    """Hand over messages until the connection ends; the reason for the end."""
    while True:
        try:
            # Not `wait_for`: before Python 3.12 it drops a cancellation that meets a line, and the end hangs.
            async with asyncio.timeout(silent_s):
                line = await reader.readline()
        except TimeoutError:
            return "silent"
        except (ConnectionError, OSError):
            return "lost"
        except ValueError:
            return "line too long"
        if not line.endswith(b"\n"):
            return "closed"
        try:
            message = decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return "not understood"
        take(message)


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to host:port. Raises `OSError` or `TimeoutError`."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port), limit=MOST_LINE)
    tune(writer)
    return reader, writer
