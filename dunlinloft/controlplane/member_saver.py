"""Saves the known servers and nodes in the member cache.

The cache is written periodically without a sync, and with one before the draining state or deregistration of
a server is acknowledged: such a server serves on, so that a restart must not list it as one to send
requests to.
"""

from __future__ import annotations

import asyncio

from msgspec import UNSET

from dunlinloft.controlplane.disk_writer import DiskWriter
from dunlinloft.controlplane.member_cache import CachedMembers
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.transport.clock import now_ms

SAVE_INTERVAL_S = 1.0  # between comparisons of the known members with those on disk


class MemberSaver:
    """Writes snapshots of the registries by `DiskWriter`. Owned by `ControlPlane`."""

    def __init__(self, registry: ServerRegistry, nodes: NodeRegistry, disk: DiskWriter) -> None:
        self._registry = registry
        self._nodes = nodes
        self._disk = disk
        self._lock = asyncio.Lock()
        self._requested = 0  # number of the last call of `save`
        self._saved = 0  # number of the last call whose members are on disk

    async def run(self) -> None:
        """Write the members whenever one has come, has left or is draining, until cancelled."""
        saved: set[tuple[str, str]] = set()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            states = self._states()
            if saved != states:
                saved = states
                await self._disk.write_members(self._members())

    async def save(self) -> None:
        """Write the present members and sync them; concurrent calls share a write that began after them."""
        self._requested += 1
        request = self._requested
        async with self._lock:
            if self._saved < request:
                covered = self._requested
                await self._disk.write_members(self._members(), sync=True)
                self._saved = covered

    def _states(self) -> set[tuple[str, str]]:
        """Return the names of all members, each with its state."""
        servers = ((record.id, record.state) for record in self._registry.records.values())
        deregistered = ((server_id, "deregistered") for server_id in self._registry.deregistered_ids())
        nodes = ((node, "node") for node in self._nodes.active_names())
        return {*servers, *deregistered, *nodes}

    def _members(self) -> CachedMembers:
        now = now_ms()
        return CachedMembers(
            tuple(self._registry.records.values()),
            self._nodes.liveness(now),
            self._registry.recent_deregistrations(now) or UNSET,
        )
