"""Operators' calls: forwarded to the head (changes) or the tail (reads), and executed there.

Any replica takes a call, and repeats the forwarding until a result comes back or the call times out. The two
sides of execution are `change_queue` and `tail_reads`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.actions import Action, Reply
from dunlinloft.coordination.call_messages import CallResult, ForwardedCall
from dunlinloft.coordination.call_status import CallStatus
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.change_queue import Caller, ChangeQueue, Outcome
from dunlinloft.coordination.epoch_confirmation import EpochConfirmation, count_confirmation
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.tail_reads import TailReads
from dunlinloft.coordination.verdicts import Validator
from dunlinloft.coordination.views import Member, View
from dunlinloft.coordination.voting_messages import EpochConfirmed

CALL_TIMEOUT_MS = 850.0  # a call without a result by then ends as unavailable; callers wait a second
FORWARD_RETRY_INTERVAL_MS = 250.0  # a forwarded call or its result may be lost


@dataclass(slots=True)
class _PendingCall:
    """A call that came in here and has no result yet."""

    change: ConfigurationChange | None  # None for a read
    started_ms: float
    sent_ms: float = -FORWARD_RETRY_INTERVAL_MS
    target: str | None = None  # address that it was last forwarded to


class CallHandler:
    """Both sides of a call: where it came in, and where it is executed. Owned by `Replica`."""

    def __init__(
        self,
        local_member: Member,
        chain: ChainReplica,
        validate: Validator,
        emit: Callable[[Action], None],
        send: Callable[[str, ReplicaMessage], None],
        rng: random.Random,
    ) -> None:
        self._local_member = local_member
        self._chain = chain
        self._emit = emit
        self._send = send
        self._pending: dict[str, _PendingCall] = {}  # by token
        confirmation = EpochConfirmation(local_member, send, rng)
        self._changes = ChangeQueue(chain, validate, confirmation, self._send_outcome)
        self._reads = TailReads(chain, confirmation, self._send_outcome, CALL_TIMEOUT_MS)
        self._view: View | None = None

    def advance(self, view: View | None, now_ms: float) -> None:
        """Forward pending calls, and go on with those executed here. Called after every event."""
        self._view = view
        self._forward_pending(view, now_ms)
        if view is not None and self._chain.epoch == view.epoch:
            self._changes.advance(view, now_ms)
            self._reads.advance(view, now_ms)

    # Where a call came in.

    def begin(self, token: str, change: ConfigurationChange | None, now_ms: float) -> None:
        """Take an operator's call: a change, or a read where `change` is None."""
        self._pending[token] = _PendingCall(change, now_ms)

    def on_result(self, result: CallResult) -> None:
        """Reply with the result of a forwarded call, unless that was done before."""
        if self._pending.pop(result.token, None) is not None:
            self._emit(
                Reply(result.token, result.status, result.reason, result.state_version, result.document)
            )

    def _forward_pending(self, view: View | None, now_ms: float) -> None:
        for token, pending in list(self._pending.items()):
            if now_ms - pending.started_ms > CALL_TIMEOUT_MS:
                del self._pending[token]
                reason = "the control plane has not answered in time"
                self._emit(Reply(token, CallStatus.UNAVAILABLE, reason, 0, None))
                continue
            if view is None:
                continue
            target = view.chain[-1 if pending.change is None else 0].address
            if target == pending.target and now_ms - pending.sent_ms < FORWARD_RETRY_INTERVAL_MS:
                continue
            pending.target = target
            pending.sent_ms = now_ms
            self._send(target, ForwardedCall(self._local_member, token, pending.change))

    # Where a call is executed.

    def on_forwarded_call(self, call: ForwardedCall, now_ms: float) -> None:
        """Take a call as head or tail; whoever is neither ignores it, and gets none for long."""
        caller = Caller(call.sender, call.token)
        if call.change is None:
            self._reads.begin(caller, now_ms)
        elif self._is_head():
            self._changes.enqueue(caller, call.change)

    def on_epoch_confirmed(self, message: EpochConfirmed) -> None:
        """Count a voter's confirmation that it knows of no later view."""
        view = self._view
        if view is None or message.epoch != view.epoch or message.sender.id not in view.voter_ids():
            return
        rounds = [*self._reads.confirmation_rounds(), *self._changes.confirmation_rounds()]
        count_confirmation(message, rounds)

    def on_view_changed(self) -> None:
        """Drop what is executed here: who forwarded it does so again in the new view."""
        self._changes.clear()
        self._reads.clear()

    def _is_head(self) -> bool:
        view = self._view
        if view is None or self._chain.epoch != view.epoch:
            return False
        return view.position_of(self._local_member.id) == 0

    def _send_outcome(self, caller: Caller, outcome: Outcome) -> None:
        result = CallResult(
            self._local_member,
            caller.token,
            outcome.status,
            outcome.reason,
            outcome.version,
            outcome.document,
        )
        self._send(caller.member.address, result)
