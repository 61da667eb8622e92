"""The control plane's periodic tasks: ticks, keep-alives, and exchanges with other replicas.

Each loop runs under `run_essential`: if one fails, the process exits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from dunlinloft.controlplane.components import Components
from dunlinloft.coordination.stream import ControlKeepalive, ControlPlaneView, NodeLivenessUpdate
from dunlinloft.transport import message_stream
from dunlinloft.transport.clock import now_ms

TICK_INTERVAL_S = 0.05  # the replica's timeouts are at least 100 ms
KEEPALIVE_INTERVAL_S = 0.3  # a node treats a replica as unreachable after 0.7 s without a message
HEARTBEAT_RELAY_INTERVAL_S = 0.3  # heartbeats without a state change; changes are relayed immediately
NODE_EXCHANGE_INTERVAL_S = 1.0


class PeriodicLoops:
    """Creates the coroutines of all periodic tasks."""

    def __init__(self, components: Components) -> None:
        self._components = components
        self._completeness_published = False

    def coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """All loops, in start order."""
        disk = self._components.disk
        return [
            disk.run(self._components.replica_host.on_persisted),
            self._tick(),
            self._relay_heartbeats(),
            self._keep_alive(),
            self._exchange_nodes(),
            self._components.member_saver.run(),
        ]

    async def _tick(self) -> None:
        """Advance all time-dependent components."""
        components = self._components
        while True:
            components.replica_host.tick()
            self._apply_view()
            components.publisher.set_confirmed(components.replica.has_confirmed_state(now_ms()))
            components.quotas.refill()
            components.registry.expire(now_ms())
            components.registrar.publish_changes()
            if not self._completeness_published and components.registry.is_complete(now_ms()):
                self._completeness_published = True
                components.publisher.publish_servers_complete()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _apply_view(self) -> None:
        """Shard quotas by the current view, and publish its replicas to the nodes.

        Without a view no replica has responded yet; the seed addresses are refreshed, since the settings
        file may have changed.
        """
        components = self._components
        view = components.replica.view
        if view is None:
            components.replica.set_seeds(components.settings.seeds())
            return
        addresses = tuple(member.address for member in view.roster)
        chain = tuple(member.address for member in view.chain)
        components.quotas.apply_view(view)
        components.publisher.publish_view(
            ControlPlaneView(view.epoch, addresses, chain, components.nodes.active_count())
        )

    async def _relay_heartbeats(self) -> None:
        """Relay server heartbeats to other replicas, and close idle connections to departed replicas."""
        while True:
            await asyncio.sleep(HEARTBEAT_RELAY_INTERVAL_S)
            self._components.registrar.relay_heartbeats()
            self._components.peers.close_idle()

    async def _keep_alive(self) -> None:
        """Send keep-alives to all subscribed nodes."""
        frame = message_stream.encode_frame(ControlKeepalive())
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            self._components.publisher.broadcast(frame)

    async def _exchange_nodes(self) -> None:
        """Send other replicas the liveness of all known data-plane nodes, and servers' deregistrations."""
        components = self._components
        while True:
            await asyncio.sleep(NODE_EXCHANGE_INTERVAL_S)
            components.nodes.expire(now_ms())
            components.quotas.drop_expired()
            frame = message_stream.encode_frame(NodeLivenessUpdate(components.nodes.liveness(now_ms())))
            for address in sorted(components.replica.peer_addresses()):
                components.peers.send_frame(address, frame)
            components.registrar.exchange_deregistrations()
