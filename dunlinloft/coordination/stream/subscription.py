"""Messages that open, keep alive and close a node's stream, and node liveness between control planes."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.stream.configuration import ConfigurationId
from dunlinloft.coordination.stream.quota import QuotaHoldingsReport


class Subscribe(Struct, frozen=True, tag="subscribe"):
    """The first message of a data-plane node on a stream.

    Attributes
    ----------
    configuration_id
        The configuration that is active at the node.
    uptime_ms
        Time since the node's process started.
    wants_configurations
        If False, committed configurations are only announced, and the node fetches those that it lacks.
    server_digests
        One digest per key range of the node's server records; ranges with equal digests are not sent.
    quota_holdings
        The node's shares and reserves of tenants' quotas.
    """

    node: str
    zone: str
    configuration_id: ConfigurationId = field(name="held")
    uptime_ms: float
    wants_configurations: bool
    server_digests: tuple[int, ...] = field(name="digests")
    quota_holdings: QuotaHoldingsReport = field(name="shares")


class ControlKeepalive(Struct, frozen=True, tag="alive"):
    """To a node: keeps the stream alive while the control plane has nothing else to send."""


class NodeKeepalive(Struct, frozen=True, tag="node_alive"):
    """From a node: keeps the stream alive."""

    receives_replies: bool = field(name="hears")  # whether the receiver's replies reach the node


class NodeShutdown(Struct, frozen=True, tag="node_ends"):
    """From a node: the last message before its process exits."""


class ControlPlaneView(Struct, frozen=True, tag="replicas"):
    """To a node: the current replicas, and the chain over which ownership is sharded by key."""

    epoch: int
    addresses: tuple[str, ...]  # of all replicas; a node may subscribe to any of them
    chain: tuple[str, ...]  # addresses of the replicas in the chain
    node_count: int = field(name="nodes")  # data-plane nodes in the fleet


class NodeLiveness(Struct, frozen=True):
    """The liveness of a data-plane node, as known to a replica."""

    node: str
    age_ms: float  # since any replica last received a message from it
    shut_down: bool = field(default=False, name="left")  # it announced its shutdown


class NodeLivenessUpdate(Struct, frozen=True, tag="nodes_seen"):
    """Between control planes: the liveness of all data-plane nodes known to the sender."""

    nodes: tuple[NodeLiveness, ...]
