"""Operators' calls: passed to the head (orders) or the tail (reads), and answered there.

The head takes one order at a time, so that each is judged against a committed state. A refusal and a read are
answered only after a majority of the roster has confirmed that no later view was agreed: a replica that was
cut off or frozen may still think itself head or tail.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from boltons.cacheutils import LRU

from dunlinloft.coordination.actions import Action, Reply
from dunlinloft.coordination.agreement import majority_of
from dunlinloft.coordination.chain import ChainLink
from dunlinloft.coordination.durable import next_entry
from dunlinloft.coordination.messages import (
    Answer,
    Ask,
    Confirm,
    Confirmed,
    Document,
    Member,
    Order,
    ReplicaMessage,
    View,
)

CALL_MS = 850.0  # a call unanswered for so long ends without a clear answer; callers wait a second
ASK_AGAIN_MS = 250.0  # a call passed on is sent again, as it or its answer may be lost
CONFIRM_AGAIN_MS = 100.0
QUEUE_MOST = 64  # orders that wait at the head
REFUSED_MOST = 1_024  # refused orders that the head remembers
NONCE_BITS = 48


@dataclass(frozen=True, slots=True)
class Valid:
    """An order that may be taken."""

    version: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """An order that may not be taken, with the reason."""

    reason: str


Validate = Callable[[Document, Order], Valid | Invalid]


@dataclass(slots=True)
class _Pending:
    """A call that came in here."""

    order: Order | None
    started_ms: float
    sent_ms: float = -ASK_AGAIN_MS
    target: str = ""


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Why an order was refused; it stays so."""

    status: int
    reason: str


@dataclass(slots=True)
class _Work:
    """An order at the head, or a read at the tail."""

    order: Order | None
    began_ms: float
    askers: list[tuple[Member, str]]
    sequence: int = 0  # the entry that it waits for
    refusal: _Refusal | None = None
    nonce: int = 0  # of the confirmation that it waits for
    confirmed_by: set[str] = field(default_factory=set)
    confirm_sent_ms: float = 0.0


class Calls:
    """Both sides of a call: where it came in, and where it is answered."""

    def __init__(
        self,
        me: Member,
        chain: ChainLink,
        validate: Validate,
        emit: Callable[[Action], None],
        send: Callable[[str, ReplicaMessage], None],
        rng: random.Random,
    ) -> None:
        self._me = me
        self._chain = chain
        self._validate = validate
        self._emit = emit
        self._send = send
        self._pending: dict[str, _Pending] = {}
        self._queue: deque[_Work] = deque()
        self._working: _Work | None = None
        self._reads: dict[str, _Work] = {}
        self._nonce = rng.getrandbits(NONCE_BITS)  # no answer to a former life's question counts in this one
        self._refused: LRU[str, _Refusal] = LRU(REFUSED_MOST)
        self._view: View | None = None
        self._now = 0.0

    # Where it came in.

    def begin(self, token: str, order: Order | None, now_ms: float) -> None:
        """A call came in here."""
        self._pending[token] = _Pending(order, now_ms)

    def on_answer(self, answer: Answer) -> None:
        """What became of a call."""
        if self._pending.pop(answer.token, None) is not None:
            reply = Reply(answer.token, answer.status, answer.reason, answer.state_version, answer.document)
            self._emit(reply)

    def moved(self) -> None:
        """Another view: what was at work here is asked again by those who passed it on."""
        self._queue.clear()
        self._working = None
        self._reads.clear()

    def follow(self, view: View | None, now_ms: float) -> None:
        """Pass on what came in, and go on with what is at work."""
        self._view = view
        self._now = now_ms
        self._pass_on(view)
        if view is not None and self._chain.epoch == view.epoch:
            self._follow_orders(view)
            self._follow_reads(view)

    def _pass_on(self, view: View | None) -> None:
        for token, pending in list(self._pending.items()):
            if self._now - pending.started_ms > CALL_MS:
                del self._pending[token]
                self._emit(Reply(token, 503, "the control plane has not answered in time", 0, None))
                continue
            if view is None:
                continue
            target = view.chain[-1 if pending.order is None else 0].address
            if target == pending.target and self._now - pending.sent_ms < ASK_AGAIN_MS:
                continue
            pending.target, pending.sent_ms = target, self._now
            self._send(target, Ask(self._me, token, pending.order))

    # Where it is answered.

    def on_ask(self, ask: Ask, now_ms: float) -> None:
        """A call for the head or the tail; whoever is neither says nothing, and is not asked for long."""
        self._now = now_ms
        asker = (ask.sender, ask.token)
        if ask.order is None:
            if self._chain.is_tail and ask.token not in self._reads:
                self._reads[ask.token] = _Work(None, now_ms, [asker])
            return
        if not self._is_head():
            return
        works = list(self._queue)
        if self._working is not None:
            works.append(self._working)
        for work in works:
            if work.order is not None and work.order.digest == ask.order.digest:
                if asker not in work.askers:
                    work.askers.append(asker)
                return
        if len(self._queue) < QUEUE_MOST:
            self._queue.append(_Work(ask.order, now_ms, [asker]))

    def _is_head(self) -> bool:
        view = self._view
        return view is not None and view.place(self._me.id) == 0 and self._chain.epoch == view.epoch

    def _follow_orders(self, view: View) -> None:
        while True:
            if self._working is None and not self._start_next(view):
                return
            work = self._working
            if work is None:
                return
            if not self._finished(work, view):
                return
            self._working = None

    def _start_next(self, view: View) -> bool:
        """Judge the next order, where the state is settled; whether one was begun."""
        if not self._queue or not self._chain.settled:
            return False
        work = self._queue.popleft()
        self._working = work
        assert work.order is not None
        state = self._chain.state
        refused = self._refused.get(work.order.digest)
        if any(taken.digest == work.order.digest for taken in state.taken):
            work.sequence = state.sequence
        elif refused is not None:
            work.refusal = refused
        elif work.order.base != state.version:
            self._refuse(work, 412, f"version {state.version} is current")
        else:
            verdict = self._validate(state.document, work.order)
            if isinstance(verdict, Invalid):
                self._refuse(work, 400, verdict.reason)
            elif verdict.version <= state.version:
                self._refuse(work, 400, f"version: not above the current {state.version}")
            else:
                work.sequence = state.sequence + 1
                self._chain.append(next_entry(state, verdict.version, work.order))
        return True

    def _refuse(self, work: _Work, status: int, reason: str) -> None:
        work.refusal = _Refusal(status, reason)

    def _finished(self, work: _Work, view: View) -> bool:
        """Whether an order is through; it is answered then."""
        version = self._chain.committed.version
        if work.refusal is not None:
            if not self._confirmed(work, view):
                return False
            assert work.order is not None
            # For good: a late copy of it may find its base current.
            self._refused[work.order.digest] = work.refusal
            self._answer(work, work.refusal.status, work.refusal.reason, version, None)
            return True
        if self._chain.committed.sequence < work.sequence:
            return False
        self._answer(work, 200, "taken", version, None)
        return True

    def _follow_reads(self, view: View) -> None:
        for token, work in list(self._reads.items()):
            if self._now - work.began_ms > CALL_MS:
                del self._reads[token]
            elif self._chain.is_tail and self._confirmed(work, view):
                del self._reads[token]
                state = self._chain.committed
                self._answer(work, 200, "read", state.version, state.document)

    def _answer(self, work: _Work, status: int, reason: str, version: int, document: Document | None) -> None:
        for member, token in work.askers:
            self._send(member.address, Answer(self._me, token, status, reason, version, document))

    # Confirmation that the epoch is the last.

    def _confirmed(self, work: _Work, view: View) -> bool:
        if not work.nonce:
            self._nonce += 1
            work.nonce = self._nonce
            work.confirm_sent_ms = -CONFIRM_AGAIN_MS
        if self._now - work.confirm_sent_ms >= CONFIRM_AGAIN_MS:
            work.confirm_sent_ms = self._now
            for member in view.roster:
                self._send(member.address, Confirm(self._me, view.epoch, work.nonce))
        return len(work.confirmed_by) >= majority_of(view)

    def on_confirmed(self, message: Confirmed) -> None:
        """A voter knows of no later view."""
        view = self._view
        if view is None or message.epoch != view.epoch or message.sender.id not in view.voters():
            return
        works = list(self._reads.values())
        if self._working is not None:
            works.append(self._working)
        for work in works:
            if work.nonce == message.nonce:
                work.confirmed_by.add(message.sender.id)
