"""Wire format of member messages: encoding, size limits, rejection, and corrupt input."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from dunlinloft.fleet import interface as api
from dunlinloft.fleet import wire
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import SUSPECT, Header, Ping, Record, State, estimated_size

START = 1_700_000_000_000  # an incarnation: start time by the wall clock, ms


def ping(records: int = 3) -> Ping:
    """Return a ping with this number of piggybacked suspicions."""
    metadata: dict[str, Any] = {"zone": "linz", "tier": 0.0, "draining": False}
    records_sent = [
        Record(
            f"n{n}", 1_700_000_000_000 + n, n, SUSPECT, 2**56 + n, f"127.0.2.{n}:7400", 3, metadata, ["n9"]
        )
        for n in range(records)
    ]
    return Ping(Header("n1", START, 4, 2**63 + 5, 200), 77, "n2", records_sent)


@pytest.mark.parametrize("count", [0, 1, 3, 8])
def test_messages_decode_as_encoded_and_sizes_are_estimated(count: int) -> None:
    codec = wire.Wire("linz")
    data = codec.write(ping(count))
    assert codec.read(data) == ping(count)
    assert estimated_size(ping(count)) == pytest.approx(len(data), rel=0.25)


def test_datagrams_and_states_stay_within_their_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    codec = wire.Wire("linz")
    assert len(codec.write(ping(100))) <= wire.MAX_DATAGRAM_BYTES
    monkeypatch.setattr(wire, "MAX_STATE_BYTES", 5000)
    state = State(ping().header, ping(300).records)
    data = codec.write_state(state)
    assert len(data) <= 5000
    assert codec.read_state(data).records


def test_fields_of_a_later_version_are_skipped_and_invalid_bytes_rejected_with_a_reason() -> None:
    codec = wire.Wire("linz")
    other = wire.Wire("graz")
    data = codec.write(ping())
    fields = msgspec.msgpack.decode(data[5:])
    longer = data[:5] + msgspec.msgpack.encode([*fields[:2], *fields[2:], "a field of a later version"])
    assert codec.read(longer).header.name == "n1"
    invalid = {
        b"": "short", data[:5]: "short", bytes([9]) + data[1:]: "version", other.write(ping()): "foreign",
        data + bytes(2000): "long", data[:-3]: "broken", data[:5] + b"\xc1": "broken",
        data[:5] + b"\x91" * 1300: "broken",
    }  # fmt: skip
    for received, reason in invalid.items():
        with pytest.raises(wire.MessageRejected, match=reason):
            codec.read(received)


def test_corrupt_bytes_are_rejected_or_handled_and_nothing_else() -> None:
    codec = wire.Wire("linz")
    rng = random.Random(4)
    member = Membership("n2", "addr:n2", [], 5, 5, random.Random(1))
    member.handle(api.Started(), 0.0)
    good = codec.write(ping())
    decoded = 0
    for _ in range(3000):
        data = bytearray(good)
        data[rng.randrange(5, len(data))] = rng.randrange(256)
        end = len(data) if rng.random() < 0.8 else rng.randrange(len(data))
        try:
            message = codec.read(bytes(data[:end]))
        except wire.MessageRejected:
            continue
        decoded += 1
        member.handle(api.MessageReceived(message, "addr:x"), 10.0)
    assert decoded > 50
