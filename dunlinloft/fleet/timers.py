"""The timer request and timer event shared by all state machines of the fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TimerFired:
    """Event: the timer requested by the `SetTimer` with this token has expired."""

    token: int


@dataclass(slots=True)
class SetTimer:
    """Action: deliver `TimerFired(token)` after `delay_ms` milliseconds."""

    token: int
    delay_ms: float
