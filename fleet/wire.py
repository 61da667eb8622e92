"""Messages as bytes: MessagePack, with the format's version and the fleet's name before everything.

What is broken, foreign, of another version or too long is refused with its reason, and nothing more.
"""

from __future__ import annotations

import zlib

import msgspec

from fleet.messages import VERSION, Message, State

MOST_DATAGRAM = 1400  # bytes
MOST_STATE = 512 * 1024
_PREFIX = 5  # the version, and four bytes of the fleet's name


class Refused(Exception):
    """Bytes that are not for this fleet; the text is one of `REASONS`."""


REASONS = ("short", "version", "foreign", "long", "broken")

_message = msgspec.msgpack.Decoder(Message)
_state = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode


class Wire:
    """Reads and writes for one fleet."""

    def __init__(self, fleet: str) -> None:
        self._prefix = bytes([VERSION]) + zlib.crc32(fleet.encode()).to_bytes(4, "big")

    def write(self, message: Message) -> bytes:
        """A datagram; records that would make it too long are left out, the last first."""
        data = self._prefix + _encode(message)
        while len(data) > MOST_DATAGRAM and message.records:
            message.records.pop()
            data = self._prefix + _encode(message)
        return data

    def read(self, data: bytes) -> Message:
        """What a datagram says; `Refused` where it says nothing to this fleet."""
        body = self._body(data, MOST_DATAGRAM)
        try:
            return _message.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise Refused("broken") from None

    def write_state(self, state: State) -> bytes:
        """A whole view; what would make it longer than the cap is left out."""
        data = self._prefix + _encode(state)
        while len(data) > MOST_STATE and state.records:
            del state.records[len(state.records) * 9 // 10 :]
            data = self._prefix + _encode(state)
        return data

    def read_state(self, data: bytes) -> State:
        """The view that these bytes are; `Refused` as with `read`."""
        body = self._body(data, MOST_STATE)
        try:
            return _state.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise Refused("broken") from None

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
