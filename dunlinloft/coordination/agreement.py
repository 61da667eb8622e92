"""Agreement on the next view: one single-decree Paxos for each epoch, voted on by the roster before it."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.messages import Ballot, View


@dataclass(slots=True)
class Proposal:
    """A ballot of ours under way, for the view after the one in force."""

    epoch: int  # of the view that is to be decided
    ballot: Ballot
    wanted: View
    started_ms: float
    promises: set[str] = field(default_factory=set)
    accepts: set[str] = field(default_factory=set)
    highest: tuple[Ballot, View] | None = None  # accepted before, by somebody who promised
    chosen: View | None = None  # what was asked to be accepted

    def on_promise(self, voter: str, accepted: tuple[Ballot, View] | None, majority: int) -> View | None:
        """Take a promise; the view to ask acceptance for, once a majority has promised."""
        if self.chosen is not None:
            return None
        self.promises.add(voter)
        if accepted is not None and (self.highest is None or accepted[0] > self.highest[0]):
            self.highest = accepted
        if len(self.promises) < majority:
            return None
        self.chosen = self.wanted if self.highest is None else self.highest[1]
        return self.chosen

    def on_accepted(self, voter: str, majority: int) -> View | None:
        """Take an acceptance; the decided view, once a majority has accepted."""
        self.accepts.add(voter)
        return self.chosen if len(self.accepts) >= majority else None


def majority_of(view: View) -> int:
    """How many of the roster decide."""
    return len(view.roster) // 2 + 1
