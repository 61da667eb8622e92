"""The plainest membership that works, to compare with: all ping all, each second; dead after three losses.

It keeps the join by exchange of views, and believes nothing that others say of a member's death.
"""

from __future__ import annotations

from collections import defaultdict

from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.membership.view import Member
from dunlinloft.fleet.messages import DEAD, Message, Ping, Record

EVERY_MS = 1_000.0
LOSSES = 3


class PlainPing(Membership):
    """Every member pings every other each second."""

    def _begin(self) -> None:
        self._missed: dict[str, int] = defaultdict(int)
        self._join()
        self.timer(EVERY_MS * self.rng.random(), "period")

    def _period(self, now: float) -> None:
        for name in self.view.here.names():
            self._missed[name] += 1
            member = self.view.members[name]
            if self._missed[name] > LOSSES:
                self._take(Record(name, member.life, member.revision, DEAD, member.uid, member.address), now)
            else:
                self.post(member.address, Ping(self.head(), 1, name, []))
        for name in self.view.buried.names():  # it has no other way to find out that one is back
            self.post(self.view.members[name].address, Ping(self.head(), 1, name, []))
        self.timer(EVERY_MS, "period")

    def _heard(self, message: Message, source: str, now: float) -> None:
        name = message.head.name
        self._missed[name] = 0
        member = self.view.get(name)
        if member is not None and member.life == message.head.life and not member.here():
            self._return(member, now)
        super()._heard(message, source, now)

    def _return(self, member: Member, now: float) -> None:
        record = Record(
            member.name,
            member.life,
            member.revision + 1,
            0,
            member.uid,
            member.address,
            member.version,
            member.facts,
        )
        self._take(record, now)

    def _tell(self, name: str, facts: bool = True) -> None:
        """Nothing is spread."""
