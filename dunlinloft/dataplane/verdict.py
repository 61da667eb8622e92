"""Decides whether a request that got no usable response may have been executed.

This is the only place of that decision; the status of the final response and every retry follow from it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from dunlinloft.dataplane.causes import Cause

NOT_EXECUTED_HEADER = "X-Not-Executed"
STATUS_MISDIRECTED = 421  # RFC 9110, section 15.5.20; servers here decline with it before they execute


class Verdict(enum.Enum):
    """What is known about the execution of a request."""

    NOT_EXECUTED = "not executed"  # never written to a server, or a server stated so
    MAY_HAVE_EXECUTED = "may have executed"
    EXECUTED = "executed"


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """The outcome of an attempt whose response can't be relayed."""

    verdict: Verdict
    cause: Cause
    reason: str  # the text of the refusal, if the client gets one for it


def verdict_of_response(status: int, headers: Mapping[str, str], echoes_attempt_id: bool) -> Verdict:
    """Verdict of a response head.

    Parameters
    ----------
    echoes_attempt_id
        Whether the response names the attempt that was sent. One that doesn't may belong to another
        request, so that nothing it states counts.
    """
    if not echoes_attempt_id:
        return Verdict.MAY_HAVE_EXECUTED
    if NOT_EXECUTED_HEADER in headers or status == STATUS_MISDIRECTED:
        return Verdict.NOT_EXECUTED
    return Verdict.EXECUTED


def verdict_of_broken_attempt(connected: bool) -> Verdict:
    """Verdict of an attempt without a response: without a connection nothing was written."""
    return Verdict.MAY_HAVE_EXECUTED if connected else Verdict.NOT_EXECUTED
