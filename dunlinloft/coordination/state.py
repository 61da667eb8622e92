"""The replicated state: the operators' configuration document and the history of its changes."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from msgspec import UNSET, Struct, UnsetType, field

Document = dict[str, Any]
"""An operator's configuration as decoded JSON, with all fields as sent, including unknown ones."""


class ChangeKind(StrEnum):
    """How a change modifies the document."""

    REPLACE = "replace"  # the body is the new document
    UPDATE = "update"  # the body lists items to upsert and to delete


class ConfigurationChange(Struct, frozen=True):
    """A configuration change requested by an operator."""

    kind: str  # a `ChangeKind`; any string is accepted, as a newer release may define more kinds
    base_version: int = field(name="base")  # the version that it applies to; 0 for the first change
    digest: str = field()  # of the kind, base version and body bytes, so that a retried request has the same
    body: Document = field()


class LogEntry(Struct, frozen=True):
    """A change accepted by the head, at its position in the log."""

    sequence: int
    chain_digest: str  # of this entry and all earlier ones: equal digests mean equal histories
    version: int
    change: ConfigurationChange = field(name="order")


class AppliedChange(Struct, frozen=True):
    """The record of an applied change, by which a retried request for it is acknowledged again."""

    digest: str
    version: int


class ChainState(Struct, frozen=True):
    """The whole replicated state after an entry of the log."""

    sequence: int = 0
    chain_digest: str = ""
    version: int = 0
    document: Document = {}
    applied: tuple[AppliedChange, ...] = field(default=(), name="taken")  # oldest first
    document_digest: str | UnsetType = UNSET
    """The `chain_digest` of the entry that produced the document, if later ones only record rejections."""

    @property
    def configuration_digest(self) -> str:
        """Digest of the history up to the entry that produced the document; nodes identify it by this."""
        return self.chain_digest if self.document_digest is UNSET else self.document_digest
