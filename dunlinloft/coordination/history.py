"""State transitions of the replicated log: the next entry after a state, and the state after an entry.

Each entry carries a digest over itself and all earlier entries, so that two replicas can compare their whole
histories by one digest.
"""

from __future__ import annotations

import hashlib

from msgspec import UNSET

from dunlinloft.coordination.document_changes import apply_change
from dunlinloft.coordination.state import (
    AppliedChange,
    ChainState,
    ChangeKind,
    ConfigurationChange,
    LogEntry,
)

MAX_APPLIED_CHANGES = 2_048
"""Applied changes remembered to deduplicate retried requests. Operators stop retrying within minutes, with at
most eight requests at a time and hundreds a day, so the limit covers any retry many times over."""

REJECTION_DIGEST_PREFIX = "rejected/"
"""Prefixed to the digest of a rejected change in the entry that records the rejection."""


def next_entry(state: ChainState, version: int, change: ConfigurationChange) -> LogEntry:
    """Return the log entry that applies a change to this state."""
    sequence = state.sequence + 1
    text = f"{state.chain_digest}/{sequence}/{version}/{change.digest}"
    return LogEntry(sequence, hashlib.blake2b(text.encode(), digest_size=16).hexdigest(), version, change)


def rejection_entry(state: ChainState, change: ConfigurationChange) -> LogEntry:
    """Return the entry that records a change as rejected without changing the document.

    It is an update without items whose digest identifies the rejected change. Older releases, which don't
    know such entries, apply and remember it like any other update.
    """
    body = {"version": state.version}
    digest = REJECTION_DIGEST_PREFIX + change.digest
    record = ConfigurationChange(ChangeKind.UPDATE, state.version, digest, body)
    return next_entry(state, state.version, record)


def is_rejection(entry: LogEntry) -> bool:
    """Return whether an entry only records the rejection of a change."""
    return entry.change.digest.startswith(REJECTION_DIGEST_PREFIX)


def is_recorded_as_rejected(state: ChainState, change: ConfigurationChange) -> bool:
    """Return whether the history has an entry that records this change as rejected."""
    digest = REJECTION_DIGEST_PREFIX + change.digest
    return any(applied.digest == digest for applied in state.applied)


def is_next_entry(state: ChainState, entry: LogEntry) -> bool:
    """Return whether an entry directly continues the history of this state."""
    return next_entry(state, entry.version, entry.change) == entry


def state_after(state: ChainState, entry: LogEntry) -> ChainState:
    """Return the state after an entry is appended."""
    remembered = state.applied[-(MAX_APPLIED_CHANGES - 1) :]
    applied = (*remembered, AppliedChange(entry.change.digest, entry.version))
    document = apply_change(state.document, entry.change)
    digest = state.configuration_digest if is_rejection(entry) else UNSET
    return ChainState(entry.sequence, entry.chain_digest, entry.version, document, applied, digest)
