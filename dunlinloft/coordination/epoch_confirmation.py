"""Confirmation by a majority that no later view was decided, for answers that need a current epoch.

A replica that was partitioned or frozen may still take itself for head or tail. Any later view was accepted
by a majority of the roster, and one of these is in every majority asked: it confirms no more.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.views import Member, View, majority_of
from dunlinloft.coordination.voting_messages import ConfirmEpoch, EpochConfirmed

CONFIRM_RETRY_INTERVAL_MS = 100.0  # a request or its answer may be lost
NONCE_BITS = 48
NO_NONCE = 0


@dataclass(slots=True)
class ConfirmationRound:
    """The confirmation that one change or read waits for."""

    nonce: int = NO_NONCE  # until the round has begun
    sent_ms: float = 0.0
    confirmed_by: set[str] = field(default_factory=set)  # member ids


class EpochConfirmation:
    """Asks the voters for confirmations, each under its own nonce. Shared by head and tail in `Calls`."""

    def __init__(
        self, local_member: Member, send: Callable[[str, ReplicaMessage], None], rng: random.Random
    ) -> None:
        self._local_member = local_member
        self._send = send
        # Begins at random: no answer to a request of this process before a restart counts after it.
        self._last_nonce = rng.getrandbits(NONCE_BITS)

    def is_confirmed(self, current: ConfirmationRound, view: View, now_ms: float) -> bool:
        """Begin or repeat a round as it is due; return whether a majority has confirmed the epoch in it."""
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
    """Count a voter's answer in the round that it belongs to, if that still waits."""
    for current in rounds:
        if current.nonce == message.nonce:
            current.confirmed_by.add(message.sender.id)
