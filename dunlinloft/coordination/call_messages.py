"""Operators' calls between the replica that received one and the head or tail that executes it."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.state import ConfigurationChange, Document
from dunlinloft.coordination.views import Member


class ForwardedCall(Struct, frozen=True, tag="ask"):
    """An operator's call, forwarded to the head (a change) or to the tail (a read)."""

    sender: Member
    token: str  # of the call, at its sender
    change: ConfigurationChange | None = field(name="order")  # None for a read


class CallResult(Struct, frozen=True, tag="answer"):
    """The outcome of a forwarded call: an HTTP status, and what was read."""

    sender: Member
    token: str
    status: int
    reason: str
    state_version: int
    document: Document | None
