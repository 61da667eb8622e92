"""Failure detection between replicas by heartbeats, and who is connected with whom both ways."""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.agreement import majority_of
from dunlinloft.coordination.messages import Member, Ping, View

SUSPECT_MS = 600.0  # without a heartbeat, a replica counts as down
STEADY_MS = 300.0  # so long must one be heard before it is let into the chain
LEASE_MS = 600.0  # so long after a majority confirmed an epoch, its roles may be used
CONTACT_MS = 1_000.0  # so long after a majority heard it, a replica counts as in contact
DEAF_MS = 100.0  # so long after one said that it hears a member no more, what it echoed of it is over, too
FORGET_MS = 60_000.0  # a replica that was not heard for so long is forgotten


@dataclass(slots=True)
class Peer:
    """What is known of another replica."""

    ping: Ping
    heard_ms: float
    since_ms: float  # heard without a gap since then
    epoch_ms: float  # since when it has said that it has this epoch on disk
    silent_ms: dict[str, float] = field(default_factory=dict)  # since when it has not echoed each it once did


class Liveness:
    """The replicas heard of late, by member id."""

    def __init__(self, me: Member) -> None:
        self._me = me
        self.peers: dict[str, Peer] = {}

    def heard(self, ping: Ping, now_ms: float) -> None:
        """Take a heartbeat."""
        peer = self.peers.get(ping.sender.id)
        if peer is None:
            self.peers[ping.sender.id] = Peer(ping, now_ms, now_ms, now_ms)
            return
        if ping.epoch != peer.ping.epoch:
            peer.epoch_ms = now_ms
        for member_id in peer.ping.echoes.keys() - ping.echoes.keys():
            peer.silent_ms[member_id] = now_ms
        if now_ms - peer.heard_ms > SUSPECT_MS:
            peer.since_ms = now_ms
        peer.ping = ping
        peer.heard_ms = now_ms

    def hears(self, member_id: str, now_ms: float) -> bool:
        """Whether this replica hears another one."""
        if member_id == self._me.id:
            return True
        peer = self.peers.get(member_id)
        return peer is not None and now_ms - peer.heard_ms <= SUSPECT_MS

    def echoes(self, now_ms: float) -> dict[str, float]:
        """The last stamp of each that is heard."""
        return {i: peer.ping.stamp_ms for i, peer in self.peers.items() if self.hears(i, now_ms)}

    def leased(self, view: View, now_ms: float) -> bool:
        """Whether a majority was in this view's epoch a moment ago, and had accepted none after it.

        Counted from when this replica sent what they echo, so that no delay on the way makes it look younger.
        """
        fresh = 0
        for member in view.roster:
            if member.id == self._me.id:
                fresh += 1
                continue
            peer = self.peers.get(member.id)
            if peer is not None and peer.ping.lease_epoch == view.epoch:
                fresh += now_ms - peer.ping.echoes.get(self._me.id, -LEASE_MS) < LEASE_MS
        return fresh >= majority_of(view)

    def in_contact(self, view: View, now_ms: float) -> bool:
        """Whether a majority of the roster heard this replica a moment ago, whatever epoch each is in.

        Counted from when this replica sent what they echo, as for a lease.
        """
        heard = 0
        for member in view.roster:
            peer = self.peers.get(member.id)
            sent_ms = None if peer is None else peer.ping.echoes.get(self._me.id)
            heard += member.id == self._me.id or (sent_ms is not None and now_ms - sent_ms < CONTACT_MS)
        return heard >= majority_of(view)

    def lease_over(self, member: Member, before: View, epoch: int, now_ms: float) -> bool:
        """Whether no role of the view `before` can be used by a member now that `epoch` follows it.

        A majority of its roster has the later view on disk, so that it confirms none of the earlier epoch,
        and had by then not heard the member for `SUSPECT_MS`: what it confirmed is older than a lease.
        """
        return sum(self._let_go(m, member, epoch, now_ms) for m in before.roster) >= majority_of(before)

    def _let_go(self, voter: Member, member: Member, epoch: int, now_ms: float) -> bool:
        if voter.id == member.id:
            return False
        if voter.id == self._me.id:
            peer = self.peers.get(member.id)
            return peer is not None and now_ms - peer.heard_ms >= SUSPECT_MS + DEAF_MS
        peer = self.peers.get(voter.id)
        if peer is None or peer.ping.epoch < epoch or member.id in peer.ping.echoes:
            return False
        if peer.ping.uptime_ms < SUSPECT_MS + DEAF_MS:
            return False  # it knows nothing of what a former life of its process confirmed
        silent_ms = peer.silent_ms.get(member.id)
        if silent_ms is None:
            return False
        return now_ms - max(silent_ms, peer.epoch_ms) >= DEAF_MS

    def steady(self, member_id: str, now_ms: float) -> bool:
        """Whether one has been heard for long enough to be let in."""
        if member_id == self._me.id:
            return True
        peer = self.peers.get(member_id)
        return peer is not None and self.hears(member_id, now_ms) and now_ms - peer.since_ms >= STEADY_MS

    def silent_ms(self, member_id: str, now_ms: float, since_ms: float) -> float:
        """How long one has been silent, counted from `since_ms` where it was never heard."""
        if member_id == self._me.id:
            return 0.0
        peer = self.peers.get(member_id)
        return now_ms - (since_ms if peer is None else max(peer.heard_ms, since_ms))

    def linked(self, first: str, second: str, now_ms: float) -> bool:
        """Whether two hear each other, as far as is known here."""
        if first == second:
            return True
        return self._one_hears(first, second, now_ms) and self._one_hears(second, first, now_ms)

    def _one_hears(self, listener: str, speaker: str, now_ms: float) -> bool:
        if listener == self._me.id:
            return self.hears(speaker, now_ms)
        peer = self.peers.get(listener)
        return peer is not None and self.hears(listener, now_ms) and speaker in peer.ping.echoes

    def reachable(self, member_id: str, now_ms: float) -> bool:
        """Whether one is heard here, or by somebody who is heard here."""
        if self.hears(member_id, now_ms):
            return True
        return any(
            member_id in peer.ping.echoes
            for peer_id, peer in self.peers.items()
            if self.hears(peer_id, now_ms)
        )

    def forget(self, now_ms: float) -> None:
        """Drop those not heard for long."""
        for member_id in [i for i, p in self.peers.items() if now_ms - p.heard_ms > FORGET_MS]:
            del self.peers[member_id]
