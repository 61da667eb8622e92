"""Messages that begin, keep and end a node's stream, and what replicas know of the nodes."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.stream.configuration import ConfigurationId
from dunlinloft.coordination.stream.quota import QuotaHoldingsReport


class Subscribe(Struct, frozen=True, tag="subscribe"):
    """The first message of a data-plane node on a stream.

    Attributes
    ----------
    configuration_id
        The configuration in force at the node.
    uptime_ms
        Time since the node's process started.
    wants_configurations
        False: committed configurations are only announced, and the node fetches what it lacks.
    server_digests
        One digest a key range of the servers that the node knows; ranges that agree are not sent.
    quota_holdings
        What the node holds of tenants' quotas.
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

    receives_replies: bool = field(
        name="hears"
    )  # whether the replies of the addressed replica reach the node


class NodeShutdown(Struct, frozen=True, tag="node_ends"):
    """From a node: its last message, as its process ends."""


class ControlPlaneView(Struct, frozen=True, tag="replicas"):
    """To a node: the present replicas, and the chain among which ownership is sharded by key."""

    epoch: int
    addresses: tuple[str, ...]  # of all replicas, any of which may be subscribed to
    chain: tuple[str, ...]  # addresses of the replicas in the chain
    node_count: int = field(name="nodes")  # data-plane nodes in the fleet


class NodeLiveness(Struct, frozen=True):
    """A data-plane node that a replica knows."""

    node: str
    age_ms: float  # since any replica received something from it
    shut_down: bool = field(default=False, name="left")  # its process said that it ends


class NodeLivenessUpdate(Struct, frozen=True, tag="nodes_seen"):
    """Between control planes: the data-plane nodes that the sender knows."""

    nodes: tuple[NodeLiveness, ...]
