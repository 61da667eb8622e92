"""Replication of reports among the directory processes."""

from __future__ import annotations

import random

from dunlinloft.fleet.shared_state.anti_entropy import AntiEntropy, Partner
from dunlinloft.fleet.shared_state.messages import PullResponse
from dunlinloft.fleet.shared_state.store import Store

MAX_RESPONSE_DATAGRAMS = 32  # per pull request


class ReportReplication(AntiEntropy):
    """Pulls reports from the other directory processes, whose responses span many datagrams.

    Owned by `Directory`.
    """

    def __init__(self, store: Store, rng: random.Random) -> None:
        super().__init__(store, rng, MAX_RESPONSE_DATAGRAMS)

    def _advance(self, partner: Partner, response: PullResponse) -> None:
        """Advance the cursor past datagrams that were reordered, once the preceding ones have arrived.

        Otherwise they would be requested again from the first gap, and replication traffic would grow with
        the square of the number of cells.
        """
        ahead = partner.out_of_order
        ahead[response.from_cursor] = max(response.cursor, ahead.get(response.from_cursor, 0))
        for since in sorted(ahead):
            if since > partner.cursor:
                break
            partner.cursor = max(partner.cursor, ahead.pop(since))
        while len(ahead) > MAX_RESPONSE_DATAGRAMS:
            del ahead[max(ahead)]
