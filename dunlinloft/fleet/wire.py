"""Messages as bytes: MessagePack, with the format's version and the fleet's name before everything.

What is broken, foreign, of another version or too long is refused with its reason, and nothing more.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

from dunlinloft.fleet.messages import VERSION, Message, State

T = TypeVar("T")

MOST_DATAGRAM = 1400  # bytes
MOST_STATE = 512 * 1024
_PREFIX = 5  # the version, and four bytes of the fleet's name


class Refused(Exception):
    """Bytes that are not for this fleet; the text is one of `REASONS`."""


REASONS = ("short", "version", "foreign", "long", "broken")

_message = msgspec.msgpack.Decoder(Message)
_state = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode


def fit(prefix: bytes, message: Message) -> bytes:
    """A datagram; records that would make it too long are left out, the last first."""
    data = prefix + _encode(message)
    while len(data) > MOST_DATAGRAM and message.records:
        message.records.pop()
        data = prefix + _encode(message)
    return data


def fit_state(prefix: bytes, state: State) -> bytes:
    """A whole view; what would make it longer than the cap is left out."""
    data = prefix + _encode(state)
    while len(data) > MOST_STATE and state.records:
        del state.records[len(state.records) * 9 // 10 :]
        data = prefix + _encode(state)
    return data


def parse(decoder: msgspec.msgpack.Decoder[T], body: memoryview) -> T:
    """What a body says; `Refused` where it can't be read."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise Refused("broken") from None


class Wire:
    """Reads and writes for one fleet."""

    def __init__(self, fleet: str) -> None:
        self._prefix = bytes([VERSION]) + zlib.crc32(fleet.encode()).to_bytes(4, "big")

    def write(self, message: Message) -> bytes:
        """A datagram; records that would make it too long are left out, the last first."""
        return fit(self._prefix, message)

    def read(self, data: bytes) -> Message:
        """What a datagram says; `Refused` where it says nothing to this fleet."""
        return parse(_message, self._body(data, MOST_DATAGRAM))

    def write_state(self, state: State) -> bytes:
        """A whole view; what would make it longer than the cap is left out."""
        return fit_state(self._prefix, state)

    def read_state(self, data: bytes) -> State:
        """The view that these bytes are; `Refused` as with `read`."""
        return parse(_state, self._body(data, MOST_STATE))

    def _body(self, data: bytes, most: int) -> memoryview:
        if len(data) <= _PREFIX:
            raise Refused("short")
        if len(data) > most:
            raise Refused("long")
        if data[0] != VERSION:
            raise Refused("version")
        if data[:_PREFIX] != self._prefix:
            raise Refused("foreign")
        return memoryview(data)[_PREFIX:]
