"""Messages between voters and candidates, and the events and actions of `manager.LeaseManager`.

All messages are encoded as arrays: the order of the fields is part of the wire format, their names are not. A
newer version may append fields, which an older version skips. Every message begins with the role that it
concerns, which is empty if the message concerns the voters themselves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import Struct

from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired


class ProposalNumber(NamedTuple):
    """Orders the proposals for a role (PaxosLease: ballot number).

    No number is used twice, not even by a process that has lost its memory, since each start of a process
    draws a new random incarnation.
    """

    round: int
    candidate: str
    incarnation: int  # of the candidate's process

    def proposer(self) -> tuple[str, int]:
        """Return the name and incarnation of the proposing process."""
        return self.candidate, self.incarnation


NO_PROPOSAL = ProposalNumber(0, "", 0)


class VoterSet(Struct, array_like=True, gc=False, frozen=True):
    """The voters after change number `epoch`; epoch 0 is the configured set."""

    epoch: int
    names: tuple[str, ...]

    def majority(self) -> int:
        """Return the number of voters that must agree."""
        return majority(len(self.names))


def majority(count: int) -> int:
    """Return the size of a majority of `count` voters; any two majorities share a voter."""
    return count // 2 + 1


class Lease(Struct, array_like=True, gc=False):
    """A lease that a voter has accepted and that has not expired on the voter's clock."""

    proposal: ProposalNumber
    token: int
    remaining_ms: float


class Prepare(Struct, array_like=True, tag=11, gc=False):
    """Phase 1 request from a candidate to all voters (PaxosLease: prepare request)."""

    role: str
    proposal: ProposalNumber
    voters_epoch: int = 0  # epoch of the candidate's voter set


class PrepareResponse(Struct, array_like=True, tag=12, gc=False):
    """A voter's phase 1 response; a rejection contains the proposal number that the voter has promised."""

    role: str
    proposal: ProposalNumber
    granted: bool
    highest_promised: ProposalNumber
    lease: Lease | None  # accepted by this voter, of any candidate
    token: int  # the highest that this voter has accepted
    state: bytes  # the role's state that came with that token


class Propose(Struct, array_like=True, tag=13, gc=False):
    """Phase 2 request: a lease for `term_ms` from its receipt by the voter."""

    role: str
    proposal: ProposalNumber
    term_ms: float
    token: int
    state: bytes
    voters_epoch: int = 0


class ProposeResponse(Struct, array_like=True, tag=14, gc=False):
    """A voter's phase 2 response; a rejection contains the proposal number that the voter has promised."""

    role: str
    proposal: ProposalNumber
    accepted: bool
    highest_promised: ProposalNumber


class Release(Struct, array_like=True, tag=15, gc=False):
    """The leader releases the lease of this proposal before it expires; `successor` should propose next."""

    role: str
    proposal: ProposalNumber
    successor: str  # "": any candidate
    token: int
    state: bytes


class TokensRequest(Struct, array_like=True, tag=16, gc=False):
    """Requests the tokens known to other voters; sent by a voter that has started without memory."""

    role: str
    request_id: int
    voters_epoch: int = 0


class TokensResponse(Struct, array_like=True, tag=17, gc=False):
    """The highest token of each role known to a voter."""

    role: str
    request_id: int
    recovered: bool  # False if the sender itself has started without memory and not recovered yet
    tokens: dict[str, int]
    voters_epoch: int = 0  # adopted by the sender


class VoterSetUpdate(Struct, array_like=True, tag=18, gc=False):
    """Announces the voter set; a non-zero `request_id` requests an ack, after merging the tokens."""

    role: str
    voters: VoterSet
    request_id: int = 0
    tokens: dict[str, int] = {}


class VoterSetAck(Struct, array_like=True, tag=19, gc=False):
    """Acknowledges that this process has adopted the voter set of `voters_epoch`."""

    role: str
    voters_epoch: int
    request_id: int
    recovered: bool
    tokens: dict[str, int]
    incarnation: int


class TableRow(Struct, array_like=True, gc=False, frozen=True):
    """A row of the state table: write number `sequence` of the leader with this token."""

    key: str
    token: int
    sequence: int
    value: bytes

    def version(self) -> tuple[int, int]:
        """Return the sort key by which the greater of two rows with the same key is valid."""
        return self.token, self.sequence


class TableRead(Struct, array_like=True, tag=31, gc=False):
    """Requests the rows after a key. If it has a token, the replica then rejects lower tokens."""

    role: str
    token: int  # of the primary; 0 from a recovering replica
    read_id: int
    after_key: str
    voters_epoch: int = 0


class TablePage(Struct, array_like=True, tag=32, gc=False):
    """A replica's response to a read: one page of its rows and the state of the replica."""

    role: str
    token: int
    read_id: int
    after_key: str
    base_token: int  # of the primary that last replaced all rows
    highest_token: int  # presented to this replica by any primary
    rows_lost: bool  # acknowledged rows may be missing
    recovering: bool  # this replica has started without memory and awaits the base
    rows: list[TableRow]
    has_more: bool
    incarnation: int  # of this replica; its promises don't bind its next incarnation


class TableWrite(Struct, array_like=True, tag=33, gc=False):
    """A page of a new base, or further rows of the current base if `page_count` is 0."""

    role: str
    token: int
    write_id: int
    page_index: int
    page_count: int
    rows_lost: bool
    rows: list[TableRow]
    incarnation: int = 0  # if not 0, the base is only for this incarnation of a recovering replica
    voters_epoch: int = 0


class TableWriteAck(Struct, array_like=True, tag=34, gc=False):
    """Acknowledges that the rows of a write are stored."""

    role: str
    token: int
    write_id: int
    incarnation: int


Message = (
    Prepare
    | PrepareResponse
    | Propose
    | ProposeResponse
    | Release
    | TokensRequest
    | TokensResponse
    | VoterSetUpdate
    | VoterSetAck
    | TableRead
    | TablePage
    | TableWrite
    | TableWriteAck
)


# Events


@dataclass(slots=True)
class MessageReceived:
    """A message from the process of this name."""

    message: Message
    sender: str


@dataclass(slots=True)
class MembershipObserved:
    """The current view of the membership, which may be outdated or wrong; safety does not depend on it."""

    alive: frozenset[str]  # members that may lead: alive and not draining
    claims: dict[str, tuple[str, int]]  # by role: the member that claims to lead it, and its token
    healthy: bool = True  # whether this process is scheduled in time; otherwise it does not propose
    zones: dict[str, str] = field(default_factory=dict)  # by member
    voters: VoterSet | None = None  # the latest that any member has adopted


@dataclass(slots=True)
class HandoverRequested:
    """Operators or a drain request that another member leads a role."""

    role: str
    successor: str = ""  # "": any candidate


@dataclass(slots=True)
class RoleStateChanged:
    """The state of a role, which a successor receives, has changed."""

    role: str
    state: bytes


@dataclass(slots=True)
class WriteRequested:
    """Operators or another component request a write of a row; `WriteCompleted` with this id follows."""

    key: str
    value: bytes
    request_id: int


@dataclass(slots=True)
class VoterChangeRequested:
    """Operators request that one voter is added or removed; `WriteCompleted` with this id follows."""

    add: str
    remove: str
    request_id: int


Event = (
    MessageReceived
    | TimerFired
    | MembershipObserved
    | HandoverRequested
    | RoleStateChanged
    | WriteRequested
    | VoterChangeRequested
)


# Actions


@dataclass(slots=True)
class SendMessage:
    """Send a message to the process of this name."""

    recipient: str
    message: Message


@dataclass(slots=True)
class LeaseAcquired:
    """This process now leads the role, and presents the token with each action."""

    role: str
    token: int
    state: bytes  # from the predecessor


@dataclass(slots=True)
class LeaseLost:
    """This process no longer leads the role and must stop its work immediately, even if incomplete."""

    role: str
    token: int
    reason: str


@dataclass(slots=True)
class TableOpened:
    """The state table accepts writes at this process."""

    token: int
    row_count: int
    rows_lost: bool  # acknowledged rows may be missing


@dataclass(slots=True)
class WriteCompleted:
    """The outcome of a write request: committed, rejected, or unknown (`committed` and `rejection` unset)."""

    request_id: int
    committed: bool
    rejection: str = ""


@dataclass(slots=True)
class VotersChanged:
    """This process has adopted a voter set."""

    voters: VoterSet


Action = SendMessage | SetTimer | LeaseAcquired | LeaseLost | TableOpened | WriteCompleted | VotersChanged
