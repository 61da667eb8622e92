"""The timers of a membership: what is to be done when one fires, and when it was due."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TimerKind(StrEnum):
    """What a timer is for."""

    UNKNOWN = ""  # a token that was never given out, or has fired before
    PROBE_PERIOD = "period"
    DIRECT_TIMEOUT = "direct"  # no ack to the direct ping
    RESEND_PING = "again"
    PROBE_TIMEOUT = "ends"  # nor to those that followed
    INDIRECT_TIMEOUT = "errand"  # no ack to a ping on behalf of another member
    INDIRECT_EXPIRY = "forget"  # its ack would be of no use any more
    CONFIRM = "confirm"
    GOSSIP = "spread"
    SUSPICION = "suspicion"
    REJOIN = "join"
    PUSH_PULL = "exchange"
    PROBE_DEAD = "knock"
    NAME_CHECK = "return"
    CELL = "cell"  # of `fleet.cells.core`


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that is set. `member` or `probe_number` says what it concerns, for the kinds that need it."""

    kind: TimerKind
    due_ms: float
    member: str = ""
    probe_number: int = 0


# Due at time 0, so a token that is not known counts as a late timer of this process (`LocalHealth`).
UNKNOWN_TIMER = Timer(TimerKind.UNKNOWN, 0.0)
