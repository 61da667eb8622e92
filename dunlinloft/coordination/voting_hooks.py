"""How the parts that decide views act on their replica."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import Record
from dunlinloft.coordination.views import View


@dataclass(frozen=True, slots=True)
class VotingHooks:
    """Effects that `voting.Voting` and its acceptor and proposer have on their replica."""

    send: Callable[[str, ReplicaMessage], None]
    persist: Callable[[Record, Callable[[], None]], None]
    """Appends a record to the disk and calls the second argument once it is there."""
    on_view_learned: Callable[[], None]
    """A later view was learned: the part in the epoch before ends now."""
    on_view_durable: Callable[[View], None]
    """The learned view is on disk: the part in its epoch begins."""
    seal_epoch: Callable[[], bool]
    """Ends the part in this epoch for good if that ensures that it never commits; returns whether it does."""
