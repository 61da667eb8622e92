"""What the pure parts ask their host to do, and the events that it hands them."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.messages import ChainState, Document, Record, ReplicaMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may get lost."""

    address: str
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Write a record and sync it, in the order asked for; then hand over `Persisted`."""

    token: int
    record: Record


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the operator's call that came with this token."""

    token: str
    status: int  # of HTTP; 503 where it isn't known what became of it
    reason: str
    version: int
    document: Document | None


@dataclass(frozen=True, slots=True)
class Commit:
    """A state that can't be lost any more: the data plane may have it."""

    state: ChainState


Action = Send | Persist | Reply | Commit
