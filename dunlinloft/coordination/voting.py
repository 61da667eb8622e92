"""A replica's role in deciding views: the Paxos learner, which owns the acceptor and the proposer.

Each epoch's view is decided by one instance of single-decree Paxos among the roster of the previous view; see
`acceptor` and `proposer`. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

import random

from dunlinloft.coordination.acceptor import Acceptor
from dunlinloft.coordination.proposer import Proposer
from dunlinloft.coordination.records import DurableState, ViewRecord
from dunlinloft.coordination.views import Member, ProposalNumber, View
from dunlinloft.coordination.voting_hooks import VotingHooks
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
"""Time for which the desired view must differ before the first live replica proposes it."""
PROPOSAL_STAGGER_MS = 700.0
"""Additional delay per live replica of higher rank. Longer than `proposer.PROPOSAL_TIMEOUT_MS`, so that
proposers don't compete."""


class Voting:
    """Holds the current view and decides the next one with the other voters. Owned by `Replica`."""

    def __init__(
        self,
        local_member: Member,
        quorum_eligible: bool,
        durable: DurableState,
        rng: random.Random,
        now_ms: float,
        hooks: VotingHooks,
    ) -> None:
        self._local_member = local_member
        self._quorum_eligible = quorum_eligible
        self._hooks = hooks
        self._send = hooks.send
        self._acceptor = Acceptor(local_member, durable, hooks)
        self._proposer = Proposer(local_member, rng, hooks.send)
        self._now_ms = now_ms
        self.view = durable.view
        self.durable_epoch = 0 if durable.view is None else durable.view.epoch
        self.entered_ms = now_ms  # when the view was learned
        self.previous_view: View | None = None  # the directly preceding view, if it was learned here
        self.previous_entered_ms = now_ms  # when the previous view was learned
        self._differs_since_ms: float | None = None

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the roster of the current view."""
        return (
            self._quorum_eligible and self.view is not None and self._local_member.id in self.view.voter_ids()
        )

    @property
    def epoch(self) -> int:
        """The epoch of the current view; 0 if there is none."""
        return 0 if self.view is None else self.view.epoch

    @property
    def lease_epoch(self) -> int:
        """The epoch whose leases this replica supports; 0 if it has accepted a later view."""
        return 0 if self._acceptor.accepted is not None else self.epoch

    @property
    def undecided_view(self) -> View | None:
        """The view that this replica has accepted and that is not known to be decided, if any."""
        return None if self._acceptor.accepted is None else self._acceptor.accepted.view

    def handle(self, message: VotingMessage, now_ms: float) -> None:
        """Handle a message of the Paxos round or a request to confirm the epoch."""
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
        """Enter a decided view or the initial one, unless it is no later than the current view."""
        self._now_ms = now_ms
        if view.epoch <= self.epoch:
            return
        follows = self.view is not None and view.epoch == self.view.epoch + 1
        self.previous_view = self.view if follows else None
        self.previous_entered_ms = self.entered_ms
        self.view = view
        self._acceptor.reset()
        self._proposer.reset()
        self._differs_since_ms = None
        self.entered_ms = now_ms
        self._hooks.on_view_learned()
        self._hooks.persist(ViewRecord(view), lambda: self._on_view_durable(view))

    def _on_view_durable(self, view: View) -> None:
        self.durable_epoch = view.epoch
        if self.view is view:
            self._hooks.on_view_durable(view)

    # As an acceptor.

    def _handle_prepare(self, message: Prepare) -> None:
        self.learn(message.current, self._now_ms)
        if self.epoch > message.current.epoch:
            self._send_view(message.sender)
        elif self.is_voter:
            self._acceptor.on_prepare(message, self.epoch + 1)

    def _handle_accept(self, message: Accept) -> None:
        epoch = message.view.epoch
        if self.view is None or self.epoch >= epoch:
            self._send_view(message.sender)
        elif self.epoch == epoch - 1 and self.is_voter:
            self._acceptor.on_accept(message)

    def _handle_confirm_epoch(self, message: ConfirmEpoch) -> None:
        if self.epoch != message.epoch or not self.is_voter:
            self._send_view(message.sender)
        elif self._acceptor.accepted is None:
            self._send(
                message.sender.address, EpochConfirmed(self._local_member, message.epoch, message.nonce)
            )

    def _send_view(self, member: Member) -> None:
        if self.view is not None:
            self._send(member.address, Decided(self._local_member, self.view))

    # As a proposer.

    def may_propose(self, now_ms: float) -> bool:
        """Return whether this replica is a voter and may begin a proposal now."""
        self._now_ms = now_ms
        return self._proposer.is_idle(now_ms) and self.is_voter

    def reconcile(self, desired: View | None, rank: int, now_ms: float) -> None:
        """Propose the desired view once it has differed from the current one for long enough.

        Parameters
        ----------
        desired : the view that should follow; None if the current one needs no change.
        rank : how many live replicas propose before this one.
        now_ms : the current time.
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
        """Propose the view that follows `view` to the roster of `view`; return the proposal number."""
        return self._proposer.propose(view, desired, self._acceptor.promised, self._now_ms)

    def _handle_prepare_response(self, message: PrepareResponse) -> None:
        if self.view is not None:
            self._proposer.on_prepare_response(message, self.view)

    def _handle_accepted(self, message: Accepted) -> None:
        if self.view is None:
            return
        decided = self._proposer.on_accepted(message, self.view)
        if decided is None:
            return
        addresses = {member.address for member in (*self.view.roster, *decided.roster)}
        self.learn(decided, self._now_ms)
        for address in sorted(addresses - {self._local_member.address}):
            self._send(address, Decided(self._local_member, decided))

    def _handle_rejected(self, message: ProposalRejected) -> None:
        if self._proposer.on_rejected(message, self._now_ms):
            self._acceptor.observe_promised(message.promised)
