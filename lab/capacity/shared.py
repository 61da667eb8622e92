"""Shared state: cost of its records by number of members, and how many stay within their age bounds."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from dunlinloft.fleet.messages import ApplicationMessage, Header
from dunlinloft.fleet.releases.controller import EVALUATION_INTERVAL_MS, MAX_TALLY_AGE_MS
from dunlinloft.fleet.releases.follower import ReleaseFollower
from dunlinloft.fleet.releases.messages import Order, Tally
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.core import LIMITS, RELEASES, SharedState
from dunlinloft.fleet.shared_state.quota_shares import MAX_DEMAND_AGE_MS
from dunlinloft.fleet.wire import Wire
from lab.capacity import sizes
from lab.capacity.control import full_tally
from lab.capacity.model import TIMED, Experiment, Figure
from lab.capacity.tools import best_ms, held_bytes
from lab.plan import Plan
from lab.scenario import Scenario, load
from lab.virtual import member
from lab.virtual.host import VirtualHost
from lab.virtual.shared import Process, World

WARM_MS, MEASURED_MS = 8_000.0, 12_000.0  # warm-up until all members know all records; measurement
REQUESTS_PER_S = 20.0  # requests of the tenant per second at each member
DAY = ("tiers=[{servers=60}]", "arrivals.load=0.4", "nodes.fleet=true")  # as in docs/shared.md
TENANT = 'tenants=[{name="spedition",share=0.6,quota_per_s=160},{name="reederei",share=0.4}]'
SHARED_KINDS = {
    "none": (), "verdicts": ("verdicts",), "limits": ("limits",), "affinity": ("affinity",),
    "all": ("verdicts", "limits", "affinity"),
}  # fmt: skip


class Timed(SharedState):
    """Accumulates the time used by all cores of a run."""

    took_ns = 0

    def handle(self, event: shared.Event, now: float) -> list[shared.Action]:
        """Handle an event and add its duration."""
        start = time.perf_counter_ns()
        actions = super().handle(event, now)
        Timed.took_ns += time.perf_counter_ns() - start
        return actions


class LimitsOnlyState(Timed):
    """Shares only limits."""

    def __init__(self, *args: Any) -> None:
        name, life, zone, tier, _, *rest = args
        super().__init__(name, life, zone, tier, frozenset((LIMITS,)), *rest)


class FullTallyFollower(ReleaseFollower):
    """A member with a full tally, of the maximum number of classes and zones."""

    def tally(self) -> Tally:
        """Return a full tally."""
        return full_tally(self.order, 400)


class ReleasesOnlyState(Timed):
    """Takes part only in releases."""

    def __init__(self, *args: Any) -> None:
        name, life, zone, tier, _, *rest = args
        super().__init__(name, life, zone, tier, frozenset((RELEASES,)), *rest)
        self.follower = FullTallyFollower(tier)


class ByteCountingWorld(World):
    """Counts the bytes sent; omits the oracle's check of every record, whose cost grows with them."""

    def __init__(self, seed: int, members: int, core: type[SharedState] = LimitsOnlyState) -> None:
        self.sent_bytes = 0
        self._wire = Wire("capacity")
        super().__init__(seed, members, core)

    def process_name(self, n: int) -> str:
        return sizes.name(n)

    def _check_ages(self, process: Process) -> None:
        """Omit the check."""

    def _send(self, process: Process, name: str, message: shared.Message) -> None:
        head = Header(process.name, sizes.LIFE, 0, 1 << 62, len(self.names))
        self.sent_bytes += len(self._wire.write(ApplicationMessage(head, message, [])))
        super()._send(process, name, message)

    def send_requests(self) -> None:
        """Send requests of the tenant to all members."""
        for process in self.processes.values():
            for _ in range(int(REQUESTS_PER_S / 4.0)):
                self.give(process, shared.RequestReceived("t"))
        self.after(250.0, self.send_requests)

    def issue_order(self) -> None:
        """Let the first member control a release and repeat its order periodically."""
        order = Order(7, 1, 1, 0.05, 1e12, (), True)
        self.give(self.processes[self.names[0]], shared.ReleaseOrderIssued(order))
        self.after(EVALUATION_INTERVAL_MS, self.issue_order)


def _pulse(members: int, seed: int) -> dict[str, float]:
    """Measure the cores sharing only limits: a heartbeat of each member to all."""
    world = ByteCountingWorld(seed, members)
    world.send_requests()
    return _measured(world) | _known(world, shared.HEARTBEAT, MAX_DEMAND_AGE_MS)


def _tallies(members: int, seed: int) -> dict[str, float]:
    """Measure a running release: an order to all, and full tallies of all to the controller."""
    world = ByteCountingWorld(seed, members, ReleasesOnlyState)
    world.issue_order()
    return _measured(world) | _known(world, shared.TALLY, MAX_TALLY_AGE_MS)


def _measured(world: ByteCountingWorld) -> dict[str, float]:
    """Measure bytes, messages and core time per member and second."""
    members = len(world.processes)
    world.run(WARM_MS)
    world.sent_bytes = world.counts["messages"] = Timed.took_ns = 0
    world.run(MEASURED_MS)
    member_seconds = members * MEASURED_MS / 1000.0
    return {
        "bytes": world.sent_bytes / member_seconds,
        "messages": world.counts["messages"] / member_seconds,
        "core": Timed.took_ns / 1e6 / member_seconds,
    }


def _known(world: ByteCountingWorld, kind: int, bound_ms: float) -> dict[str, float]:
    """Measure the share of others' records that are fresh enough to use, and the 90th percentile of ages."""
    fresh, ages = 0, list[float]()
    for process in world.processes.values():
        now = process.clock()
        fresh += sum(1 for _ in process.core.store.read(kind, bound_ms, now))
        ages += [held.age_ms(now) for _, held in process.core.store.others(kind)]
    members = len(world.processes)
    ages.sort()
    return {"fresh": fresh / (members * (members - 1)), "age": ages[len(ages) * 9 // 10]}


def _scenario(members: int, parts: tuple[str, ...]) -> Scenario:
    share = "[" + ",".join(f'"{part}"' for part in parts) + "]"
    length = f"day.length_s={(WARM_MS + MEASURED_MS) / 1000.0 + 1.0}"
    return load("calm", [*DAY, TENANT, length, f"nodes.count={members}", f"nodes.share={share}"])


def _day(members: int, seed: int) -> dict[str, float]:
    """Measure traffic and time on a calm day with 60 servers, for each kind of shared state."""
    found: dict[str, float] = {}
    for name, parts in SHARED_KINDS.items():
        found |= _shared_day(name, members, seed, parts)
    return found


def _shared_day(name: str, members: int, seed: int, parts: tuple[str, ...]) -> dict[str, float]:
    member.CORE = Timed
    host = VirtualHost(Plan(_scenario(members, parts), seed), [])
    assert host.network is not None
    counts, member_seconds = host.network.bytes, members * MEASURED_MS / 1000.0
    found: dict[str, float] = {}

    def clear() -> None:
        counts.clear()
        Timed.took_ns = 0

    def take() -> None:
        found[name] = sum(counts.values()) / member_seconds
        found[f"{name}-core"] = Timed.took_ns / 1e6 / member_seconds

    host.after(WARM_MS, clear)
    host.after(WARM_MS + MEASURED_MS, take)
    host.run()
    return found


def _store(members: int, seed: int) -> dict[str, float]:
    """Measure a process that holds a heartbeat of each member: memory, and operations on all of them."""
    found = {"traced": held_bytes(partial(_full, members))[0]}
    core = _full(members)
    alive_members = {sizes.name(n): sizes.LIFE + n for n in range(1, members)}
    event = shared.MembershipUpdated(
        sizes.LIFE, alive_members, frozenset((*alive_members, sizes.name(0))), members
    )
    found["seen"] = best_ms(lambda: core.handle(event, 10.0))
    found["look"] = best_ms(_repeated_timer(core, core.begin()[-1]))
    found["held"] = float(sum(1 for _ in core.store.others(shared.HEARTBEAT)))
    pull = shared.MessageReceived(shared.PullRequest(1, sizes.LIFE, 0), sizes.name(1))
    responses = core.handle(pull, 10.0)
    found["answer"] = best_ms(lambda: core.handle(pull, 10.0))
    found["told"] = float(
        sum(
            len(p.message.entries)
            for p in responses
            if isinstance(p, shared.SendMessage) and isinstance(p.message, shared.PullResponse)
        )
    )
    return found


def _full(members: int) -> SharedState:
    quotas = {"spedition": 160.0}
    core = SharedState(
        sizes.name(0), sizes.LIFE, "zone-00", 0, frozenset((LIMITS,)), quotas, [], 0.0, random.Random(1), 0.0
    )
    core.handle(
        shared.MembershipUpdated(
            sizes.LIFE, {sizes.name(n): sizes.LIFE + n for n in range(1, members)}, frozenset(), members
        ),
        0.0,
    )
    for n in range(1, members):
        pulse = shared.Heartbeat(f"zone-{n % sizes.ZONES:02}", 0, {"spedition": 1.0 + n / 7.0}, 4.5, 20.0, [])
        entry = shared.Entry(shared.HEARTBEAT, sizes.name(n), sizes.LIFE + n, 1, 10, shared.encode(pulse))
        core.store.merge(entry, 1.0, sizes.name(1), 1.0)
    return core


def _repeated_timer(core: SharedState, timer: shared.Action) -> Callable[[], None]:
    """Return a function that fires the same timer repeatedly."""
    due = [timer]

    def fire() -> None:
        assert isinstance(due[0], shared.SetTimer)
        due[0] = core.handle(shared.TimerFired(due[0].token), 20.0)[-1]

    return fire


PULSED = (
    Figure("bytes", "B/s"), Figure("messages", "1/s"), Figure("core", "ms/s", TIMED),
    Figure("fresh", "share"), Figure("age", "ms"),
)  # fmt: skip
EXPERIMENTS = (
    Experiment(
        "pulse", "limits alone, cores in virtual time, a member and second", "members", sizes.SERVERS,
        (10, 20, 40, 60), (4, 6, 8), (1, 2, 3), PULSED, _pulse, 80,
    ),
    Experiment(
        "reach", "the same with more members than datagrams have room for", "members", sizes.SERVERS,
        (60, 80, 100, 120, 160, 240), (4, 6, 8), (1, 2), PULSED, _pulse,
    ),
    Experiment(
        "tallies", "a release that goes on, cores in virtual time, a member and second", "members",
        sizes.SERVERS, (5, 10, 20, 30, 40, 60), (4, 6, 8), (1, 2, 3), PULSED, _tallies,
    ),
    Experiment(
        "day", "shared state on a calm day of 60 servers (virtual time), a member and second", "members",
        sizes.SERVERS, (10, 20, 40, 80), (3, 4, 5), (1, 2, 3),
        (
            *(Figure(name, "B/s") for name in SHARED_KINDS),
            *(Figure(f"{name}-core", "ms/s", TIMED) for name in SHARED_KINDS if name != "none"),
        ),
        _day, 100,
    ),
    Experiment(
        "store", "one process that holds a pulse of each member", "members", sizes.SERVERS,
        (250, 500, 1000, 2000), (20, 40, 80), (1, 2, 3),
        (
            Figure("traced", "B"), Figure("held", "records"), Figure("seen", "ms", TIMED),
            Figure("look", "ms", TIMED), Figure("answer", "ms", TIMED), Figure("told", "records"),
        ),
        _store, 4000,
    ),
)  # fmt: skip
