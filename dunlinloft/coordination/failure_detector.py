"""Failure detection between replicas by heartbeats, leases from their echoes, and two-way connectivity.

Each heartbeat echoes the send times of those that its sender received of late. A replica therefore knows how
fresh its own heartbeats are at another without comparing two clocks: it compares its own clock with itself
(Gray and Cheriton, "Leases", SOSP 1989, for leases under bounded clock drift). Times are in milliseconds of a
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.views import Member, View, majority_of

SUSPECT_TIMEOUT_MS = (
    600.0  # since the last heartbeat received, after which a replica is suspected: four intervals
)
STABLE_AFTER_MS = 300.0  # of heartbeats without a gap, before a replica is let into a roster or a chain
LEASE_DURATION_MS = 600.0  # since the sending of heartbeats that a majority in the same epoch echoed
CONTACT_TIMEOUT_MS = 1_000.0  # since the sending of heartbeats that a majority in any epoch echoed
ECHO_LOSS_MARGIN_MS = 100.0
"""Since a voter's heartbeats stopped echoing a member, until what it echoed before is too old for a lease, by
any clock that differs by less than 10 % (docs/control-state.md, "A lease that is shown to be over")."""
PEER_RETENTION_MS = 60_000.0  # since the last heartbeat received, after which a replica is forgotten


@dataclass(slots=True)
class Peer:
    """What is known of another replica."""

    heartbeat: Heartbeat  # the last received
    received_ms: float
    stable_since_ms: float  # received without a gap since then
    epoch_since_ms: float  # since when it has said that it has this epoch on disk
    echo_lost_ms: dict[str, float] = field(
        default_factory=dict
    )  # by member: when its echo of it last stopped


class FailureDetector:
    """The replicas received from of late, by member id. Owned by `Replica`."""

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self.peers: dict[str, Peer] = {}

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take a heartbeat of another replica."""
        peer = self.peers.get(heartbeat.sender.id)
        if peer is None:
            self.peers[heartbeat.sender.id] = Peer(heartbeat, now_ms, now_ms, now_ms)
            return
        if heartbeat.epoch != peer.heartbeat.epoch:
            peer.epoch_since_ms = now_ms
        for member_id in peer.heartbeat.echoes.keys() - heartbeat.echoes.keys():
            peer.echo_lost_ms[member_id] = now_ms
        if now_ms - peer.received_ms > SUSPECT_TIMEOUT_MS:
            peer.stable_since_ms = now_ms
        peer.heartbeat = heartbeat
        peer.received_ms = now_ms

    def remove_stale_peers(self, now_ms: float) -> None:
        """Drop the replicas not received from for `PEER_RETENTION_MS`."""
        stale = [i for i, peer in self.peers.items() if now_ms - peer.received_ms > PEER_RETENTION_MS]
        for member_id in stale:
            del self.peers[member_id]

    def echoes(self, now_ms: float) -> dict[str, float]:
        """The send time of the last heartbeat of each replica that is alive, for this replica's own."""
        return {i: peer.heartbeat.sent_ms for i, peer in self.peers.items() if self.is_alive(i, now_ms)}

    # Who is alive, as seen from here.

    def is_alive(self, member_id: str, now_ms: float) -> bool:
        """Whether a replica is not suspected here: it was received from within `SUSPECT_TIMEOUT_MS`."""
        if member_id == self._local_member.id:
            return True
        peer = self.peers.get(member_id)
        return peer is not None and now_ms - peer.received_ms <= SUSPECT_TIMEOUT_MS

    def is_stable(self, member_id: str, now_ms: float) -> bool:
        """Whether a replica has been alive for long enough to be let in."""
        if member_id == self._local_member.id:
            return True
        peer = self.peers.get(member_id)
        return (
            peer is not None
            and self.is_alive(member_id, now_ms)
            and now_ms - peer.stable_since_ms >= STABLE_AFTER_MS
        )

    def is_reachable(self, member_id: str, now_ms: float) -> bool:
        """Whether a replica is alive as seen from here, or from a replica that is alive as seen from here."""
        if self.is_alive(member_id, now_ms):
            return True
        return any(
            member_id in peer.heartbeat.echoes
            for peer_id, peer in self.peers.items()
            if self.is_alive(peer_id, now_ms)
        )

    def ms_since_heartbeat(self, member_id: str, now_ms: float, since_ms: float) -> float:
        """Milliseconds since a replica's last heartbeat, counted from `since_ms` at the earliest."""
        if member_id == self._local_member.id:
            return 0.0
        peer = self.peers.get(member_id)
        return now_ms - (since_ms if peer is None else max(peer.received_ms, since_ms))

    def are_connected(self, first: str, second: str, now_ms: float) -> bool:
        """Whether two replicas receive from each other, as far as is known here."""
        if first == second:
            return True
        return self._receives(first, second, now_ms) and self._receives(second, first, now_ms)

    def _receives(self, receiver: str, sender: str, now_ms: float) -> bool:
        if receiver == self._local_member.id:
            return self.is_alive(sender, now_ms)
        peer = self.peers.get(receiver)
        return peer is not None and self.is_alive(receiver, now_ms) and sender in peer.heartbeat.echoes

    # Leases: what a majority has confirmed.

    def has_lease(self, view: View, now_ms: float) -> bool:
        """Whether a majority was in this view's epoch a moment ago, and had accepted no view after it.

        Counted from when this replica sent what they echo, so that no delay on the way makes it look younger.
        """
        supporters = 0
        for member in view.roster:
            if member.id == self._local_member.id:
                supporters += 1
                continue
            peer = self.peers.get(member.id)
            if peer is not None and peer.heartbeat.lease_epoch == view.epoch:
                sent_ms = peer.heartbeat.echoes.get(self._local_member.id, -LEASE_DURATION_MS)
                supporters += now_ms - sent_ms < LEASE_DURATION_MS
        return supporters >= majority_of(view)

    def has_majority_contact(self, view: View, now_ms: float) -> bool:
        """Whether a majority of the roster received from this replica a moment ago, in whatever epoch.

        Counted from when this replica sent what they echo, as for a lease.
        """
        in_contact = 0
        for member in view.roster:
            peer = self.peers.get(member.id)
            sent_ms = None if peer is None else peer.heartbeat.echoes.get(self._local_member.id)
            recent = sent_ms is not None and now_ms - sent_ms < CONTACT_TIMEOUT_MS
            in_contact += member.id == self._local_member.id or recent
        return in_contact >= majority_of(view)

    def lease_expired(self, member: Member, previous: View, epoch: int, now_ms: float) -> bool:
        """Whether a member can use no lease of the view `previous` now that `epoch` follows it.

        A majority of its roster has the later view on disk, so that it supports no lease of the earlier
        epoch, and had by then not received from the member for `SUSPECT_TIMEOUT_MS`: what it supported is
        older than a lease.
        """
        expired = sum(self._support_expired(voter, member, epoch, now_ms) for voter in previous.roster)
        return expired >= majority_of(previous)

    def _support_expired(self, voter: Member, member: Member, epoch: int, now_ms: float) -> bool:
        """Whether all support that a voter gave to a member's lease is certainly too old by now."""
        if voter.id == member.id:
            return False
        if voter.id == self._local_member.id:
            peer = self.peers.get(member.id)
            limit_ms = SUSPECT_TIMEOUT_MS + ECHO_LOSS_MARGIN_MS
            return peer is not None and now_ms - peer.received_ms >= limit_ms
        peer = self.peers.get(voter.id)
        if peer is None or peer.heartbeat.epoch < epoch or member.id in peer.heartbeat.echoes:
            return False
        if peer.heartbeat.uptime_ms < SUSPECT_TIMEOUT_MS + ECHO_LOSS_MARGIN_MS:
            return False  # it knows nothing of what its process supported before a restart
        lost_ms = peer.echo_lost_ms.get(member.id)
        if lost_ms is None:
            return False
        return now_ms - max(lost_ms, peer.epoch_since_ms) >= ECHO_LOSS_MARGIN_MS
