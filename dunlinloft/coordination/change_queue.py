"""The head's queue of configuration changes, which validates, appends and acknowledges them one at a time.

Processing one change at a time ensures that each is validated against a committed state. A rejection is
returned only once a majority has confirmed the epoch (`epoch_confirmation`), an acceptance only once this
epoch's tail has committed the change.

No head may accept a change that was rejected before. A change on an old base version can't be accepted later,
because versions only increase; a change that is invalid on its base version stays invalid. A change whose
base version doesn't exist yet might become acceptable once that version is current, so its rejection is
recorded in the replicated history and returned once that record is committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from boltons.cacheutils import LRU

from dunlinloft.coordination.call_status import CallStatus
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.epoch_confirmation import ConfirmationRound, EpochConfirmation
from dunlinloft.coordination.history import is_recorded_as_rejected, next_entry, rejection_entry
from dunlinloft.coordination.state import ConfigurationChange, Document
from dunlinloft.coordination.verdicts import Invalid, Validator
from dunlinloft.coordination.views import Member, View

MAX_QUEUED_CHANGES = 64  # further changes are dropped; their senders resend them
MAX_REMEMBERED_REJECTIONS = 1_024  # the least recently used are evicted first


@dataclass(frozen=True, slots=True)
class Caller:
    """The destination of a call's result: the replica that forwarded it, and the call's token there."""

    member: Member
    token: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a call; see `call_messages.CallResult`."""

    status: CallStatus
    reason: str
    version: int
    document: Document | None = None


SendOutcome = Callable[[Caller, Outcome], None]


@dataclass(frozen=True, slots=True)
class _Rejection:
    """Why a change was rejected. Rejections are final."""

    status: CallStatus
    reason: str


@dataclass(slots=True)
class _QueuedChange:
    """A change at the head, with all callers that wait for its result."""

    change: ConfigurationChange
    callers: list[Caller]
    sequence: int = 0  # of the entry that has to be committed first; 0 for none
    rejection: _Rejection | None = None
    confirmation: ConfirmationRound = field(default_factory=ConfirmationRound)


class ChangeQueue:
    """The changes queued at the head, and the one in progress. Owned by `CallHandler`."""

    def __init__(
        self,
        chain: ChainReplica,
        validate: Validator,
        confirmation: EpochConfirmation,
        send_outcome: SendOutcome,
    ) -> None:
        self._chain = chain
        self._validate = validate
        self._confirmation = confirmation
        self._send_outcome = send_outcome
        self._queue: deque[_QueuedChange] = deque()
        self._in_progress: _QueuedChange | None = None
        self._rejections: LRU[str, _Rejection] = LRU(MAX_REMEMBERED_REJECTIONS)  # by the change's digest

    def enqueue(self, caller: Caller, change: ConfigurationChange) -> None:
        """Add a change; if it is queued or in progress already, add the caller to those waiting for it."""
        waiting = list(self._queue)
        if self._in_progress is not None:
            waiting.append(self._in_progress)
        for queued in waiting:
            if queued.change.digest == change.digest:
                if caller not in queued.callers:
                    queued.callers.append(caller)
                return
        if len(self._queue) < MAX_QUEUED_CHANGES:
            self._queue.append(_QueuedChange(change, [caller]))

    def clear(self) -> None:
        """Drop all changes because the view changed; their senders forward them to the new head."""
        self._queue.clear()
        self._in_progress = None

    def confirmation_rounds(self) -> list[ConfirmationRound]:
        """Return the rounds that wait for confirmations."""
        return [] if self._in_progress is None else [self._in_progress.confirmation]

    def advance(self, view: View, now_ms: float) -> None:
        """Process the change in progress and the queued ones as far as possible."""
        while True:
            if self._in_progress is None and not self._start_next():
                return
            queued = self._in_progress
            if queued is None:
                return
            if not self._finish(queued, view, now_ms):
                return
            self._in_progress = None

    def _start_next(self) -> bool:
        """Start the next change if everything before it is committed; return whether one was started."""
        if not self._queue or not self._chain.fully_committed:
            return False
        queued = self._queue.popleft()
        self._in_progress = queued
        state = self._chain.state
        rejection = self._rejections.get(queued.change.digest)
        if any(applied.digest == queued.change.digest for applied in state.applied):
            queued.sequence = state.sequence
        elif rejection is not None:
            queued.rejection = rejection
        elif is_recorded_as_rejected(state, queued.change):
            queued.rejection = _Rejection(CallStatus.BASE_NOT_CURRENT, "its base version was not current")
        else:
            self._validate_and_append(queued)
        return True

    def _validate_and_append(self, queued: _QueuedChange) -> None:
        state = self._chain.state
        change = queued.change
        if change.base_version != state.version:
            reason = f"version {state.version} is current"
            queued.rejection = _Rejection(CallStatus.BASE_NOT_CURRENT, reason)
            if change.base_version > state.version:
                self._reject_future_base(queued)
            return
        result = self._validate(state.document, change)
        if isinstance(result, Invalid):
            queued.rejection = _Rejection(CallStatus.INVALID, result.reason)
        elif result.version <= state.version:
            reason = f"version: not above the current {state.version}"
            queued.rejection = _Rejection(CallStatus.INVALID, reason)
        else:
            queued.sequence = state.sequence + 1
            self._chain.append(next_entry(state, result.version, change))

    def _reject_future_base(self, queued: _QueuedChange) -> None:
        """Append an entry that records the rejection of a change whose base version may become current."""
        state = self._chain.state
        queued.sequence = state.sequence + 1
        self._chain.append(rejection_entry(state, queued.change))

    def _finish(self, queued: _QueuedChange, view: View, now_ms: float) -> bool:
        """Complete a change that is committed, or rejected and confirmed; return whether it was completed."""
        version = self._chain.committed.version
        if self._chain.committed.sequence < queued.sequence:
            return False
        rejection = queued.rejection
        if rejection is None:
            self._notify_callers(queued, Outcome(CallStatus.OK, "taken", version))
            return True
        if not queued.sequence and not self._confirmation.is_confirmed(queued.confirmation, view, now_ms):
            return False
        self._rejections[queued.change.digest] = rejection
        self._notify_callers(queued, Outcome(rejection.status, rejection.reason, version))
        return True

    def _notify_callers(self, queued: _QueuedChange, outcome: Outcome) -> None:
        for caller in queued.callers:
            self._send_outcome(caller, outcome)
