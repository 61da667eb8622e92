"""The head's queue of configuration changes: validated, appended and answered one after the other.

One change at a time, so that each is validated against a committed state. A rejection is answered only once a
majority has confirmed the epoch (`epoch_confirmation`); an acceptance only once this epoch's tail has
committed the change.

A rejected change must never be accepted later, by any head. One on an old base version can't be, as versions
rise; one that is invalid on its base version stays so. One whose base version does not exist yet might be,
once that is current: its rejection is recorded in the replicated history, and answered once committed.
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

MAX_QUEUED_CHANGES = 64  # further ones are dropped; their callers send them again
MAX_REMEMBERED_REJECTIONS = 1_024  # least recently used ones are forgotten first


@dataclass(frozen=True, slots=True)
class Caller:
    """Where the result of a call goes: the replica that forwarded it, and the call's token there."""

    member: Member
    token: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a call ends with; see `call_messages.CallResult`."""

    status: CallStatus
    reason: str
    version: int
    document: Document | None = None


SendOutcome = Callable[[Caller, Outcome], None]


@dataclass(frozen=True, slots=True)
class _Rejection:
    """Why a change was rejected; it stays so."""

    status: CallStatus
    reason: str


@dataclass(slots=True)
class _QueuedChange:
    """A change at the head, with everybody who waits for its result."""

    change: ConfigurationChange
    callers: list[Caller]
    sequence: int = 0  # of the entry that it waits for; 0 for none
    rejection: _Rejection | None = None
    confirmation: ConfirmationRound = field(default_factory=ConfirmationRound)


class ChangeQueue:
    """The changes waiting at the head, and the one in progress. Owned by `Calls`."""

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
        """Add a change; a caller of one that is here already joins those who wait for it."""
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
        """Drop everything, as the view has changed: who forwarded it sends it again to the new head."""
        self._queue.clear()
        self._in_progress = None

    def confirmation_rounds(self) -> list[ConfirmationRound]:
        """The rounds that wait for confirmations."""
        return [] if self._in_progress is None else [self._in_progress.confirmation]

    def advance(self, view: View, now_ms: float) -> None:
        """Go on with the change in progress, and with the next ones as far as possible."""
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
        """Take up the next change, where everything before it is committed; return whether one was."""
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
        verdict = self._validate(state.document, change)
        if isinstance(verdict, Invalid):
            queued.rejection = _Rejection(CallStatus.INVALID, verdict.reason)
        elif verdict.version <= state.version:
            reason = f"version: not above the current {state.version}"
            queued.rejection = _Rejection(CallStatus.INVALID, reason)
        else:
            queued.sequence = state.sequence + 1
            self._chain.append(next_entry(state, verdict.version, change))

    def _reject_future_base(self, queued: _QueuedChange) -> None:
        """Record the rejection of a change whose base version may become current later."""
        state = self._chain.state
        queued.sequence = state.sequence + 1
        self._chain.append(rejection_entry(state, queued.change))

    def _finish(self, queued: _QueuedChange, view: View, now_ms: float) -> bool:
        """Answer a change that is committed, or rejected and confirmed; return whether it was."""
        version = self._chain.committed.version
        if self._chain.committed.sequence < queued.sequence:
            return False
        rejection = queued.rejection
        if rejection is None:
            self._answer(queued, Outcome(CallStatus.OK, "taken", version))
            return True
        if not queued.sequence and not self._confirmation.is_confirmed(queued.confirmation, view, now_ms):
            return False
        self._rejections[queued.change.digest] = rejection
        self._answer(queued, Outcome(rejection.status, rejection.reason, version))
        return True

    def _answer(self, queued: _QueuedChange, outcome: Outcome) -> None:
        for caller in queued.callers:
            self._send_outcome(caller, outcome)
