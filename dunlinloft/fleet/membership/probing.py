"""Probes: direct pings of other members, indirect pings through others, and probes over a stream.

In each period one member is pinged; all members are pinged once, in random order, before any is pinged again
(SWIM, section 4.3). If no ack arrives within the link's ack time-out, some other members are requested to
ping the target (SWIM, section 3.1), and a stream probe is sent too, as a link may lose only datagrams. If no
ack arrives by the end of the period, the probe has failed, and `failure_detection` decides what follows.
"""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.dissemination import Dissemination
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import ALIVE, Ack, Nack, Ping, PingRequest

PROBE_PERIOD_MS = 250.0  # SWIM's protocol period T'
INDIRECT_PROBERS = 3  # members requested to ping the target; SWIM's k
# A second direct ping is sent with the ping requests and a third after this delay. On a link that loses
# datagrams, two more pings cost less than a false suspicion (docs/membership.md).
THIRD_PING_DELAY_MS = 60.0
MAX_INDIRECT_PROBES = 256  # concurrent probes on behalf of others; beyond that the oldest are dropped
MAX_HEALTH_PENALTY = 2  # maximum increase of the local health score for one probe with missing nacks
# A stream probe on a good link takes two round trips; a lost segment adds 200 ms.
STREAM_PROBE_TIMEOUTS = 4.0  # time-out of a stream probe, as a multiple of the link's ack time-out


@dataclass(slots=True)
class Probe:
    """A probe of a member by this process.

    Attributes
    ----------
    is_final: whether the member is declared dead if the probe fails.
    acked: whether the probe has succeeded.
    direct_only: whether only one direct ping was sent so far, so that an ack measures the round trip.
    indirect_requests: number of members requested to ping the target.
    nacks: number of these that reported no response from it either.
    """

    target: str
    sent_ms: float
    is_final: bool
    acked: bool = False
    direct_only: bool = True
    indirect_requests: int = 0
    nacks: int = 0


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A ping on behalf of another member: the requester's address and probe number, and the target."""

    requester: str
    requester_number: int
    target: str


class Prober:
    """The pending probes of this process, and those on behalf of other members.

    Owned by `FailureDetection`, which calls it for each ping, ack and timer of a probe. This process's own
    probes have positive numbers, and those on behalf of others have negative numbers.
    """

    def __init__(self, core: Dissemination) -> None:
        self._core = core
        self._probe_order: list[str] = []  # members left in the current round; the next one is last
        self._pending: dict[int, Probe] = {}
        self._indirect: dict[int, IndirectProbe] = {}
        self._last_number = 0
        self.failed_probes = 0

    def next_target(self) -> str | None:
        """Return the next member to probe in this round, None if there are no members."""
        core = self._core
        while self._probe_order:
            name = self._probe_order.pop()
            if name in core.view.alive:
                return name
        self._probe_order = core.view.alive.names()
        core.rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def probe(self, name: str, now: float, is_final: bool = False) -> int:
        """Ping a member and return the probe's number."""
        core = self._core
        member = core.view.members[name]
        self._last_number += 1
        number = self._last_number
        self._pending[number] = Probe(name, now, is_final)
        records = core.piggyback_for(member)
        core.send_datagram(member.address, Ping(core.header(), number, name, records))
        timeout_ms = min(member.ack_timeout_ms() * core.health.multiplier(), PROBE_PERIOD_MS)
        core.set_timer(timeout_ms, TimerKind.DIRECT_TIMEOUT, probe_number=number)
        return number

    def _pending_probe(self, number: int) -> tuple[Probe, Member] | None:
        """Return a probe that still awaits an ack, with its target; drop the probe if it has ended."""
        probe = self._pending.get(number)
        member = self._core.view.get(probe.target) if probe is not None else None
        if probe is None or member is None or probe.acked:
            self._pending.pop(number, None)
            return None
        return probe, member

    def handle_direct_timeout(self, number: int, now: float) -> None:
        """Request indirect pings and probe over a stream, as the direct ping got no ack in time."""
        core = self._core
        pending = self._pending_probe(number)
        if pending is None:
            return
        probe, member = pending
        probe.direct_only = False
        core.actions.append(api.ProbeOverStream(member.address, number))
        self._resend_ping(number, probe, member)
        core.set_timer(THIRD_PING_DELAY_MS, TimerKind.RESEND_PING, probe_number=number)
        for name in core.view.alive.sample(INDIRECT_PROBERS, exclude=probe.target):
            probe.indirect_requests += 1
            records = core.piggyback_for(member)
            request = PingRequest(core.header(), number, probe.target, member.address, records)
            core.send_datagram(core.view.members[name].address, request)
        period_left_ms = PROBE_PERIOD_MS * core.health.multiplier() - (now - probe.sent_ms)
        timeout_ms = max(period_left_ms, STREAM_PROBE_TIMEOUTS * member.ack_timeout_ms())
        core.set_timer(timeout_ms, TimerKind.PROBE_TIMEOUT, probe_number=number)

    def handle_resend_timer(self, number: int) -> None:
        """Send the third direct ping, unless an ack has arrived."""
        probe = self._pending.get(number)
        member = self._core.view.get(probe.target) if probe is not None else None
        if probe is not None and member is not None and not probe.acked:
            self._resend_ping(number, probe, member)

    def _resend_ping(self, number: int, probe: Probe, member: Member) -> None:
        core = self._core
        records = [member.to_record(include_metadata=False)] if member.status != ALIVE else []
        core.send_datagram(member.address, Ping(core.header(), number, probe.target, records))

    def handle_probe_timeout(self, number: int, in_time: bool, now: float) -> Probe | None:
        """End a probe at its time-out; return it if the failure can be attributed to the target."""
        core = self._core
        pending = self._pending_probe(number)
        if pending is None:
            return None
        probe, _ = pending
        if not in_time:  # the ack may be unread in the local socket, so wait once more
            core.set_timer(PROBE_PERIOD_MS, TimerKind.PROBE_TIMEOUT, probe_number=number)
            return None
        del self._pending[number]
        # A requested member sends a nack if it can't reach the target either. If it sends neither ack nor
        # nack, this process may itself be the cause (Lifeguard, section IV.A).
        missing_nacks = probe.indirect_requests - probe.nacks
        if missing_nacks > 0:
            core.health.degrade(min(missing_nacks, MAX_HEALTH_PENALTY))
        else:
            core.health.degrade()
        if not core.health.is_reliable(now):
            return None
        self.failed_probes += 1
        return probe

    def handle_ack(self, number: int, name: str, incarnation: int, now: float, source: str) -> Member | None:
        """Handle an ack; return the member whose probe succeeded, None if no own probe did."""
        core = self._core
        probe = self._pending.get(number)
        indirect = self._indirect.pop(number, None) if number < 0 else None
        if indirect is not None and indirect.target == name:
            ack = Ack(core.header(), indirect.requester_number, name, incarnation, [])
            core.send_datagram(indirect.requester, ack)
            return None
        if probe is None or probe.target != name or probe.acked:
            return None
        member = core.view.get(name)
        if member is None or member.incarnation != incarnation:
            return None
        probe.acked = True
        if probe.direct_only and source == member.address:
            member.observe_rtt(now - probe.sent_ms)
            del self._pending[number]
        core.health.probe_succeeded()
        return member

    def handle_nack(self, number: int) -> None:
        """Count a requested member that could not reach the target but did reach this process."""
        probe = self._pending.get(number)
        if probe is not None:
            probe.nacks += 1

    def handle_ping_request(self, request: PingRequest, source: str) -> None:
        """Ping the target of a request on behalf of another member."""
        core = self._core
        self._last_number += 1
        number = -self._last_number
        if len(self._indirect) >= MAX_INDIRECT_PROBES:
            del self._indirect[next(iter(self._indirect))]
        self._indirect[number] = IndirectProbe(source, request.number, request.target)
        member = core.view.get(request.target)
        records = core.piggyback_for(member) if member is not None else []
        core.send_datagram(request.address, Ping(core.header(), number, request.target, records))
        timeout_ms = member.ack_timeout_ms() if member is not None else PROBE_PERIOD_MS / 2.0
        core.set_timer(timeout_ms, TimerKind.INDIRECT_TIMEOUT, probe_number=number)

    def handle_indirect_timeout(self, number: int) -> None:
        """Send a nack to the requester of an unacknowledged ping, which shows that this process is alive."""
        indirect = self._indirect.get(number)
        if indirect is not None:  # kept, as a later ack is still forwarded
            core = self._core
            core.send_datagram(indirect.requester, Nack(core.header(), indirect.requester_number, []))
            core.set_timer(PROBE_PERIOD_MS, TimerKind.INDIRECT_EXPIRY, probe_number=number)

    def drop_indirect(self, number: int) -> None:
        """Drop a ping on behalf of another member when an ack would be too late."""
        self._indirect.pop(number, None)
