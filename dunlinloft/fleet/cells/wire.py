"""Messages of a fleet with cells as bytes.

Between members: another version than a flat fleet's, so each refuses the other's, then the fleet, the
service with its region, the sender's cut, and the same message as in a flat fleet. With the directory:
a version of its own, the fleet, and the message.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable

import msgspec

from dunlinloft.fleet.cells.cut import Cut
from dunlinloft.fleet.cells.messages import Message as CellMessage
from dunlinloft.fleet.interface import AnyMessage
from dunlinloft.fleet.messages import Message, State
from dunlinloft.fleet.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_STATE_BYTES,
    MessageRejected,
    RejectReason,
    decode,
    encode_datagram,
    encode_state,
)

CELLED, DIRECTORY = 2, 3  # versions; a flat fleet's is `dunlinloft.fleet.messages.VERSION`
_CUT = struct.Struct(">IBI")

_message = msgspec.msgpack.Decoder(Message)
_state = msgspec.msgpack.Decoder(State)
_asked = msgspec.msgpack.Decoder(CellMessage)
_encode = msgspec.msgpack.Encoder().encode


def _crc(text: str) -> bytes:
    return zlib.crc32(text.encode()).to_bytes(4, "big")


class CellWire:
    """Reads and writes for the members of one service in one region."""

    def __init__(self, fleet: str, service: str, region: str, cut: Callable[[], Cut]) -> None:
        self._members = bytes([CELLED]) + _crc(fleet) + _crc(f"{service}@{region}")
        self._directory = bytes([DIRECTORY]) + _crc(fleet)
        self._cut = cut

    def _prefix(self) -> bytes:
        cut = self._cut()
        return self._members + _CUT.pack(cut.epoch, cut.depth, cut.bits)

    def write(self, message: AnyMessage) -> bytes:
        """A datagram; records that would make it too long are left out, the last first."""
        if isinstance(message, CellMessage):
            return self._directory + _encode(message)
        return encode_datagram(self._prefix(), message)

    def read(self, data: bytes) -> tuple[AnyMessage, Cut | None]:
        """What a datagram says, and its sender's cut; `MessageRejected` where it says nothing here."""
        if data[:1] == self._directory[:1]:
            return read_directory(self._directory, data), None
        body, cut = self._body(data, MAX_DATAGRAM_BYTES)
        return decode(_message, body), cut

    def write_state(self, state: State) -> bytes:
        """A whole view; what would make it longer than the cap is left out."""
        return encode_state(self._prefix(), state)

    def read_state(self, data: bytes) -> tuple[State, Cut | None]:
        """The view that these bytes are; `MessageRejected` as with `read`."""
        body, cut = self._body(data, MAX_STATE_BYTES)
        return decode(_state, body), cut

    def _body(self, data: bytes, most: int) -> tuple[memoryview, Cut]:
        body = strip(self._members, data, most)
        if len(body) <= _CUT.size:
            raise MessageRejected(RejectReason.SHORT)
        cut = Cut(*_CUT.unpack(body[: _CUT.size]))
        if not cut.sound():
            raise MessageRejected(RejectReason.BROKEN)
        return body[_CUT.size :], cut


class DirectoryWire:
    """Reads and writes what members say to the directory's processes."""

    def __init__(self, fleet: str) -> None:
        self._prefix = bytes([DIRECTORY]) + _crc(fleet)

    def mine(self, data: bytes) -> bool:
        """Whether a datagram is of this kind, and not the directory's processes' own."""
        return data[:1] == self._prefix[:1]

    def write(self, message: CellMessage) -> bytes:
        """A datagram."""
        return self._prefix + _encode(message)

    def read(self, data: bytes) -> CellMessage:
        """What a datagram says; `MessageRejected` where it says nothing to this fleet."""
        return read_directory(self._prefix, data)


def read_directory(prefix: bytes, data: bytes) -> CellMessage:
    """A message to or from the directory."""
    return decode(_asked, strip(prefix, data, MAX_DATAGRAM_BYTES))


def strip(prefix: bytes, data: bytes, most: int) -> memoryview:
    """The body behind a prefix, or why there is none."""
    if len(data) <= len(prefix):
        raise MessageRejected(RejectReason.SHORT)
    if len(data) > most:
        raise MessageRejected(RejectReason.LONG)
    if data[0] != prefix[0]:
        raise MessageRejected(RejectReason.VERSION)
    if data[: len(prefix)] != prefix:
        raise MessageRejected(RejectReason.FOREIGN)
    return memoryview(data)[len(prefix) :]
