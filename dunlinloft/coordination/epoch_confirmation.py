"""Confirmation by a majority that no later view was decided, for results that require the current epoch.

A replica that was partitioned or paused may still consider itself head or tail. A later view has been
accepted by a majority of the roster, which shares a member with every other majority, and a member that has
accepted a later view doesn't confirm the epoch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.views import Member, View, majority_of
from dunlinloft.coordination.voting_messages import ConfirmEpoch, EpochConfirmed

CONFIRM_RETRY_INTERVAL_MS = 100.0  # between resends, as a request or its response may be lost
NONCE_BITS = 48
NO_NONCE = 0


@dataclass(slots=True)
class ConfirmationRound:
    """The confirmations collected for one change or read."""

    nonce: int = NO_NONCE  # until the round begins
    sent_ms: float = 0.0
    confirmed_by: set[str] = field(default_factory=set)  # member ids


class EpochConfirmation:
    """Requests confirmations from the voters, one nonce per round. Shared by the parts of `CallHandler`."""

    def __init__(
        self, local_member: Member, send: Callable[[str, ReplicaMessage], None], rng: random.Random
    ) -> None:
        self._local_member = local_member
        self._send = send
        # A random start, so that responses to requests sent before a restart don't count after it.
        self._last_nonce = rng.getrandbits(NONCE_BITS)

    def is_confirmed(self, current: ConfirmationRound, view: View, now_ms: float) -> bool:
        """Begin or resend a round if due; return whether a majority has confirmed the epoch in it."""
        if current.nonce == NO_NONCE:
            self._last_nonce += 1
            current.nonce = self._last_nonce
            current.sent_ms = -CONFIRM_RETRY_INTERVAL_MS
        if now_ms - current.sent_ms >= CONFIRM_RETRY_INTERVAL_MS:
            current.sent_ms = now_ms
            for member in view.roster:
                self._send(member.address, ConfirmEpoch(self._local_member, view.epoch, current.nonce))
        return len(current.confirmed_by) >= majority_of(view)


def count_confirmation(message: EpochConfirmed, rounds: Iterable[ConfirmationRound]) -> None:
    """Count a voter's confirmation in its round, if that round is still pending."""
    for current in rounds:
        if current.nonce == message.nonce:
            current.confirmed_by.add(message.sender.id)
