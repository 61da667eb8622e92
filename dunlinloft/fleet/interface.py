"""Events that a host gives to the membership state machine, and actions that it carries out for it.

The state machine is pure: `Membership.handle(event, now)` returns actions and touches neither sockets nor
clocks. Times are milliseconds on the host's own monotonic clock. The hosts are `dunlinloft.node.fleet.peers`
(sockets), `lab.virtual` (virtual time) and `lab.explore` (an explorer of message orders).
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

    `View.merge` gives those up to `LEFT`; the last three are of a fleet with cells.
    """

    NONE = ""
    JOINED = "joined"  # a member that was unknown, dead, left, or of an earlier incarnation is alive
    METADATA = "facts"
    SUSPECTED_BY_MORE = "accused"  # a suspicion that is known has one more independent source
    SUSPECT = "suspect"
    ALIVE = "alive"
    DEAD = "dead"
    LEFT = "left"
    RELEASED = "gone"  # it belongs to another cell by now
    CELL = "cut"  # of this process itself: its cell was split or merged
    TOTALS = "totals"  # of this process itself: the totals of its service have changed


# Events


@dataclass(slots=True)
class Started:
    """The process is up and can be reached."""


@dataclass(slots=True)
class MessageReceived:
    """A datagram has come from the address `source`.

    `sender_cell` is the cell that its sender belongs to, in a fleet with cells.
    """

    message: AnyMessage
    source: str
    sender_cell: CellPartition | None = None


@dataclass(slots=True)
class PushPullReceived:
    """Another member's state has come complete over a stream.

    `requested`: it answers a `PushPull` of this process. Otherwise the other side opened the exchange, and
    the host answers it with `Membership.state_for`.
    """

    state: State
    source: str
    requested: bool
    sender_cell: CellPartition | None = None


@dataclass(slots=True)
class PushPullFailed:
    """A push-pull exchange with this address has failed or timed out."""

    address: str


@dataclass(slots=True)
class StreamProbeAcked:
    """The member `name` has answered the `ProbeOverStream` of this number."""

    number: int
    name: str
    incarnation: int


@dataclass(slots=True)
class MetadataUpdated:
    """New values of this process's own metadata; keys that are absent stay as they were."""

    metadata: dict[str, MetadataValue]


@dataclass(slots=True)
class LeaveRequested:
    """The process shuts down gracefully: the other members are notified that it leaves."""


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
    """Probe over a stream: `StreamProbeAcked(number)` if it is answered, no event otherwise."""

    address: str
    number: int


@dataclass(slots=True)
class PushPull:
    """Push this state over a stream and pull the other's: `PushPullReceived` or `PushPullFailed` follows."""

    address: str
    state: State


@dataclass(slots=True)
class MemberChanged:
    """The view of a member has changed."""

    name: str
    change: MemberChange


@dataclass(slots=True)
class LogEvent:
    """An event for the operators' log."""

    event: str
    fields: dict[str, MetadataValue] = field(default_factory=dict)


Action = SendDatagram | ProbeOverStream | PushPull | SetTimer | MemberChanged | LogEvent
