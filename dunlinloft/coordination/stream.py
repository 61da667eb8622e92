"""What the control plane and a data-plane node say to each other over their stream, as JSON lines."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from dunlinloft.coordination.messages import Document, ReplicaMessage


class ServerRecord(Struct, frozen=True):
    """One start of a server, as its heartbeats tell."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str  # "ready" or "draining"
    sequence: int
    warmup_remaining_ms: float = 0.0
    phase: str = ""
    model_list: tuple[Any, ...] = ()

    @property
    def draining(self) -> bool:
        """Whether it has said that it leaves."""
        return self.state != "ready"


class Subscribe(Struct, frozen=True, tag="subscribe"):
    """The first line of a data-plane node."""

    node: str
    zone: str
    held: int  # the version that it has in force; 0 for none


class Held(Struct, frozen=True, tag="held"):
    """The node has this version in force."""

    version: int


class Alive(Struct, frozen=True, tag="alive"):
    """Nothing to say, on either side."""


class TakeQuota(Struct, frozen=True, tag="take_quota"):
    """Ask for a part of a tenant's quota."""

    number: int
    tenant: str
    amount: float
    unanswered: bool = False


class Replicas(Struct, frozen=True, tag="replicas"):
    """The control plane as it is now: who may be subscribed to, and who owns what."""

    epoch: int
    addresses: tuple[str, ...]
    chain: tuple[str, ...]  # addresses in the chain, among which roles are sharded by key
    nodes: int  # data-plane nodes that there are


class Whole(Struct, frozen=True, tag="whole"):
    """A committed configuration."""

    version: int
    document: Document


class Delta(Struct, frozen=True, tag="delta"):
    """A committed change of the version that the node holds."""

    base: int
    version: int
    body: Document  # as the operator sent it


class Servers(Struct, frozen=True, tag="servers"):
    """All servers that this control plane knows of."""

    complete: bool  # False while it has just started and may not have heard of all
    records: tuple[ServerRecord, ...]


class ServerNews(Struct, frozen=True, tag="server_news"):
    """Servers that came or changed, and the ids of those that are gone."""

    changed: tuple[ServerRecord, ...]
    gone: tuple[str, ...]


class QuotaGranted(Struct, frozen=True, tag="quota_granted"):
    """The answer to `TakeQuota`."""

    number: int
    tenant: str
    amount: float  # 0 where nothing is left
    wait_ms: float  # until as much will be there
    owner: bool = True  # False: the asked one isn't the owner now


FromNode = Subscribe | Held | Alive | TakeQuota
ToNode = Replicas | Whole | Delta | Servers | ServerNews | QuotaGranted | Alive


class Beats(Struct, frozen=True, tag="beats"):
    """Servers heard by another control plane since its last word."""

    records: tuple[ServerRecord, ...]
    gone: tuple[str, ...]


class NodesSeen(Struct, frozen=True, tag="nodes_seen"):
    """Data-plane nodes that are subscribed at another control plane."""

    nodes: tuple[str, ...]


ToControl = ReplicaMessage | Beats | NodesSeen | FromNode
