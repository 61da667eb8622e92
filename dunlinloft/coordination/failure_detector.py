"""Heartbeat-based failure detection between replicas, leases, and bidirectional connectivity.

Each heartbeat echoes the send times of the heartbeats that its sender received recently. A replica can thus
tell how fresh its own heartbeats are at another replica by its own clock alone, without comparing two clocks
(Gray and Cheriton, "Leases", SOSP 1989, describes leases under bounded clock drift). Times are in
milliseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.views import Member, View, majority_of

SUSPECT_TIMEOUT_MS = 600.0  # without a heartbeat, four intervals, until a replica is suspected
STABLE_AFTER_MS = 300.0  # of uninterrupted heartbeats until a replica may join a roster or a chain
LEASE_DURATION_MS = 600.0  # since this replica sent heartbeats that a majority in the same epoch echoed
CONTACT_TIMEOUT_MS = 1_000.0  # since this replica sent heartbeats that a majority in any epoch echoed
ECHO_LOSS_MARGIN_MS = 100.0
"""Time after a voter's heartbeats stop echoing a member until the earlier echoes are too old to support a
lease, for clock rates that differ by less than 10 %. See docs/control-state.md on lease expiry."""
PEER_RETENTION_MS = 60_000.0  # without a heartbeat, until a replica is removed


@dataclass(slots=True)
class Peer:
    """The state of another replica, as known from its heartbeats."""

    heartbeat: Heartbeat  # the last received
    received_ms: float
    stable_since_ms: float  # start of the current run of heartbeats without a gap
    epoch_since_ms: float  # when it first reported its current durable epoch
    echo_lost_ms: dict[str, float] = field(default_factory=dict)  # by member: when the echo last stopped


class FailureDetector:
    """Tracks the replicas that sent heartbeats recently, by member id. Owned by `Replica`."""

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self.peers: dict[str, Peer] = {}

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Handle a heartbeat from another replica."""
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
        """Remove replicas that sent no heartbeat for `PEER_RETENTION_MS`."""
        stale = [i for i, peer in self.peers.items() if now_ms - peer.received_ms > PEER_RETENTION_MS]
        for member_id in stale:
            del self.peers[member_id]

    def echoes(self, now_ms: float) -> dict[str, float]:
        """Return the send time of each live replica's last heartbeat, to be echoed by this replica."""
        return {i: peer.heartbeat.sent_ms for i, peer in self.peers.items() if self.is_alive(i, now_ms)}

    # Liveness and connectivity.

    def is_alive(self, member_id: str, now_ms: float) -> bool:
        """Return whether a replica is not suspected: it sent a heartbeat within `SUSPECT_TIMEOUT_MS`."""
        if member_id == self._local_member.id:
            return True
        peer = self.peers.get(member_id)
        return peer is not None and now_ms - peer.received_ms <= SUSPECT_TIMEOUT_MS

    def is_stable(self, member_id: str, now_ms: float) -> bool:
        """Return whether a replica has been alive for long enough to join a roster or a chain."""
        if member_id == self._local_member.id:
            return True
        peer = self.peers.get(member_id)
        return (
            peer is not None
            and self.is_alive(member_id, now_ms)
            and now_ms - peer.stable_since_ms >= STABLE_AFTER_MS
        )

    def is_reachable(self, member_id: str, now_ms: float) -> bool:
        """Return whether a replica is alive here, or is echoed by a replica that is alive here."""
        if self.is_alive(member_id, now_ms):
            return True
        return any(
            member_id in peer.heartbeat.echoes
            for peer_id, peer in self.peers.items()
            if self.is_alive(peer_id, now_ms)
        )

    def ms_since_heartbeat(self, member_id: str, now_ms: float, since_ms: float) -> float:
        """Return the time since a replica's last heartbeat or since `since_ms`, whichever is shorter."""
        if member_id == self._local_member.id:
            return 0.0
        peer = self.peers.get(member_id)
        return now_ms - (since_ms if peer is None else max(peer.received_ms, since_ms))

    def are_connected(self, first: str, second: str, now_ms: float) -> bool:
        """Return whether two replicas receive each other's heartbeats, as far as is known here."""
        if first == second:
            return True
        return self._receives(first, second, now_ms) and self._receives(second, first, now_ms)

    def _receives(self, receiver: str, sender: str, now_ms: float) -> bool:
        if receiver == self._local_member.id:
            return self.is_alive(sender, now_ms)
        peer = self.peers.get(receiver)
        return peer is not None and self.is_alive(receiver, now_ms) and sender in peer.heartbeat.echoes

    # Leases and majority contact.

    def has_lease(self, view: View, now_ms: float) -> bool:
        """Return whether a majority was recently in this view's epoch and had accepted no later view.

        The lease starts when this replica sent the echoed heartbeats, so that network delay never extends it.
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
        """Return whether a majority of the roster recently received from this replica, in any epoch.

        The time counts from when this replica sent the echoed heartbeats, as for a lease.
        """
        in_contact = 0
        for member in view.roster:
            peer = self.peers.get(member.id)
            sent_ms = None if peer is None else peer.heartbeat.echoes.get(self._local_member.id)
            recent = sent_ms is not None and now_ms - sent_ms < CONTACT_TIMEOUT_MS
            in_contact += member.id == self._local_member.id or recent
        return in_contact >= majority_of(view)

    def lease_expired(self, member: Member, previous: View, epoch: int, now_ms: float) -> bool:
        """Return whether a member's lease in the view `previous` has certainly expired.

        `epoch` is that of the view that followed. The lease has expired if a majority of the previous roster
        has the later view on disk, and so supports no lease of the earlier epoch, and by then had not
        received from the member for `SUSPECT_TIMEOUT_MS`: any support that it gave is older than a lease.
        """
        expired = sum(self._support_expired(voter, member, epoch, now_ms) for voter in previous.roster)
        return expired >= majority_of(previous)

    def _support_expired(self, voter: Member, member: Member, epoch: int, now_ms: float) -> bool:
        """Return whether all support that a voter gave to a member's lease has certainly expired."""
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
            return False  # it doesn't know which leases its process supported before a restart
        lost_ms = peer.echo_lost_ms.get(member.id)
        if lost_ms is None:
            return False
        return now_ms - max(lost_ms, peer.epoch_since_ms) >= ECHO_LOSS_MARGIN_MS
