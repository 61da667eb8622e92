"""Shared test helpers: settings, server lists and a driver that acts as the balancer's node."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer

SAFE = api.RequestClass("safe", 1000.0, 3000.0, 1.0, idempotency=api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass(
    "keyed", 1000.0, 3000.0, 2.0, 0.0, api.Idempotency.KEYED, api.DedupScope.CELL, 2000.0
)
KEYED_ALL = api.RequestClass(
    "keyed_all", 1000.0, 3000.0, 2.0, 0.0, api.Idempotency.KEYED, api.DedupScope.ALL, 2000.0
)
UNSAFE = api.RequestClass("unsafe", 1000.0, 3000.0, 8.0)


def settings(**changes: Any) -> api.Settings:
    defaults: dict[str, Any] = {
        "classes": [SAFE, KEYED, KEYED_ALL, UNSAFE],
        "max_attempts": 3,
        "slow_start_initial_share": 0.25,
        "slow_start_ms": 8000.0,
        "overload_factor": 3.0,
        "overload_for_ms": 1000.0,
        "drain_grace_ms": 500.0,
        "answer_slack_ms": 20.0,
        "tick_ms": 5.0,
    }
    return api.Settings(**(defaults | changes))


def entries(numbers: Iterable[int], **changes: Any) -> list[api.ServerEntry]:
    return [api.ServerEntry(n, "z", "k", n % 2, **changes) for n in numbers]


class Node:
    """A balancer with a simulated clock; records its actions and the servers each request was sent to."""

    def __init__(self, servers: int = 4, seed: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 1000.0
        self.action_log: list[tuple[float, api.Action]] = []
        self.sent: dict[str, list[int]] = {}
        self.handle(api.Started())
        self.set_server_list(entries(range(servers)))

    def handle(self, event: api.Event, after_ms: float = 0.0) -> list[api.Action]:
        self.now += after_ms
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, api.Send):
                self.sent.setdefault(action.id, []).append(action.server)
        return actions

    def set_server_list(self, servers: list[api.ServerEntry], version: int = 1) -> list[api.Action]:
        return self.handle(api.ServerListUpdate(api.ListUpdateKind.SNAPSHOT, version, servers))

    def update_servers(self, *servers: api.ServerEntry) -> list[api.Action]:
        return self.handle(api.ServerListUpdate(api.ListUpdateKind.DELTA, 2, list(servers)))

    def request(
        self, id: str, cls: str = "safe", ttl_ms: float = 3000.0, tenant: str | None = None
    ) -> list[api.Action]:
        return self.handle(api.Request(id, cls, ttl_ms, tenant))

    def complete(
        self, id: str, result: api.Result, after_ms: float = 50.0, final: bool | None = None
    ) -> list[api.Action]:
        """Complete the last attempt of a request; by default the result is final if it is `SERVED`."""
        self.now += after_ms
        attempt = len(self.sent[id]) - 1
        final = result is api.Result.SERVED if final is None else final
        event = api.AttemptCompleted(id, attempt, self.sent[id][attempt], result, after_ms, final)
        return self.handle(event)

    def serve(self, count: int, cls: str = "safe", gap_ms: float = 10.0, delay_ms: float = 50.0) -> list[int]:
        """Send and serve `count` requests one after another, and return the selected servers."""
        picked = []
        for n in range(count):
            id = f"serve-{self.now}-{n}"
            self.request(id, cls)
            picked.append(self.sent[id][0])
            self.complete(id, api.Result.SERVED, delay_ms)
            self.now += gap_ms
        return picked


def timers(actions: list[api.Action]) -> list[api.SetTimer]:
    return [a for a in actions if isinstance(a, api.SetTimer)]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Fail | api.Reject)]


def try_send(node: Node, id: str, server: int) -> bool:
    """Call `Balancer._send` without the checks that its callers make; return whether it sent an attempt."""
    balancer = node.balancer
    return balancer._send(balancer._calls[id], balancer.server_set.servers[server], node.now)
