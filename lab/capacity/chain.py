"""Retries over many tiers: a chain of real balancers, one per tier, above a faulty last tier.

Each balancer sends to four servers, each of which calls the next tier and answers with the result of that
call. The last tier serves all calls, fails a share of them, or has capacity for only half of them. Time is
virtual. A caller that gives up leaves its call running in the tiers below, as can happen on the network.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import ListUpdateKind, Result
from lab.capacity import sizes
from lab.capacity.model import Experiment, Figure

RATE_S = 100.0  # requests per second at the first tier
SERVERS = 4  # per tier
HOP_MS, WORK_MS = 0.3, 20.0  # network delay of a message; work of the last tier per call
ILL_MS, MEASURED_MS = 10_000.0, 20_000.0  # start of the last tier's fault, and its duration
MAX_QUEUED_CALLS = 20  # calls queued at the last tier; further ones are rejected
MAX_ATTEMPTS = 5
CLASS = api.RequestClass("view", 750.0, 3000.0, idempotency=api.Idempotency.IDEMPOTENT)
Done = Callable[[Result], None]


class Bottom:
    """All servers of the last tier: fails a share of its calls, or serves a limited number per second."""

    def __init__(self, chain: Chain, fails: float, room: float) -> None:
        self._chain, self._fails, self._capacity_s = chain, fails, room
        self._free_ms = 0.0
        self.asked = self.served = 0

    def call(self, ttl_ms: float, done: Done) -> None:
        """Handle a call."""
        chain = self._chain
        ill = chain.now >= ILL_MS
        self.asked += ill
        if ill and self._capacity_s:
            wait = max(0.0, self._free_ms - chain.now)
            if wait > MAX_QUEUED_CALLS * 1000.0 / self._capacity_s:
                return chain.after(HOP_MS, done, Result.REJECTED)
            self._free_ms = chain.now + wait + 1000.0 / self._capacity_s
            self.served += 1
            return chain.after(wait + WORK_MS, done, Result.SERVED)
        failed = ill and chain.rng.random() < self._fails
        self.served += ill and not failed
        chain.after(WORK_MS, done, Result.ERROR if failed else Result.SERVED)


class Tier:
    """A tier's balancer and its pending calls."""

    def __init__(self, chain: Chain, number: int, below: Tier | Bottom) -> None:
        settings = api.Settings([CLASS], tier=number, tiers=chain.depth, max_attempts=MAX_ATTEMPTS, zone="z")
        self._chain, self._below, self._ids = chain, below, count()
        self._balancer = Balancer(settings, chain.rng.getrandbits(32))
        self._pending: dict[str, Done] = {}
        self._attempts: dict[str, int] = {}
        self.asked = self.sent = 0
        entries = [api.ServerEntry(n + 1, zone="z") for n in range(SERVERS)]
        self._perform(self._balancer.handle(api.ServerListUpdate(ListUpdateKind.SNAPSHOT, 1, entries), 0.0))

    def call(self, ttl_ms: float, done: Done) -> None:
        """Handle a request with its remaining time."""
        id = f"{next(self._ids)}"
        self._pending[id], self._attempts[id] = done, 0
        self.asked += self._chain.now >= ILL_MS
        self._handle(api.Request(id, CLASS.name, ttl_ms))

    def _handle(self, event: api.Event) -> None:
        self._perform(self._balancer.handle(event, self._chain.now))

    def _perform(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send():
                    self._send(action)
                case api.SetTimer():
                    self._chain.after(action.delay_ms, self._handle, api.TimerFired(action.token))
                case api.Reject():
                    self._finish(action.id, Result.REJECTED)
                case api.Fail():
                    self._finish(action.id, Result.ERROR)

    def _send(self, send: api.Send) -> None:
        number, began = self._attempts.get(send.id, 0), self._chain.now
        self._attempts[send.id] = number + 1
        self.sent += self._chain.now >= ILL_MS
        over = [False]

        def ended(result: Result) -> None:
            if over[0]:
                return
            over[0] = True
            settled = result is Result.SERVED and send.id in self._pending
            took = self._chain.now - began
            if settled:
                self._finish(send.id, result)
            self._handle(api.AttemptCompleted(send.id, number, send.server, result, took, settled))

        self._chain.after(send.timeout_ms, ended, Result.TIMEOUT)
        self._chain.after(HOP_MS, self._below.call, send.timeout_ms, partial(self._return_result, ended))

    def _return_result(self, ended: Done, result: Result) -> None:
        self._chain.after(HOP_MS, ended, result)

    def _finish(self, id: str, result: Result) -> None:
        self._attempts.pop(id, None)
        done = self._pending.pop(id, None)
        if done is not None:
            done(result)


class Chain:
    """All tiers, and the callers of the first one."""

    def __init__(self, depth: int, seed: int, fails: float = 0.0, room: float = 0.0) -> None:
        self.depth, self.rng, self.now = depth, random.Random(seed), 0.0
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._number = count()
        self.bottom = Bottom(self, fails, room)
        below: Tier | Bottom = self.bottom
        self.tiers: list[Tier] = []
        for number in reversed(range(depth)):
            below = Tier(self, number, below)
            self.tiers.insert(0, below)
        self.ends: dict[Result, int] = dict.fromkeys(Result, 0)
        self._send_requests()

    def after(self, delay_ms: float, do: Callable[..., Any], *args: Any) -> None:
        """Call `do` after a delay."""
        heapq.heappush(self._heap, (self.now + delay_ms, next(self._number), do, args))

    def _send_requests(self) -> None:
        ill = self.now >= ILL_MS

        def done(result: Result) -> None:
            self.ends[result] += ill

        self.tiers[0].call(CLASS.deadline_ms, done)
        self.after(1000.0 * self.rng.expovariate(RATE_S), self._send_requests)

    def run(self, until_ms: float) -> None:
        """Run until a time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, do, args = heapq.heappop(self._heap)
            do(*args)
        self.now = until_ms


FAULTS: dict[str, dict[str, float]] = {
    "fails10": {"fails": 0.1}, "fails50": {"fails": 0.5}, "fails100": {"fails": 1.0},
    "half": {"room": RATE_S / 2.0},
}  # fmt: skip


def _chain(depth: int, seed: int) -> dict[str, float]:
    """Measure the attempts at the last tier per request at the first, and the share of requests served."""
    found: dict[str, float] = {}
    for name, ill in FAULTS.items():
        chain = Chain(depth, seed, **ill)
        chain.run(ILL_MS + MEASURED_MS)
        asked = max(1, chain.tiers[0].asked)
        found[name] = chain.bottom.asked / asked
        found[f"{name}-served"] = chain.ends[Result.SERVED] / asked
        found[f"{name}-worst"] = max(tier.sent / max(1, tier.asked) for tier in chain.tiers)
    return found


def bound(depth: int) -> float:
    """Return the attempts at the last tier per request if every tier makes all attempts allowed."""
    return math.pow(MAX_ATTEMPTS, depth)


EXPERIMENTS = (
    Experiment(
        "chain", "retries over tiers whose bottom is ill (virtual time)", "tiers", float(sizes.DEEP),
        (1, 2, 3, 5, 9, 18, 27), (1, 2, 3), (1, 2, 3),
        tuple(Figure(f"{name}{what}", "share" if what == "-served" else "attempts/request")
              for name in FAULTS for what in ("", "-worst", "-served")),
        _chain,
    ),
)  # fmt: skip
