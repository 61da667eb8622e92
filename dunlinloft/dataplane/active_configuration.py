"""The configuration that a node serves by: it never goes back to an older one while the process lives.

A configuration is identified by its version and the digest of its history: a version may be chosen twice,
and where one of the two changes is lost, a node that holds it must not take the other for the same. A
process that has just started waits a moment for a configuration that a majority confirms. Times are
milliseconds of the monotonic clock.
"""

from __future__ import annotations

import random

from absl import logging

from dunlinloft.configuration import to_configuration
from dunlinloft.coordination.document_changes import apply_change
from dunlinloft.coordination.state import ChangeKind, ConfigurationChange, Document
from dunlinloft.coordination.stream import ConfigurationDelta, ConfigurationId, FullConfiguration
from dunlinloft.dataplane.routing import RoutingTable
from dunlinloft.exceptions import ConfigurationError

# How long the first configuration waits for a confirmed one if its sender is not in contact with a majority.
CONFIRMATION_WAIT_MS = 120.0


class ActiveConfiguration:
    """Owns the active routing table and decides when another configuration replaces it.

    Fed by `NodeState`; the frontend reads `table` on each request.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.table: RoutingTable | None = None  # None until the first configuration is active
        self.id = ConfigurationId()
        self._document: Document = {}
        self._candidate: FullConfiguration | None = None  # unconfirmed, while no configuration is active
        self._candidate_since_ms = 0.0

    def on_snapshot(self, message: FullConfiguration, now_ms: float) -> None:
        """A control plane sent a complete configuration."""
        if self.table is not None or message.confirmed:
            self._activate(message.id, message.document, message.confirmed)
        elif self._candidate is None or message.id.version > self._candidate.id.version:
            if self._candidate is None:
                self._candidate_since_ms = now_ms
            self._candidate = message

    def on_delta(self, message: ConfigurationDelta) -> None:
        """A control plane sent a change to the configuration that it believes active here."""
        if self.table is not None and self.id == message.base:
            change = ConfigurationChange(ChangeKind.UPDATE, message.base.version, "", message.body)
            self._activate(message.id, apply_change(self._document, change), message.confirmed)

    def on_tick(self, now_ms: float) -> bool:
        """Activate the unconfirmed candidate once its wait is over; returns whether that happened."""
        candidate = self._candidate
        if (
            candidate is None
            or self.table is not None
            or now_ms - self._candidate_since_ms < CONFIRMATION_WAIT_MS
        ):
            return False
        self._activate(candidate.id, candidate.document, False)
        return True

    def _activate(self, offered: ConfigurationId, document: Document, confirmed: bool) -> None:
        """Build the table of a newer configuration, then swap it in at once."""
        if self.table is not None and not offered.supersedes(self.id, confirmed):
            return
        try:
            configuration = to_configuration(document)
        except ConfigurationError as error:
            logging.error("event=configuration_refused version=%s error=%s", offered.version, error)
            return
        self.table = RoutingTable(configuration, self._rng)
        self.id = offered
        self._document = document
        self._candidate = None
        logging.info("event=configuration_active version=%d confirmed=%s", offered.version, confirmed)
