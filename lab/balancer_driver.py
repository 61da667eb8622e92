"""Drives one balancer with random valid events and random attempt outcomes, in virtual time."""

from __future__ import annotations

import heapq
import random
from itertools import count

from dunlinloft.balancer import interface as balancer_api
from dunlinloft.balancer.balancer import Balancer


class BalancerDriver:
    """Generates random valid events for one `Balancer`: requests, outcomes, timers, lists and settings."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"balancer {seed}")
        self._now = 1_000.0
        self._sequence = count()
        self._scheduled: list[tuple[float, int, balancer_api.Event]] = []
        self._attempts: dict[str, int] = {}
        self._ids = count()
        self._settings = self._random_settings()
        self._balancer = Balancer(self._settings, seed)
        self._send_event(balancer_api.Started())
        self._send_event(
            balancer_api.ServerListUpdate(balancer_api.ListUpdateKind.SNAPSHOT, 1, self._server_entries(8))
        )

    def _random_settings(self) -> balancer_api.Settings:
        repeats, groups = list(balancer_api.Idempotency), list(balancer_api.DedupScope)
        classes = [
            balancer_api.RequestClass(
                f"class-{number}",
                self._rng.choice((50.0, 200.0, 1_000.0)),
                self._rng.choice((2_000.0, 5_000.0)),
                self._rng.uniform(0.5, 4.0),
                0.3,
                repeats[number % 3],
                groups[self._rng.randrange(3)],
                3_000.0,
                number == 3,
            )
            for number in range(4)
        ]
        tenants = [balancer_api.Tenant(f"tenant-{n}", 0.3, self._rng.choice((0.0, 30.0))) for n in range(3)]
        return balancer_api.Settings(
            classes,
            tenants,
            replicas=self._rng.choice((1, 4)),
            zone="zone-0",
            max_attempts=self._rng.choice((2, 3)),
            subscribes=True,
            max_retry_after_ms=1_000.0,
            slow_start_initial_share=0.25,
            slow_start_ms=8_000.0,
            overload_factor=3.0,
            tick_ms=self._rng.choice((0.0, 5.0)),
            retry_budget_ratio=self._rng.choice((None, 0.3)),
            retry_budget_floor=5.0,
            retry_budget_window_ms=10_000.0,
        )

    def _server_entries(self, size: int) -> list[balancer_api.ServerEntry]:
        healths = list(balancer_api.Health)
        return [
            balancer_api.ServerEntry(
                number,
                f"zone-{number % 2}",
                "kind",
                number % 3,
                healths[0] if self._rng.random() < 0.9 else self._rng.choice(healths),
                self._rng.choice((1.0, 1.0, 0.5)),
                self._now if self._rng.random() < 0.2 else None,
            )
            for number in range(size)
        ]

    def run(self, events: int) -> None:
        """Send `events` external events, and every timer and outcome that falls due in between."""
        for _ in range(events):
            self._advance_clock(self._rng.expovariate(1.0 / self._rng.choice((2.0, 20.0, 60.0))))
            self._send_random_event()
        self._advance_clock(10_000.0)

    def _advance_clock(self, for_ms: float) -> None:
        until = self._now + for_ms
        while self._scheduled and self._scheduled[0][0] <= until:
            self._now, _, event = heapq.heappop(self._scheduled)
            self._send_event(event)
        self._now = until

    def _schedule(self, delay_ms: float, event: balancer_api.Event) -> None:
        heapq.heappush(self._scheduled, (self._now + delay_ms, next(self._sequence), event))

    def _send_random_event(self) -> None:
        draw = self._rng.random()
        if draw < 0.80:
            self._request()
        elif draw < 0.84 and self._attempts:
            self._send_event(balancer_api.ClientDisconnected(self._rng.choice(list(self._attempts))))
        else:
            self._send_event(self._control_event())

    def _request(self) -> None:
        rng, number = self._rng, next(self._ids)
        cls, body_complete = rng.choice(self._settings.classes), rng.random() < 0.85
        tenant = rng.choice((None, "tenant-0", "tenant-1", "tenant-2"))
        key = rng.randrange(50) if cls.affinity else None
        ttl_ms = rng.uniform(100.0, cls.deadline_ms)
        identity = f"request-{number}"
        self._attempts[identity] = 0
        event = balancer_api.Request(
            identity, cls.name, ttl_ms, tenant, rng.random() < 0.1, body_complete, None, key
        )
        if not body_complete:
            self._schedule(rng.uniform(1.0, 100.0), balancer_api.RequestComplete(identity))
        self._send_event(event)

    def _control_event(self) -> balancer_api.Event:
        rng = self._rng
        kinds = list(balancer_api.ListUpdateKind)
        match rng.randrange(8):
            case 0:
                return balancer_api.ServerListUpdate(kinds[1], 2, self._server_entries(rng.randint(2, 10)))
            case 1:
                return balancer_api.ServerListUpdate(kinds[0], 3, self._server_entries(3))
            case 2:
                return balancer_api.ServerListUpdate(kinds[3], 0, [])
            case 3:
                verdicts = [
                    balancer_api.PeerVerdict(n, rng.random() < 0.5, frozenset(), rng.uniform(1.0, 3.0))
                    for n in rng.sample(range(8), 2)
                ]
                return balancer_api.PeerVerdicts(verdicts)
            case 4:
                return balancer_api.QuotaShares({"tenant-1": rng.uniform(1.0, 20.0)}, rng.random())
            case 5:
                return balancer_api.CanaryLimit(
                    frozenset(rng.sample(range(8), 2)), rng.choice((0.05, 0.5, 1.0))
                )
            case 6:
                changed = self._random_settings()
                changed.classes = self._settings.classes  # open requests refer to their class by name
                return balancer_api.Reconfigured(changed)
            case _:
                return balancer_api.ProcessCount(rng.randint(1, 2))

    def _send_event(self, event: balancer_api.Event) -> None:
        for action in list(self._balancer.handle(event, self._now)):
            match action:
                case balancer_api.SetTimer():
                    self._schedule(action.delay_ms, balancer_api.TimerFired(action.token))
                case balancer_api.Send():
                    self._complete_attempt(action.id, action.server, action.timeout_ms)
                case balancer_api.Fail() | balancer_api.Reject():
                    self._attempts.pop(action.id, None)

    def _complete_attempt(self, identity: str, server: int, timeout_ms: float) -> None:
        rng, attempt = self._rng, self._attempts.get(identity, 0)
        self._attempts[identity] = attempt + 1
        results = list(balancer_api.Result)
        result = rng.choices(results, (60, 8, 8, 2, 4, 4, 1, 1))[0]
        duration_ms = rng.expovariate(1.0 / (20.0 * (1.0 + server)))
        if duration_ms >= timeout_ms:
            duration_ms, result = timeout_ms, results[3]
        served = result is results[0]
        report = {"queue": float(rng.randrange(3))} if rng.random() < 0.2 else None
        if served and rng.random() < 0.15:
            started_ms = duration_ms / 2.0
            self._schedule(
                started_ms, balancer_api.StreamStarted(identity, attempt, server, started_ms, report)
            )
        repeatable = served or rng.random() < 0.95
        event = balancer_api.AttemptCompleted(
            identity, attempt, server, result, duration_ms, served, report, repeatable
        )
        self._schedule(duration_ms, event)
