"""Encodings are stable: what an earlier version wrote can be read, and is written again as the same bytes.

Two versions run side by side during an upgrade of a fleet, and a data directory is read by later versions
than the one that wrote it. `fixtures/encoded` holds messages, log lines and stored values as commit 35b32c1
encoded them: one JSON value per line in `.jsonl`, and a name and a MessagePack value in hexadecimal per line
in `.hex`. Each type occurs with all fields set, with some set, and with its defaults only.
`fixtures/data-directory` and `fixtures/known-members` are the files of a control plane, `fixtures/node` those
of a node, byte for byte.

A new message needs new lines; existing lines are never changed.
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
NEW_VALUE = ["unknown", 1]


@dataclass(frozen=True)
class EncodedForm:
    """A group of encoded values: the types that its reader expects, and how they are read and written.

    `prefix` bytes stand before a body of MessagePack; None where the form is JSON.
    """

    types: Any
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]
    prefix: int | None = None


def _json_form(types: Any, write: Callable[[Any], bytes] = msgspec.json.encode) -> EncodedForm:
    return EncodedForm(
        types, msgspec.json.Decoder(types).decode, lambda value: write(value).rstrip(b"\n") + b"\n"
    )


def _indented_json_form(
    types: Any, read: Callable[[bytes], Any], write: Callable[[Any], bytes]
) -> EncodedForm:
    """A form that is written as indented JSON; the fixture holds each value on one line."""
    return EncodedForm(types, read, lambda value: msgspec.json.format(write(value), indent=-1) + b"\n")


def _shared_state_form(kind: int, types: Any) -> EncodedForm:
    return EncodedForm(types, functools.partial(shared_messages.decode, kind), shared_messages.encode, 0)


_flat_wire = wire.Wire("loft")
_cells_wire = cell_wire.CellWire("loft", "web", "east", lambda: partition.CellPartition(3, 2, 1))
_directory_wire = cell_wire.DirectoryWire("loft")

FORMS = {
    # Streams of the control plane, as lines.
    "to-control.jsonl": EncodedForm(
        stream.ControlPlaneInbound,
        msgspec.json.Decoder(stream.ControlPlaneInbound).decode,
        message_stream.encode_frame,
    ),
    "to-node.jsonl": EncodedForm(
        stream.ControlToNode, msgspec.json.Decoder(stream.ControlToNode).decode, message_stream.encode_frame
    ),
    # Input from servers and operators, and stored state of the control plane.
    "heartbeats.jsonl": _json_form(http_api.Heartbeat),
    "configurations.jsonl": _json_form(configuration.Configuration),
    "settings.jsonl": _json_form(settings.Settings),
    "slots.jsonl": _json_form(data_directory.Snapshot),
    "log-blocks.jsonl": _json_form(data_directory.LogRecord),
    # Datagrams and views between nodes, without cells and with them.
    "member-messages.hex": EncodedForm(member_messages.Message, _flat_wire.read, _flat_wire.write, 5),
    "member-views.hex": EncodedForm(member_messages.State, _flat_wire.read_state, _flat_wire.write_state, 5),
    "cell-messages.hex": EncodedForm(
        member_messages.Message, lambda data: _cells_wire.read(data)[0], _cells_wire.write, 18
    ),
    "cell-views.hex": EncodedForm(
        member_messages.State, lambda data: _cells_wire.read_state(data)[0], _cells_wire.write_state, 18
    ),
    "directory-messages.hex": EncodedForm(
        cell_messages.Message, _directory_wire.read, _directory_wire.write, 5
    ),
    # Records of the shared state, by kind, and rows of the ledger.
    "shared-1.hex": _shared_state_form(1, shared_messages.ObservationReport),
    "shared-2.hex": _shared_state_form(2, shared_messages.Heartbeat),
    "shared-3.hex": _shared_state_form(3, shared_messages.AffinityBindings),
    "shared-4.hex": _shared_state_form(4, shared_messages.OperatorLimits),
    "shared-5.hex": _shared_state_form(5, release_messages.Order),
    "shared-6.hex": _shared_state_form(6, release_messages.Tally),
    "shared-7.hex": _shared_state_form(7, cell_messages.CellSummary),
    "ledger-releases.jsonl": EncodedForm(
        release_messages.Plan, release_messages.decode_plan, lambda value: bytes(value.encode()) + b"\n"
    ),
    "ledger-voters.jsonl": EncodedForm(
        voters.VoterRow, voters.decode_voter_row, lambda value: bytes(value.encode()) + b"\n"
    ),
    # Log lines, messages between processes, and result files of the simulations.
    "log-lines.jsonl": _json_form(
        functools.reduce(operator.or_, records.Record.__subclasses__()), records.line
    ),
    "scale-commands.jsonl": _json_form(talk.Command, talk.encode),
    "scale-answers.jsonl": EncodedForm(
        talk.Answer, talk.read_answer, lambda value: talk.encode(value) + b"\n"
    ),
    "results.jsonl": _json_form(results.Results),
    "scale-results.jsonl": _json_form(plan.Results),
    "capacity-reports.jsonl": _indented_json_form(
        model.Report, model.read_report, lambda value: bytes(value.write())
    ),
    "cell-reports.jsonl": _json_form(lab_cells.Report),
}
COUNTS = {
    "to-control.jsonl": 95,
    "to-node.jsonl": 31,
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


def _recorded_values(group: str) -> list[bytes]:
    """Return the recorded encoded values of a group."""
    encoded_lines = (ENCODED / group).read_bytes().splitlines(keepends=True)
    if group.endswith(".hex"):
        return [bytes.fromhex(line.split()[1].decode()) for line in encoded_lines]
    return encoded_lines


_type_info = functools.cache(inspect.type_info)


def _alternatives(info: inspect.Type) -> Iterator[inspect.Type]:
    if isinstance(info, inspect.UnionType):
        for option in info.types:
            yield from _alternatives(option)
    else:
        yield info


def _with_unknown_fields(plain: Any, info: inspect.Type) -> Any:
    """Add an unknown field to a decoded value and to every structure nested in it."""
    match info:
        case inspect.UnionType() if plain is not None:
            options = [option for option in _alternatives(info) if isinstance(option, inspect.StructType)]
            tagged = [option for option in options if option.tag is not None]
            for option in tagged:
                assert option.tag_field is not None
                if option.tag == (plain[0] if option.array_like else plain[option.tag_field]):
                    return _with_unknown_fields(plain, option)
            assert not tagged, f"no type for {plain!r}"
            others = [option for option in _alternatives(info) if not isinstance(option, inspect.NoneType)]
            return _with_unknown_fields(plain, others[0]) if len(others) == 1 else plain
        case inspect.StructType(array_like=True):
            tag = [] if info.tag is None else plain[:1]
            assert len(plain) - len(tag) == len(info.fields)
            pairs = zip(plain[len(tag) :], info.fields, strict=True)
            return [*tag, *(_with_unknown_fields(item, field.type) for item, field in pairs), NEW_VALUE]
        case inspect.StructType():
            types = {field.encode_name: field.type for field in info.fields}
            extended = {
                key: _with_unknown_fields(v, types[key]) if key in types else v for key, v in plain.items()
            }
            return {**extended, NEW_FIELD: NEW_VALUE}
        case inspect.ListType() | inspect.VarTupleType():
            return [_with_unknown_fields(item, info.item_type) for item in plain]
        case inspect.TupleType():
            return [
                _with_unknown_fields(item, part) for item, part in zip(plain, info.item_types, strict=True)
            ]
        case inspect.DictType():
            return {key: _with_unknown_fields(item, info.value_type) for key, item in plain.items()}
    return plain


def _reachable_structs(info: inspect.Type) -> set[type]:
    """Return all structure types that a type may contain, including itself."""
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
    return found.union(*map(_reachable_structs, parts))


def _nested_structs(value: Any) -> Iterator[msgspec.Struct]:
    """Yield all structures in a value, including itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = value.values()
    if isinstance(value, (list, tuple, type({}.values()))):
        for item in value:
            yield from _nested_structs(item)


@pytest.mark.parametrize("group", FORMS)
def test_recorded_values_are_read_and_written_as_the_same_bytes(group: str) -> None:
    form = FORMS[group]
    changed: list[tuple[int, bytes, bytes | str]] = []
    for number, data in enumerate(_recorded_values(group), 1):
        try:
            written = form.write(form.read(data))
        except (msgspec.DecodeError, wire.MessageRejected) as error:
            changed.append((number, data, str(error)))
        else:
            if written != data:
                changed.append((number, data, written))
    assert changed == []


def _encode_with_unknown_fields(data: bytes, form: EncodedForm) -> bytes:
    info = _type_info(form.types)
    if form.prefix is None:
        return msgspec.json.encode(_with_unknown_fields(msgspec.json.decode(data), info)) + b"\n"
    body = _with_unknown_fields(msgspec.msgpack.decode(data[form.prefix :]), info)
    return data[: form.prefix] + msgspec.msgpack.encode(body)


@pytest.mark.parametrize("group", FORMS)
def test_unknown_fields_of_a_newer_version_are_ignored(group: str) -> None:
    form = FORMS[group]
    for number, data in enumerate(_recorded_values(group), 1):
        newer = _encode_with_unknown_fields(data, form)
        assert len(newer) > len(data)
        assert form.write(form.read(newer)) == data, f"line {number}"


@pytest.mark.parametrize("group", FORMS)
def test_every_type_and_field_of_a_group_is_recorded_set_and_with_its_default(group: str) -> None:
    form = FORMS[group]
    values: dict[tuple[type, str], list[Any]] = defaultdict(list)
    seen = set()
    for data in _recorded_values(group):
        for struct in _nested_structs(form.read(data)):
            seen.add(type(struct))
            for name in struct.__struct_fields__:
                values[type(struct), name].append(getattr(struct, name))
    assert seen == _reachable_structs(_type_info(form.types))
    never_set = [f"{cls.__name__}.{name}" for (cls, name), found in values.items() if not any(found)]
    assert not never_set
    for cls in seen:
        for field in msgspec.structs.fields(cls):
            if field.required:
                continue
            has_factory = field.default is msgspec.NODEFAULT
            default = field.default_factory() if has_factory else field.default
            found = values[cls, field.name]
            assert default in found, f"{cls.__name__}.{field.name} is never recorded with its default"
            assert any(value != default for value in found), (
                f"{cls.__name__}.{field.name} is only recorded with its default"
            )


def test_every_encoded_file_is_checked_and_has_all_its_values() -> None:
    assert {path.name for path in ENCODED.iterdir()} == set(FORMS)
    assert {group: len(_recorded_values(group)) for group in FORMS} == COUNTS


# The data directory of a control plane


def _copy_data_files(names: list[str], folder: Path) -> Path:
    folder.mkdir()
    for name in names:
        (folder / name).write_bytes((DATA_DIRECTORY / name).read_bytes())
    return folder


def _recover_as_json(folder: Path) -> bytes:
    found = data_directory.recover(folder)
    assert found is not None
    return msgspec.json.encode([found.durable, found.slot, found.generation])


def test_a_data_directory_of_an_earlier_version_is_recovered(tmp_path: Path) -> None:
    """Covers a complete directory, one with only the first slot and log, and one with only slot 1."""
    whole = _copy_data_files(["slot-0", "log-0", "slot-1", "log-1"], tmp_path / "whole")
    assert _recover_as_json(whole) == (DATA_DIRECTORY / "recovered.json").read_bytes()
    first = _copy_data_files(["slot-0", "log-0"], tmp_path / "first")
    assert _recover_as_json(first) == (DATA_DIRECTORY / "recovered-first.json").read_bytes()
    second = _copy_data_files(["slot-1"], tmp_path / "second")
    [state, *_] = msgspec.json.decode(_recover_as_json(second))
    assert state == msgspec.json.decode((DATA_DIRECTORY / "recovered-first.json").read_bytes())[0]


def _logged_records(index: int) -> list[Any]:
    """Parse the records of a log independently of the store."""
    data = (DATA_DIRECTORY / f"log-{index}").read_bytes()
    found = []
    while data:
        size = int.from_bytes(data[:4], "little")
        found.append(msgspec.json.decode(data[8 : 8 + size])["record"])
        data = data[8 + size :]
    return found


def test_each_kind_of_record_is_in_both_logs() -> None:
    kinds = {"view", "promise", "accept", "entry", "install", "synced", "committed"}
    assert {record["type"] for record in _logged_records(0)} == kinds
    assert {record["type"] for record in _logged_records(1)} == kinds


def test_rewriting_the_same_records_produces_identical_files(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    for index in (0, 1):
        replica_store = store.ReplicaStore(folder, "0")
        records_read = data_directory.read_log(DATA_DIRECTORY / f"log-{index}", index + 1)
        assert len(records_read) == len(_logged_records(index))
        replica_store.append(records_read[:3])
        replica_store.append(records_read[3:])
        replica_store.close()
    assert sorted(path.name for path in folder.iterdir()) == ["log-0", "log-1", "slot-0", "slot-1"]
    for path in folder.iterdir():
        assert path.read_bytes() == (DATA_DIRECTORY / path.name).read_bytes(), path.name


def test_a_recorded_entrys_digest_follows_from_the_recovered_state() -> None:
    state = msgspec.json.decode((DATA_DIRECTORY / "recovered-first.json").read_bytes())[0]["state"]
    appended = [
        record for record in data_directory.read_log(DATA_DIRECTORY / "log-1", 2) if hasattr(record, "entry")
    ]
    before = msgspec.convert(state, type(data_directory.recover(DATA_DIRECTORY).durable.state))  # type: ignore[union-attr]
    assert appended and history.is_next_entry(before, appended[0].entry)


def test_known_members_of_an_earlier_version_are_read_and_rewritten_identically(tmp_path: Path) -> None:
    recorded_cache = member_cache.MemberCache(KNOWN_MEMBERS)
    found = recorded_cache.read()
    assert msgspec.json.encode(found) == (KNOWN_MEMBERS / "known.json").read_bytes()
    new_cache = member_cache.MemberCache(tmp_path)
    new_cache.write(type(found)())
    new_cache.write(found)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["servers-0", "servers-1"]
    for path in tmp_path.iterdir():
        assert path.read_bytes() == (KNOWN_MEMBERS / path.name).read_bytes(), path.name


# Files of a node


def test_a_server_list_saved_by_an_earlier_version_is_read() -> None:
    listing = server_list.read_server_list(msgspec.json.decode((NODE / "listing.json").read_bytes()))
    read = msgspec.json.encode(dataclasses.astuple(listing))
    assert read == (NODE / "listing-read.json").read_bytes()


def test_two_versions_of_a_node_read_each_others_lock_and_socket_count(tmp_path: Path) -> None:
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
