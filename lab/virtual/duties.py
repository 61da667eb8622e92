"""Singleton roles in virtual time: voters and candidates under faults, with clocks of different rates.

Membership information reaches processes late and may be wrong; safety must not depend on it. The oracle knows
the true time. At every event it checks that at most one process holds a role by its own clock, that fencing
tokens increase from lease to lease, and that no stale token is accepted.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import count
from typing import Any

from dunlinloft.fleet.leases.guard import FencingGuard
from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.messages import (
    Event,
    HandoverRequested,
    LeaseAcquired,
    LeaseLost,
    MembershipObserved,
    Message,
    MessageReceived,
    SendMessage,
    SetTimer,
    TableOpened,
    TimerFired,
    VoterChangeRequested,
    VotersChanged,
    VoterSet,
    WriteCompleted,
    WriteRequested,
)
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.leases.voters import VOTERS_KEY
from lab.virtual import scene
from lab.virtual.scene import InvariantViolation

WALL_MS = 1_700_000_000_000
MEMBERSHIP_INTERVAL_MS = 300.0  # interval of membership updates to a process
DEATH_DETECTION_MS = 2_200.0  # time until a death is detected


class Process(scene.Process):
    """A process with its own monotonic clock, and a wall clock that may be wrong."""

    def __init__(self, world: World, name: str, rate: float, wall_error_ms: float) -> None:
        super().__init__(world, name, rate)
        self.wall_error_ms = wall_error_ms
        self.working: dict[str, int] = {}  # tokens of the roles whose work is running here
        self.core = world.core(
            name, self.life, world.named, world.duties, random.Random(world.rng.getrandbits(64)), self.wall,
            self.clock(), world.term_ms, world.drift,
        )  # fmt: skip

    def wall(self) -> int:
        """Return the process's wall clock time."""
        return int(WALL_MS + self.scene.now + self.wall_error_ms)

    def holds(self, duty: str) -> bool:
        """Return whether the process would act in a role now; it checks this before each action."""
        return self.alive and not self.stopped and self.core.holds(duty, self.clock())


class StateTableOracle:
    """Oracle of the state table: records what was written and acknowledged, and checks what is read."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._request_ids = count(1)
        self._keys: dict[int, str] = {}
        self.acked: dict[str, int] = {}  # by key: the latest acknowledged entry
        self._found: dict[str, int] = {}  # by key: the entry found at the latest opening
        self._gone: set[int] = set()  # entries not found at an opening, which must not reappear
        self._token = 0
        self.entered = self.kept = self.openings = self.losses = 0
        self.open_ms: list[float] = []  # time from each acquisition of the role to the table's opening

    def enter(self, key: str) -> None:
        """Write a row at the current holder of the table."""
        for name in self._world.holders(STATE_TABLE_ROLE):
            wanted = next(self._request_ids)
            self._keys[wanted] = key
            self.entered += 1
            self._world.give(self._world.processes[name], WriteRequested(key, str(wanted).encode(), wanted))

    def change(self, add: str = "", remove: str = "") -> None:
        """Request a change of voters at the current holder of the table."""
        for name in self._world.holders(STATE_TABLE_ROLE):
            event = VoterChangeRequested(add, remove, next(self._request_ids))
            self._world.give(self._world.processes[name], event)

    def settled(self, action: WriteCompleted) -> None:
        """Record the outcome of a write: acknowledged, or unknown."""
        if not action.committed or action.request_id not in self._keys:
            return
        self.kept += 1
        key = self._keys[action.request_id]
        if action.request_id in self._gone:
            raise InvariantViolation(
                f"{self._world.when()}: entry {action.request_id} is acknowledged, and a successor lacks it"
            )
        self.acked[key] = max(self.acked.get(key, 0), action.request_id)

    def opened(self, process: Process, action: TableOpened) -> None:
        """Check the rows at an opening: none older than acknowledged, and none that was gone before."""
        self.openings += 1
        started = max(
            at
            for at, duty, name, _ in self._world.history
            if (duty, name) == (STATE_TABLE_ROLE, process.name)
        )
        self.open_ms.append(self._world.now - started)
        if action.token < self._token:
            return  # already replaced: its writes are rejected
        self._token = action.token
        ledger = process.core.table
        rows = (
            {} if ledger is None else {k: int(row.value) for k, row in ledger.rows.items() if k != VOTERS_KEY}
        )
        if action.rows_lost:  # an announced loss cancels all guarantees
            self.losses += 1
            self.acked.clear()
            self._found.clear()
        for key in {*self._keys.values()}:
            found = rows.get(key, 0)
            oldest = max(self.acked.get(key, 0), self._found.get(key, 0))
            if found < oldest or found in self._gone:
                what = f"{process.name} finds entry {found} of {key}, and {oldest} was acknowledged or found"
                raise InvariantViolation(f"{self._world.when()}: {what}")
            self._found[key] = found
        self._gone |= {wanted for wanted, key in self._keys.items() if wanted > rows.get(key, 0)}


class World(scene.Simulation[Process]):
    """Simulation of voters, candidates, links and faults."""

    def __init__(
        self, seed: int, members: int = 8, voters: int = 5, duties: int = 2, term_ms: float = 3000.0,
        drift: float = 0.02, core: type[LeaseManager] = LeaseManager, loss: float = 0.0, ledger: bool = False,
    ) -> None:  # fmt: skip
        super().__init__(seed, members, loss)
        self.core, self.term_ms, self.drift = core, term_ms, drift
        self.named = self.names[:voters]  # configured voters
        self.epochs: dict[int, tuple[str, ...]] = {0: tuple(self.named)}  # voters by epoch
        self.duties = [f"d{n}" for n in range(duties)] + ([STATE_TABLE_ROLE] if ledger else [])
        self.delay_ms = 10.0
        self.guard = FencingGuard()
        self.token_matters = True  # if False, only the number of holders is checked
        self.tokens: dict[str, int] = {}
        self.history: list[tuple[float, str, str, int]] = []  # time, role, holder, token
        self.lost: Counter[str] = Counter()
        self.messages = 0
        self.old: list[tuple[str, Message, str]] = []  # messages to be replayed later
        self.table_oracle = StateTableOracle(self)
        for name in self.names:
            self.start(name)

    @property
    def voters(self) -> list[str]:
        """Return the voters after the latest change adopted by any process."""
        return list(self.epochs[max(self.epochs)])

    # Processes

    def start(self, name: str) -> None:
        """Start a process without previous state, with a clock rate within the drift bound."""
        rate = 1.0 + self.rng.choice((-0.5, 0.5, 0.0)) * self.drift
        error = self.rng.choice((0.0, 0.0, -3_600_000.0, 3_600_000.0)) if self.now else 0.0
        process = self.processes[name] = Process(self, name, rate, error)
        self._gone_ms.pop(name, None)
        self.do(process, process.core.begin(process.clock()))
        self.after(MEMBERSHIP_INTERVAL_MS * self.rng.random(), self._observe_membership, process)

    def kill(self, name: str) -> None:
        """Kill a process without notice to others."""
        super().kill(name)
        self.processes[name].working.clear()

    def resumed(self, process: Process) -> None:
        """Complete the actions that were in progress when the process was stopped."""
        for duty, token in process.working.items():
            self.act(duty, token)

    def _observe_membership(self, process: Process) -> None:
        """Send what membership would report: delayed, with the holders as they claim themselves."""
        if not process.alive:
            return
        here = frozenset(
            name
            for name in self.names
            if self.now - self._gone_ms.get(name, self.now) < DEATH_DETECTION_MS
            and (name, process.name) not in self.cut
        )
        claims = {
            duty: (other.name, other.core.candidates[duty].token)
            for other in self.processes.values()
            for duty in self.duties
            if other.name in here and other.alive and other.core.candidates[duty].is_leader
        }
        known_voters = [p.core.voters for p in self.processes.values() if p.name in here and p.alive]
        latest = max(known_voters, key=lambda voters: voters.epoch, default=None)
        self.turn(
            process, self.give, process, MembershipObserved(here | {process.name}, claims, voters=latest)
        )
        self.after(MEMBERSHIP_INTERVAL_MS * (0.5 + self.rng.random()), self._observe_membership, process)

    def give(self, process: Process, event: Event) -> None:
        """Pass an event to a core and perform the resulting actions."""
        if process.alive:
            self.do(process, process.core.handle(event, process.clock()))

    def do(self, process: Process, actions: list[Any]) -> None:
        """Perform the actions of a core."""
        for action in actions:
            match action:
                case SendMessage():
                    self._send(process, action.recipient, action.message)
                case SetTimer():
                    event = TimerFired(action.token)
                    self.after(action.delay_ms / process.rate, self.turn, process, self.give, process, event)
                case LeaseAcquired():
                    self._on_acquired(process, action)
                case TableOpened():
                    self.table_oracle.opened(process, action)
                case WriteCompleted():
                    self.table_oracle.settled(action)
                case VotersChanged():
                    self._check_voters(action.voters)
                case LeaseLost():
                    process.working.pop(action.role, None)
                    self.lost[action.reason.partition(" ")[0]] += 1

    def _send(self, process: Process, name: str, message: Message) -> None:
        self.messages += 1
        if (process.name, name) in self.cut or self.rng.random() < self.loss:
            return
        if self.rng.random() < 0.01:
            self.old.append((name, message, process.name))
        delay = self.delay_ms * (0.5 + self.rng.random()) if name != process.name else 0.0
        copies = 2 if self.rng.random() < 0.02 else 1
        for _ in range(copies):
            self.after(delay * self.rng.choice((1, 1, 1, 4)), self.deliver, name, message, process.name)

    def deliver(self, name: str, message: Message, sender: str) -> None:
        """Deliver a message to the process that currently has this name."""
        process = self.processes[name]
        self.turn(process, self.give, process, MessageReceived(message, sender))

    def replay(self) -> None:
        """Redeliver a quarter of the recorded messages."""
        for old in self.rng.sample(self.old, len(self.old) // 4):
            self.deliver(*old)

    # The oracle

    def _check_voters(self, voters: VoterSet) -> None:
        names = self.epochs.setdefault(voters.epoch, voters.names)
        if names != voters.names:
            raise InvariantViolation(
                f"{self.when()}: change {voters.epoch} of voters is {names} and {voters.names}"
            )

    def _on_acquired(self, process: Process, start: LeaseAcquired) -> None:
        previous_token = self.tokens.get(start.role, 0)
        if start.token <= previous_token and self.token_matters:
            raise InvariantViolation(
                f"{self.when()}: {start.role}: token {start.token} after {previous_token}"
            )
        self.tokens[start.role] = start.token
        process.working[start.role] = start.token
        self.history.append((self.now, start.role, process.name, start.token))
        if not self.act(start.role, start.token) and self.token_matters:
            raise InvariantViolation(f"{self.when()}: {start.role}: its new holder's token is refused")

    def act(self, duty: str, token: int) -> bool:
        """Perform an action with a token; returns whether it is accepted, which a stale one must not be."""
        obeyed = self.guard.admits(duty, token)
        if obeyed and token < self.tokens.get(duty, 0) and self.token_matters:
            raise InvariantViolation(f"{self.when()}: {duty}: an act with the old token {token} was obeyed")
        return obeyed

    def holders(self, duty: str) -> list[str]:
        """Return the processes that would act in a role at this instant."""
        return [process.name for process in self.processes.values() if process.holds(duty)]

    def check(self) -> None:
        """Check that each role has at most one holder."""
        for duty in self.duties:
            holders = self.holders(duty)
            if len(holders) > 1:
                raise InvariantViolation(f"{self.when()}: {duty} is held by {' and '.join(holders)}")

    def hand_over(self, duty: str, to: str = "") -> None:
        """Ask the holder of a role to hand it over."""
        for name in self.holders(duty):
            self.give(self.processes[name], HandoverRequested(duty, to))
