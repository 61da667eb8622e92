"""Server registration: receives heartbeats and deregistrations of servers and replicates them.

A heartbeat is acknowledged only by a replica in contact with a majority of the roster. A partitioned or
suspended replica responds 503, and the server retries at the next one. The draining state or deregistration
of a server is acknowledged once a majority of the roster has it in memory and on disk, so that every node in
contact with a majority learns of it from one of these replicas, even if all of them have just restarted.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from absl import logging
from msgspec import UNSET, Struct

from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.stream import ServerHeartbeats, ServerHeartbeatsAck, ServerRecord, ServerUpdates
from dunlinloft.coordination.views import View, majority_of
from dunlinloft.transport.clock import now_ms

REPLICATION_TIMEOUT_S = 0.8  # for a majority to acknowledge; the server waits 1 s
REPLICATION_RETRY_INTERVAL_S = 0.15  # resent to replicas that have not acknowledged by then
# For a replica's disk; one that takes longer is treated as having none, so that it delays no acknowledgement.
SAVE_TIMEOUT_S = 0.3


@dataclass(slots=True)
class _Replication:
    """The replication of one draining state or deregistration to a majority of a view's roster."""

    view: View
    acknowledged_by: set[str]  # addresses
    majority_reached: asyncio.Event = field(default_factory=asyncio.Event)

    def acknowledge(self, address: str) -> None:
        """Record that the replica at an address has the change."""
        self.acknowledged_by.add(address)
        acknowledged = sum(member.address in self.acknowledged_by for member in self.view.roster)
        if acknowledged >= majority_of(self.view):
            self.majority_reached.set()


class ServerRegistrar:
    """Updates the server registry from requests and relayed messages, and propagates its changes.

    Parameters
    ----------
    address:
        Address of this replica's internal listener.
    view_with_majority_contact:
        Returns the view while this replica is in contact with a majority of its roster, otherwise None.
    peer_addresses:
        Returns the addresses of all other control planes.
    send:
        Sends a message to the replica at an address; delivery is best effort.
    save_members:
        Saves the present members on this replica's disk, if it has one.
    start_task:
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        address: str,
        registry: ServerRegistry,
        publisher: NodePublisher,
        placements: PlacementDirectory,
        view_with_majority_contact: Callable[[], View | None],
        peer_addresses: Callable[[], set[str]],
        send: Callable[[str, Struct], None],
        save_members: Callable[[], Awaitable[None]],
        start_task: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._address = address
        self._registry = registry
        self._publisher = publisher
        self._placements = placements
        self._view_with_majority_contact = view_with_majority_contact
        self._peer_addresses = peer_addresses
        self._send = send
        self._save_members = save_members
        self._start_task = start_task
        self._replication_numbers = itertools.count(1)
        self._replications: dict[int, _Replication] = {}  # in progress, by number
        self._replicated: set[str] = set()  # servers whose draining state a majority has

    async def heartbeat(self, record: ServerRecord) -> bool:
        """Handle a server's heartbeat; True if it may be acknowledged."""
        self._registry.on_heartbeat(record, now_ms())
        self.publish_changes()
        view = self._view_with_majority_contact()
        if view is None:
            return False
        if not record.draining or record.id in self._replicated:
            return True
        return await self._replicate(view, record.id, (record,), ())

    async def deregister(self, server_id: str) -> bool:
        """Handle a server's deregistration; True if it may be acknowledged."""
        self._registry.on_deregistration(server_id, now_ms())
        self.publish_changes()
        view = self._view_with_majority_contact()
        if view is None:
            return False
        return await self._replicate(view, server_id, (), (server_id,))

    async def _replicate(
        self, view: View, server_id: str, records: tuple[ServerRecord, ...], removed: tuple[str, ...]
    ) -> bool:
        """Send a change to the roster until a majority has acknowledged it; False on a timeout."""
        number = next(self._replication_numbers)
        replication = _Replication(view, set())
        self._replications[number] = replication
        self._start_task(self._save_and_count(replication))
        message = ServerHeartbeats(records, removed, self._address, number)
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                while not replication.majority_reached.is_set():
                    await self._send_round(replication, message)
        except TimeoutError:
            return False
        finally:
            del self._replications[number]
        self._replicated.add(server_id)
        return True

    async def _save_and_count(self, replication: _Replication) -> None:
        """Count this replica as one that has the change, once its disk has it."""
        await self._save()
        replication.acknowledge(self._address)

    async def _save_and_acknowledge(self, sender: str, announcement_id: int) -> None:
        """Acknowledge a change to the replica that announced it, once this replica's disk has it."""
        await self._save()
        self._send(sender, ServerHeartbeatsAck(self._address, announcement_id))

    async def _save(self) -> None:
        """Save the members; a disk that takes too long is not waited for."""
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S):
                await self._save_members()
        except TimeoutError:
            logging.warning("event=members_not_saved timeout_s=%.1f", SAVE_TIMEOUT_S)

    async def _send_round(self, replication: _Replication, message: ServerHeartbeats) -> None:
        """Send to all replicas that have not acknowledged; wait for a majority or the retry interval."""
        for member in replication.view.roster:
            if member.address not in {self._address, *replication.acknowledged_by}:
                self._send(member.address, message)
        try:
            async with asyncio.timeout(REPLICATION_RETRY_INTERVAL_S):
                await replication.majority_reached.wait()
        except TimeoutError:
            return

    def on_relayed_heartbeats(self, message: ServerHeartbeats) -> None:
        """Apply heartbeats relayed by another control plane, and acknowledge them if it asked for that."""
        now = now_ms()
        if message.earlier_deregistrations is not UNSET:
            self._registry.on_earlier_deregistrations(message.earlier_deregistrations, now)
        for record in message.records:
            self._registry.on_heartbeat(record, now, relayed=True)
        for server_id in message.removed:
            self._registry.on_deregistration(server_id, now, relayed=True)
        self.publish_changes()
        if message.announcement_id:
            self._start_task(self._save_and_acknowledge(message.sender, message.announcement_id))

    def on_replication_acknowledged(self, message: ServerHeartbeatsAck) -> None:
        """Record that another control plane has received a replicated change."""
        replication = self._replications.get(message.announcement_id)
        if replication is not None:
            replication.acknowledge(message.sender)

    def publish_changes(self) -> None:
        """Send nodes and other control planes the changes since the last call."""
        changes = self._registry.drain_changes()
        if changes.changed or changes.removed:
            self._replicated &= self._registry.records.keys()
            expired = self._registry.drain_expired()
            self._publisher.publish_servers(ServerUpdates(changes.changed, changes.removed, expired))
            self._placements.update_servers(self._registry.records.values())
            self.relay_heartbeats()

    def exchange_deregistrations(self) -> None:
        """Send other control planes the remembered deregistrations, if there are any.

        One that was down or cut off when a server left still lists the server until it hears of that.
        """
        deregistrations = self._registry.recent_deregistrations(now_ms())
        if deregistrations:
            message = ServerHeartbeats((), (), earlier_deregistrations=deregistrations)
            for address in sorted(self._peer_addresses()):
                self._send(address, message)

    def relay_heartbeats(self) -> None:
        """Send other control planes the heartbeats received here since the last call."""
        received = self._registry.drain_heartbeats()
        if received.records or received.deregistered:
            message = ServerHeartbeats(received.records, received.deregistered)
            for address in sorted(self._peer_addresses()):
                self._send(address, message)
