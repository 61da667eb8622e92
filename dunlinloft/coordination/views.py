"""Members, views and proposal numbers: who votes, and in which order the chain replicates.

A view is one agreed membership (a configuration in the sense of Vertical Paxos, Lamport, Malkhi and Zhou,
PODC 2009): its roster decides the next view by single-decree Paxos, and its chain replicates the state as in
van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.
The encoded names of renamed fields must not change: they are stored on disk and exchanged between releases.
"""

from __future__ import annotations

from msgspec import Struct, field

FIRST_INCARNATION = "0"
"""The incarnation of every replica when a cluster first starts, so that each can derive the initial view."""


class Member(Struct, frozen=True):
    """One incarnation of a replica's disk; a replica that lost its disk is a new member at its address."""

    address: str  # host:port of its internal listener
    incarnation: str

    @property
    def id(self) -> str:
        """The identifier of this member, unique across all epochs."""
        return f"{self.address}/{self.incarnation}"


class View(Struct, frozen=True):
    """One agreed membership: the voters on the next view, and the order of the chain."""

    epoch: int
    roster: tuple[Member, ...]
    chain: tuple[Member, ...]  # head first, tail last
    synced_prefix_length: int = field(name="complete")
    """How many of the chain's first members hold everything that earlier epochs acknowledged."""
    detached: tuple[Member, ...] = field(default=(), name="outside")
    """Synced members that are not in the chain; they stay synced as long as this epoch commits nothing."""
    sealer_id: str = field(default="", name="witness")
    """Encoded form of `sealed_by`; the empty string means None."""

    @property
    def sealed_by(self) -> str | None:
        """The member that sealed the previous epoch, so that it commits nothing; None if not needed."""
        return self.sealer_id or None

    def voter_ids(self) -> frozenset[str]:
        """Return the ids of the members whose majority decides the next view."""
        return frozenset(member.id for member in self.roster)

    def position_of(self, member_id: str) -> int | None:
        """Return a member's position in the chain, 0 for the head; None if it is not in the chain."""
        for position, member in enumerate(self.chain):
            if member.id == member_id:
                return position
        return None


class ProposalNumber(Struct, frozen=True, order=True):
    """The number of a Paxos proposal (ballot), ordered by number and then by proposer."""

    number: int
    proposer: str  # member id and process nonce, so that a restarted proposer reuses no number


class AcceptedProposal(Struct, frozen=True, array_like=True):
    """A proposal that an acceptor has accepted. Encoded as the array [number, view]."""

    number: ProposalNumber
    view: View


def majority_of(view: View) -> int:
    """Return the number of roster members that form a majority."""
    return len(view.roster) // 2 + 1


def initial_view(addresses: tuple[str, ...]) -> View:
    """Return the first view of a new cluster, which consists of the seed replicas."""
    members = tuple(Member(address, FIRST_INCARNATION) for address in sorted(addresses))
    return View(1, members, members, len(members))
