"""Messages between voters and candidates, and the events and actions of `manager.LeaseManager`.

All messages are encoded as arrays: the order of fields is the wire format, their names are not. A later
version may add fields at the end, which an older one skips. Every message begins with the role that it is
about; it is empty where the message concerns the voters themselves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import Struct

from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired


class ProposalNumber(NamedTuple):
    """Orders the proposals for a role (PaxosLease: ballot number).

    No number is used twice, not even by a process that has lost its memory: the incarnation is drawn anew at
    each start.
    """

    round: int
    candidate: str
    incarnation: int  # of the candidate's process

    def proposer(self) -> tuple[str, int]:
        """The process that proposes: name and incarnation."""
        return self.candidate, self.incarnation


NO_PROPOSAL = ProposalNumber(0, "", 0)


class VoterSet(Struct, array_like=True, gc=False, frozen=True):
    """The voters after the `epoch`-th change; epoch 0 is the configured set."""

    epoch: int
    names: tuple[str, ...]

    def majority(self) -> int:
        """How many voters have to agree."""
        return majority(len(self.names))


def majority(count: int) -> int:
    """The size of a majority of `count` voters: any two majorities share a voter."""
    return count // 2 + 1


class Lease(Struct, array_like=True, gc=False):
    """A lease that a voter has accepted and that has not expired on its clock."""

    proposal: ProposalNumber
    token: int
    remaining_ms: float


class Prepare(Struct, array_like=True, tag=11, gc=False):
    """Phase 1 request of a candidate, to all voters (PaxosLease: prepare request)."""

    role: str
    proposal: ProposalNumber
    voters_epoch: int = 0  # of the voter set whose majority the candidate counts


class PrepareResponse(Struct, array_like=True, tag=12, gc=False):
    """A voter's phase 1 response; a rejection names the proposal that the voter is bound to."""

    role: str
    proposal: ProposalNumber
    granted: bool
    highest_promised: ProposalNumber
    lease: Lease | None  # that this voter has accepted, of any candidate
    token: int  # the greatest that this voter has accepted
    state: bytes  # that was handed on with that token


class Propose(Struct, array_like=True, tag=13, gc=False):
    """Phase 2 request: a lease for `term_ms` from when the voter receives it."""

    role: str
    proposal: ProposalNumber
    term_ms: float
    token: int
    state: bytes
    voters_epoch: int = 0


class ProposeResponse(Struct, array_like=True, tag=14, gc=False):
    """A voter's phase 2 response; a rejection names the proposal that the voter is bound to."""

    role: str
    proposal: ProposalNumber
    accepted: bool
    highest_promised: ProposalNumber


class Release(Struct, array_like=True, tag=15, gc=False):
    """The leader gives up the lease of this proposal before its end; `successor` should propose next."""

    role: str
    proposal: ProposalNumber
    successor: str  # "": any candidate
    token: int
    state: bytes


class TokensRequest(Struct, array_like=True, tag=16, gc=False):
    """A voter that has started without memory requests the tokens that other voters know of."""

    role: str
    request_id: int
    voters_epoch: int = 0


class TokensResponse(Struct, array_like=True, tag=17, gc=False):
    """The greatest token of each role that a voter knows of."""

    role: str
    request_id: int
    recovered: bool  # False: it has started without memory itself, and has not recovered yet
    tokens: dict[str, int]
    voters_epoch: int = 0  # that it has adopted


class VoterSetUpdate(Struct, array_like=True, tag=18, gc=False):
    """Announces the voter set. With a `request_id` it is to be acknowledged, and the tokens merged."""

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
    """A row of the state table: the `sequence`-th write of the leader with this token."""

    key: str
    token: int
    sequence: int
    value: bytes

    def version(self) -> tuple[int, int]:
        """Of two rows of a key the one of the greater version is valid."""
        return self.token, self.sequence


class TableRead(Struct, array_like=True, tag=31, gc=False):
    """Requests the rows after a key. With a token, the replica rejects lower ones from then on."""

    role: str
    token: int  # of the primary; 0 from a replica that recovers
    read_id: int
    after_key: str
    voters_epoch: int = 0


class TablePage(Struct, array_like=True, tag=32, gc=False):
    """A replica's response to a read: one page of its rows, and the state that they belong to."""

    role: str
    token: int
    read_id: int
    after_key: str
    base_token: int  # of the primary that last replaced all rows
    highest_token: int  # that any primary has presented here
    rows_lost: bool  # acknowledged rows may be missing
    recovering: bool  # this replica has started without memory, and awaits the base
    rows: list[TableRow]
    has_more: bool
    incarnation: int  # of this replica: what it promised does not bind its next incarnation


class TableWrite(Struct, array_like=True, tag=33, gc=False):
    """A page of a new base, or, with a `page_count` of 0, more rows of the present base."""

    role: str
    token: int
    write_id: int
    page_index: int
    page_count: int
    rows_lost: bool
    rows: list[TableRow]
    incarnation: int = 0  # not 0: the base is for this incarnation of a recovering replica alone
    voters_epoch: int = 0


class TableWriteAck(Struct, array_like=True, tag=34, gc=False):
    """Acknowledges that the rows of that write are stored."""

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
    """What membership says at present; it may be late or wrong, and safety does not depend on it."""

    alive: frozenset[str]  # members that may lead: alive and not draining
    claims: dict[str, tuple[str, int]]  # by role: who says that it leads, and its token
    healthy: bool = True  # whether this process gets its turns in time; otherwise it does not stand
    zones: dict[str, str] = field(default_factory=dict)  # by member
    voters: VoterSet | None = None  # the latest that any member has adopted


@dataclass(slots=True)
class HandoverRequested:
    """Operators, or a drain, want a role led elsewhere."""

    role: str
    successor: str = ""  # "": any candidate


@dataclass(slots=True)
class RoleStateChanged:
    """The small state of a role's work has changed; a successor receives it."""

    role: str
    state: bytes


@dataclass(slots=True)
class WriteRequested:
    """Operators, or another component, want a row written; `WriteCompleted` of this id follows."""

    key: str
    value: bytes
    request_id: int


@dataclass(slots=True)
class VoterChangeRequested:
    """Operators want one voter added or removed; `WriteCompleted` of this id follows."""

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
    """This process leads the role from now on, and presents the token with each act."""

    role: str
    token: int
    state: bytes  # from its predecessor


@dataclass(slots=True)
class LeaseLost:
    """This process no longer leads the role: its work stops at once, even half done."""

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
    """The outcome of a write request.

    It is committed, or its outcome is unknown (neither `committed` nor a `rejection`), or it was rejected.
    """

    request_id: int
    committed: bool
    rejection: str = ""


@dataclass(slots=True)
class VotersChanged:
    """This process has adopted a voter set."""

    voters: VoterSet


Action = SendMessage | SetTimer | LeaseAcquired | LeaseLost | TableOpened | WriteCompleted | VotersChanged
