"""The timer request and its expiry, which all of the fleet's state machines share."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TimerFired:
    """Event: the timer that was requested by a `SetTimer` of this token has expired."""

    token: int


@dataclass(slots=True)
class SetTimer:
    """Action: deliver `TimerFired(token)` after `delay_ms` milliseconds."""

    token: int
    delay_ms: float
