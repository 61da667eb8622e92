"""A replica's part in deciding views: as an acceptor, as a proposer, and as a learner.

One single-decree Paxos for each epoch among the roster of the view before (`proposal.py`). An acceptor's
promise or acceptance is on disk before it is answered. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.proposal import Proposal
from dunlinloft.coordination.records import AcceptRecord, DurableState, PrepareRecord, Record, ViewRecord
from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber, View, majority_of
from dunlinloft.coordination.voting_messages import (
    Accept,
    Accepted,
    ConfirmEpoch,
    Decided,
    EpochConfirmed,
    Prepare,
    PrepareResponse,
    ProposalRejected,
    VotingMessage,
)

PROPOSAL_DELAY_MS = 100.0
"""How long the desired view must differ before the first live replica proposes it."""
PROPOSAL_STAGGER_MS = 700.0
"""Added for each live replica that goes first: longer than a proposal, so that proposers don't compete."""
PROPOSAL_TIMEOUT_MS = 500.0  # a proposal that is not decided by then is abandoned
PROPOSAL_BACKOFF_MS = 200.0  # at most, drawn at random, between an abandoned proposal and the next
PROCESS_NONCE_BITS = 32


@dataclass(frozen=True, slots=True)
class VotingHooks:
    """How `Voting` acts on its replica."""

    send: Callable[[str, ReplicaMessage], None]
    persist: Callable[[Record, Callable[[], None]], None]
    """Appends a record to the disk and calls the second argument once it is there."""
    on_view_learned: Callable[[], None]
    """A later view was learned: the part in the epoch before ends now."""
    on_view_durable: Callable[[View], None]
    """The learned view is on disk: the part in its epoch begins."""
    seal_epoch: Callable[[], bool]
    """Ends the part in this epoch for good if that ensures that it never commits; returns whether it does."""


class Voting:
    """Holds the view in force and decides the next one with the other voters. Owned by `Replica`."""

    def __init__(
        self,
        me: Member,
        quorum_eligible: bool,
        durable: DurableState,
        rng: random.Random,
        now_ms: float,
        hooks: VotingHooks,
    ) -> None:
        self._me = me
        self._quorum_eligible = quorum_eligible
        self._rng = rng
        self._process_nonce = f"{rng.getrandbits(PROCESS_NONCE_BITS):08x}"
        self._hooks = hooks
        self._send = hooks.send
        self._persist = hooks.persist
        self._now_ms = now_ms
        self.view = durable.view
        self.epoch_on_disk = 0 if durable.view is None else durable.view.epoch
        self.entered_ms = now_ms  # when the view was learned
        self.previous_view: View | None = None  # the one that it followed, where that was learned here
        self.previous_entered_ms = now_ms  # when that was learned
        self._promised = durable.promised
        self._accepted = durable.accepted
        self._proposal: Proposal | None = None
        self._backoff_until_ms = 0.0
        self._differs_since_ms: float | None = None

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the roster of the view in force."""
        return self._quorum_eligible and self.view is not None and self._me.id in self.view.voter_ids()

    @property
    def epoch(self) -> int:
        """The epoch of the view in force; 0 for none."""
        return 0 if self.view is None else self.view.epoch

    @property
    def lease_epoch(self) -> int:
        """The epoch whose leases this replica supports; 0 where it has accepted a view after it."""
        return 0 if self._accepted is not None else self.epoch

    @property
    def undecided_view(self) -> View | None:
        """The view that was accepted here and is not known to be decided."""
        return None if self._accepted is None else self._accepted.view

    def handle(self, message: VotingMessage, now_ms: float) -> None:
        """Take a message."""
        self._now_ms = now_ms
        match message:
            case Prepare():
                self._handle_prepare(message)
            case PrepareResponse():
                self._handle_prepare_response(message)
            case Accept():
                self._handle_accept(message)
            case Accepted():
                self._handle_accepted(message)
            case ProposalRejected():
                self._handle_rejected(message)
            case Decided():
                self.learn(message.view, now_ms)
            case ConfirmEpoch():
                self._handle_confirm_epoch(message)

    def learn(self, view: View, now_ms: float) -> None:
        """Enter a view that a majority accepted, or the initial one; an earlier epoch's is ignored."""
        self._now_ms = now_ms
        if view.epoch <= self.epoch:
            return
        follows = self.view is not None and view.epoch == self.view.epoch + 1
        self.previous_view = self.view if follows else None
        self.previous_entered_ms = self.entered_ms
        self.view = view
        self._promised = None
        self._accepted = None
        self._proposal = None
        self._differs_since_ms = None
        self.entered_ms = now_ms
        self._hooks.on_view_learned()
        self._persist(ViewRecord(view), lambda: self._on_view_durable(view))

    def _on_view_durable(self, view: View) -> None:
        self.epoch_on_disk = view.epoch
        if self.view is view:
            self._hooks.on_view_durable(view)

    # Acceptor.

    def _handle_prepare(self, message: Prepare) -> None:
        self.learn(message.current, self._now_ms)
        if self.epoch > message.current.epoch:
            self._send_view(message.sender)
            return
        if not self.is_voter:
            return
        epoch = self.epoch + 1
        number = message.proposal_number
        if self._reject_lower(message.sender, epoch, number):
            return
        self._promised = number
        response = PrepareResponse(self._me, epoch, number, self._accepted)
        self._persist(PrepareRecord(number), lambda: self._send(message.sender.address, response))

    def _handle_accept(self, message: Accept) -> None:
        epoch = message.view.epoch
        if self.view is None or self.epoch >= epoch:
            self._send_view(message.sender)
            return
        if self.epoch != epoch - 1 or not self.is_voter:
            return
        number = message.proposal_number
        if self._reject_lower(message.sender, epoch, number):
            return
        if message.view.sealed_by == self._me.id and not self._seal_current_epoch():
            return
        self._promised = number
        self._accepted = AcceptedProposal(number, message.view)
        response = Accepted(self._me, epoch, number)
        record = AcceptRecord(number, message.view)
        self._persist(record, lambda: self._send(message.sender.address, response))

    def _reject_lower(self, proposer: Member, epoch: int, number: ProposalNumber) -> bool:
        """Reject a proposal whose number is below the promised one; return whether it was."""
        if self._promised is None or number >= self._promised:
            return False
        self._send(proposer.address, ProposalRejected(self._me, epoch, self._promised))
        return True

    def _seal_current_epoch(self) -> bool:
        """Ensure that the epoch in force commits nothing for want of this replica, if it does not yet."""
        sealed = self._accepted is not None and self._accepted.view.sealed_by == self._me.id
        return sealed or self._hooks.seal_epoch()

    def _send_view(self, member: Member) -> None:
        if self.view is not None:
            self._send(member.address, Decided(self._me, self.view))

    def _handle_confirm_epoch(self, message: ConfirmEpoch) -> None:
        if self.epoch != message.epoch or not self.is_voter:
            self._send_view(message.sender)
        elif self._accepted is None:
            self._send(message.sender.address, EpochConfirmed(self._me, message.epoch, message.nonce))

    # Proposer.

    def may_propose(self, now_ms: float) -> bool:
        """Whether to plan a view now: this replica votes, and no proposal of it is under way.

        Abandons one that has timed out.
        """
        self._now_ms = now_ms
        if self._proposal is not None:
            if now_ms - self._proposal.started_ms > PROPOSAL_TIMEOUT_MS:
                self._abandon_proposal()
            return False
        return self.is_voter and now_ms >= self._backoff_until_ms

    def reconcile(self, desired: View | None, rank: int, now_ms: float) -> None:
        """Propose the desired view once it has differed from the one in force for long enough.

        Parameters
        ----------
        desired : the view that should follow; None where the one in force is as it should be.
        rank : how many live replicas propose before this one.
        now_ms : the time.
        """
        self._now_ms = now_ms
        if desired is None or self.view is None:
            self._differs_since_ms = None
            return
        if self._differs_since_ms is None:
            self._differs_since_ms = now_ms
        delay_ms = PROPOSAL_DELAY_MS + PROPOSAL_STAGGER_MS * rank
        if now_ms - self._differs_since_ms >= delay_ms:
            self.propose(self.view, desired)

    def propose(self, view: View, desired: View) -> ProposalNumber:
        """Begin phase 1 among the roster of `view` for the view after it; return the proposal's number."""
        number = 1 if self._promised is None else self._promised.number + 1
        # Of this process alone: a restarted one may have forgotten a number whose promise was not on disk.
        proposal_number = ProposalNumber(number, f"{self._me.id}/{self._process_nonce}")
        self._proposal = Proposal(desired.epoch, proposal_number, desired, self._now_ms)
        for member in view.roster:
            self._send(member.address, Prepare(self._me, view, proposal_number))
        return proposal_number

    def _abandon_proposal(self) -> None:
        self._proposal = None
        self._backoff_until_ms = self._now_ms + PROPOSAL_BACKOFF_MS * self._rng.random()

    def _current_proposal(self, epoch: int, number: ProposalNumber) -> Proposal | None:
        """The proposal under way, if it is the one that an acceptor answers."""
        proposal = self._proposal
        if proposal is None or (proposal.epoch, proposal.number) != (epoch, number):
            return None
        return proposal

    def _handle_prepare_response(self, message: PrepareResponse) -> None:
        proposal = self._current_proposal(message.epoch, message.proposal_number)
        if proposal is None or self.view is None or message.sender.id not in self.view.voter_ids():
            return
        chosen = proposal.on_prepared(message.sender.id, message.accepted, majority_of(self.view))
        if chosen is None:
            return
        if chosen.sealed_by == self._me.id:
            # The sealer first: whoever accepts such a view relies on its having stopped, on disk.
            self._send(self._me.address, Accept(self._me, proposal.number, chosen))
        else:
            self._send_accept(proposal, chosen, self.view)

    def _send_accept(self, proposal: Proposal, chosen: View, view: View) -> None:
        """Begin phase 2 with all acceptors that have not accepted yet."""
        for member in view.roster:
            if member.id not in proposal.accepted_by:
                self._send(member.address, Accept(self._me, proposal.number, chosen))

    def _handle_accepted(self, message: Accepted) -> None:
        proposal = self._current_proposal(message.epoch, message.proposal_number)
        if proposal is None or self.view is None or message.sender.id not in self.view.voter_ids():
            return
        assert proposal.chosen is not None
        if message.sender.id == self._me.id == proposal.chosen.sealed_by and not proposal.accepted_by:
            proposal.accepted_by.add(self._me.id)
            self._send_accept(proposal, proposal.chosen, self.view)
        decided = proposal.on_accepted(message.sender.id, majority_of(self.view))
        if decided is None:
            return
        addresses = {member.address for member in (*self.view.roster, *decided.roster)}
        self.learn(decided, self._now_ms)
        for address in sorted(addresses - {self._me.address}):
            self._send(address, Decided(self._me, decided))

    def _handle_rejected(self, message: ProposalRejected) -> None:
        proposal = self._proposal
        if proposal is None or proposal.epoch != message.epoch or message.promised <= proposal.number:
            return
        if self._promised is None or self._promised < message.promised:
            # Remembered, so that the next number is higher; it need not be on disk, as it is no promise.
            self._promised = message.promised
        self._abandon_proposal()
