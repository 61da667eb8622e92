"""Events, actions and settings: the interface between a node and the balancer.

The node (`dunlinloft.node`, the simulator's adapter `wirehost`, or `lab`) translates what happens on its
sockets to events, passes them to `dunlinloft.balancer.balancer.Balancer.handle` and carries out the returned
actions. Times are milliseconds on a monotonic clock of the node. Ids are chosen by the node and returned
unchanged. This module only defines data.
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
    """The content of an update from discovery."""

    DELTA = "changes"  # changed entries only
    SNAPSHOT = "full"  # the complete list
    CACHED = "saved"  # the complete list as last stored by the node, possibly stale
    FAILED = "failed"  # the subscription or call failed or was interrupted; no entries


class Result(IntEnum):
    """The result of an attempt.

    `REJECTED`, `UNREACHABLE` and `NOT_SENT` prove that the attempt was not executed. With the setting
    `Settings.rejected_may_have_run`, `REJECTED` doesn't.
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
    started_ms: float | None = None  # None: too long ago for slow start


# Events, from the node to the balancer.


@dataclass(slots=True)
class Started:
    """The node has started."""


@dataclass(slots=True)
class Reconfigured:
    """The settings have changed; requests in flight keep their class."""

    settings: Settings


@dataclass(slots=True)
class ProcessCount:
    """The number of processes that serve as this node, which divide the node's budgets among them."""

    processes: int


@dataclass(slots=True)
class ServerListUpdate:
    """An update from discovery."""

    kind: ListUpdateKind
    version: int = 0
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """The node has accepted a request, which must get exactly one final answer.

    Attributes
    ----------
    ttl_ms
        Time left until its deadline.
    complete
        Whether its body has arrived; otherwise `ttl_ms` starts with `RequestComplete`.
    pinned_group
        Deduplication group that it is restricted to from its first attempt on.
    affinity_key
        Hash of the affinity key, for classes with `RequestClass.affinity`.
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
    """The body of an accepted request has arrived completely."""

    id: str


@dataclass(slots=True)
class AttemptCompleted:
    """An attempt has ended.

    `final`: the request has been answered, so that no further attempt is needed. `replayable`: the body can
    be sent again; otherwise part of it was discarded, and no further attempt is possible. `report`: the
    server's load report.
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
    """The response to an attempt has started to stream, so that the request can't be retried."""

    id: str
    attempt: int
    server: int
    duration_ms: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has disconnected, so that it needs no answer."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(slots=True)
class PeerVerdict:
    """The verdict of all replicas on a server, from their combined observations.

    Attributes
    ----------
    avoid
        Whether to treat the server as ejected, for the classes in `classes`, or for all if that is empty.
    latency_ratio
        The server's delay as a multiple of its peers'.
    trial
        Whether one attempt may be sent in spite of `avoid`, as with a half-open circuit breaker.
    """

    server: int
    avoid: bool = False
    classes: frozenset[str] = frozenset()
    latency_ratio: float = 1.0
    trial: bool = False


@dataclass(slots=True)
class PeerVerdicts:
    """The verdicts shared by replicas, worst first. They replace all earlier ones."""

    verdicts: list[PeerVerdict]


@dataclass(slots=True)
class QuotaShares:
    """This replica's shares of the tenants' quotas, in requests per second.

    Tenants that are not listed are divided equally among replicas. `retry_share` is the share of the retries
    allowed by one delay controller that all replicas together allow.
    """

    quotas: dict[str, float]
    retry_share: float = 1.0


@dataclass(slots=True)
class CanaryLimit:
    """The maximum share of each class's first attempts that canary servers, which run a new build, may get.

    It is an upper bound in addition to all others and never sends them more. A share of 1 means no limit.
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

# Actions, from the balancer to the node.


@dataclass(slots=True)
class Send:
    """Send the request's next attempt to a server, with a timeout.

    If the request isn't written completely within `send_window_ms`, the node must stop writing it, and the
    attempt ends as `NOT_SENT`.
    """

    id: str
    server: int
    timeout_ms: float
    send_window_ms: float = math.inf


@dataclass(slots=True)
class Fail:
    """Answer the request with an error; it may have been executed."""

    id: str


@dataclass(slots=True)
class Reject:
    """Answer the request with a rejection, which tells the client that a retry is safe."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    id: str
    attempt: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired(token)` after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to server list updates from discovery."""


@dataclass(slots=True)
class Log:
    """Write a message to the node's log."""

    text: str


Action = Send | Fail | Reject | Cancel | CloseIdle | SetTimer | Subscribe | Log
