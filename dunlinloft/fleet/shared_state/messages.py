"""Records and messages of the shared state, and the events and actions of `core.SharedState`.

A record is a writer's latest value of a kind. It travels with an upper bound on its age, to which each hop
adds more than the time that passed there, so no two clocks are compared. All records and messages are encoded
as arrays: the order of fields is the wire format, their names are not.
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
# By kind, as operators see them.
RECORD_KIND_NAMES = {
    OBSERVATION_REPORT: "findings", HEARTBEAT: "pulse", AFFINITY_BINDINGS: "bindings",
    OPERATOR_LIMITS: "orders", RELEASE: "release", TALLY: "tally", SUMMARY: "summary",
}  # fmt: skip


class Entry(Struct, array_like=True, gc=False):
    """A record in transit; `age_ms` is no less than its true age when it is sent."""

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
    """What a process has lately observed of one server, for one class of requests; figures in tenths.

    `error_odds` and `loss_odds` (time-outs, failed connects, silence) are log odds that the server fails half
    of its attempts rather than as its peers do, since that sum was last 0. `successes` are responses since
    its last failure, decayed; `failure_age_ms` is the time since that failure. With a `class_hash` of 0 the
    row is about delays in all classes: `error_odds` are log odds that the server is several times slower than
    its peers, and `slowdown` is how many times.
    """

    server: int
    start_id: int  # of the server's process: what is reported of one start is void for the next
    class_hash: int
    error_odds: int
    loss_odds: int
    successes: int
    failure_age_ms: int
    slowdown: int


class ObservationReport(Struct, array_like=True, gc=False):
    """A process's statistics of the servers that stand out."""

    zone: str
    tier: int
    used: int  # servers with a recent outcome
    failing: int  # those of them that fail
    health: int  # the writer's own lateness; 0 is healthy
    statistics: list[ServerStatistics]


class KnownEpoch(NamedTuple):
    """The epoch of another process's bindings that a process knows of."""

    name: str
    incarnation: int
    epoch: int
    alive: bool  # that incarnation, as far as the process knows


class Heartbeat(Struct, array_like=True, gc=False):
    """What each process reports at regular intervals, whether it changed or not."""

    zone: str
    tier: int
    demand: dict[str, float]  # by tenant, requests a second
    allowed_retries: float  # a second, by its retry controller
    measured_responses: float  # a second, on which the controller bases that
    known_epochs: list[KnownEpoch]  # of processes that may bind keys away from home


class BoundKey(NamedTuple):
    """A key that is bound to a group other than its home."""

    key: int
    group: str
    remaining_ms: int


class AffinityBindings(Struct, array_like=True, gc=False):
    """The groups that a process finds unavailable, and the keys that it has bound elsewhere therefore."""

    epoch: int
    unavailable: list[str]
    keys: list[BoundKey]


class OperatorLimits(Struct, array_like=True, gc=False):
    """Tenants' limits (requests a second) that operators have set in the state table, by its leader."""

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
    """The content of a record; None if it is malformed or its kind is unknown (of a newer version)."""
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
    """A message from the process of this name."""

    message: Message
    sender: str


@dataclass(slots=True)
class MembershipUpdated:
    """This process's incarnation and local health, and the other members."""

    incarnation: int
    alive: dict[str, int]  # the other members that are alive, with their incarnations
    counted: frozenset[str]  # members, by name, that count in quorums and quota shares
    member_count: int  # all that count, also those that are known by number only
    health: int = 0  # this process's lateness; 0 is healthy


@dataclass(slots=True)
class RequestReceived:
    """A tenant's request has come in."""

    tenant: str


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt at a server is over."""

    server: int
    class_name: str
    outcome: AttemptOutcome
    duration_ms: float


@dataclass(slots=True)
class OperatorLimitsRead:
    """This process leads the state table under this fencing token, and these limits are in it."""

    token: int
    limits: dict[str, float]


@dataclass(slots=True)
class ReleaseOrderIssued:
    """This process is the controller of releases, and this order of its is in force."""

    order: Order


@dataclass(slots=True)
class NodeStatus:
    """What this node knows of its servers and its retry controller."""

    start_ids: dict[int, int]  # by listed server, of its process
    unresponsive: frozenset[int]  # servers that have timed out with attempts in flight
    groups: dict[str, tuple[int, int]]  # by group: servers that are healthy, and those in service
    allowed_retries: float  # a second
    measured_responses: float  # a second
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
    """Send a message to the process of this name."""

    recipient: str
    message: Message


@dataclass(slots=True)
class Verdict:
    """The pooled verdict on a server."""

    server: int
    avoid: bool = False
    class_hashes: frozenset[int] = frozenset()  # the classes it is avoided for; empty: all
    slowdown: float = 1.0  # its delay over its peers'
    trial: bool = False  # this process may send one attempt there although it is avoided


@dataclass(slots=True)
class ApplyVerdicts:
    """These verdicts are in force, in place of all earlier ones."""

    verdicts: list[Verdict] = field(default_factory=list)


@dataclass(slots=True)
class ApplyQuotaShares:
    """This process's shares of the tenants' quotas (requests a second), and its share of retries."""

    quotas: dict[str, float]
    retry_share: float
    fallback: bool  # the demand of some members is unknown: they are counted with even shares


@dataclass(slots=True)
class LimitNewServers:
    """These servers run the new release, and get this share of first attempts at most."""

    servers: frozenset[int]
    share: float


Action = SendMessage | SetTimer | ApplyVerdicts | ApplyQuotaShares | LimitNewServers
