"""Wire format of the messages of a fleet with cells.

Messages between members consist of a version byte that differs from a flat fleet's, so each kind of fleet
rejects the other's messages, checksums of the fleet and of the service with its region, the sender's
partition, and the same message as in a flat fleet. Messages to and from the directory consist of another
version byte, the checksum of the fleet, and the message.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable

import msgspec

from dunlinloft.fleet.cells.messages import Message as CellMessage
from dunlinloft.fleet.cells.partition import CellPartition
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

# Version bytes; that of a flat fleet is `dunlinloft.fleet.messages.VERSION`.
CELL_VERSION = 2
DIRECTORY_VERSION = 3
_PARTITION_FORMAT = struct.Struct(">IBI")  # epoch, depth, bits

_message_decoder = msgspec.msgpack.Decoder(Message)
_state_decoder = msgspec.msgpack.Decoder(State)
_directory_decoder = msgspec.msgpack.Decoder(CellMessage)
_encode = msgspec.msgpack.Encoder().encode


def _crc(text: str) -> bytes:
    return zlib.crc32(text.encode()).to_bytes(4, "big")


class CellWire:
    """Encodes and decodes messages for the members of one service in one region.

    Parameters
    ----------
    fleet, service, region: messages from other ones are rejected.
    partition: returns the sender's cell; called for each message that is encoded.
    """

    def __init__(self, fleet: str, service: str, region: str, partition: Callable[[], CellPartition]) -> None:
        self._members = bytes([CELL_VERSION]) + _crc(fleet) + _crc(f"{service}@{region}")
        self._directory = bytes([DIRECTORY_VERSION]) + _crc(fleet)
        self._partition = partition

    def _prefix(self) -> bytes:
        partition = self._partition()
        return self._members + _PARTITION_FORMAT.pack(partition.epoch, partition.depth, partition.bits)

    def write(self, message: AnyMessage) -> bytes:
        """Encode a datagram; if it would be too long, records are left out from the end."""
        if isinstance(message, CellMessage):
            return self._directory + _encode(message)
        return encode_datagram(self._prefix(), message)

    def read(self, data: bytes) -> tuple[AnyMessage, CellPartition | None]:
        """Decode a datagram; return its message and the sender's cell (None for the directory's messages).

        Raises `MessageRejected` for a datagram that is malformed, or not for this service and region.
        """
        if data[:1] == self._directory[:1]:
            return read_directory(self._directory, data), None
        body, partition = self._body(data, MAX_DATAGRAM_BYTES)
        return decode(_message_decoder, body), partition

    def write_state(self, state: State) -> bytes:
        """Encode a complete view; records beyond the size limit are left out."""
        return encode_state(self._prefix(), state)

    def read_state(self, data: bytes) -> tuple[State, CellPartition | None]:
        """Decode a view; return it and the sender's cell. Raises `MessageRejected` like `read`."""
        body, partition = self._body(data, MAX_STATE_BYTES)
        return decode(_state_decoder, body), partition

    def _body(self, data: bytes, max_bytes: int) -> tuple[memoryview, CellPartition]:
        body = strip_prefix(self._members, data, max_bytes)
        if len(body) <= _PARTITION_FORMAT.size:
            raise MessageRejected(RejectReason.SHORT)
        partition = CellPartition(*_PARTITION_FORMAT.unpack(body[: _PARTITION_FORMAT.size]))
        if not partition.is_valid():
            raise MessageRejected(RejectReason.BROKEN)
        return body[_PARTITION_FORMAT.size :], partition


class DirectoryWire:
    """Encodes and decodes the messages between members and the directory's processes."""

    def __init__(self, fleet: str) -> None:
        self._prefix = bytes([DIRECTORY_VERSION]) + _crc(fleet)

    def accepts(self, data: bytes) -> bool:
        """Whether a datagram is of this kind, rather than between the directory's own processes."""
        return data[:1] == self._prefix[:1]

    def write(self, message: CellMessage) -> bytes:
        """Encode a datagram."""
        return self._prefix + _encode(message)

    def read(self, data: bytes) -> CellMessage:
        """Decode a datagram; raises `MessageRejected` if it is malformed or of another fleet."""
        return read_directory(self._prefix, data)


def read_directory(prefix: bytes, data: bytes) -> CellMessage:
    """Decode a message to or from the directory; raises `MessageRejected`."""
    return decode(_directory_decoder, strip_prefix(prefix, data, MAX_DATAGRAM_BYTES))


def strip_prefix(prefix: bytes, data: bytes, max_bytes: int) -> memoryview:
    """Return the body after a prefix; raises `MessageRejected` if length, version or checksums are wrong."""
    if len(data) <= len(prefix):
        raise MessageRejected(RejectReason.SHORT)
    if len(data) > max_bytes:
        raise MessageRejected(RejectReason.LONG)
    if data[0] != prefix[0]:
        raise MessageRejected(RejectReason.VERSION)
    if data[: len(prefix)] != prefix:
        raise MessageRejected(RejectReason.FOREIGN)
    return memoryview(data)[len(prefix) :]
