"""The replicated state: the operators' configuration document and the history of changes that made it."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from msgspec import UNSET, Struct, UnsetType, field

Document = dict[str, Any]
"""An operator's configuration as decoded JSON, with every field as it was sent, unknown ones included."""


class ChangeKind(StrEnum):
    """What a change does with the document."""

    REPLACE = "replace"  # the body is the next document
    UPDATE = "update"  # the body names items to put in and to take out


class ConfigurationChange(Struct, frozen=True):
    """A change of the configuration that an operator asks for."""

    kind: str  # a `ChangeKind`; any string is read, as a newer version may know more of them
    base_version: int = field(name="base")  # version that it builds on; 0 for the first
    digest: str = field()  # of kind, base version and the body's bytes: a repeated request has the same
    body: Document = field()


class LogEntry(Struct, frozen=True):
    """A change that the head has taken, at its position in the log."""

    sequence: int
    chain_digest: str  # of this entry and all before it: equal digests mean equal histories
    version: int
    change: ConfigurationChange = field(name="order")


class AppliedChange(Struct, frozen=True):
    """What is remembered of an applied change, so that a repeated request for it is acknowledged again."""

    digest: str
    version: int


class ChainState(Struct, frozen=True):
    """The whole replicated state after some entry of the log."""

    sequence: int = 0
    chain_digest: str = ""
    version: int = 0
    document: Document = {}
    applied: tuple[AppliedChange, ...] = field(default=(), name="taken")  # oldest first
    document_digest: str | UnsetType = UNSET
    """The `chain_digest` of the entry that made the document, where later ones only recorded rejections."""

    @property
    def configuration_digest(self) -> str:
        """The history up to the entry that made the document: what identifies the configuration to nodes."""
        return self.chain_digest if self.document_digest is UNSET else self.document_digest
