"""One accepted stream: dispatches the messages of a data-plane node or another replica."""

from __future__ import annotations

from msgspec import UNSET, Struct

from dunlinloft.controlplane.node_publisher import NodePublisher, NodeSubscription
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.controlplane.replica_host import ReplicaHost
from dunlinloft.controlplane.server_registrar import ServerRegistrar
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.stream import (
    ConfigurationApplied,
    ControlPlaneInbound,
    FetchConfiguration,
    LocalPlacement,
    NodeKeepalive,
    NodeLivenessUpdate,
    NodeShutdown,
    PlacementCompleted,
    PlacementQuery,
    PrefillCompleted,
    QuotaHandover,
    QuotaHoldingsReport,
    QuotaRequest,
    ServerHeartbeats,
    ServerHeartbeatsAck,
    ServerSnapshot,
    Subscribe,
)
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.message_stream import MessageWriter


class StreamServices(Struct, frozen=True):
    """The services that handle messages, shared by all sessions."""

    replica_host: ReplicaHost
    nodes: NodeRegistry
    registry: ServerRegistry
    registrar: ServerRegistrar
    publisher: NodePublisher
    quotas: QuotaService
    placement: PlacementService


class StreamSession:
    """Dispatches the messages of one stream; `StreamServer` creates one for each accepted connection.

    A stream becomes a node's stream with its `Subscribe` message, which names the node. Node messages that
    arrive earlier are passed to the replica, which ignores them.

    Parameters
    ----------
    number:
        Number of the stream, unique in this process; identifies the requests placed on this stream.
    """

    def __init__(self, number: int, writer: MessageWriter, services: StreamServices) -> None:
        self._stream_number = number
        self._writer = writer
        self._services = services
        self._subscription: NodeSubscription | None = None

    def handle(self, message: ControlPlaneInbound) -> None:
        """Dispatch one message."""
        match message:
            case Subscribe():
                self._subscribe(message)
            case (
                FetchConfiguration()
                | ConfigurationApplied()
                | QuotaHoldingsReport()
                | NodeShutdown()
                | NodeKeepalive()
                | QuotaRequest()
            ) if self._subscription is not None:
                self._handle_node(self._subscription, message)
            case PlacementQuery() | LocalPlacement() | PrefillCompleted() | PlacementCompleted():
                self._handle_placement(message)
            case ServerHeartbeats() | ServerHeartbeatsAck() | QuotaHandover() | NodeLivenessUpdate():
                self._handle_peer(message)
            case _:
                self._services.replica_host.handle(message)

    def close(self) -> None:
        """Remove the stream's subscription and its placed requests.

        Requests may have been placed on the stream without a subscription, because a node subscribes only
        later on its additional streams.
        """
        if self._subscription is not None:
            self._services.publisher.unsubscribe(self._subscription)
        self._services.placement.on_stream_closed(self._stream_number)

    def _subscribe(self, message: Subscribe) -> None:
        services = self._services
        subscription = NodeSubscription(
            message.node,
            self._writer,
            message.configuration_id,
            message.configuration_id,
            message.wants_configurations,
        )
        self._subscription = subscription
        now = now_ms()
        services.nodes.on_message(message.node, False, now)
        services.quotas.on_node_subscribed(message.node, message.uptime_ms, message.quota_holdings)
        services.registrar.publish_changes()
        ranges = services.registry.digests.differing_ranges(message.server_digests)
        servers = ServerSnapshot(
            services.registry.is_complete(now),
            ranges,
            services.registry.in_ranges(ranges),
            services.registry.deregistered_ids() or UNSET,
        )
        services.publisher.subscribe(subscription, servers)

    def _handle_node(
        self,
        subscription: NodeSubscription,
        message: FetchConfiguration
        | ConfigurationApplied
        | QuotaHoldingsReport
        | NodeShutdown
        | NodeKeepalive
        | QuotaRequest,
    ) -> None:
        services = self._services
        match message:
            case FetchConfiguration():
                services.publisher.on_fetch(subscription, message.current)
            case ConfigurationApplied():
                subscription.acknowledged_id = message.id
            case QuotaHoldingsReport():
                services.quotas.on_holdings(subscription.node, message)
            case NodeShutdown():
                services.nodes.on_shutdown(subscription.node, now_ms())
            case NodeKeepalive():
                services.nodes.on_message(subscription.node, message.receives_replies, now_ms())
            case QuotaRequest():
                self._writer.send(services.quotas.grant(subscription.node, message))

    def _handle_placement(
        self, message: PlacementQuery | LocalPlacement | PrefillCompleted | PlacementCompleted
    ) -> None:
        placement = self._services.placement
        match message:
            case PlacementQuery():
                self._writer.send(placement.choose_server(self._stream_number, message))
            case LocalPlacement():
                placement.on_local_placement(self._stream_number, message)
            case PrefillCompleted():
                placement.on_prefill_completed(self._stream_number, message)
            case PlacementCompleted():
                placement.on_completed(self._stream_number, message)

    def _handle_peer(
        self, message: ServerHeartbeats | ServerHeartbeatsAck | QuotaHandover | NodeLivenessUpdate
    ) -> None:
        services = self._services
        match message:
            case ServerHeartbeats():
                services.registrar.on_relayed_heartbeats(message)
            case ServerHeartbeatsAck():
                services.registrar.on_replication_acknowledged(message)
            case QuotaHandover():
                services.quotas.on_handover(message)
            case NodeLivenessUpdate():
                services.nodes.merge(message.nodes, now_ms())
