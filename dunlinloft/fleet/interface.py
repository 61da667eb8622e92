"""Events that a host passes to the membership state machine, and actions that it executes in return.

The state machine is pure: `Membership.handle(event, now)` returns actions and uses neither sockets nor
clocks. Times are milliseconds on the host's own monotonic clock. The hosts are `dunlinloft.node.fleet.peers`
(sockets), `lab.virtual` (virtual time) and `lab.explore` (exploration of message orders).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from dunlinloft.fleet.cells import messages as cells
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.messages import Message, MetadataValue, State
from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired

AnyMessage = Message | cells.Message


class MemberChange(StrEnum):
    """How the view of a member has changed.

    `View.merge` returns the values up to `LEFT`; the last three occur only in a fleet with cells.
    """

    NONE = ""
    JOINED = "joined"  # alive now; before, it was unknown, dead, left or an earlier incarnation
    METADATA = "facts"
    SUSPECTED_BY_MORE = "accused"  # a known suspicion has one more independent source
    SUSPECT = "suspect"
    ALIVE = "alive"
    DEAD = "dead"
    LEFT = "left"
    RELEASED = "gone"  # it has moved to another cell
    CELL = "cut"  # this process's own cell was split or merged
    TOTALS = "totals"  # the totals of this process's service have changed


# Events


@dataclass(slots=True)
class Started:
    """The process has started and is reachable."""


@dataclass(slots=True)
class MessageReceived:
    """A datagram was received from the address `source`.

    In a fleet with cells, `sender_cell` is the cell of the sender.
    """

    message: AnyMessage
    source: str
    sender_cell: CellPartition | None = None


@dataclass(slots=True)
class PushPullReceived:
    """Another member's complete state was received over a stream.

    If `requested`, it is the response to a `PushPull` of this process. Otherwise the other member initiated
    the exchange, and the host responds with `Membership.state_for`.
    """

    state: State
    source: str
    requested: bool
    sender_cell: CellPartition | None = None


@dataclass(slots=True)
class PushPullFailed:
    """A push-pull exchange with this address failed or timed out."""

    address: str


@dataclass(slots=True)
class StreamProbeAcked:
    """The member `name` acknowledged the `ProbeOverStream` with this number."""

    number: int
    name: str
    incarnation: int


@dataclass(slots=True)
class MetadataUpdated:
    """New values of this process's own metadata; absent keys keep their values."""

    metadata: dict[str, MetadataValue]


@dataclass(slots=True)
class LeaveRequested:
    """The process shuts down gracefully and notifies the other members that it leaves."""


Event = (
    Started
    | MessageReceived
    | PushPullReceived
    | PushPullFailed
    | StreamProbeAcked
    | TimerFired
    | MetadataUpdated
    | LeaveRequested
)

# Actions


@dataclass(slots=True)
class SendDatagram:
    """Send a message to an address as one datagram."""

    address: str
    message: AnyMessage


@dataclass(slots=True)
class ProbeOverStream:
    """Probe a member over a stream; `StreamProbeAcked(number)` follows only if it responds."""

    address: str
    number: int


@dataclass(slots=True)
class PushPull:
    """Exchange this state for the peer's over a stream; `PushPullReceived` or `PushPullFailed` follows."""

    address: str
    state: State


@dataclass(slots=True)
class MemberChanged:
    """The view of a member has changed."""

    name: str
    change: MemberChange


@dataclass(slots=True)
class LogEvent:
    """An event for the operational log."""

    event: str
    fields: dict[str, MetadataValue] = field(default_factory=dict)


Action = SendDatagram | ProbeOverStream | PushPull | SetTimer | MemberChanged | LogEvent
