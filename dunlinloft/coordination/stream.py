"""What the control plane and a data-plane node say to each other over their stream, as JSON lines."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.state import Document


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


class ConfigurationId(Struct, frozen=True):
    """Which configuration it is: a number may be chosen twice, and one of the two changes may be lost."""

    version: int = 0  # 0 for none
    history: str = ""  # digest of all changes up to it

    def replaces(self, held: ConfigurationId, confirmed: bool) -> bool:
        """Whether it takes the place of what is held: newer, or the one of that number that was taken."""
        if self.version != held.version:
            return self.version > held.version
        return confirmed and self.history != held.history


class HoldsShares(Struct, frozen=True, tag="holds_shares"):
    """Which standing shares of tenants' quotas a node holds; told at once when it learns of a new epoch."""

    epoch: int  # from now on it takes shares from this epoch's owners alone
    shares: dict[str, float]  # by tenant
    reserves: dict[str, float] = {}  # by tenant: what it drew from an owner and has not spent


class Subscribe(Struct, frozen=True, tag="subscribe"):
    """The first line of a data-plane node."""

    node: str
    zone: str
    held: ConfigurationId  # what it has in force
    uptime_ms: float  # since its process began
    wants_configurations: bool  # False: it is told of versions and fetches what it lacks
    digests: tuple[int, ...]  # of the servers that it knows, by range
    shares: HoldsShares


class Held(Struct, frozen=True, tag="held"):
    """The node has this in force."""

    id: ConfigurationId


class Fetch(Struct, frozen=True, tag="fetch"):
    """The node lacks a configuration that it was told of."""

    held: ConfigurationId


class Version(Struct, frozen=True, tag="version"):
    """This configuration was committed."""

    id: ConfigurationId


class Alive(Struct, frozen=True, tag="alive"):
    """Nothing to say, from the control plane."""


class NodeAlive(Struct, frozen=True, tag="node_alive"):
    """Nothing to say, from a node."""

    hears: bool  # whether it gets the answers of the replica that it says this to


class NodeEnds(Struct, frozen=True, tag="node_ends"):
    """A node's last word: its process ends."""


class TakeQuota(Struct, frozen=True, tag="take_quota"):
    """Ask for a part of a tenant's quota."""

    number: int
    tenant: str
    amount: float
    reserve: float  # that the node would like to keep beside it
    share: float  # of the tenant's rate that it holds
    alone: bool  # it spends that share, as no owner answers
    returned: bool = False  # its client was refused before


class Place(Struct, frozen=True, tag="place"):
    """Ask which server a request should go to."""

    number: int
    service: str
    parts: tuple[tuple[str, int], ...]  # of its prompt: name and tokens
    answer_tokens: int
    avoided: tuple[str, ...]  # servers that it must not go to
    patient: bool = False  # it is late anyway and rather waits than to be turned away by a full server


class PlaceChosen(Struct, frozen=True, tag="place_chosen"):
    """The node chose a server by itself, as no advice came in time; the request counts as placed there."""

    number: int
    service: str
    parts: tuple[tuple[str, int], ...]
    answer_tokens: int
    server_id: str


class PlaceBegan(Struct, frozen=True, tag="place_began"):
    """The first word of a placed request came."""

    service: str
    number: int


class PlaceEnded(Struct, frozen=True, tag="place_ended"):
    """A placed request is no longer out."""

    service: str
    number: int
    failed: bool  # by its server


class Placed(Struct, frozen=True, tag="placed"):
    """The answer to `Place`."""

    number: int
    service: str
    server_id: str  # empty where there is none,
    wait_ms: float = 0.0  # or none with a free place: worth asking again after so long


class Replicas(Struct, frozen=True, tag="replicas"):
    """The control plane as it is now: who may be subscribed to, and who owns what."""

    epoch: int
    addresses: tuple[str, ...]
    chain: tuple[str, ...]  # addresses in the chain, among which roles are sharded by key
    nodes: int  # data-plane nodes that there are


class Whole(Struct, frozen=True, tag="whole"):
    """A committed configuration."""

    id: ConfigurationId
    confirmed: bool  # the sender is in contact with a majority, and equal to its predecessor in the epoch
    document: Document


class Delta(Struct, frozen=True, tag="delta"):
    """A committed change of what the node holds."""

    base: ConfigurationId
    id: ConfigurationId
    confirmed: bool
    body: Document  # as the operator sent it


class Servers(Struct, frozen=True, tag="servers"):
    """All servers that this control plane knows of, in the ranges in which the node knows others."""

    complete: bool  # False while it has just started and may not have heard of all
    ranges: tuple[int, ...]
    records: tuple[ServerRecord, ...]


class ServersComplete(Struct, frozen=True, tag="servers_complete"):
    """By now it has heard of all servers that there are, and told of them."""


class ServerNews(Struct, frozen=True, tag="server_news"):
    """Servers that came or changed, and the ids of those that are gone."""

    changed: tuple[ServerRecord, ...]
    gone: tuple[str, ...]
    silent: tuple[str, ...] = ()  # of these: they said nothing of it, their heartbeats stopped


class QuotaGranted(Struct, frozen=True, tag="quota_granted"):
    """The answer to `TakeQuota`."""

    number: int
    tenant: str
    amount: float  # 0 where nothing is left
    reserve: float  # for the node to keep
    share: float  # of the rate that it holds from now on
    wait_ms: float  # until as much will be there
    owner: bool = True  # False: the asked one isn't the owner now
    scarce: bool = False  # more is asked for than the quota allows


FromNode = (
    Subscribe
    | HoldsShares
    | Fetch
    | Held
    | NodeAlive
    | NodeEnds
    | TakeQuota
    | Place
    | PlaceChosen
    | PlaceBegan
    | PlaceEnded
)
ToNode = (
    Replicas
    | Whole
    | Delta
    | Version
    | Servers
    | ServersComplete
    | ServerNews
    | QuotaGranted
    | Placed
    | Alive
)


class QuotasHandedOver(Struct, frozen=True, tag="quotas_handed_over"):
    """From the owner of tenants' quotas to the next one: it grants nothing of them any more."""

    epoch: int  # of which the receiver is the owner; the sender was in the one before
    levels: dict[str, float]  # by tenant: what was left


class Beats(Struct, frozen=True, tag="beats"):
    """Servers heard by another control plane since its last word."""

    records: tuple[ServerRecord, ...]
    gone: tuple[str, ...]
    sender: str = ""  # where it is to be told that these were taken,
    number: int = 0  # under this number; 0: nowhere


class BeatsTaken(Struct, frozen=True, tag="beats_taken"):
    """The sender has in memory what was announced under a number."""

    sender: str
    number: int


class NodeSeen(Struct, frozen=True):
    """A data-plane node that another control plane knows."""

    node: str
    age_ms: float  # since anybody heard it
    left: bool = False  # its process said that it ends


class NodesSeen(Struct, frozen=True, tag="nodes_seen"):
    """Data-plane nodes that another control plane knows."""

    nodes: tuple[NodeSeen, ...]


ToControl = ReplicaMessage | QuotasHandedOver | Beats | BeatsTaken | NodesSeen | FromNode
