"""Configuration messages: how committed configurations are distributed to nodes and acknowledged."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.state import Document


class ConfigurationId(Struct, frozen=True):
    """Identity of a configuration.

    The version number alone is not unique: two changes may use the same one if one of them was lost.

    Attributes
    ----------
    version
        The operators' version number; 0 means that there is no configuration.
    history_digest
        Digest of all changes up to this one; it distinguishes configurations with the same version number.
    """

    version: int = 0
    history_digest: str = field(default="", name="history")

    def supersedes(self, current: ConfigurationId, confirmed: bool) -> bool:
        """Return whether this configuration replaces `current`.

        A newer version always does. One with the same number but a different history does only if it is
        `confirmed`, that is, held by a majority of the control plane; the other one was then lost.
        """
        if self.version != current.version:
            return self.version > current.version
        return confirmed and self.history_digest != current.history_digest


class ConfigurationApplied(Struct, frozen=True, tag="held"):
    """From a node: acknowledges that this configuration is active there."""

    id: ConfigurationId


class FetchConfiguration(Struct, frozen=True, tag="fetch"):
    """From a node: requests a configuration that was announced but has not arrived."""

    current: ConfigurationId = field(name="held")  # active at the node, the base of a possible delta


class ConfigurationAnnouncement(Struct, frozen=True, tag="version"):
    """To a node: this configuration was committed; the node fetches it if no replica sends it."""

    id: ConfigurationId


class FullConfiguration(Struct, frozen=True, tag="whole"):
    """To a node: a complete committed configuration.

    `confirmed` means that the sender is in contact with a majority and synced with its predecessor.
    """

    id: ConfigurationId
    confirmed: bool
    document: Document


class ConfigurationDelta(Struct, frozen=True, tag="delta"):
    """To a node: a committed update of the configuration that is active at the node.

    `confirmed` as in `FullConfiguration`.
    """

    base: ConfigurationId  # the configuration that the update applies to
    id: ConfigurationId  # the resulting configuration
    confirmed: bool
    body: Document  # as the operator sent it
