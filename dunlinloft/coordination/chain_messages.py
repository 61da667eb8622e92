"""Messages between neighbours in a chain. Each is valid in its epoch only."""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.coordination.views import Member


class PredecessorPosition(Struct, frozen=True, tag="offer"):
    """A predecessor's position in the log, for its successor to compare and to catch up with."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class SuccessorPosition(Struct, frozen=True, tag="have"):
    """A successor's position in the log as on its disk: an acknowledgement, or a request to catch up."""

    sender: Member
    epoch: int
    sequence: int
    chain_digest: str


class AppendEntries(Struct, frozen=True, tag="append"):
    """Entries that follow the successor's position."""

    sender: Member
    epoch: int
    entries: tuple[LogEntry, ...]


class InstallSnapshot(Struct, frozen=True, tag="install"):
    """The predecessor's whole state, for a successor whose history differs or is too old."""

    sender: Member
    epoch: int
    state: ChainState


class Committed(Struct, frozen=True, tag="committed"):
    """The tail has committed everything up to this sequence; passed on from the tail to the head."""

    sender: Member
    epoch: int
    sequence: int
