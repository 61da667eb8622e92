"""`ReplicaStore`: persistence, and recovery after a crash at any byte of a write."""

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


def _append_versions(store: ReplicaStore, versions: range) -> None:
    for version in versions:
        store.append([EntryRecord(_entry(store.durable.state, version))])


def test_appended_records_are_recovered_after_a_restart(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 8))
    store.append([PrepareRecord(ProposalNumber(3, "proposer"))])
    store.close()
    reopened = ReplicaStore(tmp_path, None)
    assert reopened.durable.incarnation == "0"
    assert reopened.durable.state.version == 7
    assert reopened.durable.promised == ProposalNumber(3, "proposer")


def test_empty_directory_after_the_first_start_gets_a_new_incarnation(tmp_path: Path) -> None:
    first, second = ReplicaStore(tmp_path / "a", None), ReplicaStore(tmp_path / "b", None)
    assert first.durable.incarnation not in ("0", second.durable.incarnation)


def test_log_truncated_at_any_byte_recovers_the_complete_records(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 4))
    store.close()
    latest = data_directory.recover(tmp_path)
    assert latest is not None
    log = data_directory.log_path(tmp_path, latest.slot)
    content = log.read_bytes()
    frame_ends = [0]
    for body in data_directory.intact_frames(content):
        frame_ends.append(frame_ends[-1] + data_directory.frame_size(body))
    for length in range(len(content) + 1):
        log.write_bytes(content[:length])
        recovered = data_directory.recover(tmp_path)
        assert recovered is not None
        assert recovered.durable.state.version == sum(length >= end for end in frame_ends[1:])


@pytest.mark.parametrize("damage", ["zeros", "garbage", "missing"])
def test_damaged_snapshot_is_recovered_from_the_other_slot(tmp_path: Path, damage: str) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 4))
    newer = data_directory.snapshot_path(tmp_path, 1 - store._slot)
    store.close()
    content = newer.read_bytes() if newer.exists() else b"x" * 100
    match damage:
        case "zeros":
            newer.write_bytes(bytes(len(content)))
        case "garbage":
            newer.write_bytes(os.urandom(len(content)))
        case "missing":
            newer.unlink(missing_ok=True)
    reopened = ReplicaStore(tmp_path, None)
    assert reopened.durable.state.version == 3


def test_snapshot_torn_while_being_written_is_recovered_from_the_previous_slot(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 4))
    store.close()
    saved_files = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    ReplicaStore(tmp_path, None).close()  # writes a snapshot to the other slot
    latest = data_directory.recover(tmp_path)
    assert latest is not None
    slot = data_directory.snapshot_path(tmp_path, latest.slot)
    content = slot.read_bytes()
    for length in range(0, len(content), 7):
        for name, data in saved_files.items():
            (tmp_path / name).write_bytes(data)
        slot.write_bytes(content[:length])
        recovered = data_directory.recover(tmp_path)
        assert recovered is not None
        assert recovered.durable.state.version == 3


def test_log_of_an_earlier_generation_is_not_replayed(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 4))
    earlier_log = data_directory.log_path(tmp_path, store._slot).read_bytes()
    store.write_snapshot()
    _append_versions(store, range(4, 6))
    store.close()
    latest = data_directory.recover(tmp_path)
    assert latest is not None
    data_directory.log_path(tmp_path, latest.slot).write_bytes(earlier_log)
    recovered = data_directory.recover(tmp_path)
    assert recovered is not None
    assert recovered.durable.state.version == 3


def test_long_log_is_compacted_into_the_other_slot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "MAX_LOG_BYTES", 500)
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 30))
    store.close()
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 10_000
    assert ReplicaStore(tmp_path, None).durable.state.version == 29


def test_failed_append_can_be_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = ReplicaStore(tmp_path, "0")
    _append_versions(store, range(1, 3))
    record = EntryRecord(_entry(store.durable.state, 3))
    real_pwrite = os.pwrite
    call_count = 0

    def pwrite_until_full(file: int, data: bytes, offset: int) -> int:
        nonlocal call_count
        call_count += 1
        if call_count == 1:
            return real_pwrite(file, bytes(data)[:5], offset)
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", pwrite_until_full)
    with pytest.raises(OSError, match="No space"):
        store.append([record])
    assert store.durable.state.version == 2
    monkeypatch.setattr(os, "pwrite", real_pwrite)
    store.append([record])
    store.close()
    assert ReplicaStore(tmp_path, None).durable.state.version == 3


def test_unsupported_format_raises_an_error_with_both_format_numbers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ReplicaStore(tmp_path, "0").close()
    monkeypatch.setattr(data_directory, "FORMAT_VERSION", 9)
    with pytest.raises(StoreError, match="format 1, expected 9"):
        ReplicaStore(tmp_path, None)
