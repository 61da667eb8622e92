"""Builds the object graph of a control plane."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from msgspec import Struct

from dunlinloft.controlplane.commit_handler import CommitHandler
from dunlinloft.controlplane.disk_writer import DiskWriter
from dunlinloft.controlplane.member_cache import CachedMembers
from dunlinloft.controlplane.member_saver import MemberSaver
from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.peer_connections import PeerConnections
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.controlplane.replica_host import ReplicaHost
from dunlinloft.controlplane.server_registrar import ServerRegistrar
from dunlinloft.controlplane.stream_session import StreamServices
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.state import ConfigurationChange, Document
from dunlinloft.coordination.verdicts import Invalid, Valid
from dunlinloft.coordination.views import Member
from dunlinloft.settings import Settings
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.live_settings import LiveSettings


class Components(Struct, frozen=True):
    """All components of one control plane.

    A `Struct`, although it is never encoded: defining a dataclass of this size adds about 2 ms to startup.
    """

    replica: Replica
    replica_host: ReplicaHost
    disk: DiskWriter
    peers: PeerConnections
    nodes: NodeRegistry
    registry: ServerRegistry
    member_saver: MemberSaver
    registrar: ServerRegistrar
    publisher: NodePublisher
    quotas: QuotaService
    placement: PlacementService
    settings: LiveSettings

    def stream_services(self) -> StreamServices:
        """The services that handle messages received on the internal listener."""
        return StreamServices(
            replica_host=self.replica_host,
            nodes=self.nodes,
            registry=self.registry,
            registrar=self.registrar,
            publisher=self.publisher,
            quotas=self.quotas,
            placement=self.placement,
        )


def build_replica(settings: Settings, durable: DurableState) -> Replica:
    """Build the replica's state machine from the recovered durable state."""
    incarnation = durable.incarnation or secrets.token_hex(8)
    return Replica(
        Member(settings.control_address(settings.ip_address), incarnation),
        settings.counts_for_quorum,
        durable,
        settings.seed_addresses(),
        settings.fault_tolerance.hosts_lost,
        _validate,
        random.Random(secrets.randbits(64)),
        now_ms(),
    )


def build_components(
    live_settings: LiveSettings,
    started_ms: float,
    replica: Replica,
    disk: DiskWriter,
    peers: PeerConnections,
    members: CachedMembers,
    start_task: Callable[[Coroutine[Any, Any, None]], object],
) -> Components:
    """Build all components of a control plane; no task is started and no message is sent yet.

    Parameters
    ----------
    started_ms:
        Start time of the process on the `now_ms` clock; heartbeats can have been received from then on.
    members:
        Servers and nodes cached before this start.
    start_task:
        Runs a coroutine in the background until the process shuts down.
    """
    settings = live_settings.current
    address = settings.control_address(settings.ip_address)
    registry = ServerRegistry(settings.heartbeat_interval_ms, started_ms)
    publisher = NodePublisher()
    nodes = NodeRegistry()
    quotas = QuotaService(address, settings.timing_bounds, started_ms, nodes, replica, peers.send)
    placements = PlacementDirectory(
        random.Random(secrets.randbits(64)), 1_000.0 * settings.timing_bounds.prefix_reuse_s
    )
    placement = PlacementService(placements)
    _restore_members(members, registry, nodes, placements)
    member_saver = MemberSaver(registry, nodes, disk)
    registrar = ServerRegistrar(
        address,
        registry,
        publisher,
        placements,
        lambda: replica.view_with_majority_contact(now_ms()),
        replica.peer_addresses,
        peers.send,
        member_saver.save,
        start_task,
    )
    commits = CommitHandler(publisher, quotas, placement)
    replica_host = ReplicaHost(replica, disk, peers, commits.on_commit)
    return Components(
        replica=replica,
        replica_host=replica_host,
        disk=disk,
        peers=peers,
        nodes=nodes,
        registry=registry,
        member_saver=member_saver,
        registrar=registrar,
        publisher=publisher,
        quotas=quotas,
        placement=placement,
        settings=live_settings,
    )


def _restore_members(
    members: CachedMembers, registry: ServerRegistry, nodes: NodeRegistry, placements: PlacementDirectory
) -> None:
    """Restore the servers and nodes that were known before this start."""
    now = now_ms()
    registry.restore(members.servers, members.deregistrations or (), now)
    nodes.merge(members.nodes, now)
    placements.update_servers(registry.records.values())


def _validate(document: Document, change: ConfigurationChange) -> Valid | Invalid:
    """Validate a change. The validation module is imported on first use to keep startup fast."""
    from dunlinloft.validation import validate

    return validate(document, change)
