"""Replicas in virtual time: links that delay, lose and cut, disks that are slow, stall and are lost.

All chance comes from one seed, so that a run repeats. Times are in milliseconds.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from dunlinloft.coordination.actions import Action, Commit, Persist, Reply, Send
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import DurableState, Record, apply_record
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.views import FIRST_INCARNATION, Member, initial_view
from dunlinloft.validation import validate
from lab.control.rules import Rules

TICK_MS = 50.0
DELAY_MS = (0.5, 3.0)
SYNC_MS = (0.8, 1.5)


@dataclass(slots=True)
class Machine:
    """One machine: its disk outlives its process."""

    address: str
    counts: bool = True  # its loss is counted: it has a disk, votes and holds state
    durable: DurableState | None = None  # what is on its disk; None: nothing
    replica: Replica | None = None  # None: its process is down
    life: int = 0  # of its process
    frozen: bool = False
    gone: bool = False  # for good
    sync_x: float = 1.0  # how many times slower its disk is
    stalled: bool = False
    queue: list[tuple[int, Record]] = field(default_factory=list)  # not on disk yet
    writing: bool = False
    held: list[Callable[[], None]] = field(default_factory=list)  # what came while it was frozen


@dataclass(slots=True)
class Client:
    """An operator's order, sent again until something clear comes back."""

    order: ConfigurationChange
    done: Callable[[int], None]
    attempts: int = 0


class Cluster:
    """Machines, the network between them, and operators."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        tolerance: int = 1,
        loss: float = 0.0,
        further: int = 0,
        diskless: int = 0,
    ) -> None:
        """`size` seeds form the first view; `further` machines count too, `diskless` ones pass calls on."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.tolerance = tolerance
        self.rules = Rules(tolerance)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.machines: dict[str, Machine] = {}
        self.seeds = tuple(f"10.0.0.{n}:7000" for n in range(1, size + 1))
        self.told = self.seeds  # the seeds that processes find in their settings when they start
        self.cuts: Counter[tuple[str, str]] = Counter()  # from, to: how many troubles cut it
        self._replies: dict[str, Callable[[Reply], None]] = {}
        self._tokens = itertools.count(1)
        for address in self.seeds:
            self.machines[address] = Machine(address)
            self.start(address, bootstrap=True)
        for n in range(size + 1, size + further + diskless + 1):
            address = f"10.0.0.{n}:7000"
            self.machines[address] = Machine(address, counts=n <= size + further)
            self.start(address, bootstrap=True)

    # Time.

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay_ms, next(self._count), action))

    def run(self, for_ms: float) -> None:
        """Let time pass; the rules are checked after each step."""
        until = self.now + for_ms
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self.rules.check(self.machines)
        self.now = until

    # Machines.

    def start(self, address: str, bootstrap: bool = False) -> None:
        """Start the process of a machine with what is on its disk."""
        machine = self.machines[address]
        machine.life += 1
        machine.queue, machine.held = [], []
        machine.writing = machine.frozen = False
        if machine.durable is None:
            incarnation = FIRST_INCARNATION if bootstrap else f"{self.rng.getrandbits(64):016x}"
            machine.durable = DurableState(incarnation)
        durable = _copied(machine.durable)
        if not machine.counts:
            durable = DurableState(f"{self.rng.getrandbits(64):016x}")
        me = Member(address, durable.incarnation)
        rng = random.Random(self.rng.getrandbits(64))
        machine.replica = Replica(
            me, machine.counts, durable, self.told, self.tolerance, validate, rng, self.now
        )
        life = machine.life
        first = initial_view(self.seeds) if bootstrap and address in self.seeds else None
        self._perform(machine, machine.replica.start(first))
        self.after(self.rng.uniform(0.0, TICK_MS), lambda: self._tick(machine, life))

    def power_off(self, address: str) -> None:
        """End a process; of what its disk was writing, some may be there."""
        machine = self.machines[address]
        if machine.durable is not None and machine.replica is not None and not machine.stalled:
            for _, record in machine.queue[: self.rng.randint(0, len(machine.queue))]:
                apply_record(machine.durable, record)
        self.kill(address)

    def add(self, address: str) -> None:
        """A new machine with an empty disk."""
        self.machines[address] = Machine(address)
        self.start(address)

    def kill(self, address: str) -> None:
        """End a process; what its disk has not taken yet is lost."""
        machine = self.machines[address]
        machine.replica = None
        machine.life += 1

    def wipe(self, address: str) -> None:
        """End a process and lose its disk."""
        self.kill(address)
        durable = self.machines[address].durable
        if durable is not None:
            self.rules.disk_lost(durable)
        self.machines[address].durable = None

    def remove(self, address: str) -> None:
        """A machine is gone for good."""
        self.wipe(address)
        self.machines[address].gone = True

    def freeze(self, address: str) -> None:
        """A process stands still; what comes waits."""
        self.machines[address].frozen = True

    def thaw(self, address: str) -> None:
        """And goes on."""
        machine = self.machines[address]
        machine.frozen = False
        held, machine.held = machine.held, []
        for action in held:
            action()

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """No messages from one to the other."""
        self.cuts[one, other] += 1
        if both:
            self.cuts[other, one] += 1

    def uncut(self, one: str, other: str, both: bool = True) -> None:
        """One trouble less that cuts them off."""
        for pair in ((one, other), (other, one))[: 1 + both]:
            self.cuts[pair] -= 1
            if self.cuts[pair] <= 0:
                del self.cuts[pair]

    def leave(self, address: str, grace_ms: float) -> None:
        """SIGTERM: the process ends once it may, or at the end of the grace period."""
        machine = self.machines[address]
        if machine.replica is None:
            return
        life = machine.life
        self._guarded(machine, life, lambda: self._perform(machine, self._replica(machine).leave(self.now)))
        self.after(grace_ms, lambda: self._end(machine, life))
        self._look_to_end(machine, life)

    def _look_to_end(self, machine: Machine, life: int) -> None:
        if machine.replica is None or machine.life != life:
            return
        if not machine.frozen and machine.replica.can_stop():
            self.kill(machine.address)
        else:
            self.after(TICK_MS, lambda: self._look_to_end(machine, life))

    def _end(self, machine: Machine, life: int) -> None:
        if machine.life == life:
            self.kill(machine.address)

    def _replica(self, machine: Machine) -> Replica:
        assert machine.replica is not None
        return machine.replica

    def heal(self) -> None:
        """All links work again."""
        self.cuts.clear()

    def stall(self, address: str, stalled: bool) -> None:
        """A disk answers nothing, or goes on."""
        machine = self.machines[address]
        machine.stalled = stalled
        self._write(machine)

    def _guarded(self, machine: Machine, life: int, action: Callable[[], None]) -> None:
        """Do something at a process, unless it has ended; later where it is frozen."""
        if machine.replica is None or machine.life != life:
            return
        if machine.frozen:
            machine.held.append(lambda: self._guarded(machine, life, action))
        else:
            action()

    def _tick(self, machine: Machine, life: int) -> None:
        if machine.replica is None or machine.life != life:
            return
        if not machine.frozen:
            self._perform(machine, machine.replica.tick(self.now))
        self.after(TICK_MS, lambda: self._tick(machine, life))

    def _perform(self, machine: Machine, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(machine.address, action.address, action.message)
                case Persist():
                    machine.queue.append((action.token, action.record))
                    self._write(machine)
                case Reply():
                    self.rules.replied(action, machine)
                    taker = self._replies.pop(action.token, None)
                    if taker is not None:
                        taker(action)
                case Commit():
                    self.rules.committed(action.state, machine, self.machines)

    def _send(self, source: str, target: str, message: ReplicaMessage) -> None:
        if target not in self.machines or (source, target) in self.cuts or self.rng.random() < self.loss:
            return
        self.after(self.rng.uniform(*DELAY_MS), lambda: self._arrive(source, target, message))

    def _arrive(self, source: str, target: str, message: ReplicaMessage) -> None:
        machine = self.machines[target]
        if (source, target) in self.cuts:
            return

        def handle() -> None:
            assert machine.replica is not None
            self._perform(machine, machine.replica.handle(message, self.now))

        self._guarded(machine, machine.life, handle)

    # Disks.

    def _write(self, machine: Machine) -> None:
        if machine.writing or machine.stalled or not machine.queue:
            return
        machine.writing = True
        life = machine.life
        wait = self.rng.uniform(*SYNC_MS) * machine.sync_x
        self.after(wait, lambda: self._written(machine, life))

    def _written(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.durable is None:
            return
        machine.writing = False
        if machine.stalled:
            return
        batch, machine.queue = machine.queue, []
        for _, record in batch:
            apply_record(machine.durable, record)
        for token, _ in batch:
            self._guarded(machine, life, lambda token=token: self._persisted(machine, token))  # type: ignore[misc]
        self._write(machine)

    def _persisted(self, machine: Machine, token: int) -> None:
        assert machine.replica is not None
        self._perform(machine, machine.replica.on_persisted(token, self.now))

    # Operators.

    def call(
        self, address: str, order: ConfigurationChange | None, taker: Callable[[Reply | None], None]
    ) -> None:
        """An operator's call to one machine; no answer within a second is None."""
        machine = self.machines[address]
        token = f"call-{next(self._tokens)}"
        ended = False

        def end(reply: Reply | None) -> None:
            nonlocal ended
            if not ended:
                ended = True
                taker(reply)

        self._replies[token] = end
        self.after(1_000.0, lambda: end(None))

        def begin() -> None:
            assert machine.replica is not None
            self._perform(machine, machine.replica.begin_call(token, order, self.now))

        self._guarded(machine, machine.life, begin)

    def order(
        self, order: ConfigurationChange, ended: Callable[[int], None], tries: int = 40, last: str = ""
    ) -> None:
        """Send an order until the answer is clear, each time to another machine than the `last`.

        The status that ended it is told; 0 where none did.
        """
        if not tries:
            ended(0)
            return
        up = [m.address for m in self.machines.values() if not m.gone and m.address != last]
        address = up[self.rng.randrange(len(up))]
        self.rules.sent(order)

        def taker(reply: Reply | None) -> None:
            if reply is None or reply.status == 503:
                wait_ms = 50.0 + 100.0 * self.rng.random()
                self.after(wait_ms, lambda: self.order(order, ended, tries - 1, address))
                return
            self.rules.answered(order, reply.status)
            ended(reply.status)

        self.call(address, order, taker)


def _copied(durable: DurableState) -> DurableState:
    """What a process reads from a disk: not the same objects."""
    return msgspec.convert(msgspec.to_builtins(copy.copy(durable)), DurableState)
