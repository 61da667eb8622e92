"""Encodes and decodes member messages: a prefix of format version and fleet name, followed by MessagePack.

Input that is truncated, oversized, malformed, or from another format version or fleet is rejected with a
`RejectReason`. Decoding raises no other exception.
"""

from __future__ import annotations

import zlib
from enum import StrEnum
from typing import TypeVar

import msgspec

from dunlinloft.fleet.messages import VERSION, Message, State

T = TypeVar("T")

# With IP and UDP headers below the usual path MTU of 1500 bytes, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400
MAX_STATE_BYTES = 512 * 1024  # encoded size of a state exchanged over a stream
_PREFIX_BYTES = 5  # one byte for the format version, four for the CRC-32 of the fleet's name


class RejectReason(StrEnum):
    """Why received bytes were rejected; operators see counts by these values (`refused_for`)."""

    SHORT = "short"
    VERSION = "version"
    FOREIGN = "foreign"
    LONG = "long"
    BROKEN = "broken"


class MessageRejected(Exception):
    """The received bytes are not a valid message of this fleet."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason)
        self.reason = reason


_message_decoder = msgspec.msgpack.Decoder(Message)
_state_decoder = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode


def encode_datagram(prefix: bytes, message: Message) -> bytes:
    """Encode a message as one datagram, dropping piggybacked records from the end until it fits."""
    data = prefix + _encode(message)
    while len(data) > MAX_DATAGRAM_BYTES and message.records:
        message.records.pop()
        data = prefix + _encode(message)
    return data


def encode_state(prefix: bytes, state: State) -> bytes:
    """Encode a state for a stream; while it is too large, drop the last tenth of its records."""
    data = prefix + _encode(state)
    while len(data) > MAX_STATE_BYTES and state.records:
        del state.records[len(state.records) * 9 // 10 :]
        data = prefix + _encode(state)
    return data


def decode(decoder: msgspec.msgpack.Decoder[T], body: memoryview) -> T:
    """Decode a body; raises `MessageRejected(BROKEN)` for malformed bytes."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise MessageRejected(RejectReason.BROKEN) from None


class Wire:
    """Encoder and decoder for the members of one flat fleet (without cells)."""

    def __init__(self, fleet: str) -> None:
        self._prefix = bytes([VERSION]) + zlib.crc32(fleet.encode()).to_bytes(4, "big")

    def write(self, message: Message) -> bytes:
        """Encode a datagram, dropping records from the end until it fits `MAX_DATAGRAM_BYTES`."""
        return encode_datagram(self._prefix, message)

    def read(self, data: bytes) -> Message:
        """Decode a datagram; raises `MessageRejected`."""
        return decode(_message_decoder, self._body(data, MAX_DATAGRAM_BYTES))

    def write_state(self, state: State) -> bytes:
        """Encode a state, dropping records from the end until it fits `MAX_STATE_BYTES`."""
        return encode_state(self._prefix, state)

    def read_state(self, data: bytes) -> State:
        """Decode a state; raises `MessageRejected`."""
        return decode(_state_decoder, self._body(data, MAX_STATE_BYTES))

    def _body(self, data: bytes, max_bytes: int) -> memoryview:
        """Check the length and the prefix, and return the bytes after the prefix."""
        if len(data) <= _PREFIX_BYTES:
            raise MessageRejected(RejectReason.SHORT)
        if len(data) > max_bytes:
            raise MessageRejected(RejectReason.LONG)
        if data[0] != VERSION:
            raise MessageRejected(RejectReason.VERSION)
        if data[:_PREFIX_BYTES] != self._prefix:
            raise MessageRejected(RejectReason.FOREIGN)
        return memoryview(data)[_PREFIX_BYTES:]
