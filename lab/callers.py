"""Simulated callers: send requests according to the plan, and retry or give up depending on the answers.

A `FrontRouter` between callers and nodes knows which nodes accept requests; the host keeps it up to date.
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

MAX_HONOURED_RETRY_MS = 3000.0  # upper limit on the advised retry delay that callers wait
MIN_RECONNECT_MS = 30.0  # minimum wait before another node is tried
REQUEST_RETENTION_MS = 15_000.0  # late attempts of a request may arrive this long after its answer
REFUSALS = (429, 503)

Done = Callable[[int, str, float], None]  # status, server that made the answer, advised retry delay in ms


@dataclass(slots=True)
class Order:
    """A request as sent to a node; servers read from it how much work the request takes."""

    id: str
    cls: int
    name: str  # of the class
    budget_ms: float
    work_ms: float
    key: str
    tenant: str
    is_retry: bool
    origin: str = CALLERS


class RequestTransport(Protocol):
    """Interface through which a host sends requests to nodes."""

    def ask(self, node: str, order: Order, done: Done) -> None:
        """Send a request; `done` is called once, with the answer."""

    def leave(self, node: str, id: str) -> None:
        """Close the connection on which the request waits."""


class Orders:
    """Requests sent by callers, by id; servers receive no others."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: dict[str, Order] = {}
        self._finished: deque[tuple[float, str]] = deque()

    def add(self, order: Order) -> None:
        """Register a request."""
        self._open[order.id] = order

    def get(self, id: str) -> Order | None:
        """Return the request with this id, or None if no caller has sent it."""
        return self._open.get(id)

    def over(self, id: str) -> None:
        """Mark a request as finished; it is dropped once no attempt can still be in transit."""
        now = self._clock.now()
        self._finished.append((now, id))
        while self._finished and self._finished[0][0] < now - REQUEST_RETENTION_MS:
            self._open.pop(self._finished.popleft()[1], None)


class FrontRouter:
    """Routes callers to nodes that accept requests, preferring the caller's zone."""

    def __init__(self, nodes: dict[str, str], seed: int) -> None:
        self._zones, self._random = nodes, random.Random(seed)
        self.admitted = dict.fromkeys(nodes, False)

    def pick(self, home: str) -> str | None:
        """Return the home node if it accepts callers, else one in its zone, else any, else None."""
        if self.admitted[home]:
            return home
        there = [node for node, yes in self.admitted.items() if yes]
        near = [node for node in there if self._zones[node] == self._zones[home]]
        return self._random.choice(near or there) if there else None


class _CallerWork:
    """One arrival with all its tries."""

    __slots__ = ("abandoned", "arrival", "awaiting_answer", "done", "id", "node", "number", "tries")

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival, self.number, self.tries = arrival, number, 0
        self.id = self.node = ""
        self.awaiting_answer = False  # whether a try is waiting for its answer
        self.done = self.abandoned = False


class Callers:
    """All callers of a run."""

    def __init__(
        self,
        plan: Plan,
        clock: Clock,
        transport: RequestTransport,
        front: FrontRouter,
        orders: Orders,
        tell: Sink,
    ) -> None:
        self._plan, self._clock, self._transport, self._front = plan, clock, transport, front
        self._orders, self._tell = orders, tell
        self._spec, self._classes = plan.scenario.callers, plan.scenario.classes
        self._random = random.Random(f"{plan.seed}callers")
        self._next = 0
        self.open = 0  # arrivals without an outcome yet

    def start(self) -> None:
        """Schedule the first arrival."""
        self._schedule()

    def finished(self) -> bool:
        """Return whether all arrivals were sent and have an outcome."""
        return self._next >= len(self._plan.arrivals) and not self.open

    def _schedule(self) -> None:
        if self._next < len(self._plan.arrivals):
            at = self._plan.arrivals[self._next].at_ms
            self._clock.after(max(0.0, at - self._clock.now()), self._arrive)

    def _arrive(self) -> None:
        now = self._clock.now()
        while self._next < len(self._plan.arrivals) and self._plan.arrivals[self._next].at_ms <= now + 1e-6:
            work = _CallerWork(self._plan.arrivals[self._next], self._next)
            self._next += 1
            self.open += 1
            if work.arrival.leaves_ms < self._classes[work.arrival.cls].deadline_ms:
                self._clock.after(work.arrival.leaves_ms, self._leave, work)
            self._try(work)
        self._schedule()

    def _try(self, work: _CallerWork) -> None:
        if work.done:
            return
        arrival, cls = work.arrival, self._classes[work.arrival.cls]
        now = self._clock.now()
        left = arrival.at_ms + cls.deadline_ms - now
        node = self._front.pick(arrival.node)
        work.tries += 1
        if node is None:
            return self._answered(work, work.tries, UNREACHED, "", 0.0)
        work.id, work.node, work.awaiting_answer = (
            f"{self._plan.seed:04x}{work.number:08x}{work.tries:04x}",
            node,
            True,
        )
        budget = min(left, self._spec.try_share * cls.deadline_ms) if work.tries < self._spec.tries else left
        key = f"k{self._plan.seed:x}{work.number:x}" if cls.effect == "keyed" else ""
        tenant = self._tenant(arrival)
        order = Order(work.id, arrival.cls, cls.name, budget, arrival.work_ms, key, tenant, work.tries > 1)
        self._orders.add(order)
        try_number = work.tries
        self._transport.ask(node, order, lambda *answer: self._answered(work, try_number, *answer))

    def _leave(self, work: _CallerWork) -> None:
        if work.done:
            return
        work.abandoned = True
        if work.awaiting_answer:
            self._tell(records.Left(self._clock.now(), work.id, work.node))
            self._orders.over(work.id)
            self._transport.leave(work.node, work.id)
        self._close(work, "left")

    def _answered(
        self, work: _CallerWork, try_number: int, status: int, maker: str, advice_ms: float
    ) -> None:
        if work.awaiting_answer and try_number == work.tries:
            work.awaiting_answer = False
            if not work.abandoned:
                self._tell(records.Answered(self._clock.now(), work.id, work.node, status, maker))
                self._orders.over(work.id)
        if work.done or try_number != work.tries:
            return
        arrival, cls = work.arrival, self._classes[work.arrival.cls]
        passed = self._clock.now() - arrival.at_ms
        if status == 200:
            outcome = "in_time" if passed <= cls.aim_ms else "late" if passed <= cls.deadline_ms else "failed"
            return self._close(work, outcome)
        wait = self._wait(work, status, advice_ms)
        harmless = status in REFUSALS or status == UNREACHED or cls.effect == "safe"
        repeatable_anywhere = cls.effect == "keyed" and cls.group == "all" and passed < cls.window_ms
        repeatable_in_window = cls.effect == "keyed" and self._spec.repeats and passed + wait < cls.window_ms
        tries_left = work.tries < self._spec.tries and passed + wait < cls.deadline_ms
        if tries_left and (harmless or repeatable_anywhere or repeatable_in_window):
            self._clock.after(wait, self._try, work)
        elif status in REFUSALS or status == UNREACHED:
            self._close(work, "refused")
        else:
            self._close(work, "lost" if status in (CLOSED, SILENT) else "failed")

    def _wait(self, work: _CallerWork, status: int, advice_ms: float) -> float:
        wait = self._plan.backoff_ms * (0.5 + self._random.random())
        if work.arrival.honours and status in REFUSALS:
            wait = max(wait, min(advice_ms, MAX_HONOURED_RETRY_MS))
        return max(wait, MIN_RECONNECT_MS) if status == UNREACHED else wait

    def _tenant(self, arrival: Arrival) -> str:
        """Return the name of the arrival's tenant, or "" if it has none."""
        return self._plan.scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""

    def _close(self, work: _CallerWork, outcome: str) -> None:
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
