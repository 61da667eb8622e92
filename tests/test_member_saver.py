"""`MemberSaver`: concurrent saves share a write, and none is covered by a write that began before it."""

from __future__ import annotations

import asyncio
from typing import cast

from msgspec import UNSET

from dunlinloft.controlplane.disk_writer import DiskWriter
from dunlinloft.controlplane.member_cache import CachedMembers
from dunlinloft.controlplane.member_saver import SAVE_INTERVAL_S, MemberSaver
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.transport.clock import now_ms
from tests.server_records import server_record
from tests.virtual_time import run_in_virtual_time

WRITE_S = 0.1


class _SlowDisk:
    """Records what is written; each write takes `WRITE_S`."""

    def __init__(self) -> None:
        self.written: list[tuple[CachedMembers, bool]] = []

    async def write_members(self, members: CachedMembers, sync: bool = False) -> None:
        await asyncio.sleep(WRITE_S)
        self.written.append((members, sync))

    def servers(self) -> list[list[str]]:
        """Return the ids of the servers in each write."""
        return [[record.id for record in members.servers] for members, _ in self.written]


class _Fixture:
    def __init__(self) -> None:
        self.registry = ServerRegistry(1_000.0, 0.0)
        self.disk = _SlowDisk()
        self.saver = MemberSaver(self.registry, NodeRegistry(), cast(DiskWriter, self.disk))


def test_concurrent_saves_share_a_write_that_began_after_them() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        fixture.registry.on_heartbeat(server_record(1), 0.0)
        first = asyncio.create_task(fixture.saver.save())
        await asyncio.sleep(WRITE_S / 2.0)
        fixture.registry.on_heartbeat(server_record(2), 0.0)
        await asyncio.gather(first, *(fixture.saver.save() for _ in range(5)))
        assert fixture.disk.servers() == [["i-1"], ["i-1", "i-2"]]
        assert all(sync for _, sync in fixture.disk.written)

    run_in_virtual_time(scenario())


def test_a_save_that_is_cancelled_covers_no_other() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        cancelled = asyncio.create_task(fixture.saver.save())
        await asyncio.sleep(WRITE_S / 2.0)
        cancelled.cancel()
        await fixture.saver.save()
        assert len(fixture.disk.written) == 1

    run_in_virtual_time(scenario())


def test_members_are_written_when_one_comes_drains_or_leaves() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        running = asyncio.create_task(fixture.saver.run())
        for sequence, state in enumerate(("ready", "ready", "draining"), 1):
            fixture.registry.on_heartbeat(server_record(1, sequence, state), 0.0)
            await asyncio.sleep(2.0 * SAVE_INTERVAL_S)
        fixture.registry.on_deregistration("i-1", now_ms())
        await asyncio.sleep(2.0 * SAVE_INTERVAL_S)
        running.cancel()
        assert [[r.state for r in members.servers] for members, _ in fixture.disk.written] == [
            ["ready"],
            ["draining"],
            [],
        ]
        deregistrations = fixture.disk.written[-1][0].deregistrations
        assert deregistrations is not UNSET
        assert [each.id for each in deregistrations] == ["i-1"]

    run_in_virtual_time(scenario())
