"""SharedState state in virtual time: the cores that nodes host, among links and processes that fail.

What a process believes of who is there comes late, as membership's word does. The oracle knows true time and
all that was written: no record may be taken for younger than it is, parts of a quota may not add up to more
than it, and a key may go to one group only while its window runs.
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

SEEN_MS, LATE_MS = 250.0, 2_500.0  # how often a process hears who is there; how long a death takes to be seen
ZONES = ("linz", "wien", "krems")
WINDOW_MS = 10_000.0
QUOTA = 100.0
SLACK_MS = 1.0  # of rounding


class Process(scene.Process):
    """A process, with what it counts and the parts that are in force for it."""

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
    """Processes, links, groups of servers, and the oracle."""

    def __init__(
        self, seed: int, members: int = 6, core: type[SharedState] = SharedState, loss: float = 0.0
    ) -> None:
        super().__init__(seed, members, loss)
        self.core = core
        self.zones = {name: ZONES[n % len(ZONES)] for n, name in enumerate(self.names)}
        self._cut_ms: dict[tuple[str, str], float] = {}
        self.hold_ms = 0.0  # datagrams may be held back for so long
        self.out: dict[str, set[str]] = defaultdict(set)  # by process: groups that it finds out
        self.written: dict[tuple[int, str, int, int], float] = {}  # when each record was written
        self.sent: dict[int, tuple[float, str]] = {}  # by key: when it first went out, and to which group
        self.counts: Counter[str] = Counter()
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        """From nothing, with a clock at a rate within the drift."""
        process = self.processes[name] = Process(self, name, 1.0 + self.rng.choice((-0.009, 0.0, 0.009)))
        self._gone_ms.pop(name, None)
        self.do(process, process.core.begin())
        self._see(process)

    def sever(self, some: list[str], others: list[str], both: bool = True) -> None:
        """Cut links."""
        for a in some:
            for b in others:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    self.cut.add(pair)
                    self._cut_ms.setdefault(pair, self.now)

    def heal(self) -> None:
        """All links are whole."""
        self.cut.clear()
        self._cut_ms.clear()

    def _here(self, process: Process) -> dict[str, int]:
        """Whom membership would tell it to be there: late, of deaths and of cut links."""
        found = {}
        for name, other in self.processes.items():
            gone = self.now - self._gone_ms.get(name, self.now) >= LATE_MS
            cut = self.now - self._cut_ms.get((name, process.name), self.now) >= LATE_MS
            if name != process.name and not gone and not cut:
                found[name] = other.life
        return found

    def _see(self, process: Process) -> None:
        if not process.alive:
            return
        self.turn(process, self._seen, process)
        self.after(SEEN_MS / process.rate, self._see, process)

    def _seen(self, process: Process) -> None:
        here, clock = self._here(process), process.clock()
        process.census.observe({*here, process.name}, clock)
        counted, base = process.census.counted_names(), process.census.total()
        groups = {zone: (0 if zone in self.out[process.name] else 4, 4) for zone in ZONES}
        self.give(process, NodeStatus({}, frozenset(), groups, 5.0, 5.0))
        self.give(process, MembershipUpdated(process.life, here, counted, base))

    def give(self, process: Process, event: Any) -> None:
        """Give a core an event and do what it says."""
        if process.alive:
            self.do(process, process.core.handle(event, process.clock()))
            self._check_ages(process)

    def do(self, process: Process, actions: list[Any]) -> None:
        """What a core says."""
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
        """A message comes to whoever has this name by now."""
        process = self.processes[name]
        self.turn(process, self.give, process, MessageReceived(message, sender))

    # What callers do

    def ask(self, key: int, name: str, again: bool) -> KeyRoute | None:
        """A keyed request comes to a process; where it goes, None where nobody takes it.

        No caller asks again once the window is over.
        """
        self.sent = {k: sent for k, sent in self.sent.items() if self.now - sent[0] < WINDOW_MS}
        process = self.processes[name]
        if not process.alive or process.stopped:
            return None
        place = process.core.route(key, again, process.clock())
        if not place.group:
            self.counts[place.refusal] += 1
            return place
        if place.group in self.out[name]:
            return place  # none of its servers is to be had, so it is not sent
        first = self.sent.setdefault(key, (self.now, place.group))
        if first[1] != place.group:
            what = f"key {key:x} went to {first[1]}, and {self.now - first[0]:.0f} ms later to {place.group}"
            raise InvariantViolation(f"{self.when()}: {what}, at {name}")
        self.counts["again" if again else "first"] += 1
        return place

    # The oracle

    def _check_ages(self, process: Process) -> None:
        """No record is taken for younger than it is."""
        store = process.core.store
        for kind, writer, held in store.all():
            record = kind, writer, held.incarnation, held.version
            if writer == process.name:
                self.written.setdefault(record, self.now)
                continue
            age, true = held.age_ms(process.clock()), self.now - self.written.get(record, self.now)
            if age < true - SLACK_MS:
                what = f"{process.name} takes {writer}'s record for {age:.0f} ms old, and it is {true:.0f}"
                raise InvariantViolation(f"{self.when()}: {what}")

    def check_parts(self, spare: float = 1.05) -> float:
        """The parts of a quota that are in force add up to no more than it."""
        whole = sum(p.part.quotas.get("t", 0.0) for p in self.processes.values() if p.alive)
        if whole > QUOTA * spare:
            raise InvariantViolation(f"{self.when()}: parts add up to {whole:.0f} of {QUOTA:.0f}")
        return whole / QUOTA
