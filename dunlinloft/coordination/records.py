"""The log records that a replica writes to disk, and the durable state that they produce.

`apply_record` is used both to recover from a log and to track the state while writing it. Tags and the
encoded names of renamed fields must not change, because they are stored on disk.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from dunlinloft.coordination.history import state_after
from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.coordination.views import AcceptedProposal, ProposalNumber, View


class ViewRecord(Struct, frozen=True, tag="view"):
    """A view was learned; it voids promises and acceptances of earlier epochs."""

    view: View


class PrepareRecord(Struct, frozen=True, tag="promise"):
    """The acceptor promised to accept no lower-numbered proposal for the next view."""

    proposal_number: ProposalNumber = msgspec.field(name="ballot")


class AcceptRecord(Struct, frozen=True, tag="accept"):
    """The acceptor accepted a proposed view."""

    proposal_number: ProposalNumber = msgspec.field(name="ballot")
    view: View = msgspec.field()


class EntryRecord(Struct, frozen=True, tag="entry"):
    """An entry was appended to the log."""

    entry: LogEntry


class SnapshotRecord(Struct, frozen=True, tag="install"):
    """The state was replaced by a snapshot of the predecessor's."""

    state: ChainState


class SyncedRecord(Struct, frozen=True, tag="synced"):
    """The state was found equal to the predecessor's in this epoch."""

    epoch: int


class CommittedRecord(Struct, frozen=True, tag="committed"):
    """The history up to this digest is committed."""

    chain_digest: str


Record = (
    ViewRecord | PrepareRecord | AcceptRecord | EntryRecord | SnapshotRecord | SyncedRecord | CommittedRecord
)


class DurableState(Struct):
    """Everything that a replica keeps on disk."""

    incarnation: str
    view: View | None = None
    promised: ProposalNumber | None = None
    accepted: AcceptedProposal | None = None
    state: ChainState = msgspec.field(default_factory=ChainState)
    synced_epoch: int = 0
    committed_digest: str = ""  # chain digest of the history known to be committed


def apply_record(durable: DurableState, record: Record) -> None:
    """Apply one record to the durable state."""
    match record:
        case ViewRecord():
            durable.view = record.view
            durable.promised = None
            durable.accepted = None
        case PrepareRecord():
            durable.promised = record.proposal_number
        case AcceptRecord():
            durable.promised = record.proposal_number
            durable.accepted = AcceptedProposal(record.proposal_number, record.view)
        case EntryRecord():
            durable.state = state_after(durable.state, record.entry)
        case SnapshotRecord():
            durable.state = record.state
        case SyncedRecord():
            durable.synced_epoch = record.epoch
        case CommittedRecord():
            durable.committed_digest = record.chain_digest
