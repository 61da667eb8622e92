"""What a host and the fleet's parts say to each other: events in, actions out.

Times are milliseconds on the host's own monotonic clock. A host runs the same parts on sockets, in
virtual time, or under an explorer of orders; nothing here knows which.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.fleet.cells import messages as cells
from dunlinloft.fleet.cells.cut import Cut
from dunlinloft.fleet.messages import Fact, Message, State

Said = Message | cells.Message

# Events: what happens to a process.


@dataclass(slots=True)
class Begin:
    """The process is up and can be reached."""


@dataclass(slots=True)
class Heard:
    """A datagram has come; `source` is where it was sent from, `cut` its sender's, where there are cells."""

    message: Said
    source: str
    cut: Cut | None = None


@dataclass(slots=True)
class Met:
    """A state has come whole over a stream: `asked` for, or brought by another, whom the host answers."""

    state: State
    source: str
    asked: bool
    cut: Cut | None = None


@dataclass(slots=True)
class Missed:
    """An exchange of states has failed."""

    address: str


@dataclass(slots=True)
class Ponged:
    """A probe over a stream was answered by this member."""

    number: int
    name: str
    life: int


@dataclass(slots=True)
class Fired:
    """A timer has come due."""

    token: int


@dataclass(slots=True)
class Facts:
    """What is so of this process from now on; names that are absent stay as they were."""

    facts: dict[str, Fact]


@dataclass(slots=True)
class Leave:
    """The process goes, and says so."""


Event = Begin | Heard | Met | Missed | Ponged | Fired | Facts | Leave

# Actions: what a host is asked to do.


@dataclass(slots=True)
class Post:
    """Send a datagram."""

    address: str
    message: Said


@dataclass(slots=True)
class Dial:
    """Probe over a stream: `Ponged(number)` where it is answered, nothing else."""

    address: str
    number: int


@dataclass(slots=True)
class Exchange:
    """Give this state over a stream and take the other's."""

    address: str
    state: State


@dataclass(slots=True)
class SetTimer:
    """Deliver `Fired(token)` after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Changed:
    """The view of a member has changed: `joined`, `suspect`, `alive`, `dead`, `left`, `facts`, `gone`."""

    name: str
    what: str


@dataclass(slots=True)
class Note:
    """An event for the operators' log."""

    event: str
    fields: dict[str, Fact] = field(default_factory=dict)


Action = Post | Dial | Exchange | SetTimer | Changed | Note
