"""`DiskWriter`: write order, retries after disk errors, and completion of writes on close."""

from __future__ import annotations

import asyncio
import threading
import time
from pathlib import Path

import pytest
from msgspec import UNSET, UnsetType

from dunlinloft.controlplane import disk_writer
from dunlinloft.controlplane.data_directory import recover
from dunlinloft.controlplane.disk_writer import DiskWriter, open_disk_writer
from dunlinloft.controlplane.member_cache import CachedMembers
from dunlinloft.controlplane.store import ReplicaStore
from dunlinloft.coordination.actions import Persist
from dunlinloft.coordination.records import Record, SyncedRecord
from dunlinloft.coordination.stream import Deregistration, NodeLiveness


async def _write_records(disk: DiskWriter, tokens: range) -> list[int]:
    """Write a record for each token; return the tokens reported as persisted, in order."""
    persisted_tokens: list[int] = []
    writer_task = asyncio.create_task(disk.run(persisted_tokens.append))
    for token in tokens:
        disk.write(Persist(token, SyncedRecord(token)))
    async with asyncio.timeout(5.0):
        while len(persisted_tokens) < len(tokens):
            await asyncio.sleep(0.001)
    writer_task.cancel()
    return persisted_tokens


def test_records_are_reported_in_order_and_are_on_disk(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await _write_records(disk, range(1, 6)) == [1, 2, 3, 4, 5]

    asyncio.run(main())
    recovered = recover(tmp_path)
    assert recovered is not None
    assert (recovered.durable.incarnation, recovered.durable.synced_epoch) == ("0", 5)


def test_failed_write_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real_append = ReplicaStore.append
    failures = iter([True, True, False])

    def fail_twice(self: ReplicaStore, records: list[Record]) -> None:
        if next(failures):
            raise OSError(28, "No space left on device")
        real_append(self, records)

    monkeypatch.setattr(ReplicaStore, "append", fail_twice)
    monkeypatch.setattr(disk_writer, "DISK_RETRY_INTERVAL_S", 0.001)

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await _write_records(disk, range(1, 2)) == [1]

    asyncio.run(main())
    assert list(failures) == []


def test_failed_open_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    directory = tmp_path / "data"
    directory.write_text("not a directory")
    monkeypatch.setattr(disk_writer, "DISK_RETRY_INTERVAL_S", 0.001)

    async def main() -> None:
        open_task = asyncio.create_task(_open_and_close())
        await asyncio.sleep(0.02)
        assert not open_task.done()
        directory.unlink()
        async with asyncio.timeout(5.0):
            await open_task

    async def _open_and_close() -> None:
        async with open_disk_writer(directory, "0"):
            pass

    asyncio.run(main())
    assert recover(directory) is not None


def test_close_waits_for_a_write_in_progress(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real_append = ReplicaStore.append
    write_started = threading.Event()

    def write_slowly(self: ReplicaStore, records: list[Record]) -> None:
        write_started.set()
        time.sleep(0.05)
        real_append(self, records)

    monkeypatch.setattr(ReplicaStore, "append", write_slowly)

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            writer_task = asyncio.create_task(disk.run(lambda _: None))
            disk.write(Persist(1, SyncedRecord(3)))
            await asyncio.to_thread(write_started.wait, 5.0)
            writer_task.cancel()

    asyncio.run(main())
    recovered = recover(tmp_path)
    assert recovered is not None
    assert recovered.durable.synced_epoch == 3


def test_without_a_directory_records_count_as_durable_immediately() -> None:
    async def main() -> None:
        async with open_disk_writer(None, None) as disk:
            assert disk.durable.incarnation == ""
            assert await _write_records(disk, range(1, 3)) == [1, 2]
            await disk.write_members(CachedMembers((), (NodeLiveness("n", 1.0),)))
            assert await disk.read_members() == CachedMembers()

    asyncio.run(main())


@pytest.mark.parametrize("deregistrations", [UNSET, (Deregistration("i-1", 250.0),)])
def test_cached_members_are_read_after_a_restart(
    deregistrations: tuple[Deregistration, ...] | UnsetType, tmp_path: Path
) -> None:
    members = CachedMembers((), (NodeLiveness("n", 1.0),), deregistrations)

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await disk.read_members() == CachedMembers()
            await disk.write_members(members)
        async with open_disk_writer(tmp_path, None) as disk:
            assert await disk.read_members() == members

    asyncio.run(main())
