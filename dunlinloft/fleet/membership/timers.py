"""The timers of a membership: the purpose of each, and when it is due."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class TimerKind(Enum):
    """The purpose of a timer; not on the wire."""

    UNKNOWN = auto()  # the token was never issued or has already fired
    PROBE_PERIOD = auto()  # probe the next member
    DIRECT_TIMEOUT = auto()  # no ack to the first, direct ping of a probe
    RESEND_PING = auto()  # send the third direct ping
    PROBE_TIMEOUT = auto()  # no ack to any ping of a probe
    INDIRECT_TIMEOUT = auto()  # no ack to a ping on behalf of another member
    INDIRECT_EXPIRY = auto()  # an ack to such a ping would be too late
    CONFIRM = auto()  # probe a member that another member suspects
    GOSSIP = auto()
    SUSPICION = auto()  # a suspicion was not refuted in time
    REJOIN = auto()
    PUSH_PULL = auto()
    PROBE_DEAD = auto()
    NAME_CHECK = auto()  # a muted process checks whether its name is free
    CELL = auto()  # used by `fleet.cells.core`


@dataclass(frozen=True, slots=True)
class Timer:
    """A pending timer; `member` or `probe_number` is its subject, for the kinds that have one."""

    kind: TimerKind
    due_ms: float
    member: str = ""
    probe_number: int = 0


# Due at time 0, so an unknown token counts as a late timer of this process (`LocalHealth`).
UNKNOWN_TIMER = Timer(TimerKind.UNKNOWN, 0.0)
