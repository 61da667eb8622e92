"""Actions that the state machines return; the host performs them in order."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import Record
from dunlinloft.coordination.state import ChainState, Document


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a replica; delivery is not guaranteed."""

    address: str  # host:port of its internal listener
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Append a record to the disk and sync it, in order; then call `Replica.on_persisted`."""

    token: int  # passed to `Replica.on_persisted`
    record: Record


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the operator call that was submitted with this token."""

    token: str
    status: int  # a `call_status.CallStatus`
    reason: str
    version: int
    document: Document | None


@dataclass(frozen=True, slots=True)
class Commit:
    """A state was committed: it is replicated and may be published to the data plane."""

    state: ChainState


Action = Send | Persist | Reply | Commit
