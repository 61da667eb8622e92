"""The log's rules: which entry follows a state, and which state follows an entry.

Each entry carries a digest over itself and all entries before it, so that two replicas compare whole
histories by comparing one digest.
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
"""Changes remembered for repeated requests. An operator gives a request up within minutes, with eight at once
and hundreds a day; the same one can come again only that long, so two thousand outlive it many times over."""

REJECTION_DIGEST_PREFIX = "rejected/"
"""Before a rejected change's digest, in the digest of the entry that records the rejection."""


def next_entry(state: ChainState, version: int, change: ConfigurationChange) -> LogEntry:
    """Return the entry that a change becomes after this state."""
    sequence = state.sequence + 1
    text = f"{state.chain_digest}/{sequence}/{version}/{change.digest}"
    return LogEntry(sequence, hashlib.blake2b(text.encode(), digest_size=16).hexdigest(), version, change)


def rejection_entry(state: ChainState, change: ConfigurationChange) -> LogEntry:
    """Return the entry that records a change as rejected, and changes nothing in the document.

    It is an update without items, under a digest that names the rejected change: releases that know nothing
    of such entries apply and remember it as any other.
    """
    body = {"version": state.version}
    digest = REJECTION_DIGEST_PREFIX + change.digest
    record = ConfigurationChange(ChangeKind.UPDATE, state.version, digest, body)
    return next_entry(state, state.version, record)


def is_rejection(entry: LogEntry) -> bool:
    """Whether an entry only records that a change was rejected."""
    return entry.change.digest.startswith(REJECTION_DIGEST_PREFIX)


def is_recorded_as_rejected(state: ChainState, change: ConfigurationChange) -> bool:
    """Whether the history has an entry that records this change as rejected."""
    digest = REJECTION_DIGEST_PREFIX + change.digest
    return any(applied.digest == digest for applied in state.applied)


def is_next_entry(state: ChainState, entry: LogEntry) -> bool:
    """Whether an entry is the next one of this state's history, and of no other history."""
    return next_entry(state, entry.version, entry.change) == entry


def state_after(state: ChainState, entry: LogEntry) -> ChainState:
    """Return the state once an entry is appended."""
    remembered = state.applied[-(MAX_APPLIED_CHANGES - 1) :]
    applied = (*remembered, AppliedChange(entry.change.digest, entry.version))
    document = apply_change(state.document, entry.change)
    digest = state.configuration_digest if is_rejection(entry) else UNSET
    return ChainState(entry.sequence, entry.chain_digest, entry.version, document, applied, digest)
