"""Encoded forms stay as they are: what an earlier version wrote is read, and written again to the same bytes.

Two versions run side by side while a fleet is upgraded, and a data directory outlives the program that wrote
it. `fixtures/encoded` holds messages, log lines and stored values as commit 35b32c1 encoded them: JSON one
a line in `.jsonl`, MessagePack as a name and hexadecimal digits a line in `.hex`. Each type is there with all
fields filled, with mixed ones, and with nothing but its defaults. `fixtures/data-directory` and
`fixtures/known-members` are the files of a control plane, `fixtures/node` those of a node, byte for byte.

A message that is added needs its lines added; a line is never changed.
"""

from __future__ import annotations

import dataclasses
import fcntl
import functools
import operator
import os
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from dunlinloft import configuration, settings
from dunlinloft.controlplane import data_directory, http_api, member_cache, store
from dunlinloft.coordination import history, stream
from dunlinloft.fleet import messages as member_messages
from dunlinloft.fleet import wire
from dunlinloft.fleet.cells import messages as cell_messages
from dunlinloft.fleet.cells import partition
from dunlinloft.fleet.cells import wire as cell_wire
from dunlinloft.fleet.leases import voters
from dunlinloft.fleet.releases import messages as release_messages
from dunlinloft.fleet.shared_state import messages as shared_messages
from dunlinloft.node import server_list
from dunlinloft.node.http import handover
from dunlinloft.transport import message_stream
from lab import cells as lab_cells
from lab import records, results
from lab.capacity import model
from lab.scale import plan, talk

FIXTURES = Path(__file__).parent / "fixtures"
ENCODED = FIXTURES / "encoded"
DATA_DIRECTORY = FIXTURES / "data-directory"
KNOWN_MEMBERS = FIXTURES / "known-members"
NODE = FIXTURES / "node"
NEW_FIELD = "field_of_a_newer_version"
NEW_VALUE = ["unheard of", 1]


@dataclass(frozen=True)
class Form:
    """A group of encoded values: the types that its reader expects, and how they are read and written.

    `prefix` bytes stand before a body of MessagePack; None where the form is JSON.
    """

    types: Any
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]
    prefix: int | None = None


def _json(types: Any, write: Callable[[Any], bytes] = msgspec.json.encode) -> Form:
    return Form(types, msgspec.json.Decoder(types).decode, lambda value: write(value).rstrip(b"\n") + b"\n")


def _pretty(types: Any, read: Callable[[bytes], Any], write: Callable[[Any], bytes]) -> Form:
    """A form that its writer breaks into lines: joined again to be kept as one line."""
    return Form(types, read, lambda value: msgspec.json.format(write(value), indent=-1) + b"\n")


def _shared(kind: int, types: Any) -> Form:
    return Form(types, functools.partial(shared_messages.decode, kind), shared_messages.encode, 0)


_flat = wire.Wire("loft")
_celled = cell_wire.CellWire("loft", "web", "east", lambda: partition.CellPartition(3, 2, 1))
_directory = cell_wire.DirectoryWire("loft")

FORMS = {
    # Streams of the control plane, as lines.
    "to-control.jsonl": Form(
        stream.ControlPlaneInbound,
        msgspec.json.Decoder(stream.ControlPlaneInbound).decode,
        message_stream.encode_frame,
    ),
    "to-node.jsonl": Form(
        stream.ControlToNode, msgspec.json.Decoder(stream.ControlToNode).decode, message_stream.encode_frame
    ),
    # What servers and operators send to it, and what it keeps.
    "heartbeats.jsonl": _json(http_api.Heartbeat),
    "configurations.jsonl": _json(configuration.Configuration),
    "settings.jsonl": _json(settings.Settings),
    "slots.jsonl": _json(data_directory.Snapshot),
    "log-blocks.jsonl": _json(data_directory.LogRecord),
    # Datagrams and views between nodes, without cells and with them.
    "member-messages.hex": Form(member_messages.Message, _flat.read, _flat.write, 5),
    "member-views.hex": Form(member_messages.State, _flat.read_state, _flat.write_state, 5),
    "cell-messages.hex": Form(member_messages.Message, lambda data: _celled.read(data)[0], _celled.write, 18),
    "cell-views.hex": Form(
        member_messages.State, lambda data: _celled.read_state(data)[0], _celled.write_state, 18
    ),
    "directory-messages.hex": Form(cell_messages.Message, _directory.read, _directory.write, 5),
    # Records of the shared state, by kind, and rows of the ledger.
    "shared-1.hex": _shared(1, shared_messages.ObservationReport),
    "shared-2.hex": _shared(2, shared_messages.Heartbeat),
    "shared-3.hex": _shared(3, shared_messages.AffinityBindings),
    "shared-4.hex": _shared(4, shared_messages.OperatorLimits),
    "shared-5.hex": _shared(5, release_messages.Order),
    "shared-6.hex": _shared(6, release_messages.Tally),
    "shared-7.hex": _shared(7, cell_messages.CellSummary),
    "ledger-releases.jsonl": Form(
        release_messages.Plan, release_messages.decode_plan, lambda value: bytes(value.encode()) + b"\n"
    ),
    "ledger-voters.jsonl": Form(
        voters.VoterRow, voters.decode_voter_row, lambda value: bytes(value.encode()) + b"\n"
    ),
    # Log lines, talk between processes and files of the simulations.
    "log-lines.jsonl": _json(functools.reduce(operator.or_, records.Record.__subclasses__()), records.line),
    "scale-commands.jsonl": _json(talk.Command, talk.encode),
    "scale-answers.jsonl": Form(talk.Answer, talk.read_answer, lambda value: talk.encode(value) + b"\n"),
    "results.jsonl": _json(results.Results),
    "scale-results.jsonl": _json(plan.Results),
    "capacity-reports.jsonl": _pretty(model.Report, model.read_report, lambda value: bytes(value.write())),
    "cell-reports.jsonl": _json(lab_cells.Report),
}
COUNTS = {
    "to-control.jsonl": 94,
    "to-node.jsonl": 30,
    "heartbeats.jsonl": 3,
    "configurations.jsonl": 3,
    "settings.jsonl": 3,
    "slots.jsonl": 5,
    "log-blocks.jsonl": 22,
    "member-messages.hex": 60,
    "member-views.hex": 3,
    "cell-messages.hex": 60,
    "cell-views.hex": 3,
    "directory-messages.hex": 9,
    "shared-1.hex": 3,
    "shared-2.hex": 3,
    "shared-3.hex": 3,
    "shared-4.hex": 3,
    "shared-5.hex": 3,
    "shared-6.hex": 3,
    "shared-7.hex": 3,
    "ledger-releases.jsonl": 3,
    "ledger-voters.jsonl": 3,
    "log-lines.jsonl": 42,
    "scale-commands.jsonl": 18,
    "scale-answers.jsonl": 9,
    "results.jsonl": 3,
    "scale-results.jsonl": 3,
    "capacity-reports.jsonl": 3,
    "cell-reports.jsonl": 3,
}


def _kept(group: str) -> list[bytes]:
    """The encoded values of a group."""
    kept = (ENCODED / group).read_bytes().splitlines(keepends=True)
    if group.endswith(".hex"):
        return [bytes.fromhex(line.split()[1].decode()) for line in kept]
    return kept


_type_info = functools.cache(inspect.type_info)


def _alternatives(info: inspect.Type) -> Iterator[inspect.Type]:
    if isinstance(info, inspect.UnionType):
        for option in info.types:
            yield from _alternatives(option)
    else:
        yield info


def _grown(plain: Any, info: inspect.Type) -> Any:
    """An encoded value with one more field in it and in every structure within."""
    match info:
        case inspect.UnionType() if plain is not None:
            options = [option for option in _alternatives(info) if isinstance(option, inspect.StructType)]
            tagged = [option for option in options if option.tag is not None]
            for option in tagged:
                assert option.tag_field is not None
                if option.tag == (plain[0] if option.array_like else plain[option.tag_field]):
                    return _grown(plain, option)
            assert not tagged, f"no type for {plain!r}"
            others = [option for option in _alternatives(info) if not isinstance(option, inspect.NoneType)]
            return _grown(plain, others[0]) if len(others) == 1 else plain
        case inspect.StructType(array_like=True):
            tag = [] if info.tag is None else plain[:1]
            assert len(plain) - len(tag) == len(info.fields)
            pairs = zip(plain[len(tag) :], info.fields, strict=True)
            return [*tag, *(_grown(item, field.type) for item, field in pairs), NEW_VALUE]
        case inspect.StructType():
            types = {field.encode_name: field.type for field in info.fields}
            grown = {key: _grown(v, types[key]) if key in types else v for key, v in plain.items()}
            return {**grown, NEW_FIELD: NEW_VALUE}
        case inspect.ListType() | inspect.VarTupleType():
            return [_grown(item, info.item_type) for item in plain]
        case inspect.TupleType():
            return [_grown(item, part) for item, part in zip(plain, info.item_types, strict=True)]
        case inspect.DictType():
            return {key: _grown(item, info.value_type) for key, item in plain.items()}
    return plain


def _reachable(info: inspect.Type) -> set[type]:
    """All structures that a type may hold, itself too."""
    found: set[type] = set()
    match info:
        case inspect.UnionType():
            parts = list(info.types)
        case inspect.StructType():
            found.add(info.cls)
            parts = [field.type for field in info.fields]
        case inspect.ListType() | inspect.VarTupleType():
            parts = [info.item_type]
        case inspect.TupleType():
            parts = list(info.item_types)
        case inspect.DictType():
            parts = [info.value_type]
        case _:
            parts = []
    return found.union(*map(_reachable, parts))


def _within(value: Any) -> Iterator[msgspec.Struct]:
    """All structures in a value, itself too."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = value.values()
    if isinstance(value, (list, tuple, type({}.values()))):
        for item in value:
            yield from _within(item)


@pytest.mark.parametrize("group", FORMS)
def test_what_was_encoded_before_is_read_and_written_to_the_same_bytes(group: str) -> None:
    form = FORMS[group]
    changed: list[tuple[int, bytes, bytes | str]] = []
    for number, data in enumerate(_kept(group), 1):
        try:
            written = form.write(form.read(data))
        except (msgspec.DecodeError, wire.MessageRejected) as problem:
            changed.append((number, data, str(problem)))
        else:
            if written != data:
                changed.append((number, data, written))
    assert changed == []


def _newer(data: bytes, form: Form) -> bytes:
    info = _type_info(form.types)
    if form.prefix is None:
        return msgspec.json.encode(_grown(msgspec.json.decode(data), info)) + b"\n"
    body = _grown(msgspec.msgpack.decode(data[form.prefix :]), info)
    return data[: form.prefix] + msgspec.msgpack.encode(body)


@pytest.mark.parametrize("group", FORMS)
def test_a_newer_versions_further_fields_are_passed_over(group: str) -> None:
    form = FORMS[group]
    for number, data in enumerate(_kept(group), 1):
        newer = _newer(data, form)
        assert len(newer) > len(data)
        assert form.write(form.read(newer)) == data, f"line {number}"


@pytest.mark.parametrize("group", FORMS)
def test_every_type_and_field_of_a_group_is_kept_filled_and_bare(group: str) -> None:
    form = FORMS[group]
    values: dict[tuple[type, str], list[Any]] = defaultdict(list)
    seen = set()
    for data in _kept(group):
        for struct in _within(form.read(data)):
            seen.add(type(struct))
            for name in struct.__struct_fields__:
                values[type(struct), name].append(getattr(struct, name))
    assert seen == _reachable(_type_info(form.types))
    never_filled = [f"{cls.__name__}.{name}" for (cls, name), found in values.items() if not any(found)]
    assert not never_filled
    for cls in seen:
        for field in msgspec.structs.fields(cls):
            if field.required:
                continue
            made = field.default is msgspec.NODEFAULT
            default = field.default_factory() if made else field.default
            found = values[cls, field.name]
            assert default in found, f"{cls.__name__}.{field.name} is never its default"
            assert any(value != default for value in found), f"{cls.__name__}.{field.name} is its default"


def test_every_file_of_encoded_forms_is_checked_and_none_is_shortened() -> None:
    assert {path.name for path in ENCODED.iterdir()} == set(FORMS)
    assert {group: len(_kept(group)) for group in FORMS} == COUNTS


# The data directory of a control plane


def _copy(names: list[str], folder: Path) -> Path:
    folder.mkdir()
    for name in names:
        (folder / name).write_bytes((DATA_DIRECTORY / name).read_bytes())
    return folder


def _recovered(folder: Path) -> bytes:
    found = data_directory.recover(folder)
    assert found is not None
    return msgspec.json.encode([found.durable, found.slot, found.generation])


def test_a_data_directory_of_the_version_before_is_recovered(tmp_path: Path) -> None:
    """Whole, with its first slot and log alone, and with nothing but its second slot."""
    whole = _copy(["slot-0", "log-0", "slot-1", "log-1"], tmp_path / "whole")
    assert _recovered(whole) == (DATA_DIRECTORY / "recovered.json").read_bytes()
    first = _copy(["slot-0", "log-0"], tmp_path / "first")
    assert _recovered(first) == (DATA_DIRECTORY / "recovered-first.json").read_bytes()
    second = _copy(["slot-1"], tmp_path / "second")
    [state, *_] = msgspec.json.decode(_recovered(second))
    assert state == msgspec.json.decode((DATA_DIRECTORY / "recovered-first.json").read_bytes())[0]


def _logged(which: int) -> list[Any]:
    """The records of a log, each taken out of its block without the store's help."""
    data = (DATA_DIRECTORY / f"log-{which}").read_bytes()
    found = []
    while data:
        size = int.from_bytes(data[:4], "little")
        found.append(msgspec.json.decode(data[8 : 8 + size])["record"])
        data = data[8 + size :]
    return found


def test_each_kind_of_record_is_in_both_logs() -> None:
    kinds = {"view", "promise", "accept", "entry", "install", "synced", "committed"}
    assert {record["type"] for record in _logged(0)} == kinds
    assert {record["type"] for record in _logged(1)} == kinds


def test_the_same_records_written_again_make_the_same_files(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    for which in (0, 1):
        opened = store.ReplicaStore(folder, "0")
        taken = data_directory.read_log(DATA_DIRECTORY / f"log-{which}", which + 1)
        assert len(taken) == len(_logged(which))
        opened.append(taken[:3])
        opened.append(taken[3:])
        opened.close()
    assert sorted(path.name for path in folder.iterdir()) == ["log-0", "log-1", "slot-0", "slot-1"]
    for path in folder.iterdir():
        assert path.read_bytes() == (DATA_DIRECTORY / path.name).read_bytes(), path.name


def test_an_entrys_digest_follows_from_the_state_and_order_as_before() -> None:
    state = msgspec.json.decode((DATA_DIRECTORY / "recovered-first.json").read_bytes())[0]["state"]
    appended = [
        record for record in data_directory.read_log(DATA_DIRECTORY / "log-1", 2) if hasattr(record, "entry")
    ]
    before = msgspec.convert(state, type(data_directory.recover(DATA_DIRECTORY).durable.state))  # type: ignore[union-attr]
    assert appended and history.is_next_entry(before, appended[0].entry)


def test_known_members_of_the_version_before_are_read_and_written_again(tmp_path: Path) -> None:
    held = member_cache.MemberCache(KNOWN_MEMBERS)
    found = held.read()
    assert msgspec.json.encode(found) == (KNOWN_MEMBERS / "known.json").read_bytes()
    again = member_cache.MemberCache(tmp_path)
    again.write(type(found)())
    again.write(found)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["servers-0", "servers-1"]
    for path in tmp_path.iterdir():
        assert path.read_bytes() == (KNOWN_MEMBERS / path.name).read_bytes(), path.name


# What a node keeps


def test_a_nodes_listing_as_it_was_saved_is_read_as_before() -> None:
    listing = server_list.read_server_list(msgspec.json.decode((NODE / "listing.json").read_bytes()))
    read = msgspec.json.encode(dataclasses.astuple(listing))
    assert read == (NODE / "listing-read.json").read_bytes()


def test_two_versions_of_a_node_see_each_others_lock_and_count_of_sockets(tmp_path: Path) -> None:
    name = "orchidferry.0.lock"
    own = handover.Siblings(tmp_path)
    own.publish_socket_count(12)
    assert [path.name for path in tmp_path.iterdir()] == [name]
    assert (tmp_path / name).read_bytes() == (NODE / name).read_bytes()
    other = os.open(tmp_path / "orchidferry.5.lock", os.O_RDWR | os.O_CREAT)
    try:
        os.write(other, (NODE / name).read_bytes())
        fcntl.flock(other, fcntl.LOCK_EX | fcntl.LOCK_NB)
        assert own.others() == [12]
    finally:
        os.close(other)
        own.leave()
