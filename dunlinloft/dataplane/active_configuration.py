"""The active configuration of a node, which is never replaced by an older one while the process runs.

A configuration is identified by its version and the digest of its history. The version alone is ambiguous:
two changes may get the same version, and if one of them is lost, a node that applied it must not take the
other for the same configuration. A process that has just started waits briefly for a configuration that a
majority confirms. Times are milliseconds of the monotonic clock.
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

# How long a node without an active configuration holds back one whose sender is not in contact with a
# majority, in case a confirmed one arrives.
CONFIRMATION_WAIT_MS = 120.0


class ActiveConfiguration:
    """Owns the active routing table and decides when a new configuration replaces it.

    `NodeState` passes it the control plane's messages; the frontend reads `table` on each request.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.table: RoutingTable | None = None  # None until the first configuration is active
        self.id = ConfigurationId()
        self._document: Document = {}
        self._candidate: FullConfiguration | None = None  # unconfirmed, while no configuration is active
        self._candidate_since_ms = 0.0

    def on_snapshot(self, message: FullConfiguration, now_ms: float) -> None:
        """Handle a complete configuration from a control plane."""
        if self.table is not None or message.confirmed:
            self._activate(message.id, message.document, message.confirmed)
        elif self._candidate is None or message.id.version > self._candidate.id.version:
            if self._candidate is None:
                self._candidate_since_ms = now_ms
            self._candidate = message

    def on_delta(self, message: ConfigurationDelta) -> None:
        """Handle a change; ignored unless its base is the active configuration."""
        if self.table is not None and self.id == message.base:
            change = ConfigurationChange(ChangeKind.UPDATE, message.base.version, "", message.body)
            self._activate(message.id, apply_change(self._document, change), message.confirmed)

    def on_tick(self, now_ms: float) -> bool:
        """Activate the unconfirmed candidate if its wait is over; returns whether it was activated."""
        candidate = self._candidate
        if (
            candidate is None
            or self.table is not None
            or now_ms - self._candidate_since_ms < CONFIRMATION_WAIT_MS
        ):
            return False
        self._activate(candidate.id, candidate.document, False)
        return True

    def _activate(self, new_id: ConfigurationId, document: Document, confirmed: bool) -> None:
        """Build the routing table of a newer configuration, then replace the active one with it."""
        if self.table is not None and not new_id.supersedes(self.id, confirmed):
            return
        try:
            configuration = to_configuration(document)
        except ConfigurationError as error:
            logging.error("event=configuration_refused version=%s error=%s", new_id.version, error)
            return
        self.table = RoutingTable(configuration, self._rng)
        self.id = new_id
        self._document = document
        self._candidate = None
        logging.info("event=configuration_active version=%d confirmed=%s", new_id.version, confirmed)
