"""Actions: what the state machines ask their host to do, in the order in which they are listed."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import Record
from dunlinloft.coordination.state import ChainState, Document


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a replica; it may get lost."""

    address: str  # host:port of its internal listener
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Append a record to the disk and sync it, in the order asked for; then call `Replica.on_persisted`."""

    token: int  # names the write when it is reported
    record: Record


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the operator's call that came with this token."""

    token: str
    status: int  # a `call_status.CallStatus`, as in HTTP
    reason: str
    version: int
    document: Document | None


@dataclass(frozen=True, slots=True)
class Commit:
    """A state was committed: it can no longer be lost, and the data plane may have it."""

    state: ChainState


Action = Send | Persist | Reply | Commit
