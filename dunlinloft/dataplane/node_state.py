"""Applies control-plane messages to a node's state, and determines when the node can serve."""

from __future__ import annotations

import asyncio

from dunlinloft.coordination.stream import (
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationId,
    ControlKeepalive,
    ControlToNode,
    FullConfiguration,
    PlacementReply,
    QuotaGrant,
    ServerSnapshot,
    ServerSnapshotComplete,
    ServerUpdates,
)
from dunlinloft.dataplane.active_configuration import ActiveConfiguration
from dunlinloft.dataplane.placement_client import PlacementClient
from dunlinloft.dataplane.quota_client import QuotaClient
from dunlinloft.dataplane.replica_streams import ReplicaStreams
from dunlinloft.dataplane.server_table import ServerTable
from dunlinloft.transport.clock import now_ms


class NodeState:
    """Dispatches control-plane messages to the components of the node, and acknowledges configurations.

    Implements `Subscriber` for `Subscriptions`; `DataPlane` calls `on_tick`.

    Parameters
    ----------
    serving
        Set here, once, as soon as the node can serve requests.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        servers: ServerTable,
        quotas: QuotaClient,
        placement: PlacementClient,
        streams: ReplicaStreams,
        serving: asyncio.Event,
    ) -> None:
        self._configuration = configuration
        self._servers = servers
        self._quotas = quotas
        self._placement = placement
        self._streams = streams
        self._serving = serving

    @property
    def configuration_id(self) -> ConfigurationId:
        """Identifies the active configuration."""
        return self._configuration.id

    @property
    def has_all_servers(self) -> bool:
        """Whether any replica has listed all servers."""
        return self._servers.complete

    def server_digests(self) -> tuple[int, ...]:
        """Digests of the known servers, by id range."""
        return self._servers.digests()

    def owner_responds(self, replica: str, now_ms: float) -> bool:
        """Whether a replica responds to this node's quota requests."""
        return self._quotas.owner_responds(replica, now_ms)

    def quota_shares(self, now_ms: float) -> dict[str, float]:
        """This node's standing shares of quotas, by tenant."""
        return self._quotas.shares(now_ms)

    def quota_reserves(self) -> dict[str, float]:
        """Unspent reserves of quotas, by tenant."""
        return self._quotas.reserves()

    def on_stream_lost(self, replica: str) -> None:
        """Handle the end of a replica's stream."""
        self._servers.on_stream_lost(replica, now_ms())

    def apply(self, replica: str, message: ControlToNode) -> None:
        """Dispatch a message from a replica to the component that handles it."""
        match message:
            case FullConfiguration():
                self._configuration.on_snapshot(message, now_ms())
                self._acknowledge()
            case ConfigurationDelta():
                self._configuration.on_delta(message)
                self._acknowledge()
            case ServerSnapshot():
                self._servers.on_deregistered(message.deregistered or (), now_ms())
                self._servers.on_listing(replica, message.complete, message.ranges, message.records)
            case ServerSnapshotComplete():
                self._servers.on_complete(replica)
            case ServerUpdates():
                self._servers.on_update(replica, message, now_ms())
            case PlacementReply():
                self._placement.on_reply(replica, message)
            case QuotaGrant():
                self._quotas.on_grant(message)
            case ControlKeepalive():
                pass
        self._check_ready_to_serve()

    def on_tick(self, listing_retention_ms: float) -> None:
        """Run the periodic work; called ten times a second."""
        if self._configuration.on_tick(now_ms()):
            self._acknowledge()
            self._check_ready_to_serve()
        self._servers.expire_tombstones(now_ms())
        self._servers.expire_unlisted(now_ms())
        self._servers.expire_lost_listings(listing_retention_ms, now_ms())

    def _acknowledge(self) -> None:
        """Acknowledge the active configuration to all replicas."""
        if self._configuration.table is not None:
            self._streams.broadcast(ConfigurationApplied(self._configuration.id))

    def _check_ready_to_serve(self) -> None:
        """Start serving with a configuration and servers for all its routes, or with a complete listing."""
        table = self._configuration.table
        if self._serving.is_set() or table is None:
            return
        services = {backend.service for route in table.configuration.routes for backend in route.targets()}
        if self._servers.complete or all(self._servers.pool(service).servers for service in services):
            self._serving.set()
