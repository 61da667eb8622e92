"""One Paxos proposal for the view of one epoch, as tracked by its proposer.

Follows Lamport, "Paxos Made Simple" (2001), section 2.2. The acceptors are the roster of the previous view.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.views import AcceptedProposal, ProposalNumber, View


@dataclass(slots=True)
class Proposal:
    """A proposal of this replica that is in progress. Owned by `proposer.Proposer`."""

    epoch: int  # of the view to be decided
    number: ProposalNumber
    desired: View  # proposed unless an acceptor has already accepted another view
    started_ms: float
    prepared_by: set[str] = field(default_factory=set)  # ids of acceptors that promised in phase 1
    accepted_by: set[str] = field(default_factory=set)  # ids of acceptors that accepted in phase 2
    highest_accepted: AcceptedProposal | None = None  # the highest-numbered one reported in phase 1
    chosen: View | None = None  # the view proposed in phase 2; None during phase 1

    def on_prepared(self, acceptor_id: str, accepted: AcceptedProposal | None, majority: int) -> View | None:
        """Count a promise of phase 1; return the view for phase 2 once a majority has promised.

        Returns None for all promises before and after the one that completes the majority.
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
        """Count an acceptance of phase 2; return the decided view once a majority has accepted, else None."""
        self.accepted_by.add(acceptor_id)
        return self.chosen if len(self.accepted_by) >= majority else None
