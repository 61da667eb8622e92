"""Streams of JSON messages over TCP, one message per line.

The connections detect an unresponsive peer, and limit the memory that a slow reader costs the sender. Both
programs use them: nodes and replicas connect to the internal listener of a control plane.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import msgspec

from dunlinloft.transport.exceptions import ConnectError

MAX_FRAME_BYTES = 64 * 1024 * 1024  # twice the largest configuration that the API accepts
MAX_UNSENT_BYTES = 32 * 1024 * 1024  # in one connection's write buffer; a slower reader is disconnected
CONNECT_TIMEOUT_S = 0.4
UNACKNOWLEDGED_TIMEOUT_MS = 1_000  # TCP_USER_TIMEOUT: maximum time that sent bytes may stay unacknowledged

MessageT = TypeVar("MessageT")

_encode = msgspec.json.Encoder().encode


class StreamEnd(StrEnum):
    """Why a stream ended; the values appear in log lines."""

    IDLE = "silent"  # no message within the idle timeout
    CONNECTION_LOST = "lost"
    FRAME_TOO_LONG = "line too long"
    CLOSED_BY_PEER = "closed"
    UNDECODABLE = "not understood"  # a frame that is not a message of the expected types


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Disable Nagle's algorithm, and close the connection soon after the peer becomes unreachable."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class MessageWriter:
    """Writes messages to one connection; aborts it if the peer reads too slowly."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def send(self, message: msgspec.Struct) -> None:
        """Queue one message."""
        self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue one encoded message, so that many connections can share one encoding."""
        if self._writer.is_closing():
            return
        self._writer.write(frame)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._writer.transport.abort()

    def abort(self) -> None:
        """Abort the connection; queued data is dropped."""
        self._writer.transport.abort()


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encode a message for the wire: JSON followed by a newline."""
    return _encode(message) + b"\n"


async def read_messages(
    reader: asyncio.StreamReader,
    decoder: msgspec.json.Decoder[MessageT],
    handle: Callable[[MessageT], None],
    idle_timeout_s: float,
) -> StreamEnd:
    """Pass each message to `handle` until the stream ends.

    Parameters
    ----------
    decoder:
        Decodes one message; a frame that it rejects ends the stream.
    idle_timeout_s:
        The longest time without a frame; peers send keep-alives more often.

    Returns
    -------
    StreamEnd
        Why the stream ended. Exceptions raised by `handle` propagate.
    """
    while True:
        try:
            # Not `asyncio.wait_for`: before Python 3.12 it loses a cancellation that coincides with a
            # received frame, and whoever awaits the cancelled task waits forever.
            async with asyncio.timeout(idle_timeout_s):
                frame = await reader.readline()
        except TimeoutError:
            return StreamEnd.IDLE
        except (ConnectionError, OSError):
            return StreamEnd.CONNECTION_LOST
        except ValueError:
            return StreamEnd.FRAME_TOO_LONG
        if not frame.endswith(b"\n"):
            return StreamEnd.CLOSED_BY_PEER
        try:
            message = decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return StreamEnd.UNDECODABLE
        handle(message)


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to host:port.

    Raises
    ------
    ConnectError
        The connection was refused, or not established within `CONNECT_TIMEOUT_S`.
    """
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_FRAME_BYTES)
    except OSError as error:  # includes TimeoutError
        raise ConnectError(address, error) from error
    configure_socket(writer)
    return reader, writer
