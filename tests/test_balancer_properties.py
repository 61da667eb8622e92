"""The rules of `tests.checker` hold on random event sequences, and the checker detects violations."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from dunlinloft.balancer import interface as api
from dunlinloft.balancer import server as server_module
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.retry_policy import NOT_EXECUTED_RESULTS, RetryPolicy
from tests.checker import Checker, RuleViolation
from tests.helpers import settings

RESULTS = list(Result)
WEIGHTS = [12, 3, 3, 1, 3, 1, 1, 0]


@dataclass
class SentRequest:
    cls: api.RequestClass
    deadline_ms: float
    attempts: list[tuple[float, int, Result | None]] = field(default_factory=list)  # sent, server, result
    final_answers: int = 0


class SimulatedNode:
    """A node with random servers, requests and results, which checks the balancer's actions."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now = 0.0
        # Timers, and ids of requests at their deadlines; the number keeps the order of equal times.
        self.scheduled: list[tuple[float, int, api.TimerFired | str]] = []
        self.scheduled_count = 0
        self.requests: dict[str, SentRequest] = {}
        self.entries: dict[int, api.ServerEntry] = {}
        self.sends: list[tuple[float, int]] = []
        self.deliver(api.Started())
        self.update_list([self.entry(n) for n in range(self.rng.randrange(7))])

    def entry(self, number: int, health: api.Health = api.Health.IN_SERVICE) -> api.ServerEntry:
        started = self.now if self.rng.random() < 0.2 else None
        return api.ServerEntry(number, f"z{number % 2}", "k", number % 3, health, 1.0, started)

    def update_list(
        self, entries: list[api.ServerEntry], kind: api.ListUpdateKind = api.ListUpdateKind.SNAPSHOT
    ) -> None:
        if kind is api.ListUpdateKind.SNAPSHOT:
            self.entries = {}
        for entry in entries:
            self.entries[entry.server] = entry
        self.deliver(api.ServerListUpdate(kind, 1, entries))

    def schedule(self, at: float, what: api.TimerFired | str) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at, self.scheduled_count, what))

    def deliver(self, event: api.Event) -> None:
        self.checker.record_event(event, self.now)
        for action in self.balancer.handle(event, self.now):
            self.perform(action)

    def perform(self, action: api.Action) -> None:
        self.checker.check_action(action, self.now)
        if isinstance(action, api.SetTimer):
            assert action.delay_ms >= 0.0
            self.schedule(self.now + action.delay_ms, api.TimerFired(action.token))
        elif isinstance(action, api.Send):
            self.requests[action.id].attempts.append((self.now, action.server, None))
            self.sends.append((self.now, action.server))
        elif isinstance(action, api.Fail | api.Reject):
            self.requests[action.id].final_answers += 1

    def complete(self, id: str, result: Result) -> None:
        request = self.requests[id]
        sent, server, _ = request.attempts[-1]
        request.attempts[-1] = (sent, server, result)
        final = bool(request.final_answers) or result is Result.SERVED
        if result is Result.SERVED and not request.final_answers:
            request.final_answers += 1
        attempt = len(request.attempts) - 1
        self.deliver(api.AttemptCompleted(id, attempt, server, result, self.now - sent, final))

    def in_flight(self) -> list[str]:
        return [
            id
            for id, request in self.requests.items()
            if request.attempts and request.attempts[-1][2] is None
        ]

    def advance(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.scheduled and self.scheduled[0][0] <= end:
            at, _, what = heapq.heappop(self.scheduled)
            self.now = max(self.now, at)
            if isinstance(what, api.TimerFired):
                self.deliver(what)
            elif not self.requests[what].final_answers:
                request = self.requests[what]
                if not request.attempts or request.attempts[-1][2] is not None:
                    raise RuleViolation("rule 1: a request was lost")
                self.complete(what, Result.TIMEOUT)
                assert request.final_answers == 1
        self.now = end

    def random_step(self, number: int) -> None:
        choice = self.rng.random()
        if choice < 0.35:
            id, cls = f"r{number}", self.rng.choice(self.settings.classes)
            ttl = self.rng.choice([1.0, 50.0, 700.0, 3000.0])
            self.requests[id] = SentRequest(cls, self.now + ttl)
            self.schedule(self.now + ttl, id)
            self.deliver(api.Request(id, cls.name, ttl))
        elif choice < 0.7 and self.in_flight():
            self.complete(self.rng.choice(self.in_flight()), self.rng.choices(RESULTS, WEIGHTS)[0])
        elif choice < 0.75:
            number = self.rng.randrange(8)
            health = self.rng.choice([api.Health.IN_SERVICE, api.Health.DRAINING, api.Health.TERMINATED])
            self.update_list([self.entry(number, health)], api.ListUpdateKind.DELTA)
        elif choice < 0.77:
            self.update_list([self.entry(n) for n in range(8) if self.rng.random() < 0.7])
        elif choice < 0.78:
            self.deliver(api.ServerListUpdate(api.ListUpdateKind.FAILED))
        else:
            self.advance(self.rng.choice([1.0, 5.0, 40.0, 300.0]))


BUDGET = {"retry_budget_ratio": 0.03, "retry_budget_floor": 3.0, "retry_budget_window_ms": 5000.0}


def run_random_events(seed: int, **changes: Any) -> SimulatedNode:
    """Run a random event sequence until all requests are past their deadlines."""
    node = SimulatedNode(seed, **changes)
    for number in range(150):
        node.random_step(number)
    node.advance(20_000.0)
    node.checker.check_all_answered()
    return node


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.booleans(), st.booleans())
def test_rules_hold_on_random_event_sequences(
    seed: int, attempts: int, tier: int, budget: bool, rejected_may_have_run: bool
) -> None:
    extra = BUDGET if budget else {}
    run_random_events(
        seed,
        max_attempts=attempts,
        tier=tier,
        subscribes=bool(seed % 2),
        rejected_may_have_run=rejected_may_have_run,
        **extra,
    )


def first_violation(**changes: Any) -> str:
    """Return the first rule violation over a number of seeds, or "none"."""
    for seed in range(60):
        try:
            run_random_events(seed, **({"max_attempts": 4} | changes))
        except RuleViolation as violation:
            return str(violation)
    return "none"


def test_checker_detects_planted_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault removes one check from the balancer; without a fault no violation is reported."""
    assert first_violation(**BUDGET, rejected_may_have_run=True) == "none"

    def always(*_: object) -> bool:
        return True

    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "may_send", always)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "within_budget", always)
        assert first_violation(**BUDGET).startswith("rule 5")
    with monkeypatch.context() as patch:
        patch.setattr(server_module.Server, "group", lambda *_: None)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_end_unserved", always)
        assert first_violation().startswith("rule 1")
    with monkeypatch.context() as patch:
        patch.setattr(
            server_module,
            "Health",
            type("AllInService", (), {"IN_SERVICE": api.Health.DRAINING}),
        )
        assert first_violation(drain_grace_ms=0.0).startswith("rule 3")

    class IgnoresRejectedMayHaveRun(Balancer):
        """Treats a rejection as proof that an attempt was not executed, regardless of the settings."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.retry_policy.not_executed_results = NOT_EXECUTED_RESULTS

    with monkeypatch.context() as patch:
        patch.setattr("tests.test_balancer_properties.Balancer", IgnoresRejectedMayHaveRun)
        assert first_violation(rejected_may_have_run=True).startswith("rule 2")


@pytest.mark.parametrize("seed", range(6))
def test_burst_to_servers_in_slow_start_stays_within_their_budget(seed: int) -> None:
    """Two servers start before a burst: neither gets more than the configured multiple of its share."""
    node = SimulatedNode(seed, tier=1)
    node.update_list([api.ServerEntry(n) for n in range(4)])

    def apply_load(duration_s: float, gap_ms: float, phase: int) -> None:
        for k in range(int(duration_s * 1000 / gap_ms)):
            id = f"{phase}-{k}"
            node.requests[id] = SentRequest(node.settings.classes[0], node.now + 3000.0)
            node.deliver(api.Request(id, "safe", 3000.0))
            node.advance(gap_ms)
            for other in node.in_flight():
                if node.now - node.requests[other].attempts[-1][0] >= 30.0:
                    node.complete(other, Result.SERVED)

    apply_load(20, 10.0, 0)
    rate_per_s = 100.0 / 4  # to each server that is not in slow start
    start = node.now
    starting = [api.ServerEntry(n, started_ms=start) for n in (8, 9)]
    node.update_list([api.ServerEntry(n) for n in range(4)] + starting)
    apply_load(3, 4.0, 1)
    for server in (8, 9):
        times = [at for at, to in node.sends if to == server]
        assert times, "a server in slow start gets something"
        for at in times:
            within_a_second = [t for t in times if at <= t < at + 1000.0]
            slow_start_share = 0.25 + 0.75 * (at - start) / 8000.0
            assert len(within_a_second) <= 3.0 * rate_per_s * slow_start_share
