"""Reads at the tail, which return the committed state once a majority has confirmed the epoch."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.call_status import CallStatus
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.change_queue import Caller, Outcome, SendOutcome
from dunlinloft.coordination.epoch_confirmation import ConfirmationRound, EpochConfirmation
from dunlinloft.coordination.views import View


@dataclass(slots=True)
class _Read:
    """A read that waits for the confirmation of the epoch."""

    caller: Caller
    started_ms: float
    confirmation: ConfirmationRound = field(default_factory=ConfirmationRound)


class TailReads:
    """The reads that wait at the tail, by call token. Owned by `CallHandler`.

    A read is dropped `timeout_ms` after its arrival, when its caller has timed out.
    """

    def __init__(
        self,
        chain: ChainReplica,
        confirmation: EpochConfirmation,
        send_outcome: SendOutcome,
        timeout_ms: float,
    ) -> None:
        self._chain = chain
        self._confirmation = confirmation
        self._send_outcome = send_outcome
        self._timeout_ms = timeout_ms
        self._reads: dict[str, _Read] = {}

    def begin(self, caller: Caller, now_ms: float) -> None:
        """Add a read if this replica is the tail and the read is not pending already."""
        if self._chain.is_tail and caller.token not in self._reads:
            self._reads[caller.token] = _Read(caller, now_ms)

    def clear(self) -> None:
        """Drop all reads because the view changed; their senders forward them to the new tail."""
        self._reads.clear()

    def confirmation_rounds(self) -> list[ConfirmationRound]:
        """Return the rounds that wait for confirmations."""
        return [read.confirmation for read in self._reads.values()]

    def advance(self, view: View, now_ms: float) -> None:
        """Reply to confirmed reads, and drop those that timed out."""
        for token, read in list(self._reads.items()):
            if now_ms - read.started_ms > self._timeout_ms:
                del self._reads[token]
            elif self._chain.is_tail and self._confirmation.is_confirmed(read.confirmation, view, now_ms):
                del self._reads[token]
                state = self._chain.committed
                self._send_outcome(read.caller, Outcome(CallStatus.OK, "read", state.version, state.document))
