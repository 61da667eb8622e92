"""Records and messages of the shared state, and the events and actions of `core.SharedState`.

A record is a writer's latest value of a kind. It is sent with an upper bound on its age, to which each hop
adds more than the time that passed there, so no two clocks are compared. All records and messages are encoded
as arrays: the order of the fields is part of the wire format, their names are not.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from msgspec import Struct

from dunlinloft.fleet.cells.messages import CellSummary
from dunlinloft.fleet.releases.follower import AttemptOutcome, ObservedServer
from dunlinloft.fleet.releases.messages import Order, Tally
from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired

# Kinds of records, as encoded.
OBSERVATION_REPORT = 1
HEARTBEAT = 2
AFFINITY_BINDINGS = 3
OPERATOR_LIMITS = 4
RELEASE = 5
TALLY = 6
SUMMARY = 7
# By kind, as shown to operators.
RECORD_KIND_NAMES = {
    OBSERVATION_REPORT: "findings", HEARTBEAT: "pulse", AFFINITY_BINDINGS: "bindings",
    OPERATOR_LIMITS: "orders", RELEASE: "release", TALLY: "tally", SUMMARY: "summary",
}  # fmt: skip


class Entry(Struct, array_like=True, gc=False):
    """A record in transit; `age_ms` is an upper bound on its age when it is sent."""

    kind: int
    writer: str
    incarnation: int  # of the writer
    version: int
    age_ms: int
    content: bytes


class PullRequest(Struct, array_like=True, tag=21, gc=False):
    """Requests the records after `cursor`, an offset in the log of that incarnation of the responder."""

    request_id: int
    incarnation: int
    cursor: int


class PullResponse(Struct, array_like=True, tag=22, gc=False):
    """The records between two offsets of the responder's log."""

    request_id: int
    incarnation: int
    from_cursor: int
    cursor: int
    entries: list[Entry]


Message = PullRequest | PullResponse


# Contents of records


class ServerStatistics(Struct, array_like=True, gc=False):
    """A process's recent observations of one server and request class; numbers are in tenths.

    `error_odds` and `loss_odds` (time-outs, failed connects, unresponsiveness) are log odds that the server
    fails half of its attempts rather than as many as its peers, since the sum was last 0. `successes` is the
    decayed number of responses since its last failure; `failure_age_ms` is the time since that failure. With
    a `class_hash` of 0 the row covers delays in all classes: `error_odds` are log odds that the server is
    several times slower than its peers, and `slowdown` is its delay divided by theirs.
    """

    server: int
    start_id: int  # of the server's process: rows on an earlier start are ignored
    class_hash: int
    error_odds: int
    loss_odds: int
    successes: int
    failure_age_ms: int
    slowdown: int


class ObservationReport(Struct, array_like=True, gc=False):
    """A process's statistics of the servers that deviate from their peers."""

    zone: str
    tier: int
    used: int  # number of servers with a recent outcome
    failing: int  # number of those that fail
    health: int  # the writer's local health score (its own lateness); 0 is healthy
    statistics: list[ServerStatistics]


class KnownEpoch(NamedTuple):
    """The latest epoch of another process's bindings that a process knows."""

    name: str
    incarnation: int
    epoch: int
    alive: bool  # whether the process sees that incarnation alive


class Heartbeat(Struct, array_like=True, gc=False):
    """What each process reports periodically, whether it changed or not."""

    zone: str
    tier: int
    demand: dict[str, float]  # by tenant, in requests/s
    allowed_retries: float  # retries/s that its retry controller allows
    measured_responses: float  # responses/s on which the controller bases that
    known_epochs: list[KnownEpoch]  # of processes that may bind keys away from home


class BoundKey(NamedTuple):
    """A key that is bound to a group other than its home."""

    key: int
    group: str
    remaining_ms: int


class AffinityBindings(Struct, array_like=True, gc=False):
    """The groups that a process finds unavailable, and the keys that it has therefore bound elsewhere."""

    epoch: int
    unavailable: list[str]
    keys: list[BoundKey]


class OperatorLimits(Struct, array_like=True, gc=False):
    """Tenants' limits (requests/s) that operators have set in the state table, written by its leader."""

    token: int  # the leader's fencing token
    limits: dict[str, float]


encode = msgspec.msgpack.Encoder().encode
_observation_report = msgspec.msgpack.Decoder(ObservationReport)
_heartbeat = msgspec.msgpack.Decoder(Heartbeat)
_affinity_bindings = msgspec.msgpack.Decoder(AffinityBindings)
_operator_limits = msgspec.msgpack.Decoder(OperatorLimits)
_release = msgspec.msgpack.Decoder(Order)
_tally = msgspec.msgpack.Decoder(Tally)
_summary = msgspec.msgpack.Decoder(CellSummary)
Content = ObservationReport | Heartbeat | AffinityBindings | OperatorLimits | Order | Tally | CellSummary


def decode(kind: int, content: bytes) -> Content | None:
    """Decode a record's content; None if it is malformed or of an unknown kind (of a newer version)."""
    try:
        match kind:
            case 1:
                return _observation_report.decode(content)
            case 2:
                return _heartbeat.decode(content)
            case 3:
                return _affinity_bindings.decode(content)
            case 4:
                return _operator_limits.decode(content)
            case 5:
                return _release.decode(content)
            case 6:
                return _tally.decode(content)
            case 7:
                return _summary.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass
    return None


# Events


@dataclass(slots=True)
class MessageReceived:
    """A message was received from the process with this name."""

    message: Message
    sender: str


@dataclass(slots=True)
class MembershipUpdated:
    """Membership changed: this process's incarnation and local health, and the other members."""

    incarnation: int
    alive: dict[str, int]  # the other members that are alive, with their incarnations
    counted: frozenset[str]  # names of members that count in quorums and quota shares
    member_count: int  # all members that count, also those known by number only
    health: int = 0  # this process's local health score (its lateness); 0 is healthy


@dataclass(slots=True)
class RequestReceived:
    """A tenant's request was received."""

    tenant: str


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt at a server was completed."""

    server: int
    class_name: str
    outcome: AttemptOutcome
    duration_ms: float


@dataclass(slots=True)
class OperatorLimitsRead:
    """This process leads the state table under this fencing token, and the table holds these limits."""

    token: int
    limits: dict[str, float]


@dataclass(slots=True)
class ReleaseOrderIssued:
    """This process is the release controller, and this is its current order."""

    order: Order


@dataclass(slots=True)
class NodeStatus:
    """The node's view of its servers and of its retry controller."""

    start_ids: dict[int, int]  # of the server's process, by listed server
    unresponsive: frozenset[int]  # servers that timed out with attempts in flight
    groups: dict[str, tuple[int, int]]  # healthy servers and servers in service, by group
    allowed_retries: float  # per second
    measured_responses: float  # per second
    servers: dict[int, ObservedServer] = field(default_factory=dict)  # for releases


Event = (
    MessageReceived
    | TimerFired
    | MembershipUpdated
    | RequestReceived
    | AttemptCompleted
    | NodeStatus
    | OperatorLimitsRead
    | ReleaseOrderIssued
)

# Actions


@dataclass(slots=True)
class SendMessage:
    """Send a message to the process with this name."""

    recipient: str
    message: Message


@dataclass(slots=True)
class Verdict:
    """The pooled verdict on a server."""

    server: int
    avoid: bool = False
    class_hashes: frozenset[int] = frozenset()  # classes for which it is avoided; empty: all
    slowdown: float = 1.0  # its delay divided by its peers'
    trial: bool = False  # this process may send one attempt to it although it is avoided


@dataclass(slots=True)
class ApplyVerdicts:
    """Apply these verdicts in place of all earlier ones."""

    verdicts: list[Verdict] = field(default_factory=list)


@dataclass(slots=True)
class ApplyQuotaShares:
    """Apply this process's shares of the tenants' quotas (requests/s), and its share of retries."""

    quotas: dict[str, float]
    retry_share: float
    fallback: bool  # the demand of some members is unknown, so they count with even shares


@dataclass(slots=True)
class LimitNewServers:
    """Limit these servers, which run the new release, to this share of first attempts."""

    servers: frozenset[int]
    share: float


Action = SendMessage | SetTimer | ApplyVerdicts | ApplyQuotaShares | LimitNewServers
