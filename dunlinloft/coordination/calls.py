"""Operator calls: any replica accepts them, and the head (changes) or the tail (reads) executes them.

The receiving replica resends a forwarded call until a result arrives or the call times out. `change_queue`
executes changes, `tail_reads` executes reads.
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

CALL_TIMEOUT_MS = 850.0  # until a call fails as unavailable; below the callers' own timeout of 1 s
FORWARD_RETRY_INTERVAL_MS = 250.0  # between resends, as a forwarded call or its result may be lost


@dataclass(slots=True)
class _PendingCall:
    """A call that this replica received and that has no result yet."""

    change: ConfigurationChange | None  # None for a read
    started_ms: float
    sent_ms: float = -FORWARD_RETRY_INTERVAL_MS
    target: str | None = None  # address to which it was last forwarded


class CallHandler:
    """Forwards calls that this replica receives, and executes those forwarded to it. Owned by `Replica`."""

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
        """Forward pending calls, and continue those being executed here. Called after every event."""
        self._view = view
        self._forward_pending(view, now_ms)
        if view is not None and self._chain.epoch == view.epoch:
            self._changes.advance(view, now_ms)
            self._reads.advance(view, now_ms)

    # Receiving side.

    def begin(self, token: str, change: ConfigurationChange | None, now_ms: float) -> None:
        """Accept an operator call: a change, or a read if `change` is None."""
        self._pending[token] = _PendingCall(change, now_ms)

    def on_result(self, result: CallResult) -> None:
        """Reply with the result of a forwarded call; duplicate results are ignored."""
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

    # Executing side.

    def on_forwarded_call(self, call: ForwardedCall, now_ms: float) -> None:
        """Handle a forwarded call as head or tail.

        Other replicas ignore it; the sender forwards it to the right one once it learns the current view.
        """
        caller = Caller(call.sender, call.token)
        if call.change is None:
            self._reads.begin(caller, now_ms)
        elif self._is_head():
            self._changes.enqueue(caller, call.change)

    def on_epoch_confirmed(self, message: EpochConfirmed) -> None:
        """Count a voter's confirmation that it has accepted no later view."""
        view = self._view
        if view is None or message.epoch != view.epoch or message.sender.id not in view.voter_ids():
            return
        rounds = [*self._reads.confirmation_rounds(), *self._changes.confirmation_rounds()]
        count_confirmation(message, rounds)

    def on_view_changed(self) -> None:
        """Drop all calls being executed here; their senders forward them again in the new view."""
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
