"""The acceptor role of single-decree Paxos, for the view that follows the current one.

Follows Lamport, "Paxos Made Simple" (2001), section 2.2: a promise or an acceptance is durable before the
acceptor responds.
"""

from __future__ import annotations

from dunlinloft.coordination.records import AcceptRecord, DurableState, PrepareRecord, Record
from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber
from dunlinloft.coordination.voting_hooks import VotingHooks
from dunlinloft.coordination.voting_messages import (
    Accept,
    Accepted,
    Prepare,
    PrepareResponse,
    ProposalRejected,
)


class Acceptor:
    """One replica's promise and acceptance in one epoch. Owned by `voting.Voting`, which checks epochs."""

    def __init__(self, local_member: Member, durable: DurableState, hooks: VotingHooks) -> None:
        self._local_member = local_member
        self._hooks = hooks
        self.promised: ProposalNumber | None = durable.promised
        self.accepted: AcceptedProposal | None = durable.accepted

    def reset(self) -> None:
        """Clear the promise and the acceptance, because a later view was learned."""
        self.promised = None
        self.accepted = None

    def on_prepare(self, message: Prepare, epoch: int) -> None:
        """Promise to accept no lower-numbered proposal for the view of `epoch`, or reject the request."""
        number = message.proposal_number
        if self._reject_lower(message.sender, epoch, number):
            return
        self.promised = number
        response = PrepareResponse(self._local_member, epoch, number, self.accepted)
        self._respond_when_durable(PrepareRecord(number), message.sender, response)

    def on_accept(self, message: Accept) -> None:
        """Accept a proposal.

        A proposal below the promised number is rejected. A proposal that names this replica as the sealer is
        ignored if this replica can't seal the current epoch.
        """
        epoch = message.view.epoch
        number = message.proposal_number
        if self._reject_lower(message.sender, epoch, number):
            return
        if message.view.sealed_by == self._local_member.id and not self._seal_current_epoch():
            return
        self.promised = number
        self.accepted = AcceptedProposal(number, message.view)
        response = Accepted(self._local_member, epoch, number)
        self._respond_when_durable(AcceptRecord(number, message.view), message.sender, response)

    def observe_promised(self, number: ProposalNumber) -> None:
        """Record a promise of another acceptor, so that this replica's next proposal number is higher.

        It need not be durable, because it is not a promise of this acceptor.
        """
        if self.promised is None or self.promised < number:
            self.promised = number

    def _reject_lower(self, proposer: Member, epoch: int, number: ProposalNumber) -> bool:
        """Reject a proposal whose number is below the promised one; return whether it was rejected."""
        if self.promised is None or number >= self.promised:
            return False
        self._hooks.send(proposer.address, ProposalRejected(self._local_member, epoch, self.promised))
        return True

    def _seal_current_epoch(self) -> bool:
        """Leave the current epoch's chain, so that the epoch can't commit; return whether that holds."""
        sealed = self.accepted is not None and self.accepted.view.sealed_by == self._local_member.id
        return sealed or self._hooks.seal_epoch()

    def _respond_when_durable(
        self, record: Record, proposer: Member, response: PrepareResponse | Accepted
    ) -> None:
        self._hooks.persist(record, lambda: self._hooks.send(proposer.address, response))
