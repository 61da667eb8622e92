"""Tests of the wire format of cells and of the directory; a flat fleet's format stays byte for byte."""

from __future__ import annotations

import math
import random
import zlib
from typing import Any

import msgspec
import pytest

from dunlinloft.fleet import interface as api
from dunlinloft.fleet import wire
from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.directory import Directory, MemberMessageReceived
from dunlinloft.fleet.cells.index import is_valid_summary
from dunlinloft.fleet.cells.messages import CellSummary, LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.metadata import SERVICE_MEMBERS_KEY
from dunlinloft.fleet.cells.partition import MAX_DEPTH_BITS, MAX_EPOCH, CellPartition
from dunlinloft.fleet.cells.settings import CellSettings
from dunlinloft.fleet.cells.wire import CellWire, DirectoryWire
from dunlinloft.fleet.messages import ALIVE, Ack, Gossip, Header, Ping, Record, State
from dunlinloft.fleet.wire import MAX_DATAGRAM_BYTES, MessageRejected, Wire

LONG = "x" * 64
PARTITION = CellPartition(3, 2, 1)
SUMMARY = CellSummary(3, 2, 1, 9, 10, 2**63, 4.5, "1", ["127.0.2.1:7400"])
LOOKUP = LookupRequest(7, "n1", "web", "east", 3, 2, 1)
RESPONSE = LookupResponse(
    7, 1_700_000_000_000, 5000, 3, 2, 1, ["127.0.2.1:7400"], 40, 9, 10, 4, True, 900, 8, 3, ["a"]
)
REPORT = SummaryReport(1_700_000_000_000, 5000, "n1", 17, 4, "web", "east", SUMMARY)


def members(partition: CellPartition = PARTITION, fleet: str = "loft", service: str = "web") -> CellWire:
    return CellWire(fleet, service, "east", lambda: partition)


def ping(records: int = 1) -> Ping:
    sent_records = [
        Record(f"n{n}", 17, 0, ALIVE, 5, "127.0.2.1:7400", 0, {"zone": "a"}) for n in range(records)
    ]
    return Ping(Header("n1", 17, 0, 2**63, 3), 4, "n2", sent_records)


def test_members_messages_are_decoded_as_encoded_with_their_senders_partition() -> None:
    data = members().write(ping())
    assert members(CellPartition()).read(data) == (ping(), CellPartition(3, 2, 1))
    state = State(ping().header, ping(30).records)
    assert members(CellPartition()).read_state(members().write_state(state)) == (
        state,
        CellPartition(3, 2, 1),
    )
    assert len(members().write(ping(200))) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("message", [LOOKUP, RESPONSE, REPORT])
def test_messages_with_the_directory_are_decoded_as_encoded_by_both_sides(message: Any) -> None:
    directory = DirectoryWire("loft")
    assert directory.read(members().write(message)) == message
    assert members().read(directory.write(message)) == (message, None)
    assert directory.accepts(directory.write(message))
    assert not directory.accepts(Wire("loft").write(ping()))


def test_the_longest_response_and_report_fit_a_datagram() -> None:
    partition = MAX_EPOCH - 1, MAX_DEPTH_BITS, (1 << MAX_DEPTH_BITS) - 1
    summary = CellSummary(*partition, 100_000, 100_000, 2**64 - 1, 1e300, LONG, [LONG] * 4)
    report = SummaryReport(2**63, 2**63, LONG, 2**63, 2**63, LONG, LONG, summary)
    big = 2**32
    response = LookupResponse(
        2**63, 2**63, 2**63, *partition, [LONG] * 4, big, big, big, big, True, big, big, big, [LONG] * 3
    )  # fmt: skip
    for message in (report, response, LookupRequest(2**63, LONG, LONG, LONG, *partition)):
        assert len(DirectoryWire("loft").write(message)) <= MAX_DATAGRAM_BYTES


def test_messages_of_another_cell_or_service_are_rejected_with_their_reason() -> None:
    data = members().write(ping())
    rejected = {
        b"": "short", data[:5]: "short", data[:18]: "short", data + bytes(2000): "long",
        bytes([9]) + data[1:]: "version", Wire("loft").write(ping()): "version",
        members(fleet="graz").write(ping()): "foreign", members(service="db").write(ping()): "foreign",
        DirectoryWire("graz").write(LOOKUP): "foreign", DirectoryWire("loft").write(LOOKUP)[:-2]: "broken",
        data[:-2]: "broken", members(CellPartition(0, 21, 0)).write(ping()): "broken",
        members(CellPartition(0, 2, 4)).write(ping()): "broken",
        members(CellPartition(MAX_EPOCH, 2, 1)).write(ping()): "broken",
    }  # fmt: skip
    for received, reason in rejected.items():
        with pytest.raises(MessageRejected, match=reason):
            members().read(received)
    with pytest.raises(MessageRejected, match="version"):
        Wire("loft").read(data)
    with pytest.raises(MessageRejected, match="version"):
        Wire("loft").read_state(members().write_state(State(ping().header, [])))
    with pytest.raises(MessageRejected, match="version"):
        members().read_state(Wire("loft").write_state(State(ping().header, [])))


def test_a_later_versions_fields_are_skipped() -> None:
    for message in (LOOKUP, RESPONSE, REPORT):
        data = DirectoryWire("loft").write(message)
        plain = msgspec.msgpack.decode(data[5:])
        assert DirectoryWire("loft").read(data[:5] + msgspec.msgpack.encode([*plain, "later"])) == message


# A flat fleet's messages: version, CRC of the fleet's name, then MessagePack arrays.

# Member n1, incarnation 17, revision 0, digest 2**63, 3 members.
HEADER = "95a26e3111" + "00" + "cf8000000000000000" + "03"
METADATA = "81" + "a47a6f6e65" + "a161"  # {"zone": "a"}
RECORD = "99a26e30" + "11000005" + "ae" + b"127.0.2.1:7400".hex() + "00" + METADATA + "90"
PING = "01" + "9501" + HEADER + "04" + "a26e32" + "91" + RECORD
ACK = "01" + "9602" + HEADER + "04" + "a26e32" + "12" + "90"
STATE = "01" + "92" + HEADER + "91" + RECORD


def expected_bytes(text: str) -> bytes:
    data = bytes.fromhex(text)
    return data[:1] + zlib.crc32(b"loft").to_bytes(4, "big") + data[1:]


def test_the_flat_fleets_format_is_unchanged_byte_for_byte() -> None:
    flat = Wire("loft")
    assert wire.MAX_DATAGRAM_BYTES == 1400 and wire.MAX_STATE_BYTES == 512 * 1024
    for message, text in ((ping(), PING), (Ack(ping().header, 4, "n2", 18, []), ACK)):
        assert flat.write(message) == expected_bytes(text)
        assert flat.read(expected_bytes(text)) == message
    state = State(ping().header, ping().records)
    assert flat.write_state(state) == expected_bytes(STATE)
    assert flat.read_state(expected_bytes(STATE)) == state


# Faulty peers


def member() -> CellMembership:
    settings = CellSettings("web", "east", 8, ["addr:dir"])
    core = CellMembership("n2", "addr:n2", [], 5, 5, random.Random(1), {"load": 1.0}, settings)
    core.handle(api.Started(), 0.0)
    return core


def corrupted(data: bytes, rng: random.Random, start: int) -> bytes:
    received = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        received[rng.randrange(start, len(data))] = rng.randrange(256)
    return bytes(received[: len(data) if rng.random() < 0.8 else rng.randrange(len(data))])


def test_corrupt_bytes_at_a_member_are_at_most_rejected() -> None:
    rng, core, decoded = random.Random(4), member(), 0
    cell_wire = CellWire("loft", "web", "east", lambda: core.partition)
    messages = [members().write(ping()), members().write(RESPONSE)]
    for n in range(4000):
        now = 40.0 * n
        for action in core.handle(api.TimerFired(rng.randrange(n + 1)), now):
            if isinstance(action, api.SendDatagram):
                cell_wire.write(action.message)
        try:
            message, partition = cell_wire.read(corrupted(rng.choice(messages), rng, 5))
        except MessageRejected:
            continue
        if isinstance(message, LookupResponse) and core.lookup.pending is not None:
            message.request_number = core.lookup.pending.request_number
        decoded += 1
        for action in core.handle(api.MessageReceived(message, "addr:x", partition), now):
            if isinstance(action, api.SendDatagram):
                assert len(cell_wire.write(action.message)) <= MAX_DATAGRAM_BYTES
            if isinstance(action, api.PushPull):
                cell_wire.write_state(action.state)
    assert decoded > 300


def test_corrupt_bytes_at_the_directory_are_at_most_rejected() -> None:
    rng, directory_wire = random.Random(5), DirectoryWire("loft")
    directory = Directory("d1", 1_700_000_000_000, random.Random(1), 0.0)
    messages, decoded = [directory_wire.write(LOOKUP), directory_wire.write(REPORT)], 0
    for _ in range(4000):
        try:
            message = directory_wire.read(corrupted(rng.choice(messages), rng, 5))
        except MessageRejected:
            continue
        if isinstance(message, LookupRequest | SummaryReport):
            decoded += 1
            for action in directory.handle(MemberMessageReceived(message, "addr:x"), 5_500.0):
                assert isinstance(action, api.SendDatagram) and isinstance(action.message, LookupResponse)
                assert len(directory_wire.write(action.message)) <= MAX_DATAGRAM_BYTES
    assert decoded > 300
    assert directory.counts["foreign"]


def test_a_faulty_members_metadata_corrupt_neither_its_cells_summary_nor_its_shares() -> None:
    core, oversized = member(), ["y" * 900, "z" * 900]
    for n, claim in enumerate((math.inf, math.nan, -5.0, 1e18, "9", True)):
        metadata: dict[str, Any] = {"program": oversized[0], "load": math.nan, SERVICE_MEMBERS_KEY: claim}
        record = Record(f"n{n + 5}", 17, 0, ALIVE, n + 1, oversized[1], 1, metadata)
        core.handle(api.MessageReceived(Gossip(ping().header, [record]), "addr:n1", CellPartition()), 10.0)
    core._metadata["program"] = oversized[0]
    core._claim_service_members(20.0)
    assert core.service_totals is None
    assert is_valid_summary(core.summary())
    report = SummaryReport(3, 5000, "n2", 17, 4, "web", "east", core.summary())
    assert len(members().write(report)) <= MAX_DATAGRAM_BYTES
    directory = Directory("d1", 3, random.Random(1), 0.0)
    directory.handle(MemberMessageReceived(report, "addr:n2"), 5_500.0)
    assert "web" in directory.index.services


@pytest.mark.parametrize(
    "summary",
    [
        CellSummary(1, 1, 1, 5, 4, 0, 0.0, "1", []),
        CellSummary(1, 1, 1, -1, 4, 0, 0.0, "1", []),
        CellSummary(1, 1, 1, 5, 10**9, 0, 0.0, "1", []),
        CellSummary(1, 1, 2, 5, 5, 0, 0.0, "1", []),
        CellSummary(1, 1, 1, 5, 5, 0, 0.0, "1", ["a" * 65]),
    ],
)
def test_an_invalid_summary_corrupts_no_sums(summary: CellSummary) -> None:
    directory = Directory("d1", 3, random.Random(1), 0.0)
    directory.handle(
        MemberMessageReceived(SummaryReport(3, 5000, "n1", 17, 4, "web", "east", summary), "addr:n1"), 5_500.0
    )
    assert directory.index.services == {}
    assert directory.counts["foreign"] == 1
