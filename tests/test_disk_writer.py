"""The disk's thread: records are written in order, until the disk takes them, and before it is closed."""

from __future__ import annotations

import asyncio
import threading
import time
from pathlib import Path

import pytest

from dunlinloft.controlplane import disk_writer
from dunlinloft.controlplane.data_directory import recover
from dunlinloft.controlplane.disk_writer import DiskWriter, open_disk_writer
from dunlinloft.controlplane.member_cache import CachedMembers
from dunlinloft.controlplane.store import ReplicaStore
from dunlinloft.coordination.actions import Persist
from dunlinloft.coordination.records import Record, SyncedRecord
from dunlinloft.coordination.stream import NodeLiveness


async def _persisted(disk: DiskWriter, tokens: range) -> list[int]:
    """Write a record for each token; the tokens that are reported, in order."""
    reported: list[int] = []
    writing = asyncio.create_task(disk.run(reported.append))
    for token in tokens:
        disk.write(Persist(token, SyncedRecord(token)))
    async with asyncio.timeout(5.0):
        while len(reported) < len(tokens):
            await asyncio.sleep(0.001)
    writing.cancel()
    return reported


def test_records_are_reported_in_order_once_they_are_on_disk(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await _persisted(disk, range(1, 6)) == [1, 2, 3, 4, 5]

    asyncio.run(main())
    recovered = recover(tmp_path)
    assert recovered is not None
    assert (recovered.durable.incarnation, recovered.durable.synced_epoch) == ("0", 5)


def test_a_write_that_the_disk_refuses_is_made_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    append = ReplicaStore.append
    refusals = iter([True, True, False])

    def refuse_twice(self: ReplicaStore, records: list[Record]) -> None:
        if next(refusals):
            raise OSError(28, "No space left on device")
        append(self, records)

    monkeypatch.setattr(ReplicaStore, "append", refuse_twice)
    monkeypatch.setattr(disk_writer, "DISK_RETRY_INTERVAL_S", 0.001)

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await _persisted(disk, range(1, 2)) == [1]

    asyncio.run(main())
    assert list(refusals) == []


def test_a_disk_that_refuses_to_open_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    directory = tmp_path / "data"
    directory.write_text("in the way")
    monkeypatch.setattr(disk_writer, "DISK_RETRY_INTERVAL_S", 0.001)

    async def main() -> None:
        opened = asyncio.create_task(_open_and_close())
        await asyncio.sleep(0.02)
        assert not opened.done()
        directory.unlink()
        async with asyncio.timeout(5.0):
            await opened

    async def _open_and_close() -> None:
        async with open_disk_writer(directory, "0"):
            pass

    asyncio.run(main())
    assert recover(directory) is not None


def test_closing_waits_for_the_write_in_progress(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    append = ReplicaStore.append
    began = threading.Event()

    def write_slowly(self: ReplicaStore, records: list[Record]) -> None:
        began.set()
        time.sleep(0.05)
        append(self, records)

    monkeypatch.setattr(ReplicaStore, "append", write_slowly)

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            writing = asyncio.create_task(disk.run(lambda _: None))
            disk.write(Persist(1, SyncedRecord(3)))
            await asyncio.to_thread(began.wait, 5.0)
            writing.cancel()

    asyncio.run(main())
    recovered = recover(tmp_path)
    assert recovered is not None
    assert recovered.durable.synced_epoch == 3


def test_without_a_folder_records_count_as_durable_at_once() -> None:
    async def main() -> None:
        async with open_disk_writer(None, None) as disk:
            assert disk.durable.incarnation == ""
            assert await _persisted(disk, range(1, 3)) == [1, 2]
            await disk.write_members(CachedMembers((), (NodeLiveness("n", 1.0),)))
            assert await disk.read_members() == CachedMembers()

    asyncio.run(main())


def test_members_are_read_back_after_a_restart(tmp_path: Path) -> None:
    members = CachedMembers((), (NodeLiveness("n", 1.0),))

    async def main() -> None:
        async with open_disk_writer(tmp_path, "0") as disk:
            assert await disk.read_members() == CachedMembers()
            await disk.write_members(members)
        async with open_disk_writer(tmp_path, None) as disk:
            assert await disk.read_members() == members

    asyncio.run(main())
