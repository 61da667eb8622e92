"""Determines whether a request without a usable response may have been executed.

This decision is made only here; the status of the final response and every retry depend on it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from dunlinloft.dataplane.causes import Cause

NOT_EXECUTED_HEADER = "X-Not-Executed"
STATUS_MISDIRECTED = 421  # RFC 9110, section 15.5.20; servers decline with it before execution


class Verdict(enum.Enum):
    """What is known about the execution of a request."""

    NOT_EXECUTED = "not executed"  # never written to a server, or a server stated that it did not execute it
    MAY_HAVE_EXECUTED = "may have executed"
    EXECUTED = "executed"


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """The outcome of an attempt without a response that can be relayed."""

    verdict: Verdict
    cause: Cause
    reason: str  # the body of the refusal, if the client is sent one for this failure


def verdict_of_response(status: int, headers: Mapping[str, str], echoes_attempt_id: bool) -> Verdict:
    """Verdict of a response head.

    Parameters
    ----------
    echoes_attempt_id
        Whether the response carries the id of the attempt that was sent. Otherwise it may belong to another
        request, so that its headers and status prove nothing.
    """
    if not echoes_attempt_id:
        return Verdict.MAY_HAVE_EXECUTED
    if NOT_EXECUTED_HEADER in headers or status == STATUS_MISDIRECTED:
        return Verdict.NOT_EXECUTED
    return Verdict.EXECUTED


def verdict_of_broken_attempt(connected: bool) -> Verdict:
    """Verdict of an attempt without a response; nothing was sent unless a connection was established."""
    return Verdict.MAY_HAVE_EXECUTED if connected else Verdict.NOT_EXECUTED
