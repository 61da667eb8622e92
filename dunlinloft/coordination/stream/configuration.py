"""Configuration messages: which configuration is in force where, and how a committed one reaches a node."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.state import Document


class ConfigurationId(Struct, frozen=True):
    """Identity of a configuration: a version number may be chosen twice, and one of the two changes lost.

    Attributes
    ----------
    version
        The operators' version number; 0 means that there is no configuration.
    history_digest
        Digest of all changes up to this one; it tells two configurations of the same number apart.
    """

    version: int = 0
    history_digest: str = field(default="", name="history")

    def supersedes(self, current: ConfigurationId, confirmed: bool) -> bool:
        """Return whether this configuration replaces `current`.

        A newer version always does. One of the same number but of another history does only if it is
        `confirmed`, that is, held by a majority of the control plane: the other one was lost.
        """
        if self.version != current.version:
            return self.version > current.version
        return confirmed and self.history_digest != current.history_digest


class ConfigurationApplied(Struct, frozen=True, tag="held"):
    """From a node: acknowledges that this configuration is in force there."""

    id: ConfigurationId


class FetchConfiguration(Struct, frozen=True, tag="fetch"):
    """From a node: requests a configuration that was announced to it and did not arrive."""

    current: ConfigurationId = field(name="held")  # in force at the node, the base of a possible delta


class ConfigurationAnnouncement(Struct, frozen=True, tag="version"):
    """To a node: this configuration was committed; the node fetches it if no other replica sends it."""

    id: ConfigurationId


class FullConfiguration(Struct, frozen=True, tag="whole"):
    """To a node: a committed configuration, complete.

    `confirmed` says that the sender is in contact with a majority and equal to its predecessor in the epoch.
    """

    id: ConfigurationId
    confirmed: bool
    document: Document


class ConfigurationDelta(Struct, frozen=True, tag="delta"):
    """To a node: a committed update of the configuration that the node has in force.

    `confirmed` as in `FullConfiguration`.
    """

    base: ConfigurationId  # the configuration that the update applies to
    id: ConfigurationId  # the configuration that results
    confirmed: bool
    body: Document  # as the operator sent it
