"""The replicas' data directory: recovery after a crash at any byte of what was being written."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from dunlinloft.controlplane import data_directory
from dunlinloft.controlplane import store as store_module
from dunlinloft.controlplane.exceptions import StoreError
from dunlinloft.controlplane.store import ReplicaStore
from dunlinloft.coordination.history import next_entry
from dunlinloft.coordination.records import EntryRecord, PrepareRecord
from dunlinloft.coordination.state import ChainState, ChangeKind, ConfigurationChange, LogEntry
from dunlinloft.coordination.views import ProposalNumber


def _entry(state: ChainState, version: int) -> LogEntry:
    body = {"version": version, "routes": [], "services": []}
    return next_entry(
        state, version, ConfigurationChange(ChangeKind.REPLACE, state.version, f"digest-{version}", body)
    )


def _fill(store: ReplicaStore, versions: range) -> None:
    for version in versions:
        store.append([EntryRecord(_entry(store.durable.state, version))])


def test_appended_records_are_recovered_after_a_restart(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 8))
    store.append([PrepareRecord(ProposalNumber(3, "somebody"))])
    store.close()
    again = ReplicaStore(tmp_path, None)
    assert again.durable.incarnation == "0"
    assert again.durable.state.version == 7
    assert again.durable.promised == ProposalNumber(3, "somebody")


def test_an_empty_disk_that_is_not_the_first_begins_a_new_incarnation(tmp_path: Path) -> None:
    first, second = ReplicaStore(tmp_path / "a", None), ReplicaStore(tmp_path / "b", None)
    assert first.durable.incarnation not in ("0", second.durable.incarnation)


def test_a_log_truncated_at_any_byte_recovers_what_was_before(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 4))
    store.close()
    found = data_directory.recover(tmp_path)
    assert found is not None
    log = data_directory.log_path(tmp_path, found.slot)
    whole = log.read_bytes()
    ends = [0]
    for body in data_directory.intact_frames(whole):
        ends.append(ends[-1] + data_directory.frame_size(body))
    for cut in range(len(whole) + 1):
        log.write_bytes(whole[:cut])
        recovered = data_directory.recover(tmp_path)
        assert recovered is not None
        assert recovered.durable.state.version == sum(cut >= end for end in ends[1:])


@pytest.mark.parametrize("damage", ["zeros", "garbage", "missing"])
def test_a_torn_snapshot_leaves_the_other_slot_in_use(tmp_path: Path, damage: str) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 4))
    newer = data_directory.snapshot_path(tmp_path, 1 - store._slot)
    store.close()
    whole = newer.read_bytes() if newer.exists() else b"x" * 100
    match damage:
        case "zeros":
            newer.write_bytes(bytes(len(whole)))
        case "garbage":
            newer.write_bytes(os.urandom(len(whole)))
        case "missing":
            newer.unlink(missing_ok=True)
    again = ReplicaStore(tmp_path, None)
    assert again.durable.state.version == 3


def test_a_snapshot_torn_while_it_is_written_leaves_the_log_before_it(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 4))
    store.close()
    kept = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    ReplicaStore(tmp_path, None).close()  # writes the other slot
    found = data_directory.recover(tmp_path)
    assert found is not None
    slot = data_directory.snapshot_path(tmp_path, found.slot)
    whole = slot.read_bytes()
    for cut in range(0, len(whole), 7):
        for name, data in kept.items():
            (tmp_path / name).write_bytes(data)
        slot.write_bytes(whole[:cut])
        recovered = data_directory.recover(tmp_path)
        assert recovered is not None
        assert recovered.durable.state.version == 3


def test_a_log_of_an_earlier_generation_is_not_replayed(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 4))
    old = data_directory.log_path(tmp_path, store._slot).read_bytes()
    store.write_snapshot()
    _fill(store, range(4, 6))
    store.close()
    found = data_directory.recover(tmp_path)
    assert found is not None
    data_directory.log_path(tmp_path, found.slot).write_bytes(old)
    recovered = data_directory.recover(tmp_path)
    assert recovered is not None
    assert recovered.durable.state.version == 3


def test_a_long_log_is_compacted_into_the_other_slot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "MAX_LOG_BYTES", 500)
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 30))
    store.close()
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 10_000
    assert ReplicaStore(tmp_path, None).durable.state.version == 29


def test_a_refused_append_can_be_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = ReplicaStore(tmp_path, "0")
    _fill(store, range(1, 3))
    record = EntryRecord(_entry(store.durable.state, 3))
    real = os.pwrite
    calls = 0

    def full(file: int, data: bytes, at: int) -> int:
        nonlocal calls
        calls += 1
        if calls == 1:
            return real(file, bytes(data)[:5], at)
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(OSError, match="No space"):
        store.append([record])
    assert store.durable.state.version == 2
    monkeypatch.setattr(os, "pwrite", real)
    store.append([record])
    store.close()
    assert ReplicaStore(tmp_path, None).durable.state.version == 3


def test_an_unsupported_format_is_refused_with_its_number(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ReplicaStore(tmp_path, "0").close()
    monkeypatch.setattr(data_directory, "FORMAT_VERSION", 9)
    with pytest.raises(StoreError, match="format 1, expected 9"):
        ReplicaStore(tmp_path, None)
