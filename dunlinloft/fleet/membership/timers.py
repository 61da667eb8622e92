"""The timers of a membership: what is to be done when one fires, and when it was due."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class TimerKind(Enum):
    """What a timer is for. Never encoded."""

    UNKNOWN = auto()  # of a token that was never given out, or has fired before
    PROBE_PERIOD = auto()  # probe the next member
    DIRECT_TIMEOUT = auto()  # no ack to the first, direct ping of a probe
    RESEND_PING = auto()  # the third direct ping is due
    PROBE_TIMEOUT = auto()  # no ack to any ping of a probe
    INDIRECT_TIMEOUT = auto()  # no ack to a ping on behalf of another member
    INDIRECT_EXPIRY = auto()  # an ack to it would be of no use any more
    CONFIRM = auto()  # probe a member that others suspect
    GOSSIP = auto()
    SUSPICION = auto()  # a suspicion was not refuted in time
    REJOIN = auto()
    PUSH_PULL = auto()
    PROBE_DEAD = auto()
    NAME_CHECK = auto()  # of a muted process
    CELL = auto()  # of `fleet.cells.core`


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that is set. `member` or `probe_number` is what it concerns, for the kinds that need it."""

    kind: TimerKind
    due_ms: float
    member: str = ""
    probe_number: int = 0


# Due at time 0, so a token that is not known counts as a late timer of this process (`LocalHealth`).
UNKNOWN_TIMER = Timer(TimerKind.UNKNOWN, 0.0)
