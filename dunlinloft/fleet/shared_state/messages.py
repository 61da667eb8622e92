"""What processes tell each other of the state they share, and how a host speaks to its part.

A record is one writer's latest word of a kind. It travels with its age, which each hop makes greater by
more than the time that truly passed, so no two clocks are compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from dunlinloft.fleet.cells.messages import Summary
from dunlinloft.fleet.releases.follower import ObservedServer
from dunlinloft.fleet.releases.messages import Order, Tally
from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired

FINDINGS, PULSE, BINDINGS, ORDERS, RELEASE, TALLY, SUMMARY = 1, 2, 3, 4, 5, 6, 7
KINDS = {
    FINDINGS: "findings", PULSE: "pulse", BINDINGS: "bindings", ORDERS: "orders", RELEASE: "release",
    TALLY: "tally", SUMMARY: "summary",
}  # fmt: skip


class Entry(Struct, array_like=True, gc=False):
    """A record on its way; `age_ms` is no less than its true age as it is sent."""

    kind: int
    writer: str
    life: int
    version: int
    age_ms: int
    content: bytes


class Pull(Struct, array_like=True, tag=21, gc=False):
    """What is new with you since `cursor`, a place in your log, in this life of yours?"""

    number: int
    life: int
    cursor: int


class Pour(Struct, array_like=True, tag=22, gc=False):
    """This is, from one place in the log to another."""

    number: int
    life: int
    since: int
    cursor: int
    entries: list[Entry]


Message = Pull | Pour


# What records say


class Cell(Struct, array_like=True, gc=False):
    """What a process has lately seen of one server, for one class of requests; figures in tenths.

    `errors` and `lost` (time-outs, failed connects, silence) are log odds that it fails half its calls rather
    than as its peers do, since the last time that was 0; `good` are answers since its last failure, which
    fade; `ago_ms` is how long ago that failure was. With `cls` 0 it is about the delay in all classes:
    `errors` are log odds that it is several times slower than its peers, `slow` how many times.
    """

    server: int
    start: int  # a mark of the server's start: what is said of one says nothing of the next
    cls: int  # a mark of the class
    errors: int
    lost: int
    good: int
    ago_ms: int
    slow: int


class Findings(Struct, array_like=True, gc=False):
    """What a process has seen of servers that stand out."""

    zone: str
    tier: int
    used: int  # servers that it has had answers or failures from lately,
    failing: int  # and those of them that fail
    health: int  # how late it is itself: 0 is well
    cells: list[Cell]


class Pulse(Struct, array_like=True, gc=False):
    """What each process says all the time: its demand, its loop, and whose bindings it knows."""

    zone: str
    tier: int
    demand: dict[str, float]  # by tenant, requests a second
    allowed: float  # retries a second that its loop allows,
    tuned: float  # of so many answers
    # Who may bind keys away from home: name, life, epoch as known here, and whether it is there still.
    heard: list[tuple[str, int, int, bool]]


class Bindings(Struct, array_like=True, gc=False):
    """Which groups a process takes for out, and the keys that it has sent elsewhere because of it."""

    epoch: int
    out: list[str]
    keys: list[tuple[int, str, int]]  # key, group, ms that it is bound for still


class Orders(Struct, array_like=True, gc=False):
    """What operators have set in the ledger, by whoever holds it: limits by tenant, requests a second."""

    token: int
    limits: dict[str, float]


encode = msgspec.msgpack.Encoder().encode
_findings = msgspec.msgpack.Decoder(Findings)
_pulse = msgspec.msgpack.Decoder(Pulse)
_bindings = msgspec.msgpack.Decoder(Bindings)
_orders = msgspec.msgpack.Decoder(Orders)
_release = msgspec.msgpack.Decoder(Order)
_tally = msgspec.msgpack.Decoder(Tally)
_summary = msgspec.msgpack.Decoder(Summary)
Content = Findings | Pulse | Bindings | Orders | Order | Tally | Summary


def decode(kind: int, content: bytes) -> Content | None:
    """What a record says; None where that can't be read, or the kind is not known."""
    try:
        match kind:
            case 1:
                return _findings.decode(content)
            case 2:
                return _pulse.decode(content)
            case 3:
                return _bindings.decode(content)
            case 4:
                return _orders.decode(content)
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
class Heard:
    """A message has come from the process of this name."""

    message: Message
    sender: str


@dataclass(slots=True)
class Seen:
    """This process's life; who else is there, with lives; who counts in parts of budgets, and how many.

    `health` is how late this process is itself.
    """

    life: int
    here: dict[str, int]
    counted: frozenset[str]
    base: int
    health: int = 0


@dataclass(slots=True)
class Asked:
    """A request has come for a tenant."""

    tenant: str


@dataclass(slots=True)
class Ended:
    """An attempt is over: `good` (answered), `error`, `lost` (no answer, or no connection), `full`."""

    server: int
    cls: str
    how: str
    ms: float


@dataclass(slots=True)
class Ordered:
    """This process holds the ledger by this token, and these limits are in it."""

    token: int
    limits: dict[str, float]


@dataclass(slots=True)
class Steer:
    """This process is the steward of releases, and this is its order, in force now as before."""

    order: Order


@dataclass(slots=True)
class Known:
    """What this node knows now: the servers its list names, each with a mark of its start; those silent.

    `groups` says of each group how many of its servers are fit, of how many that are in service.
    """

    starts: dict[int, int]
    silent: frozenset[int]
    groups: dict[str, tuple[int, int]]
    allowed: float
    tuned: float
    servers: dict[int, ObservedServer] = field(default_factory=dict)  # for releases: what is known of each


Event = Heard | TimerFired | Seen | Asked | Ended | Known | Ordered | Steer

# Actions


@dataclass(slots=True)
class Tell:
    """Send a message to the process of this name."""

    name: str
    message: Message


@dataclass(slots=True)
class Verdict:
    """What all together think of a server.

    `avoid`: for these classes' marks, or for all where there are none named; `trial`: this process may
    send one call there all the same; `slow`: its delay over its peers'.
    """

    server: int
    avoid: bool = False
    classes: frozenset[int] = frozenset()
    slow: float = 1.0
    trial: bool = False


@dataclass(slots=True)
class Warn:
    """These verdicts are in force; those before are not."""

    verdicts: list[Verdict] = field(default_factory=list)


@dataclass(slots=True)
class Part:
    """This process's parts of the tenants' quotas (requests a second), and of retries a loop's share."""

    quotas: dict[str, float]
    retry_share: float
    fallback: bool


@dataclass(slots=True)
class Cap:
    """These servers are new, and get this share of first sends at most."""

    servers: frozenset[int]
    share: float


Action = Tell | SetTimer | Warn | Part | Cap
