"""The control-plane clients of a node: configuration, service discovery, quotas and placement.

Separate from the listeners and the connections to servers, so that simulations can run without these.
"""

from __future__ import annotations

import asyncio
import random

from msgspec import Struct

from dunlinloft.dataplane.active_configuration import ActiveConfiguration
from dunlinloft.dataplane.node_state import NodeState
from dunlinloft.dataplane.placement_client import PlacementClient
from dunlinloft.dataplane.quota_client import QuotaClient
from dunlinloft.dataplane.replica_streams import ReplicaStreams
from dunlinloft.dataplane.server_table import ServerTable
from dunlinloft.dataplane.subscriptions import Subscriptions
from dunlinloft.quota_bounds import quota_bounds
from dunlinloft.transport.live_settings import LiveSettings

TICK_INTERVAL_S = 0.1
LISTING_RETENTION_HEARTBEATS = 4.0  # heartbeat intervals for which a lost stream's server listing is kept


class ControlClients(Struct, frozen=True):
    """The components of one node that communicate with the control plane."""

    settings: LiveSettings
    configuration: ActiveConfiguration
    servers: ServerTable
    streams: ReplicaStreams
    quotas: QuotaClient
    placement: PlacementClient
    state: NodeState
    subscriptions: Subscriptions

    async def tick_forever(self) -> None:
        """Run the periodic work; one of the node's essential loops."""
        retention_ms = LISTING_RETENTION_HEARTBEATS * self.settings.current.heartbeat_interval_ms
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.state.on_tick(retention_ms)


def build_control_clients(
    settings: LiveSettings, rng: random.Random, serving: asyncio.Event
) -> ControlClients:
    """Build the components; `serving` is set as soon as the node can serve requests."""
    fixed = settings.current
    configuration = ActiveConfiguration(rng)
    servers = ServerTable(rng)
    streams = ReplicaStreams()
    quotas = QuotaClient(streams, quota_bounds(fixed.timing_bounds))
    placement = PlacementClient(streams)
    state = NodeState(configuration, servers, quotas, placement, streams, serving)
    subscriptions = Subscriptions(fixed.node_name, fixed.zone, settings.seeds, streams, state)
    return ControlClients(
        settings=settings,
        configuration=configuration,
        servers=servers,
        streams=streams,
        quotas=quotas,
        placement=placement,
        state=state,
        subscriptions=subscriptions,
    )
