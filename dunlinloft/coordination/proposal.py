"""A proposer's side of single-decree Paxos: one proposal for one epoch's view.

Follows Lamport, "Paxos Made Simple" (2001), section 2.2. The acceptors are the roster of the view before.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.views import AcceptedProposal, ProposalNumber, View


@dataclass(slots=True)
class Proposal:
    """A proposal of this replica that is under way. Owned by `voting.Voting`."""

    epoch: int  # of the view that is to be decided
    number: ProposalNumber
    desired: View  # proposed unless an acceptor has accepted another view before
    started_ms: float
    prepared_by: set[str] = field(default_factory=set)  # ids of acceptors that answered phase 1
    accepted_by: set[str] = field(default_factory=set)  # ids of acceptors that answered phase 2
    highest_accepted: AcceptedProposal | None = None  # reported by an acceptor in phase 1
    chosen: View | None = None  # the view of phase 2; None during phase 1

    def on_prepared(self, acceptor_id: str, accepted: AcceptedProposal | None, majority: int) -> View | None:
        """Count an answer of phase 1; return the view of phase 2 once a majority has answered.

        Returns None before that, and for any answer that comes after it.
        """
        if self.chosen is not None:
            return None
        self.prepared_by.add(acceptor_id)
        if accepted is not None and (
            self.highest_accepted is None or accepted.number > self.highest_accepted.number
        ):
            self.highest_accepted = accepted
        if len(self.prepared_by) < majority:
            return None
        self.chosen = self.desired if self.highest_accepted is None else self.highest_accepted.view
        return self.chosen

    def on_accepted(self, acceptor_id: str, majority: int) -> View | None:
        """Count an answer of phase 2; return the decided view once a majority has accepted, else None."""
        self.accepted_by.add(acceptor_id)
        return self.chosen if len(self.accepted_by) >= majority else None
