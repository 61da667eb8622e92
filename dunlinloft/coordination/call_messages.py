"""Messages that carry operator calls from the receiving replica to the head or tail, and results back."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.state import ConfigurationChange, Document
from dunlinloft.coordination.views import Member


class ForwardedCall(Struct, frozen=True, tag="ask"):
    """An operator call, forwarded to the head (a change) or to the tail (a read)."""

    sender: Member
    token: str  # identifies the call at its sender
    change: ConfigurationChange | None = field(name="order")  # None for a read


class CallResult(Struct, frozen=True, tag="answer"):
    """The result of a forwarded call: an HTTP status and, for a read, the document."""

    sender: Member
    token: str
    status: int
    reason: str
    state_version: int
    document: Document | None
