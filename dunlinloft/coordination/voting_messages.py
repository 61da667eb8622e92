"""Messages of the Paxos round that decides the next view, and of the confirmation that an epoch is the last.

Every message carries its sender, so that a reply finds its way.
"""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber, View


class Prepare(Struct, frozen=True, tag="prepare"):
    """Phase 1a: ask the acceptors of the view in force to promise, for the view that follows it."""

    sender: Member
    current: View
    proposal_number: ProposalNumber = field(name="ballot")


class PrepareResponse(Struct, frozen=True, tag="promise"):
    """Phase 1b: no lower-numbered proposal is accepted any more; carries what was accepted before."""

    sender: Member
    epoch: int  # of the view that is to be decided
    proposal_number: ProposalNumber = field(name="ballot")
    accepted: AcceptedProposal | None = field()


class Accept(Struct, frozen=True, tag="accept"):
    """Phase 2a: ask to accept a view."""

    sender: Member
    proposal_number: ProposalNumber = field(name="ballot")
    view: View = field()


class Accepted(Struct, frozen=True, tag="accepted"):
    """Phase 2b: the view was accepted and is on disk."""

    sender: Member
    epoch: int
    proposal_number: ProposalNumber = field(name="ballot")


class ProposalRejected(Struct, frozen=True, tag="denied"):
    """The acceptor has promised a higher-numbered proposal, in either phase."""

    sender: Member
    epoch: int
    promised: ProposalNumber


class Decided(Struct, frozen=True, tag="decided"):
    """A majority accepted this view."""

    sender: Member
    view: View


class ConfirmEpoch(Struct, frozen=True, tag="confirm"):
    """Ask whether a later view may have been decided."""

    sender: Member
    epoch: int
    nonce: int


class EpochConfirmed(Struct, frozen=True, tag="confirmed"):
    """The sender has accepted no view after this epoch."""

    sender: Member
    epoch: int
    nonce: int


VotingMessage = Prepare | PrepareResponse | Accept | Accepted | ProposalRejected | Decided | ConfirmEpoch
"""What `voting.Voting` takes; `EpochConfirmed` goes to who asked for it."""
