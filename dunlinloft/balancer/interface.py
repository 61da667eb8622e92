"""Events, actions and settings: the contract between a node and the balancer's decisions.

The node (`dunlinloft.node`, the simulator's adapter `wirehost`, or `lab`) turns its sockets' happenings into
events, passes them to `dunlinloft.balancer.balancer.Balancer.handle` and carries out the actions that come
back. Times are milliseconds on one monotonic clock of the node's choosing. Ids are the node's own and come
back unchanged. Nothing here decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from dunlinloft.balancer.parameters import DedupScope as DedupScope
from dunlinloft.balancer.parameters import Idempotency as Idempotency
from dunlinloft.balancer.parameters import RequestClass as RequestClass
from dunlinloft.balancer.parameters import Settings as Settings
from dunlinloft.balancer.parameters import Tenant as Tenant


class Health(Enum):
    """The state of a server's process as discovery reports it."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    TERMINATED = "gone"


class ListUpdateKind(Enum):
    """What an update from discovery contains."""

    DELTA = "changes"  # only the entries that changed
    SNAPSHOT = "full"  # replaces the list
    CACHED = "saved"  # the list as the node last had it, possibly stale
    FAILED = "failed"  # a subscription or call failed or broke; no entries


class Result(IntEnum):
    """How an attempt ended.

    `REJECTED`, `UNREACHABLE` and `NOT_SENT` prove that the attempt never ran, except for `REJECTED` where the
    settings say so (`Settings.rejected_may_have_run`).
    """

    SERVED = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


@dataclass(slots=True)
class ServerEntry:
    """One server as discovery lists it."""

    server: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    health: Health = Health.IN_SERVICE
    share: float = 1.0
    started_ms: float | None = None  # None: long ago


# Events: what happens to a node.


@dataclass(slots=True)
class Started:
    """The node is up."""


@dataclass(slots=True)
class Reconfigured:
    """The operators have changed the settings; requests in flight keep their class."""

    settings: Settings


@dataclass(slots=True)
class ProcessCount:
    """How many processes serve as this one node now; its budgets are for all of them together."""

    processes: int


@dataclass(slots=True)
class ServerListUpdate:
    """An update from discovery."""

    kind: ListUpdateKind
    version: int = 0
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """The node has accepted a request and owes it exactly one final answer.

    Attributes
    ----------
    ttl_ms
        Time left to its deadline.
    complete
        Whether its body has arrived; else its time runs from `RequestComplete`.
    pinned_group
        Deduplication group that it is bound to before its first attempt.
    affinity_key
        Hash of what it is about, for classes with `RequestClass.affinity`.
    """

    id: str
    cls: str
    ttl_ms: float
    tenant: str | None = None
    client_retry: bool = False
    complete: bool = True
    pinned_group: str | int | None = None
    affinity_key: int | None = None


@dataclass(slots=True)
class RequestComplete:
    """The last byte of a request has arrived that was accepted before."""

    id: str


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt has ended.

    `final`: the request has had its answer, no further attempt is wanted. `replayable`: its body can be sent
    again; else bytes of it are gone and no further attempt can be made. `report` is the server's load
    report.
    """

    id: str
    attempt: int
    server: int
    result: Result
    duration_ms: float
    final: bool
    report: dict[str, float] | None = None
    replayable: bool = True


@dataclass(slots=True)
class StreamStarted:
    """The response to an attempt has begun to flow; the request is bound to it."""

    id: str
    attempt: int
    server: int
    duration_ms: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """Nobody waits for this request any more."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer has come due."""

    token: int


@dataclass(slots=True)
class PeerVerdict:
    """What all replicas together conclude about a server.

    Attributes
    ----------
    avoid
        Treat it as ejected, for these classes, or for all where none are named.
    latency_ratio
        Its delay over its peers'.
    trial
        One attempt may go there all the same (half-open).
    """

    server: int
    avoid: bool = False
    classes: frozenset[str] = frozenset()
    latency_ratio: float = 1.0
    trial: bool = False


@dataclass(slots=True)
class PeerVerdicts:
    """The verdicts that replicas share; they replace all earlier ones. The worst come first."""

    verdicts: list[PeerVerdict]


@dataclass(slots=True)
class QuotaShares:
    """This replica's shares of tenants' quotas, in requests a second.

    A tenant that is not named has an even share. `retry_share` is the share of the retries one delay
    controller allows that all replicas together allow.
    """

    quotas: dict[str, float]
    retry_share: float = 1.0


@dataclass(slots=True)
class CanaryLimit:
    """These servers run a new build: of the first attempts of each class they get this share at most.

    It is a bound on top of all others and never a reason to send; 1 is none.
    """

    servers: frozenset[int]
    share: float = 1.0


Event = (
    Started
    | Reconfigured
    | ProcessCount
    | ServerListUpdate
    | Request
    | RequestComplete
    | AttemptCompleted
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | PeerVerdicts
    | QuotaShares
    | CanaryLimit
)

# Actions: what the node is asked to do.


@dataclass(slots=True)
class Send:
    """Start the request's next attempt on a server; time it out after `timeout_ms`.

    What has not been written completely within `send_window_ms` must not be written any more: the attempt
    ends as `NOT_SENT`.
    """

    id: str
    server: int
    timeout_ms: float
    send_window_ms: float = math.inf


@dataclass(slots=True)
class Fail:
    """End the request with an error that leaves open whether it ran."""

    id: str


@dataclass(slots=True)
class Reject:
    """End the request unserved; the client learns that a retry is harmless."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    id: str
    attempt: int


@dataclass(slots=True)
class CloseIdle:
    """Close the connections to a server that carry nothing now."""

    server: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired(token)` after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for a standing subscription."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Fail | Reject | Cancel | CloseIdle | SetTimer | Subscribe | Log
