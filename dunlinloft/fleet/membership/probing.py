"""Asking each other: are you there?

Each period one member is asked, all of them in a random order before any is asked again (SWIM, section
4.3). No answer within what its link usually takes: some others are asked to ask, and a stream is tried
beside, as a link may lose datagrams only. No answer by the period's end: it is suspected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.messages import ALIVE, Ack, Nack, Ping, PingRequest

if TYPE_CHECKING:
    from dunlinloft.fleet.membership.core import Membership

PROBE_PERIOD_MS = 250.0
INDIRECT_PROBERS = 3  # others that are asked to ask
MAX_INDIRECT_PROBES = 256  # for others, at a time; beyond that the oldest are forgotten
THIRD_PING_DELAY_MS = 60.0  # a second direct ping goes with those through others, a third so much later
DIRECT, AGAIN, ENDS, ERRAND, FORGET = "direct", "again", "ends", "errand", "forget"


class Probe:
    """One member that is being asked."""

    __slots__ = ("acked", "direct_only", "indirect_requests", "is_final", "nacks", "sent_ms", "target")

    def __init__(self, name: str, now: float, is_final: bool) -> None:
        self.target, self.sent_ms, self.is_final = (
            name,
            now,
            is_final,
        )  # whether it is the last before its burial
        self.acked, self.direct_only = False, True  # nobody else has been asked yet
        self.indirect_requests = self.nacks = 0


class Prober:
    """The probes that are out, and those for others."""

    def __init__(self, core: Membership) -> None:
        self._core = core
        self._probe_order: list[str] = []
        self._pending: dict[int, Probe] = {}
        self._indirect: dict[int, tuple[str, int, str]] = {}  # who asked, its number, whom
        self._last_number = 0
        self.failed_probes = 0

    def next_target(self) -> str | None:
        """The next member in this round's order."""
        core = self._core
        while self._probe_order:
            name = self._probe_order.pop()
            if name in core.view.alive:
                return name
        self._probe_order = core.view.alive.names()
        core.rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def probe(self, name: str, now: float, is_final: bool = False) -> int:
        """Ask a member; the probe's number."""
        core = self._core
        member = core.view.members[name]
        self._last_number += 1
        number = self._last_number
        self._pending[number] = Probe(name, now, is_final)
        core.send_datagram(member.address, Ping(core.header(), number, name, core.piggyback_for(member)))
        wait = min(member.ack_timeout_ms() * core.health.multiplier(), PROBE_PERIOD_MS)
        core.set_timer(wait, DIRECT, number)
        return number

    def _pending_probe(self, number: int) -> tuple[Probe, Member] | None:
        """A probe that is still out, and whom it asks; one that is over is forgotten."""
        probe = self._pending.get(number)
        member = self._core.view.get(probe.target) if probe is not None else None
        if probe is None or member is None or probe.acked:
            self._pending.pop(number, None)
            return None
        return probe, member

    def handle_direct_timeout(self, number: int, in_time: bool, now: float) -> None:
        """No direct answer in time: ask others, and try a stream."""
        waiting, core = self._pending_probe(number), self._core
        if waiting is None:
            return
        probe, member = waiting
        probe.direct_only = False
        core.actions.append(api.ProbeOverStream(member.address, number))
        self._resend_ping(number, probe, member)
        core.set_timer(THIRD_PING_DELAY_MS, AGAIN, number)
        for name in core.view.alive.sample(INDIRECT_PROBERS, probe.target):
            probe.indirect_requests += 1
            ask = PingRequest(core.header(), number, probe.target, member.address, core.piggyback_for(member))
            core.send_datagram(core.view.members[name].address, ask)
        # A stream on a good link needs two round trips, and a lost piece of it 200 ms more.
        passed = now - probe.sent_ms
        wait = max(PROBE_PERIOD_MS * core.health.multiplier() - passed, 4.0 * member.ack_timeout_ms())
        core.set_timer(wait, ENDS, number)

    def handle_resend_timer(self, number: int) -> None:
        """Ping once more: on a link that loses some, one more try costs less than a false suspicion."""
        probe = self._pending.get(number)
        member = self._core.view.get(probe.target) if probe is not None else None
        if probe is not None and member is not None and not probe.acked:
            self._resend_ping(number, probe, member)

    def _resend_ping(self, number: int, probe: Probe, member: Member) -> None:
        core = self._core
        records = [member.to_record(include_metadata=False)] if member.status != ALIVE else []
        core.send_datagram(member.address, Ping(core.header(), number, probe.target, records))

    def handle_probe_timeout(self, number: int, in_time: bool, now: float) -> None:
        """The probe's time is over."""
        waiting, core = self._pending_probe(number), self._core
        if waiting is None:
            return
        probe, _ = waiting
        if not in_time:  # the answer may wait in this process's own queue: look again before judging
            core.set_timer(PROBE_PERIOD_MS, ENDS, number)
            return
        del self._pending[number]
        # Those asked say that they could not reach it either; who is silent is beyond our own reach.
        missed = probe.indirect_requests - probe.nacks
        if missed > 0:
            core.health.degrade(min(missed, 2))
        else:
            core.health.degrade()
        if not core.health.is_reliable(now):
            return
        self.failed_probes += 1
        core.probe_failed(probe.target, probe.is_final, now)

    def handle_ack(self, number: int, name: str, life: int, now: float, source: str) -> None:
        """Somebody has answered, itself or through another."""
        probe, core = self._pending.get(number), self._core
        errand = self._indirect.pop(number, None) if number < 0 else None
        if errand is not None and errand[2] == name:
            core.send_datagram(errand[0], Ack(core.header(), errand[1], name, life, []))
            return
        if probe is None or probe.target != name or probe.acked:
            return
        member = core.view.get(name)
        if member is None or member.incarnation != life:
            return
        probe.acked = True
        if probe.direct_only and source == member.address:
            member.observe_rtt(now - probe.sent_ms)
            del self._pending[number]
        core.health.probe_succeeded()
        core.probe_acked(member, now)

    def handle_nack(self, number: int) -> None:
        """One that was asked could not reach it, but reached us."""
        probe = self._pending.get(number)
        if probe is not None:
            probe.nacks += 1

    def handle_ping_request(self, ask: PingRequest, source: str) -> None:
        """Ping for another."""
        core = self._core
        self._last_number += 1
        number = -self._last_number
        if len(self._indirect) >= MAX_INDIRECT_PROBES:
            del self._indirect[next(iter(self._indirect))]
        self._indirect[number] = source, ask.number, ask.target
        member = core.view.get(ask.target)
        records = core.piggyback_for(member) if member is not None else []
        core.send_datagram(ask.address, Ping(core.header(), number, ask.target, records))
        wait = member.ack_timeout_ms() if member is not None else PROBE_PERIOD_MS / 2.0
        core.set_timer(wait, ERRAND, number)

    def handle_indirect_timeout(self, number: int) -> None:
        """No answer for another: say so, which says that we are there."""
        errand = self._indirect.get(number)
        if errand is not None:  # an answer that comes later is still passed on
            core = self._core
            core.send_datagram(errand[0], Nack(core.header(), errand[1], []))
            core.set_timer(PROBE_PERIOD_MS, FORGET, number)

    def drop_indirect(self, number: int) -> None:
        """An answer to this errand is of no use any more."""
        self._indirect.pop(number, None)
