"""What replicas of the control plane say to one another, and what each keeps on disk, as JSON lines."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

Document = dict[str, Any]  # an operator's configuration, with every field as it was sent


class Member(Struct, frozen=True):
    """One life of a replica's disk: a disk that comes back empty is another member at the same address."""

    address: str  # host:port of its internal listener
    incarnation: str

    @property
    def id(self) -> str:
        """The name that no other member ever has."""
        return f"{self.address}/{self.incarnation}"


class View(Struct, frozen=True):
    """One agreed membership: who votes on the next view, and the order of the chain."""

    epoch: int
    roster: tuple[Member, ...]
    chain: tuple[Member, ...]  # head first, tail last
    complete: int  # so many of the chain's first members hold all that earlier epochs acknowledged
    outside: tuple[Member, ...] = ()  # out of the chain, complete as long as this epoch commits nothing
    witness: str = ""  # the member that made sure the epoch before commits nothing; "" where none had to

    def voters(self) -> frozenset[str]:
        """The ids of those whose majority decides the next view."""
        return frozenset(member.id for member in self.roster)

    def place(self, member_id: str) -> int | None:
        """A member's place in the chain, 0 being the head; None where it has none."""
        for place, member in enumerate(self.chain):
            if member.id == member_id:
                return place
        return None


class Ballot(Struct, frozen=True, order=True):
    """The number of a proposal; higher ones go first."""

    number: int
    proposer: str


class Order(Struct, frozen=True):
    """A change that an operator asks for."""

    kind: str  # "replace" or "update"
    base: int  # version that it builds on; 0 for the first
    digest: str  # of kind, base and the body's bytes: the same order sent again has the same
    body: Document


class Entry(Struct, frozen=True):
    """An order that the head took, at its place in the log."""

    sequence: int
    chain_digest: str  # of this entry and all before it: equal digests mean equal histories
    version: int
    order: Order


class Taken(Struct, frozen=True):
    """What is remembered of an order, so that the same one sent again is acknowledged again."""

    digest: str
    version: int


class ChainState(Struct, frozen=True):
    """The replicated state whole."""

    sequence: int = 0
    chain_digest: str = ""
    version: int = 0
    document: Document = {}
    taken: tuple[Taken, ...] = ()


# What is on disk.


class ViewRecord(Struct, frozen=True, tag="view"):
    """A view was learned; promises and acceptances of earlier ones are void."""

    view: View


class PromiseRecord(Struct, frozen=True, tag="promise"):
    """No lower ballot will be accepted for the view after the one held."""

    ballot: Ballot


class AcceptRecord(Struct, frozen=True, tag="accept"):
    """A proposed view was accepted."""

    ballot: Ballot
    view: View


class EntryRecord(Struct, frozen=True, tag="entry"):
    """An entry was appended."""

    entry: Entry


class InstallRecord(Struct, frozen=True, tag="install"):
    """The state was replaced by a predecessor's."""

    state: ChainState


class SyncedRecord(Struct, frozen=True, tag="synced"):
    """The state was found equal to the predecessor's in this epoch."""

    epoch: int


class CommittedRecord(Struct, frozen=True, tag="committed"):
    """All of this history can't be lost any more."""

    chain_digest: str


Record = (
    ViewRecord | PromiseRecord | AcceptRecord | EntryRecord | InstallRecord | SyncedRecord | CommittedRecord
)


class Durable(Struct):
    """All that a replica keeps on disk."""

    incarnation: str
    view: View | None = None
    promised: Ballot | None = None
    accepted: tuple[Ballot, View] | None = None
    state: ChainState = msgspec.field(default_factory=ChainState)
    synced_epoch: int = 0
    committed_digest: str = ""  # the history of which it is known that nothing can be lost


# What travels between replicas. Each carries its sender, so that a reply finds its way.


class Ping(Struct, frozen=True, tag="ping"):
    """A heartbeat, with what its sender hears and holds."""

    sender: Member
    counts: bool  # whether its loss is counted, so that it may vote
    healthy: bool  # its disk answers
    leaving: bool  # its process ends as soon as others can do without it
    epoch: int  # of the view that it has on disk
    synced_epoch: int
    lease_epoch: int  # the epoch, or 0 where it has accepted a view after it
    stamp_ms: float  # the sender's clock
    echoes: dict[str, float]  # by member heard of late: the stamp of its last heartbeat
    known: tuple[str, ...]  # addresses of the control plane that it knows
    uptime_ms: float = 0.0  # since its process began


class Prepare(Struct, frozen=True, tag="prepare"):
    """Ask for a promise for the view that follows `current`."""

    sender: Member
    current: View
    ballot: Ballot


class Promise(Struct, frozen=True, tag="promise"):
    """No lower ballot is accepted any more; what was accepted before is told."""

    sender: Member
    epoch: int
    ballot: Ballot
    accepted: tuple[Ballot, View] | None


class Accept(Struct, frozen=True, tag="accept"):
    """Ask to accept a view."""

    sender: Member
    ballot: Ballot
    view: View


class Accepted(Struct, frozen=True, tag="accepted"):
    """A view was accepted and is on disk."""

    sender: Member
    epoch: int
    ballot: Ballot


class Denied(Struct, frozen=True, tag="denied"):
    """A higher ballot was promised."""

    sender: Member
    epoch: int
    promised: Ballot


class Decided(Struct, frozen=True, tag="decided"):
    """A majority accepted this view."""

    sender: Member
    view: View


class Offer(Struct, frozen=True, tag="offer"):
    """A predecessor says what it holds."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class Have(Struct, frozen=True, tag="have"):
    """A successor says what it holds on disk."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class Append(Struct, frozen=True, tag="append"):
    """Entries that follow what the successor has."""

    sender: Member
    epoch: int
    entries: tuple[Entry, ...]


class Install(Struct, frozen=True, tag="install"):
    """The whole state, for a successor that has another history or an old one."""

    sender: Member
    epoch: int
    state: ChainState


class Committed(Struct, frozen=True, tag="committed"):
    """The tail has everything up to this sequence; passed from the tail to the head."""

    sender: Member
    epoch: int
    sequence: int


class Confirm(Struct, frozen=True, tag="confirm"):
    """Ask whether a later view may have been agreed."""

    sender: Member
    epoch: int
    nonce: int


class Confirmed(Struct, frozen=True, tag="confirmed"):
    """The sender has accepted no view after this epoch."""

    sender: Member
    epoch: int
    nonce: int


class Ask(Struct, frozen=True, tag="ask"):
    """An operator's call, passed on to the head (an order) or to the tail (a read)."""

    sender: Member
    token: str
    order: Order | None


class Answer(Struct, frozen=True, tag="answer"):
    """What became of a call: an HTTP status, and what was read."""

    sender: Member
    token: str
    status: int
    reason: str
    state_version: int
    document: Document | None


ReplicaMessage = (
    Ping
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Denied
    | Decided
    | Offer
    | Have
    | Append
    | Install
    | Committed
    | Confirm
    | Confirmed
    | Ask
    | Answer
)
