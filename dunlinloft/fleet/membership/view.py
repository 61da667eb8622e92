"""The view: the known state of every other member, and the merging of received records into it.

Merging is commutative, associative and idempotent, so views converge whatever the order and number of
messages. Of two records with the same name, the one with the greater precedence wins (incarnation, then left,
then revision, then status). Of the metadata of one incarnation, the greater version wins.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from dunlinloft.fleet.interface import MemberChange
from dunlinloft.fleet.membership.member import Member, merge_suspecters
from dunlinloft.fleet.membership.name_pool import NamePool
from dunlinloft.fleet.messages import ALIVE, DEAD, LEFT, SUSPECT, Record

# Limit of records of dead and left members, beyond which the oldest are dropped.
MAX_DEAD_RECORDS = 4096
# Age at which the record of a dead member is dropped. Until then, a delayed datagram can't revive the member.
DEAD_RECORD_TTL_MS = 24 * 3_600_000.0

_CHANGE_TO_STATUS = {
    ALIVE: MemberChange.ALIVE,
    SUSPECT: MemberChange.SUSPECT,
    DEAD: MemberChange.DEAD,
    LEFT: MemberChange.LEFT,
}
_CHANGE_WITHIN_STATUS = {ALIVE: MemberChange.ALIVE, SUSPECT: MemberChange.SUSPECTED_BY_MORE}


class View:
    """All members except the local process, which adds its own bits to the digest (`Membership.digest`).

    Owned by `Membership`, which is the only writer; hosts and the admin pages read it.
    """

    def __init__(self, rng: random.Random) -> None:
        self.members: dict[str, Member] = {}
        self.alive = NamePool(rng)  # alive or suspect
        self.dead = NamePool(rng)  # dead, excluding members that left
        self.digest = 0

    def get(self, name: str) -> Member | None:
        """Return the member of this name, None if the view has no record of it."""
        return self.members.get(name)

    def merge(self, record: Record, now: float) -> tuple[Member, MemberChange]:
        """Merge a record; return the member and the kind of change (`NONE` if nothing changed)."""
        member = self.members.get(record.name)
        is_new = member is None
        if member is None:
            member = Member(record.name, now)
            self.members[record.name] = member
        change = MemberChange.NONE
        newer = (record.incarnation, record.metadata_version) > (member.incarnation, member.metadata_version)
        if newer and record.metadata is not None and record.incarnation >= member.incarnation:
            member.metadata = dict(record.metadata)
            member.metadata_version = record.metadata_version
            change = MemberChange.METADATA
        if is_new or record.precedence() > member.precedence():
            change = self._replace(member, record, now) or change
        elif record.status == SUSPECT and record.precedence() == member.precedence():
            suspected_by = merge_suspecters(member.suspected_by, record.suspected_by)
            if suspected_by != member.suspected_by:
                member.suspected_by = suspected_by
                change = MemberChange.SUSPECTED_BY_MORE
        return member, change

    def _replace(self, member: Member, record: Record, now: float) -> MemberChange:
        """Overwrite a member with a record of greater precedence."""
        old_status = member.status
        old_incarnation = member.incarnation
        was_alive = member.is_alive()
        member.incarnation = record.incarnation
        member.revision = record.revision
        member.status = record.status
        member.uid = record.uid or member.uid
        member.address = record.address or member.address
        if old_incarnation != record.incarnation:
            if record.metadata is None:
                member.metadata = {}
                member.metadata_version = -1
            member.view_digest = 0
            member.diverged_since_ms = -1.0
        member.suspected_by = merge_suspecters(record.suspected_by) if record.status == SUSPECT else []
        member.suspicion_timer = 0
        member.final_probe = 0
        self._update_indexes(member, was_alive)
        if old_status != member.status or old_incarnation != member.incarnation:
            member.status_since_ms = now
        is_alive = member.is_alive()
        restarted = old_incarnation != member.incarnation and is_alive
        revived = not was_alive and is_alive
        if old_incarnation < 0 or restarted or revived:
            if is_alive:
                return MemberChange.JOINED
            return MemberChange.DEAD if member.status == DEAD else MemberChange.LEFT
        if old_status == member.status:
            return _CHANGE_WITHIN_STATUS.get(member.status, MemberChange.NONE)
        return _CHANGE_TO_STATUS[member.status]

    def _update_indexes(self, member: Member, was_alive: bool) -> None:
        """Update the name pools and the digest after a member has changed."""
        if was_alive:
            self.digest ^= member.digest_bits
        if member.is_alive():
            member.update_digest_bits()
            self.digest ^= member.digest_bits
            self.alive.add(member.name)
            self.dead.remove(member.name)
            return
        self.alive.remove(member.name)
        if member.status == DEAD:
            self.dead.add(member.name)
        else:
            self.dead.remove(member.name)

    def discard(self, name: str) -> None:
        """Remove a member that no longer belongs to this view although it has not died."""
        member = self.members.pop(name)
        if member.is_alive():
            self.digest ^= member.digest_bits
        self.alive.remove(name)
        self.dead.remove(name)

    def compact(self) -> None:
        """Free the memory of discarded members, since a dict does not shrink."""
        self.members = dict(self.members)
        self.alive.compact()
        self.dead.compact()

    def expire(self, now: float) -> None:
        """Drop dead and left members past `DEAD_RECORD_TTL_MS`, and the oldest over `MAX_DEAD_RECORDS`."""
        dead = [member for member in self.members.values() if not member.is_alive()]
        dead.sort(key=lambda member: member.status_since_ms)
        surplus = len(dead) - MAX_DEAD_RECORDS
        for position, member in enumerate(dead):
            if position < surplus or now - member.status_since_ms > DEAD_RECORD_TTL_MS:
                del self.members[member.name]
                self.dead.remove(member.name)

    def records(self, include_metadata: bool = True) -> Iterable[Record]:
        """Return the records of all members, for a push-pull exchange."""
        return (member.to_record(include_metadata) for member in self.members.values())
