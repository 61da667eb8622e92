"""Asking each other: are you there?

Each period one member is asked, all of them in a random order before any is asked again (SWIM, section
4.3). No answer within what its link usually takes: some others are asked to ask, and a stream is tried
beside, as a link may lose datagrams only. No answer by the period's end: it is suspected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.view import Member
from dunlinloft.fleet.messages import ALIVE, Ack, Ask, Nack, Ping

if TYPE_CHECKING:
    from dunlinloft.fleet.membership.core import Membership

PERIOD_MS = 250.0
ASKED = 3  # others that are asked to ask
MOST_ERRANDS = 256  # for others, at a time; beyond that the oldest are forgotten
AGAIN_MS = 60.0  # a second direct ping goes with those through others, a third so much later
DIRECT, AGAIN, ENDS, ERRAND, FORGET = "direct", "again", "ends", "errand", "forget"


class Probe:
    """One member that is being asked."""

    __slots__ = ("answered", "asked", "direct", "last", "name", "nacks", "sent_ms")

    def __init__(self, name: str, now: float, last: bool) -> None:
        self.name, self.sent_ms, self.last = name, now, last  # whether it is the last before its burial
        self.answered, self.direct = False, True  # nobody else has been asked yet
        self.asked = self.nacks = 0


class Prober:
    """The probes that are out, and those for others."""

    def __init__(self, core: Membership) -> None:
        self._core = core
        self._ring: list[str] = []
        self._out: dict[int, Probe] = {}
        self._errands: dict[int, tuple[str, int, str]] = {}  # who asked, its number, whom
        self._number = 0
        self.failed = 0

    def next_target(self) -> str | None:
        """The next member in this round's order."""
        core = self._core
        while self._ring:
            name = self._ring.pop()
            if name in core.view.here:
                return name
        self._ring = core.view.here.names()
        core.rng.shuffle(self._ring)
        return self._ring.pop() if self._ring else None

    def probe(self, name: str, now: float, last: bool = False) -> int:
        """Ask a member; the probe's number."""
        core = self._core
        member = core.view.members[name]
        self._number += 1
        number = self._number
        self._out[number] = Probe(name, now, last)
        core.post(member.address, Ping(core.head(), number, name, core.news_for(member)))
        wait = min(member.timeout_ms() * core.health.factor(), PERIOD_MS)
        core.timer(wait, DIRECT, number)
        return number

    def _unanswered(self, number: int) -> tuple[Probe, Member] | None:
        """A probe that is still out, and whom it asks; one that is over is forgotten."""
        probe = self._out.get(number)
        member = self._core.view.get(probe.name) if probe is not None else None
        if probe is None or member is None or probe.answered:
            self._out.pop(number, None)
            return None
        return probe, member

    def direct_is_over(self, number: int, in_time: bool, now: float) -> None:
        """No direct answer in time: ask others, and try a stream."""
        waiting, core = self._unanswered(number), self._core
        if waiting is None:
            return
        probe, member = waiting
        probe.direct = False
        core.actions.append(api.Dial(member.address, number))
        self._repeat(number, probe, member)
        core.timer(AGAIN_MS, AGAIN, number)
        for name in core.view.here.draw(ASKED, probe.name):
            probe.asked += 1
            ask = Ask(core.head(), number, probe.name, member.address, core.news_for(member))
            core.post(core.view.members[name].address, ask)
        # A stream on a good link needs two round trips, and a lost piece of it 200 ms more.
        passed = now - probe.sent_ms
        wait = max(PERIOD_MS * core.health.factor() - passed, 4.0 * member.timeout_ms())
        core.timer(wait, ENDS, number)

    def again(self, number: int) -> None:
        """Ping once more: on a link that loses some, one more try costs less than a false suspicion."""
        probe = self._out.get(number)
        member = self._core.view.get(probe.name) if probe is not None else None
        if probe is not None and member is not None and not probe.answered:
            self._repeat(number, probe, member)

    def _repeat(self, number: int, probe: Probe, member: Member) -> None:
        core = self._core
        records = [member.record(facts=False)] if member.status != ALIVE else []
        core.post(member.address, Ping(core.head(), number, probe.name, records))

    def end(self, number: int, in_time: bool, now: float) -> None:
        """The probe's time is over."""
        waiting, core = self._unanswered(number), self._core
        if waiting is None:
            return
        probe, _ = waiting
        if not in_time:  # the answer may wait in this process's own queue: look again before judging
            core.timer(PERIOD_MS, ENDS, number)
            return
        del self._out[number]
        # Those asked say that they could not reach it either; who is silent is beyond our own reach.
        missed = probe.asked - probe.nacks
        if missed > 0:
            core.health.worse(min(missed, 2))
        else:
            core.health.worse()
        if not core.health.sound(now):
            return
        self.failed += 1
        core.no_answer(probe.name, probe.last, now)

    def acked(self, number: int, name: str, life: int, now: float, source: str) -> None:
        """Somebody has answered, itself or through another."""
        probe, core = self._out.get(number), self._core
        errand = self._errands.pop(number, None) if number < 0 else None
        if errand is not None and errand[2] == name:
            core.post(errand[0], Ack(core.head(), errand[1], name, life, []))
            return
        if probe is None or probe.name != name or probe.answered:
            return
        member = core.view.get(name)
        if member is None or member.life != life:
            return
        probe.answered = True
        if probe.direct and source == member.address:
            member.took(now - probe.sent_ms)
            del self._out[number]
        core.health.better()
        core.answered(member, now)

    def nacked(self, number: int) -> None:
        """One that was asked could not reach it, but reached us."""
        probe = self._out.get(number)
        if probe is not None:
            probe.nacks += 1

    def run_errand(self, ask: Ask, source: str) -> None:
        """Ping for another."""
        core = self._core
        self._number += 1
        number = -self._number
        if len(self._errands) >= MOST_ERRANDS:
            del self._errands[next(iter(self._errands))]
        self._errands[number] = source, ask.number, ask.whom
        member = core.view.get(ask.whom)
        records = core.news_for(member) if member is not None else []
        core.post(ask.address, Ping(core.head(), number, ask.whom, records))
        wait = member.timeout_ms() if member is not None else PERIOD_MS / 2.0
        core.timer(wait, ERRAND, number)

    def errand_is_over(self, number: int) -> None:
        """No answer for another: say so, which says that we are there."""
        errand = self._errands.get(number)
        if errand is not None:  # an answer that comes later is still passed on
            core = self._core
            core.post(errand[0], Nack(core.head(), errand[1], []))
            core.timer(PERIOD_MS, FORGET, number)

    def forget(self, number: int) -> None:
        """An answer to this errand is of no use any more."""
        self._errands.pop(number, None)
