"""Callbacks from the voting components to their replica."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import Record
from dunlinloft.coordination.views import View


@dataclass(frozen=True, slots=True)
class VotingHooks:
    """Callbacks by which `voting.Voting` and its acceptor and proposer act on their replica."""

    send: Callable[[str, ReplicaMessage], None]
    persist: Callable[[Record, Callable[[], None]], None]
    """Appends a record to the disk and calls the second argument once the record is durable."""
    on_view_learned: Callable[[], None]
    """Called when a later view was learned; the replica leaves the current epoch."""
    on_view_durable: Callable[[View], None]
    """Called when the learned view is on disk; the replica enters its epoch."""
    seal_epoch: Callable[[], bool]
    """Leaves this epoch for good if that ensures that it never commits; returns whether it does."""
