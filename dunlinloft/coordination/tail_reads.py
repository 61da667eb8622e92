"""Reads at the tail: answered with the committed state once a majority has confirmed the epoch."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.call_status import CallStatus
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.change_queue import Caller, Outcome, SendOutcome
from dunlinloft.coordination.epoch_confirmation import ConfirmationRound, EpochConfirmation
from dunlinloft.coordination.views import View


@dataclass(slots=True)
class _Read:
    """A read that waits for its confirmation."""

    caller: Caller
    started_ms: float
    confirmation: ConfirmationRound = field(default_factory=ConfirmationRound)


class TailReads:
    """The reads that wait at the tail, by the call's token. Owned by `Calls`.

    `timeout_ms` after its arrival a read is dropped: its caller has given it up.
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
        """Take a read, if this is the tail and it is not here already."""
        if self._chain.is_tail and caller.token not in self._reads:
            self._reads[caller.token] = _Read(caller, now_ms)

    def clear(self) -> None:
        """Drop everything, as the view has changed: who forwarded it sends it again to the new tail."""
        self._reads.clear()

    def confirmation_rounds(self) -> list[ConfirmationRound]:
        """The rounds that wait for confirmations."""
        return [read.confirmation for read in self._reads.values()]

    def advance(self, view: View, now_ms: float) -> None:
        """Answer the reads that are confirmed, and drop those given up."""
        for token, read in list(self._reads.items()):
            if now_ms - read.started_ms > self._timeout_ms:
                del self._reads[token]
            elif self._chain.is_tail and self._confirmation.is_confirmed(read.confirmation, view, now_ms):
                del self._reads[token]
                state = self._chain.committed
                self._send_outcome(read.caller, Outcome(CallStatus.OK, "read", state.version, state.document))
