"""Messages of the Paxos round that decides the next view, and of the confirmation of the current epoch.

Every message carries its sender, to which responses are addressed.
"""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber, View


class Prepare(Struct, frozen=True, tag="prepare"):
    """Phase 1a: request promises from the acceptors of the current view, for the view that follows it."""

    sender: Member
    current: View
    proposal_number: ProposalNumber = field(name="ballot")


class PrepareResponse(Struct, frozen=True, tag="promise"):
    """Phase 1b: a promise to accept no lower-numbered proposal, with the proposal accepted so far."""

    sender: Member
    epoch: int  # of the view to be decided
    proposal_number: ProposalNumber = field(name="ballot")
    accepted: AcceptedProposal | None = field()


class Accept(Struct, frozen=True, tag="accept"):
    """Phase 2a: request the acceptance of a view."""

    sender: Member
    proposal_number: ProposalNumber = field(name="ballot")
    view: View = field()


class Accepted(Struct, frozen=True, tag="accepted"):
    """Phase 2b: the acceptance is durable."""

    sender: Member
    epoch: int
    proposal_number: ProposalNumber = field(name="ballot")


class ProposalRejected(Struct, frozen=True, tag="denied"):
    """Response in either phase: the acceptor has promised a higher-numbered proposal."""

    sender: Member
    epoch: int
    promised: ProposalNumber


class Decided(Struct, frozen=True, tag="decided"):
    """This view was accepted by a majority."""

    sender: Member
    view: View


class ConfirmEpoch(Struct, frozen=True, tag="confirm"):
    """Request a confirmation that the sender's epoch is current."""

    sender: Member
    epoch: int
    nonce: int


class EpochConfirmed(Struct, frozen=True, tag="confirmed"):
    """The sender has accepted no view later than this epoch's."""

    sender: Member
    epoch: int
    nonce: int


VotingMessage = Prepare | PrepareResponse | Accept | Accepted | ProposalRejected | Decided | ConfirmEpoch
"""The messages handled by `voting.Voting`; `EpochConfirmed` is handled by the requester's `CallHandler`."""
