"""Baseline membership protocol: all members ping all others every second; dead after three losses.

Joins still exchange views, but deaths reported by other members are ignored.
"""

from __future__ import annotations

from collections import defaultdict

from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import DEAD, Message, Ping, Record

PING_INTERVAL_MS = 1_000.0
MAX_LOST_PINGS = 3


class PlainPing(Membership):
    """Every member pings every other each second."""

    def _start(self) -> None:
        self._missed: dict[str, int] = defaultdict(int)
        self._rejoin()
        self.set_timer(PING_INTERVAL_MS * self.rng.random(), TimerKind.PROBE_PERIOD)

    def _probe_next(self, now: float) -> None:
        for name in self.view.alive.names():
            self._missed[name] += 1
            member = self.view.members[name]
            if self._missed[name] > MAX_LOST_PINGS:
                self._merge_record(
                    Record(name, member.incarnation, member.revision, DEAD, member.uid, member.address), now
                )
            else:
                self.send_datagram(member.address, Ping(self.header(), 1, name, []))
        for name in self.view.dead.names():  # the only way to detect a returning member
            self.send_datagram(self.view.members[name].address, Ping(self.header(), 1, name, []))
        self.set_timer(PING_INTERVAL_MS, TimerKind.PROBE_PERIOD)

    def _handle_message(self, message: Message, source: str, now: float) -> None:
        name = message.header.name
        self._missed[name] = 0
        member = self.view.get(name)
        if member is not None and member.incarnation == message.header.incarnation and not member.is_alive():
            self._return(member, now)
        super()._handle_message(message, source, now)

    def _return(self, member: Member, now: float) -> None:
        record = Record(
            member.name,
            member.incarnation,
            member.revision + 1,
            0,
            member.uid,
            member.address,
            member.metadata_version,
            member.metadata,
        )
        self._merge_record(record, now)

    def _disseminate(self, name: str, include_metadata: bool = True) -> None:
        """Disseminate nothing."""
