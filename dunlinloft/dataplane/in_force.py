"""The configuration that a node has in force: never an older one within its life, nor another of one number.

A configuration is known by its version and the digest of its history: a number may be chosen twice, and
where one of the two changes is lost, the node that has it must not take the other for the same. A process
that has just started waits a moment for a control plane that a majority confirms. Times are in
milliseconds of a steady clock.
"""

from __future__ import annotations

import random

from absl import logging

from dunlinloft.configuration import to_configuration
from dunlinloft.coordination.durable import changed
from dunlinloft.coordination.messages import Document, Order
from dunlinloft.coordination.stream import ConfigurationId, Delta, Whole
from dunlinloft.dataplane.routing import RoutingTable
from dunlinloft.exceptions import ConfigurationError

CANDIDATE_MS = 120.0  # that the first configuration waits for a confirmed one, where its sender isn't


class InForce:
    """The routing table in force, and how the next one takes its place."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.table: RoutingTable | None = None
        self.id = ConfigurationId()
        self._document: Document = {}
        self._candidate: Whole | None = None
        self._candidate_ms = 0.0

    def whole(self, message: Whole, now_ms: float) -> None:
        """A control plane sent a configuration."""
        if self.table is not None or message.confirmed:
            self._take(message.id, message.document, message.confirmed)
        elif self._candidate is None or message.id.version > self._candidate.id.version:
            if self._candidate is None:
                self._candidate_ms = now_ms
            self._candidate = message

    def delta(self, message: Delta) -> None:
        """A control plane sent a change of what it takes this node to hold."""
        if self.table is not None and self.id == message.base:
            order = Order("update", message.base.version, "", message.body)
            self._take(message.id, changed(self._document, order), message.confirmed)

    def tick(self, now_ms: float) -> bool:
        """To be called often; whether a first configuration was taken that nobody confirmed."""
        candidate = self._candidate
        if candidate is None or self.table is not None or now_ms - self._candidate_ms < CANDIDATE_MS:
            return False
        self._take(candidate.id, candidate.document, False)
        return True

    def _take(self, offered: ConfigurationId, document: Document, confirmed: bool) -> None:
        """Build the table of a newer configuration aside, and swap it in."""
        if self.table is not None and not offered.replaces(self.id, confirmed):
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
        logging.info("event=in_force version=%d confirmed=%s", offered.version, confirmed)
