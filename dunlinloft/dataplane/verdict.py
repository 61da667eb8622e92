"""Whether a request that got no good answer may have run: decided here alone; the answer follows from it."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from dunlinloft.dataplane.causes import Cause

NOT_EXECUTED_HEADER = "X-Not-Executed"
MISDIRECTED = 421


class Verdict(enum.Enum):
    """What is known of a request that was sent to a server, or wasn't."""

    NOT_EXECUTED = "not executed"  # never written to a server, or a server said so
    MAY_HAVE_EXECUTED = "may have executed"
    EXECUTED = "executed"


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt without an answer that may be passed on."""

    verdict: Verdict
    cause: Cause
    reason: str


def verdict_of_answer(status: int, headers: Mapping[str, str], echoes: bool) -> Verdict:
    """What a server's answer says; `echoes` tells whether it names the request that was sent."""
    if not echoes:
        return Verdict.MAY_HAVE_EXECUTED
    if NOT_EXECUTED_HEADER in headers or status == MISDIRECTED:
        return Verdict.NOT_EXECUTED
    return Verdict.EXECUTED


def verdict_of_break(connected: bool) -> Verdict:
    """What a broken attempt says: without a connection nothing was written."""
    return Verdict.MAY_HAVE_EXECUTED if connected else Verdict.NOT_EXECUTED
