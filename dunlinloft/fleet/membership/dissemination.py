"""Dissemination of updates, piggybacked on probes (SWIM, section 4.1) and gossiped while any are queued."""

from __future__ import annotations

import random

from dunlinloft.fleet.membership.dissemination_queue import LONG_QUEUE_LENGTH, DisseminationQueue
from dunlinloft.fleet.membership.local_member import Identity, LocalMember
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import ALIVE, Gossip, MetadataValue, Record

# Gossip in addition to the probes, as in Lifeguard's implementation (memberlist: every 200 ms to 3 members).
GOSSIP_INTERVAL_MS = 100.0  # while updates are queued
GOSSIP_FANOUT = 3  # members that receive updates in each interval
GOSSIP_FANOUT_LONG_QUEUE = 6  # the same when more than `LONG_QUEUE_LENGTH` updates are queued


class Dissemination(LocalMember):
    """Sends updates about members until each was transmitted often enough to reach all members."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        self._dissemination = DisseminationQueue()
        self._gossip_scheduled = False

    def _disseminate(self, name: str, include_metadata: bool = True) -> None:
        """Queue the record of a member, with its metadata only if that is new."""
        self._dissemination.add(name, self.alive_count(), include_metadata)
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self.set_timer(GOSSIP_INTERVAL_MS * self.rng.random(), TimerKind.GOSSIP)

    def _record_of(self, name: str, include_metadata: bool) -> Record | None:
        """Return the record of a member or of this process; None if the member is unknown."""
        if name == self.name:
            return self.own_record(include_metadata)
        member = self.view.get(name)
        return member.to_record(include_metadata) if member is not None else None

    def piggyback_for(self, member: Member) -> list[Record]:
        """Return records to piggyback to a member, first any suspicion of it (Lifeguard's buddy system)."""
        records = self._dissemination.next_records(self._record_of)
        if member.status != ALIVE and all(record.name != member.name for record in records):
            records.insert(0, member.to_record(include_metadata=False))
        return records

    def _gossip(self) -> None:
        """Send queued updates to a few random members; gossip stops when the queue is empty."""
        if not len(self._dissemination) or self.muted:
            self._gossip_scheduled = False
            if not len(self._dissemination):
                self._dissemination = DisseminationQueue()  # frees memory: an emptied dict keeps its capacity
            return
        long_queue = len(self._dissemination) > LONG_QUEUE_LENGTH
        for name in self.view.alive.sample(GOSSIP_FANOUT_LONG_QUEUE if long_queue else GOSSIP_FANOUT):
            records = self._dissemination.next_records(self._record_of)
            if not records:
                break
            self.send_datagram(self.view.members[name].address, Gossip(self.header(), records))
        self.set_timer(GOSSIP_INTERVAL_MS * (0.8 + 0.4 * self.rng.random()), TimerKind.GOSSIP)
