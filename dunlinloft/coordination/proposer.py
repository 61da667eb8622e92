"""The proposer role of single-decree Paxos: one proposal at a time, for the view after the current one.

Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.proposal import Proposal
from dunlinloft.coordination.views import Member, ProposalNumber, View, majority_of
from dunlinloft.coordination.voting_messages import (
    Accept,
    Accepted,
    Prepare,
    PrepareResponse,
    ProposalRejected,
)

PROPOSAL_TIMEOUT_MS = 500.0  # until an undecided proposal is abandoned
PROPOSAL_BACKOFF_MS = 200.0  # maximum of the random delay between an abandoned proposal and the next
PROCESS_NONCE_BITS = 32


class Proposer:
    """Makes the proposals of one replica. Owned by `voting.Voting`, which passes in the current view."""

    def __init__(
        self, local_member: Member, rng: random.Random, send: Callable[[str, ReplicaMessage], None]
    ) -> None:
        self._local_member = local_member
        self._rng = rng
        self._process_nonce = f"{rng.getrandbits(PROCESS_NONCE_BITS):08x}"
        self._send = send
        self._proposal: Proposal | None = None
        self._backoff_until_ms = 0.0

    def reset(self) -> None:
        """Drop the proposal in progress, because a later view was learned."""
        self._proposal = None

    def is_idle(self, now_ms: float) -> bool:
        """Return whether a proposal may begin: none is in progress and no backoff is pending.

        Abandons a proposal that has timed out.
        """
        if self._proposal is not None:
            if now_ms - self._proposal.started_ms > PROPOSAL_TIMEOUT_MS:
                self._abandon(now_ms)
            return False
        return now_ms >= self._backoff_until_ms

    def propose(
        self, view: View, desired: View, promised: ProposalNumber | None, now_ms: float
    ) -> ProposalNumber:
        """Begin phase 1 with the roster of `view`, for the view that follows it.

        Returns the proposal number, which is above `promised`.
        """
        number = 1 if promised is None else promised.number + 1
        # Unique to this process: after a restart, a number may be unknown whose promise was not yet durable.
        proposal_number = ProposalNumber(number, f"{self._local_member.id}/{self._process_nonce}")
        self._proposal = Proposal(desired.epoch, proposal_number, desired, now_ms)
        for member in view.roster:
            self._send(member.address, Prepare(self._local_member, view, proposal_number))
        return proposal_number

    def on_prepare_response(self, message: PrepareResponse, view: View) -> None:
        """Count an acceptor's promise; begin phase 2 once a majority has promised."""
        proposal = self._answered_proposal(message, view)
        if proposal is None:
            return
        chosen = proposal.on_prepared(message.sender.id, message.accepted, majority_of(view))
        if chosen is None:
            return
        if chosen.sealed_by == self._local_member.id:
            # The sealer first: the other acceptors rely on its having durably left the previous epoch.
            self._send(self._local_member.address, Accept(self._local_member, proposal.number, chosen))
        else:
            self._send_accept(proposal, chosen, view)

    def on_accepted(self, message: Accepted, view: View) -> View | None:
        """Count an acceptor's acceptance; return the decided view once a majority has accepted."""
        proposal = self._answered_proposal(message, view)
        if proposal is None:
            return None
        assert proposal.chosen is not None
        if (
            message.sender.id == self._local_member.id == proposal.chosen.sealed_by
            and not proposal.accepted_by
        ):
            proposal.accepted_by.add(self._local_member.id)
            self._send_accept(proposal, proposal.chosen, view)
        return proposal.on_accepted(message.sender.id, majority_of(view))

    def on_rejected(self, message: ProposalRejected, now_ms: float) -> bool:
        """Abandon the proposal in progress if it was rejected; return whether it was."""
        proposal = self._proposal
        if proposal is None or proposal.epoch != message.epoch or message.promised <= proposal.number:
            return False
        self._abandon(now_ms)
        return True

    def _answered_proposal(self, message: PrepareResponse | Accepted, view: View) -> Proposal | None:
        """Return the proposal in progress if the message is a voter's response to it, else None."""
        proposal = self._proposal
        if proposal is None or (proposal.epoch, proposal.number) != (message.epoch, message.proposal_number):
            return None
        return proposal if message.sender.id in view.voter_ids() else None

    def _send_accept(self, proposal: Proposal, chosen: View, view: View) -> None:
        """Send the phase 2 request to all acceptors that have not accepted yet."""
        for member in view.roster:
            if member.id not in proposal.accepted_by:
                self._send(member.address, Accept(self._local_member, proposal.number, chosen))

    def _abandon(self, now_ms: float) -> None:
        self._proposal = None
        self._backoff_until_ms = now_ms + PROPOSAL_BACKOFF_MS * self._rng.random()
