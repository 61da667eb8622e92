"""The callers: what comes in, by the plan, and what each does with the answer it gets.

The front in between knows which nodes take callers, as the host tells it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lab import records
from lab.names import CALLERS
from lab.plan import Arrival, Plan
from lab.records import CLOSED, SILENT, UNREACHED, Sink
from lab.servers import Clock

MOST_ADVICE_MS = 3000.0  # of what a refusal advises, callers honour so much
REACHING_AGAIN_MS = 30.0  # least wait before another node is tried
FORGET_MS = 15_000.0  # an order's late attempts may come so long after its answer
REFUSALS = (429, 503)

Done = Callable[[int, str, float], None]  # status, maker, the wait that the answer advises


@dataclass(slots=True)
class Order:
    """A request as it goes to a node; servers look up here what it takes to serve it."""

    id: str
    cls: int
    name: str  # of its class
    budget_ms: float
    work_ms: float
    key: str
    tenant: str
    again: bool
    origin: str = CALLERS


class Reach(Protocol):
    """How a host gets a request to a node."""

    def ask(self, node: str, order: Order, done: Done) -> None:
        """Send it; `done` is called once."""

    def leave(self, node: str, id: str) -> None:
        """Close the connection on which this request waits."""


class Orders:
    """The requests that some caller has sent, by id; a server is asked for nothing else."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: dict[str, Order] = {}
        self._over: deque[tuple[float, str]] = deque()

    def add(self, order: Order) -> None:
        """Know a request from now on."""
        self._open[order.id] = order

    def get(self, id: str) -> Order | None:
        """The request of this id; None where nobody has sent one."""
        return self._open.get(id)

    def over(self, id: str) -> None:
        """Forget it, once nothing of it can still be on its way."""
        now = self._clock.now()
        self._over.append((now, id))
        while self._over and self._over[0][0] < now - FORGET_MS:
            self._open.pop(self._over.popleft()[1], None)


class Front:
    """Which nodes take callers, zone by zone."""

    def __init__(self, nodes: dict[str, str], seed: int) -> None:
        self._zones, self._random = nodes, random.Random(seed)
        self.admitted = dict.fromkeys(nodes, False)

    def pick(self, home: str) -> str | None:
        """Where a caller goes whose node this is: there, else in its zone, else anywhere."""
        if self.admitted[home]:
            return home
        there = [node for node, yes in self.admitted.items() if yes]
        near = [node for node in there if self._zones[node] == self._zones[home]]
        return self._random.choice(near or there) if there else None


class _Work:
    """One piece of work with all its tries."""

    __slots__ = ("arrival", "done", "gone", "id", "node", "number", "tries", "waits")

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival, self.number, self.tries = arrival, number, 0
        self.id = self.node = ""
        self.waits = False  # for an answer
        self.done = self.gone = False


class Callers:
    """All callers of a day."""

    def __init__(
        self, plan: Plan, clock: Clock, reach: Reach, front: Front, orders: Orders, tell: Sink
    ) -> None:
        self._plan, self._clock, self._reach, self._front = plan, clock, reach, front
        self._orders, self._tell = orders, tell
        self._spec, self._classes = plan.scenario.callers, plan.scenario.classes
        self._random = random.Random(f"{plan.seed}callers")
        self._next = 0
        self.open = 0  # pieces of work that have no end yet

    def start(self) -> None:
        """Let the first arrival come at its time."""
        self._schedule()

    def finished(self) -> bool:
        """Whether all has come and ended."""
        return self._next >= len(self._plan.arrivals) and not self.open

    def _schedule(self) -> None:
        if self._next < len(self._plan.arrivals):
            at = self._plan.arrivals[self._next].at_ms
            self._clock.after(max(0.0, at - self._clock.now()), self._arrive)

    def _arrive(self) -> None:
        now = self._clock.now()
        while self._next < len(self._plan.arrivals) and self._plan.arrivals[self._next].at_ms <= now + 1e-6:
            work = _Work(self._plan.arrivals[self._next], self._next)
            self._next += 1
            self.open += 1
            if work.arrival.leaves_ms < self._classes[work.arrival.cls].deadline_ms:
                self._clock.after(work.arrival.leaves_ms, self._leave, work)
            self._try(work)
        self._schedule()

    def _try(self, work: _Work) -> None:
        if work.done:
            return
        arrival, cls = work.arrival, self._classes[work.arrival.cls]
        now = self._clock.now()
        left = arrival.at_ms + cls.deadline_ms - now
        node = self._front.pick(arrival.node)
        work.tries += 1
        if node is None:
            return self._answered(work, work.tries, UNREACHED, "", 0.0)
        work.id, work.node, work.waits = f"{self._plan.seed:04x}{work.number:08x}{work.tries:04x}", node, True
        budget = min(left, self._spec.try_share * cls.deadline_ms) if work.tries < self._spec.tries else left
        key = f"k{self._plan.seed:x}{work.number:x}" if cls.effect == "keyed" else ""
        tenant = self._tenant(arrival)
        order = Order(work.id, arrival.cls, cls.name, budget, arrival.work_ms, key, tenant, work.tries > 1)
        self._orders.add(order)
        turn = work.tries
        self._reach.ask(node, order, lambda *answer: self._answered(work, turn, *answer))

    def _leave(self, work: _Work) -> None:
        if work.done:
            return
        work.gone = True
        if work.waits:
            self._tell(records.Left(self._clock.now(), work.id, work.node))
            self._orders.over(work.id)
            self._reach.leave(work.node, work.id)
        self._close(work, "left")

    def _answered(self, work: _Work, turn: int, status: int, maker: str, advice_ms: float) -> None:
        if work.waits and turn == work.tries:
            work.waits = False
            if not work.gone:
                self._tell(records.Answered(self._clock.now(), work.id, work.node, status, maker))
                self._orders.over(work.id)
        if work.done or turn != work.tries:
            return
        arrival, cls = work.arrival, self._classes[work.arrival.cls]
        passed = self._clock.now() - arrival.at_ms
        if status == 200:
            outcome = "in_time" if passed <= cls.aim_ms else "late" if passed <= cls.deadline_ms else "failed"
            return self._close(work, outcome)
        wait = self._wait(work, status, advice_ms)
        harmless = status in REFUSALS or status == UNREACHED or cls.effect == "safe"
        everywhere = cls.effect == "keyed" and cls.group == "all" and passed < cls.window_ms
        again = cls.effect == "keyed" and self._spec.repeats and passed + wait < cls.window_ms
        more = work.tries < self._spec.tries and passed + wait < cls.deadline_ms
        if more and (harmless or everywhere or again):
            self._clock.after(wait, self._try, work)
        elif status in REFUSALS or status == UNREACHED:
            self._close(work, "refused")
        else:
            self._close(work, "lost" if status in (CLOSED, SILENT) else "failed")

    def _wait(self, work: _Work, status: int, advice_ms: float) -> float:
        wait = self._plan.backoff_ms * (0.5 + self._random.random())
        if work.arrival.honours and status in REFUSALS:
            wait = max(wait, min(advice_ms, MOST_ADVICE_MS))
        return max(wait, REACHING_AGAIN_MS) if status == UNREACHED else wait

    def _tenant(self, arrival: Arrival) -> str:
        """Whose request it is; "" where it is nobody's."""
        return self._plan.scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""

    def _close(self, work: _Work, outcome: str) -> None:
        work.done = True
        self.open -= 1
        arrival = work.arrival
        tenant = self._tenant(arrival)
        passed = self._clock.now() - arrival.at_ms
        cls = self._classes[arrival.cls].name
        self._tell(
            records.Closed(
                self._clock.now(), cls, outcome, passed, work.tries, tenant, work.node or arrival.node
            )
        )
