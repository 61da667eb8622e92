"""Shared state in virtual time: the cores that nodes host, with failing links and processes.

Membership information reaches processes late, as in production. The oracle knows the true time and everything
that was written. It checks that no record is considered younger than it is, that the shares of a quota never
add up to more than the quota, and that a key goes to only one group within its window.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from typing import Any

from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.shared_state.affinity import KeyRoute
from dunlinloft.fleet.shared_state.core import FEATURES, SharedState
from dunlinloft.fleet.shared_state.messages import (
    ApplyQuotaShares,
    MembershipUpdated,
    Message,
    MessageReceived,
    NodeStatus,
    SendMessage,
    SetTimer,
    TimerFired,
)
from lab.virtual import scene
from lab.virtual.scene import InvariantViolation

# Interval of membership updates; time until a death is detected.
MEMBERSHIP_INTERVAL_MS, DEATH_DETECTION_MS = 250.0, 2_500.0
ZONES = ("linz", "wien", "krems")
WINDOW_MS = 10_000.0
QUOTA = 100.0
AGE_TOLERANCE_MS = 1.0  # tolerance for rounding


class Process(scene.Process):
    """A process with its census and its current quota shares."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        super().__init__(world, name, rate)
        self.part = ApplyQuotaShares({}, 1.0, True)
        names = list(world.names)
        self.census = MemberCount(name, names.index(name), len(names))
        self.core = world.core(
            name, self.life, world.zones[name], 0, frozenset(FEATURES), {"t": QUOTA}, list(ZONES), WINDOW_MS,
            random.Random(world.rng.getrandbits(64)), self.clock(),
        )  # fmt: skip


class World(scene.Simulation[Process]):
    """Simulation of processes, links and server groups, with the oracle."""

    def __init__(
        self, seed: int, members: int = 6, core: type[SharedState] = SharedState, loss: float = 0.0
    ) -> None:
        super().__init__(seed, members, loss)
        self.core = core
        self.zones = {name: ZONES[n % len(ZONES)] for n, name in enumerate(self.names)}
        self._cut_ms: dict[tuple[str, str], float] = {}
        self.hold_ms = 0.0  # maximum additional delay of datagrams
        # By process: groups whose servers it considers unavailable.
        self.out: dict[str, set[str]] = defaultdict(set)
        self.written: dict[tuple[int, str, int, int], float] = {}  # when each record was written
        self.sent: dict[int, tuple[float, str]] = {}  # by key: time and group of the first request
        self.counts: Counter[str] = Counter()
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        """Start a process without previous state, with a clock rate within the drift bound."""
        process = self.processes[name] = Process(self, name, 1.0 + self.rng.choice((-0.009, 0.0, 0.009)))
        self._gone_ms.pop(name, None)
        self.do(process, process.core.begin())
        self._schedule_update(process)

    def sever(self, sources: list[str], targets: list[str], both: bool = True) -> None:
        """Cut links."""
        for a in sources:
            for b in targets:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    self.cut.add(pair)
                    self._cut_ms.setdefault(pair, self.now)

    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()
        self._cut_ms.clear()

    def _visible_members(self, process: Process) -> dict[str, int]:
        """Return the members that membership would report, with the delay in detecting deaths and cuts."""
        members_found = {}
        for name, other in self.processes.items():
            gone = self.now - self._gone_ms.get(name, self.now) >= DEATH_DETECTION_MS
            cut = self.now - self._cut_ms.get((name, process.name), self.now) >= DEATH_DETECTION_MS
            if name != process.name and not gone and not cut:
                members_found[name] = other.life
        return members_found

    def _schedule_update(self, process: Process) -> None:
        if not process.alive:
            return
        self.turn(process, self._update_core, process)
        self.after(MEMBERSHIP_INTERVAL_MS / process.rate, self._schedule_update, process)

    def _update_core(self, process: Process) -> None:
        visible, clock = self._visible_members(process), process.clock()
        process.census.observe({*visible, process.name}, clock)
        counted, base = process.census.counted_names(), process.census.total()
        groups = {zone: (0 if zone in self.out[process.name] else 4, 4) for zone in ZONES}
        self.give(process, NodeStatus({}, frozenset(), groups, 5.0, 5.0))
        self.give(process, MembershipUpdated(process.life, visible, counted, base))

    def give(self, process: Process, event: Any) -> None:
        """Pass an event to a core and perform the resulting actions."""
        if process.alive:
            self.do(process, process.core.handle(event, process.clock()))
            self._check_ages(process)

    def do(self, process: Process, actions: list[Any]) -> None:
        """Perform the actions of a core."""
        for action in actions:
            match action:
                case SendMessage():
                    self._send(process, action.recipient, action.message)
                case SetTimer():
                    event = TimerFired(action.token)
                    self.after(action.delay_ms / process.rate, self.turn, process, self.give, process, event)
                case ApplyQuotaShares():
                    process.part = action

    def _send(self, process: Process, name: str, message: Message) -> None:
        self.counts["messages"] += 1
        if (process.name, name) in self.cut or self.rng.random() < self.loss:
            return
        delay = 10.0 * (0.5 + self.rng.random())
        if self.hold_ms and self.rng.random() < 0.2:
            delay += self.hold_ms * self.rng.random()
        for _ in range(2 if self.rng.random() < 0.02 else 1):
            self.after(delay, self.deliver, name, message, process.name)

    def deliver(self, name: str, message: Message, sender: str) -> None:
        """Deliver a message to the process that currently has this name."""
        process = self.processes[name]
        self.turn(process, self.give, process, MessageReceived(message, sender))

    # Callers

    def ask(self, key: int, name: str, is_retry: bool) -> KeyRoute | None:
        """Send a keyed request to a process and return its route, or None if the process is not running.

        Callers do not retry after the window has ended.
        """
        self.sent = {k: sent for k, sent in self.sent.items() if self.now - sent[0] < WINDOW_MS}
        process = self.processes[name]
        if not process.alive or process.stopped:
            return None
        place = process.core.route(key, is_retry, process.clock())
        if not place.group:
            self.counts[place.refusal] += 1
            return place
        if place.group in self.out[name]:
            return place  # no server of the group is available, so it is not sent
        first = self.sent.setdefault(key, (self.now, place.group))
        if first[1] != place.group:
            what = f"key {key:x} went to {first[1]}, and {self.now - first[0]:.0f} ms later to {place.group}"
            raise InvariantViolation(f"{self.when()}: {what}, at {name}")
        self.counts["again" if is_retry else "first"] += 1
        return place

    # The oracle

    def _check_ages(self, process: Process) -> None:
        """Check that no record is considered younger than it is."""
        store = process.core.store
        for kind, writer, held in store.all():
            record = kind, writer, held.incarnation, held.version
            if writer == process.name:
                self.written.setdefault(record, self.now)
                continue
            age_ms, true_ms = (
                held.age_ms(process.clock()),
                self.now - self.written.get(record, self.now),
            )
            if age_ms < true_ms - AGE_TOLERANCE_MS:
                what = (
                    f"{process.name} takes {writer}'s record for {age_ms:.0f} ms old, and it is {true_ms:.0f}"
                )
                raise InvariantViolation(f"{self.when()}: {what}")

    def check_parts(self, tolerance: float = 1.05) -> float:
        """Check that the current quota shares add up to at most the quota; returns their share of it."""
        whole = sum(p.part.quotas.get("t", 0.0) for p in self.processes.values() if p.alive)
        if whole > QUOTA * tolerance:
            raise InvariantViolation(f"{self.when()}: parts add up to {whole:.0f} of {QUOTA:.0f}")
        return whole / QUOTA
