"""A replica's part in agreeing on views: as a voter, and as a proposer.

One single-decree Paxos for each epoch among the roster of the view before (`agreement.py`). A promise or an
acceptance is on disk before it is answered. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.coordination.agreement import Proposal, majority_of
from dunlinloft.coordination.messages import (
    Accept,
    Accepted,
    AcceptRecord,
    Ballot,
    Confirm,
    Confirmed,
    Decided,
    Denied,
    Durable,
    Member,
    Prepare,
    Promise,
    PromiseRecord,
    Record,
    ReplicaMessage,
    View,
    ViewRecord,
)

PROPOSE_AFTER_MS = 100.0  # a difference that lasts so long is proposed by the first replica alive,
PROPOSE_STEP_MS = 700.0  # and by each further one so much later
PROPOSAL_MS = 500.0  # a ballot that isn't through by then is given up
PROPOSAL_JITTER_MS = 200.0

VotingMessage = Prepare | Promise | Accept | Accepted | Denied | Decided | Confirm


class Voting:
    """Holds the view. `left` is called when a later one is learned, `entered` once that is on disk.

    `stop_uncommitted` ends this replica's part in the chain for good, if that makes sure that the epoch has
    committed nothing and never will; it returns whether it does.
    """

    def __init__(
        self,
        me: Member,
        counts: bool,
        durable: Durable,
        rng: random.Random,
        now_ms: float,
        send: Callable[[str, ReplicaMessage], None],
        persist: Callable[[Record, Callable[[], None]], None],
        left: Callable[[], None],
        entered: Callable[[View], None],
        stop_uncommitted: Callable[[], bool],
    ) -> None:
        self._stop_uncommitted = stop_uncommitted
        self._me = me
        self._counts = counts
        self._rng = rng
        self._life = f"{rng.getrandbits(32):08x}"
        self._send = send
        self._persist = persist
        self._left = left
        self._entered = entered
        self._now = now_ms
        self.view = durable.view
        self.epoch_on_disk = 0 if durable.view is None else durable.view.epoch
        self.entered_ms = now_ms  # when the view was learned
        self.before: View | None = None  # the view that it followed, where that was learned here,
        self.before_ms = now_ms  # and when
        self._promised = durable.promised
        self._accepted = durable.accepted
        self._proposal: Proposal | None = None
        self._quiet_until_ms = 0.0
        self._differs_since_ms: float | None = None

    @property
    def votes(self) -> bool:
        """Whether this replica is in the roster."""
        return self._counts and self.view is not None and self._me.id in self.view.voters()

    @property
    def epoch(self) -> int:
        """The epoch of the view; 0 for none."""
        return 0 if self.view is None else self.view.epoch

    @property
    def lease_epoch(self) -> int:
        """The epoch whose roles it stands by; 0 where it has accepted a view after it."""
        return 0 if self._accepted is not None else self.epoch

    @property
    def undecided(self) -> View | None:
        """The view that was accepted here and that nobody has said to be decided."""
        return None if self._accepted is None else self._accepted[1]

    def handle(self, message: VotingMessage, now_ms: float) -> None:
        """Take a message."""
        self._now = now_ms
        match message:
            case Prepare():
                self._on_prepare(message)
            case Promise():
                self._on_promise(message)
            case Accept():
                self._on_accept(message)
            case Accepted():
                self._on_accepted(message)
            case Denied():
                self._on_denied(message)
            case Decided():
                self.learn(message.view, now_ms)
            case Confirm():
                self._on_confirm(message)

    def learn(self, view: View, now_ms: float) -> None:
        """A majority accepted this view, or it is the first of all."""
        self._now = now_ms
        if view.epoch <= self.epoch:
            return
        follows = self.view is not None and view.epoch == self.view.epoch + 1
        self.before = self.view if follows else None
        self.before_ms = self.entered_ms
        self.view = view
        self._promised = self._accepted = None
        self._proposal = None
        self._differs_since_ms = None
        self.entered_ms = now_ms
        self._left()

        def on_disk() -> None:
            self.epoch_on_disk = view.epoch
            if self.view is view:
                self._entered(view)

        self._persist(ViewRecord(view), on_disk)

    # As a voter.

    def _on_prepare(self, message: Prepare) -> None:
        self.learn(message.current, self._now)
        if self.epoch > message.current.epoch:
            self._tell_view(message.sender)
            return
        if not self.votes:
            return
        epoch = self.epoch + 1
        if self._promised is not None and message.ballot < self._promised:
            self._send(message.sender.address, Denied(self._me, epoch, self._promised))
            return
        self._promised = message.ballot
        reply = Promise(self._me, epoch, message.ballot, self._accepted)
        self._persist(PromiseRecord(message.ballot), lambda: self._send(message.sender.address, reply))

    def _on_accept(self, message: Accept) -> None:
        epoch = message.view.epoch
        if self.view is None or self.epoch >= epoch:
            self._tell_view(message.sender)
            return
        if self.epoch != epoch - 1 or not self.votes:
            return
        if self._promised is not None and message.ballot < self._promised:
            self._send(message.sender.address, Denied(self._me, epoch, self._promised))
            return
        if message.view.witness == self._me.id and not self._testifies():
            return
        self._promised = message.ballot
        self._accepted = (message.ballot, message.view)
        reply = Accepted(self._me, epoch, message.ballot)
        record = AcceptRecord(message.ballot, message.view)
        self._persist(record, lambda: self._send(message.sender.address, reply))

    def _testifies(self) -> bool:
        """Whether the epoch before commits nothing for want of this replica, since before or from now on."""
        stopped = self._accepted is not None and self._accepted[1].witness == self._me.id
        return stopped or self._stop_uncommitted()

    def _tell_view(self, member: Member) -> None:
        if self.view is not None:
            self._send(member.address, Decided(self._me, self.view))

    def _on_confirm(self, message: Confirm) -> None:
        if self.epoch != message.epoch or not self.votes:
            self._tell_view(message.sender)
        elif self._accepted is None:
            self._send(message.sender.address, Confirmed(self._me, message.epoch, message.nonce))

    # As a proposer.

    def may_propose(self, now_ms: float) -> bool:
        """Whether to look for a difference to the wanted view now: no ballot of ours is under way."""
        self._now = now_ms
        if self._proposal is not None:
            if now_ms - self._proposal.started_ms > PROPOSAL_MS:
                self._give_up()
            return False
        return self.votes and now_ms >= self._quiet_until_ms

    def follow(self, wanted: View | None, turn: int, now_ms: float) -> None:
        """Turn the wanted view, where there is one, into the view in force; `turn` others go first."""
        self._now = now_ms
        if wanted is None or self.view is None:
            self._differs_since_ms = None
            return
        if self._differs_since_ms is None:
            self._differs_since_ms = now_ms
        patience_ms = PROPOSE_AFTER_MS + PROPOSE_STEP_MS * turn
        if now_ms - self._differs_since_ms >= patience_ms:
            self.propose(self.view, wanted)

    def propose(self, view: View, wanted: View) -> Ballot:
        """Begin a ballot for the view after this one."""
        number = 1 if self._promised is None else self._promised.number + 1
        # Of this life alone: a restart may have forgotten a ballot whose promise was not on disk yet.
        ballot = Ballot(number, f"{self._me.id}/{self._life}")
        self._proposal = Proposal(wanted.epoch, ballot, wanted, self._now)
        for member in view.roster:
            self._send(member.address, Prepare(self._me, view, ballot))
        return ballot

    def _give_up(self) -> None:
        self._proposal = None
        self._quiet_until_ms = self._now + PROPOSAL_JITTER_MS * self._rng.random()

    def _mine(self, epoch: int, ballot: Ballot) -> Proposal | None:
        proposal = self._proposal
        if proposal is None or (proposal.epoch, proposal.ballot) != (epoch, ballot):
            return None
        return proposal

    def _on_promise(self, message: Promise) -> None:
        proposal = self._mine(message.epoch, message.ballot)
        if proposal is None or self.view is None or message.sender.id not in self.view.voters():
            return
        chosen = proposal.on_promise(message.sender.id, message.accepted, majority_of(self.view))
        if chosen is None:
            return
        if chosen.witness == self._me.id:
            # The witness first: whoever accepts such a view relies on its having stopped, on disk.
            self._send(self._me.address, Accept(self._me, proposal.ballot, chosen))
        else:
            self._ask_others(proposal, self.view)

    def _ask_others(self, proposal: Proposal, view: View) -> None:
        """Ask all who have not accepted yet."""
        assert proposal.chosen is not None
        for member in view.roster:
            if member.id not in proposal.accepts:
                self._send(member.address, Accept(self._me, proposal.ballot, proposal.chosen))

    def _on_accepted(self, message: Accepted) -> None:
        proposal = self._mine(message.epoch, message.ballot)
        if proposal is None or self.view is None or message.sender.id not in self.view.voters():
            return
        assert proposal.chosen is not None
        if message.sender.id == self._me.id == proposal.chosen.witness and not proposal.accepts:
            proposal.accepts.add(self._me.id)
            self._ask_others(proposal, self.view)
        decided = proposal.on_accepted(message.sender.id, majority_of(self.view))
        if decided is None:
            return
        told = {member.address for member in (*self.view.roster, *decided.roster)}
        self.learn(decided, self._now)
        for address in sorted(told - {self._me.address}):
            self._send(address, Decided(self._me, decided))

    def _on_denied(self, message: Denied) -> None:
        proposal = self._proposal
        if proposal is None or proposal.epoch != message.epoch or message.promised <= proposal.ballot:
            return
        if self._promised is None or self._promised < message.promised:
            # Remembered, so that the next ballot is higher; it need not be on disk, as it is no promise.
            self._promised = message.promised
        self._give_up()
