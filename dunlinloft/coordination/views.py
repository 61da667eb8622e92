"""Members and views: who votes, in which order the chain replicates, and the numbers of view proposals.

A view is one agreed membership (a configuration in the sense of Vertical Paxos, Lamport, Malkhi and Zhou,
PODC 2009): its roster decides the next view by single-decree Paxos, and its chain replicates the state as in
van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.
The encoded names of renamed fields are fixed: they are on disks and on the wire between versions.
"""

from __future__ import annotations

from msgspec import Struct, field

FIRST_INCARNATION = "0"
"""The incarnation of every replica at the first start of all, so that each knows the initial view."""


class Member(Struct, frozen=True):
    """One incarnation of a replica's disk; a disk that comes back empty is another member at that address."""

    address: str  # host:port of its internal listener
    incarnation: str

    @property
    def id(self) -> str:
        """A name that no other member ever has, in any epoch."""
        return f"{self.address}/{self.incarnation}"


class View(Struct, frozen=True):
    """One agreed membership: who votes on the next view, and the order of the chain."""

    epoch: int
    roster: tuple[Member, ...]
    chain: tuple[Member, ...]  # head first, tail last
    synced_prefix_length: int = field(name="complete")
    """How many of the chain's first members hold everything that earlier epochs acknowledged."""
    detached: tuple[Member, ...] = field(default=(), name="outside")
    """Synced members that are not in the chain; they stay synced as long as this epoch commits nothing."""
    sealer_id: str = field(default="", name="witness")
    """Encoded form of `sealed_by`, in which the empty string stands for nobody."""

    @property
    def sealed_by(self) -> str | None:
        """The member that ensured that the previous epoch commits nothing; None where that was not needed."""
        return self.sealer_id or None

    def voter_ids(self) -> frozenset[str]:
        """The ids of the members whose majority decides the next view."""
        return frozenset(member.id for member in self.roster)

    def position_of(self, member_id: str) -> int | None:
        """A member's position in the chain, 0 being the head; None where it is not in the chain."""
        for position, member in enumerate(self.chain):
            if member.id == member_id:
                return position
        return None


class ProposalNumber(Struct, frozen=True, order=True):
    """The number of a Paxos proposal (ballot), ordered by number and then by proposer."""

    number: int
    proposer: str  # member id and a nonce of its process, so that no restarted proposer uses a number again


class AcceptedProposal(Struct, frozen=True, array_like=True):
    """A proposal that an acceptor has accepted. Encoded as the array [number, view]."""

    number: ProposalNumber
    view: View


def majority_of(view: View) -> int:
    """How many members of the view's roster are a majority."""
    return len(view.roster) // 2 + 1


def initial_view(addresses: tuple[str, ...]) -> View:
    """The view that all replicas named as seeds begin with at the first start of all."""
    members = tuple(Member(address, FIRST_INCARNATION) for address in sorted(addresses))
    return View(1, members, members, len(members))
