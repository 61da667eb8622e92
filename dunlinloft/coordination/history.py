"""The log's rules: which entry follows a state, and which state follows an entry.

Each entry carries a digest over itself and all entries before it, so that two replicas compare whole
histories by comparing one digest.
"""

from __future__ import annotations

import hashlib

from dunlinloft.coordination.document_changes import apply_change
from dunlinloft.coordination.state import AppliedChange, ChainState, ConfigurationChange, LogEntry

MAX_APPLIED_CHANGES = 2_048
"""Changes remembered for repeated requests. An operator gives a request up within minutes, with eight at once
and hundreds a day; the same one can come again only that long, so two thousand outlive it many times over."""


def next_entry(state: ChainState, version: int, change: ConfigurationChange) -> LogEntry:
    """Return the entry that a change becomes after this state."""
    sequence = state.sequence + 1
    text = f"{state.chain_digest}/{sequence}/{version}/{change.digest}"
    return LogEntry(sequence, hashlib.blake2b(text.encode(), digest_size=16).hexdigest(), version, change)


def is_next_entry(state: ChainState, entry: LogEntry) -> bool:
    """Whether an entry is the next one of this state's history, and of no other history."""
    return next_entry(state, entry.version, entry.change) == entry


def state_after(state: ChainState, entry: LogEntry) -> ChainState:
    """Return the state once an entry is appended."""
    remembered = state.applied[-(MAX_APPLIED_CHANGES - 1) :]
    applied = (*remembered, AppliedChange(entry.change.digest, entry.version))
    document = apply_change(state.document, entry.change)
    return ChainState(entry.sequence, entry.chain_digest, entry.version, document, applied)
