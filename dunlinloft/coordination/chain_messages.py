"""Messages between neighbours in the chain; each is valid only in its epoch."""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.coordination.views import Member


class PredecessorPosition(Struct, frozen=True, tag="offer"):
    """From a predecessor: its position in the log, which the successor compares with its own."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class SuccessorPosition(Struct, frozen=True, tag="have"):
    """From a successor: its durable position in the log, as an acknowledgement or a request to catch up."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class AppendEntries(Struct, frozen=True, tag="append"):
    """From a predecessor: the entries that follow the successor's position."""

    sender: Member
    epoch: int
    entries: tuple[LogEntry, ...]


class InstallSnapshot(Struct, frozen=True, tag="install"):
    """From a predecessor: its whole state, for a successor whose history differs or is too old."""

    sender: Member
    epoch: int
    state: ChainState


class Committed(Struct, frozen=True, tag="committed"):
    """From a successor: the tail has committed everything up to this sequence; relayed towards the head."""

    sender: Member
    epoch: int
    sequence: int
