"""A cluster of replicas in virtual time, on a network and disks that can fail.

The network delays, drops and partitions; disks are slow, stall or are lost. All randomness comes from one
seed, so a run is reproducible. Times are in milliseconds.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from dunlinloft.coordination.actions import Action, Commit, Persist, Reply, Send
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.records import DurableState, apply_record
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.views import FIRST_INCARNATION, Member, initial_view
from dunlinloft.validation import validate
from lab.control.invariants import InvariantChecker
from lab.control.machine import Machine

TICK_INTERVAL_MS = 50.0  # of a replica
NETWORK_DELAY_MS = (0.5, 3.0)  # range of the delay of a message
SYNC_DURATION_MS = (0.8, 1.5)  # range of the duration of a write and sync
CALL_TIMEOUT_MS = 1_000.0  # after which an operator's call is unanswered


class Cluster:
    """The event loop of the simulation, with machines, their network and disks, and operators' calls.

    Runs the product's `Replica` unchanged; invariants are checked after each event.
    """

    def __init__(
        self,
        seed: int,
        size: int = 3,
        tolerance: int = 1,
        loss: float = 0.0,
        additional: int = 0,
        diskless: int = 0,
    ) -> None:
        """Start all machines.

        Parameters
        ----------
        seed:
            Seed of all random decisions.
        size:
            Number of seed machines, which form the first view.
        tolerance:
            Number of disks that may be lost at once without losing acknowledged changes.
        loss:
            Probability that the network drops a message.
        additional:
            Number of stateful machines besides the seeds.
        diskless:
            Number of machines that only forward calls.
        """
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.tolerance = tolerance
        self.checker = InvariantChecker(tolerance)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.machines: dict[str, Machine] = {}
        self.seeds = tuple(f"10.0.0.{n}:7000" for n in range(1, size + 1))
        self.configured_seeds = self.seeds  # the seeds in the settings of processes that start
        self.disconnected: Counter[tuple[str, str]] = Counter()  # blocks by (source, target)
        self._replies: dict[str, Callable[[Reply], None]] = {}
        self._tokens = itertools.count(1)
        for address in self.seeds:
            self.machines[address] = Machine(address)
            self.start(address, bootstrap=True)
        for n in range(size + 1, size + additional + diskless + 1):
            address = f"10.0.0.{n}:7000"
            self.machines[address] = Machine(address, stateful=n <= size + additional)
            self.start(address, bootstrap=True)

    # Time.

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay; actions due at once run in the order of scheduling."""
        heapq.heappush(self._events, (self.now + delay_ms, next(self._sequence), action))

    def run(self, for_ms: float) -> None:
        """Advance virtual time; the invariants are checked after each event. Raises `InvariantViolation`."""
        until = self.now + for_ms
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self.checker.check_views(self.machines)
        self.now = until

    # Machines.

    def start(self, address: str, bootstrap: bool = False) -> None:
        """Start a machine's process from the state on its disk.

        With `bootstrap`, a seed starts with the initial view.
        """
        machine = self.machines[address]
        machine.generation += 1
        machine.unsynced = []
        machine.pending = []
        machine.writing = False
        machine.frozen = False
        if machine.durable is None:
            incarnation = FIRST_INCARNATION if bootstrap else f"{self.rng.getrandbits(64):016x}"
            machine.durable = DurableState(incarnation)
        durable = _copied(machine.durable)
        if not machine.stateful:
            durable = DurableState(f"{self.rng.getrandbits(64):016x}")
        me = Member(address, durable.incarnation)
        rng = random.Random(self.rng.getrandbits(64))
        machine.replica = Replica(
            me, machine.stateful, durable, self.configured_seeds, self.tolerance, validate, rng, self.now
        )
        generation = machine.generation
        first = initial_view(self.seeds) if bootstrap and address in self.seeds else None
        self._perform(machine, machine.replica.start(first))
        self.after(self.rng.uniform(0.0, TICK_INTERVAL_MS), lambda: self._tick(machine, generation))

    def power_off(self, address: str) -> None:
        """End a process by power loss: a random prefix of the unsynced records is on its disk."""
        machine = self.machines[address]
        if machine.durable is not None and machine.replica is not None and not machine.stalled:
            for _, record in machine.unsynced[: self.rng.randint(0, len(machine.unsynced))]:
                apply_record(machine.durable, record)
        self.kill(address)

    def add(self, address: str) -> None:
        """Add and start a machine with an empty disk."""
        self.machines[address] = Machine(address)
        self.start(address)

    def kill(self, address: str) -> None:
        """Kill a process; records not yet synced are lost."""
        machine = self.machines[address]
        machine.replica = None
        machine.generation += 1

    def wipe(self, address: str) -> None:
        """End a process and lose its disk."""
        self.kill(address)
        durable = self.machines[address].durable
        if durable is not None:
            self.checker.on_disk_lost(durable)
        self.machines[address].durable = None

    def remove(self, address: str) -> None:
        """Remove a machine and its disk permanently."""
        self.wipe(address)
        self.machines[address].removed = True

    def freeze(self, address: str) -> None:
        """Suspend a process (SIGSTOP); its events are queued."""
        self.machines[address].frozen = True

    def thaw(self, address: str) -> None:
        """Resume a frozen process: queued events are handled in order of arrival."""
        machine = self.machines[address]
        machine.frozen = False
        pending = machine.pending
        machine.pending = []
        for action in pending:
            action()

    def disconnect(self, one: str, other: str, both: bool = True) -> None:
        """Block messages from `one` to `other`, with `both` also back; faults that overlap are counted."""
        self.disconnected[one, other] += 1
        if both:
            self.disconnected[other, one] += 1

    def reconnect(self, one: str, other: str, both: bool = True) -> None:
        """Undo one `disconnect`; the link works once no fault blocks it."""
        for pair in ((one, other), (other, one))[: 1 + both]:
            self.disconnected[pair] -= 1
            if self.disconnected[pair] <= 0:
                del self.disconnected[pair]

    def leave(self, address: str, grace_ms: float) -> None:
        """Send SIGTERM: the process exits once its replica can stop, or after the grace period."""
        machine = self.machines[address]
        if machine.replica is None:
            return
        generation = machine.generation
        self._guarded(
            machine, generation, lambda: self._perform(machine, self._replica(machine).leave(self.now))
        )
        self.after(grace_ms, lambda: self._end(machine, generation))
        self._poll_shutdown(machine, generation)

    def _poll_shutdown(self, machine: Machine, generation: int) -> None:
        if machine.replica is None or machine.generation != generation:
            return
        if not machine.frozen and machine.replica.can_stop():
            self.kill(machine.address)
        else:
            self.after(TICK_INTERVAL_MS, lambda: self._poll_shutdown(machine, generation))

    def _end(self, machine: Machine, generation: int) -> None:
        if machine.generation == generation:
            self.kill(machine.address)

    def _replica(self, machine: Machine) -> Replica:
        assert machine.replica is not None
        return machine.replica

    def heal(self) -> None:
        """Restore all links."""
        self.disconnected.clear()

    def stall(self, address: str, stalled: bool) -> None:
        """Stall a disk's writes, or let them continue."""
        machine = self.machines[address]
        machine.stalled = stalled
        self._write(machine)

    def _guarded(self, machine: Machine, generation: int, action: Callable[[], None]) -> None:
        """Run an action at a process unless it has ended; while it is frozen, defer the action."""
        if machine.replica is None or machine.generation != generation:
            return
        if machine.frozen:
            machine.pending.append(lambda: self._guarded(machine, generation, action))
        else:
            action()

    def _tick(self, machine: Machine, generation: int) -> None:
        if machine.replica is None or machine.generation != generation:
            return
        if not machine.frozen:
            self._perform(machine, machine.replica.tick(self.now))
        self.after(TICK_INTERVAL_MS, lambda: self._tick(machine, generation))

    def _perform(self, machine: Machine, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(machine.address, action.address, action.message)
                case Persist():
                    machine.unsynced.append((action.token, action.record))
                    self._write(machine)
                case Reply():
                    on_reply = self._replies.pop(action.token, None)
                    if on_reply is not None:
                        on_reply(action)
                case Commit():
                    self.checker.on_commit(action.state, machine, self.machines)

    def _send(self, source: str, target: str, message: ReplicaMessage) -> None:
        if (
            target not in self.machines
            or (source, target) in self.disconnected
            or self.rng.random() < self.loss
        ):
            return
        self.after(self.rng.uniform(*NETWORK_DELAY_MS), lambda: self._arrive(source, target, message))

    def _arrive(self, source: str, target: str, message: ReplicaMessage) -> None:
        machine = self.machines[target]
        if (source, target) in self.disconnected:
            return

        def handle() -> None:
            """Deliver the message to the replica."""
            assert machine.replica is not None
            self._perform(machine, machine.replica.handle(message, self.now))

        self._guarded(machine, machine.generation, handle)

    # Disks.

    def _write(self, machine: Machine) -> None:
        if machine.writing or machine.stalled or not machine.unsynced:
            return
        machine.writing = True
        generation = machine.generation
        wait = self.rng.uniform(*SYNC_DURATION_MS) * machine.sync_slowdown
        self.after(wait, lambda: self._written(machine, generation))

    def _written(self, machine: Machine, generation: int) -> None:
        if machine.generation != generation or machine.durable is None:
            return
        machine.writing = False
        if machine.stalled:
            return
        batch = machine.unsynced
        machine.unsynced = []
        for _, record in batch:
            apply_record(machine.durable, record)
        for token, _ in batch:
            self._guarded(machine, generation, lambda token=token: self._persisted(machine, token))  # type: ignore[misc]
        self._write(machine)

    def _persisted(self, machine: Machine, token: int) -> None:
        assert machine.replica is not None
        self._perform(machine, machine.replica.on_persisted(token, self.now))

    # Operators.

    def call(
        self, address: str, change: ConfigurationChange | None, on_reply: Callable[[Reply | None], None]
    ) -> None:
        """Call one machine as an operator does: a change, or a read where `change` is None.

        `on_reply` runs once, with None if there is no reply within `CALL_TIMEOUT_MS`.
        """
        machine = self.machines[address]
        token = f"call-{next(self._tokens)}"
        answered = False

        def answer(reply: Reply | None) -> None:
            """Report the reply or the time-out, whichever is first."""
            nonlocal answered
            if not answered:
                answered = True
                on_reply(reply)

        self._replies[token] = answer
        self.after(CALL_TIMEOUT_MS, lambda: answer(None))

        def begin() -> None:
            """Begin the call at the replica."""
            assert machine.replica is not None
            self._perform(machine, machine.replica.begin_call(token, change, self.now))

        self._guarded(machine, machine.generation, begin)

    def submit(
        self,
        change: ConfigurationChange,
        on_result: Callable[[int], None],
        attempts_left: int = 40,
        previous: str = "",
    ) -> None:
        """Submit a change until its result is definite, each attempt to another machine than the `previous`.

        `on_result` receives the HTTP status that settled it, or 0 where all attempts were indefinite (503 or
        no reply).
        """
        if not attempts_left:
            on_result(0)
            return
        up = [m.address for m in self.machines.values() if not m.removed and m.address != previous]
        address = up[self.rng.randrange(len(up))]

        def on_reply(reply: Reply | None) -> None:
            """Retry at another machine, or report the definite result."""
            if reply is None or reply.status == 503:
                wait_ms = 50.0 + 100.0 * self.rng.random()
                self.after(wait_ms, lambda: self.submit(change, on_result, attempts_left - 1, address))
                return
            self.checker.on_result(change, reply.status)
            on_result(reply.status)

        self.call(address, change, on_reply)


def _copied(durable: DurableState) -> DurableState:
    """Return a deep copy: a process shares no objects with its disk."""
    return msgspec.convert(msgspec.to_builtins(copy.copy(durable)), DurableState)
