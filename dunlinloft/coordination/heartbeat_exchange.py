"""Sends and receives heartbeats, and discovers further replicas from them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.views import Member, View
from dunlinloft.coordination.voting_messages import Decided

HEARTBEAT_INTERVAL_MS = 150.0  # a quarter of `failure_detector.SUSPECT_TIMEOUT_MS`
MAX_KNOWN_ADDRESSES = 4_096  # of control planes, in memory and per heartbeat


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a replica reports about itself in a heartbeat; see the fields of `Heartbeat`."""

    healthy: bool
    leaving: bool
    epoch: int
    synced_epoch: int
    lease_epoch: int


class HeartbeatExchange:
    """Exchanges one replica's heartbeats and tracks the addresses of the others. Owned by `Replica`.

    `status` and `view` are called for each heartbeat.
    """

    def __init__(
        self,
        local_member: Member,
        quorum_eligible: bool,
        seeds: tuple[str, ...],
        failure_detector: FailureDetector,
        status: Callable[[float], ReplicaStatus],
        view: Callable[[], View | None],
        send: Callable[[str, ReplicaMessage], None],
        now_ms: float,
    ) -> None:
        self._local_member = local_member
        self._quorum_eligible = quorum_eligible
        self._seeds = seeds
        self._failure_detector = failure_detector
        self._status = status
        self._view = view
        self._send = send
        self._started_ms = now_ms
        self._sent_ms = -HEARTBEAT_INTERVAL_MS
        self._known_addresses: set[str] = set()

    def on_tick(self, now_ms: float) -> None:
        """Send heartbeats if they are due."""
        if now_ms - self._sent_ms >= HEARTBEAT_INTERVAL_MS:
            self._sent_ms = now_ms
            self.send_to_all(now_ms)
            self._failure_detector.remove_stale_peers(now_ms)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses, to which heartbeats are sent even while no replica is known."""
        self._seeds = seeds

    def send_with_next_tick(self) -> None:
        """Send heartbeats on the next tick, because their content has changed."""
        self._sent_ms = -HEARTBEAT_INTERVAL_MS

    def send_to_all(self, now_ms: float) -> None:
        """Send a heartbeat to every known replica immediately."""
        heartbeat = self.own_heartbeat(now_ms)
        for address in sorted(self.peer_addresses()):
            self._send(address, heartbeat)

    def own_heartbeat(self, now_ms: float) -> Heartbeat:
        """Return this replica's current heartbeat."""
        status = self._status(now_ms)
        return Heartbeat(
            sender=self._local_member,
            quorum_eligible=self._quorum_eligible,
            healthy=status.healthy,
            leaving=status.leaving,
            epoch=status.epoch,
            synced_epoch=status.synced_epoch,
            lease_epoch=status.lease_epoch,
            sent_ms=now_ms,
            echoes=self._failure_detector.echoes(now_ms),
            known_addresses=tuple(sorted(self.peer_addresses()))[:MAX_KNOWN_ADDRESSES],
            uptime_ms=now_ms - self._started_ms,
        )

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Handle a replica's heartbeat; a new replica gets one in return immediately."""
        sender = heartbeat.sender
        if sender.id == self._local_member.id:
            return
        if sender.id not in self._failure_detector.peers:
            self._send(sender.address, self.own_heartbeat(now_ms))
        self._failure_detector.on_heartbeat(heartbeat, now_ms)
        if sender.address != self._local_member.address:
            self._known_addresses.add(sender.address)
        if heartbeat.quorum_eligible and len(self._known_addresses) < MAX_KNOWN_ADDRESSES:
            self._known_addresses |= set(heartbeat.known_addresses) - {self._local_member.address}
        view = self._view()
        if view is not None and heartbeat.epoch < view.epoch:
            self._send(sender.address, Decided(self._local_member, view))

    def peer_addresses(self) -> set[str]:
        """Return the addresses of all replicas that heartbeats are sent to."""
        result = self._known_addresses | set(self._seeds)
        view = self._view()
        if view is not None:
            result |= {member.address for member in view.roster}
        result |= {peer.heartbeat.sender.address for peer in self._failure_detector.peers.values()}
        result.discard(self._local_member.address)
        return result
