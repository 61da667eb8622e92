"""The canary cap on first attempts that go to servers of a new build."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from tests.helpers import Node


def canary_share(node: Node, count: int, cls: str = "safe") -> float:
    """Serve `count` requests and return the share of them sent to the canary servers 0 and 1."""
    return sum(server < 2 for server in node.serve(count, cls)) / count


def test_canary_servers_get_their_share_of_each_class_and_no_more() -> None:
    node = Node(servers=8)
    assert 0.2 < canary_share(node, 200) < 0.3
    for cap in (0.01, 0.05, 0.125):
        node.handle(api.CanaryLimit(frozenset({0, 1}), cap))
        for cls in ("safe", "unsafe"):
            share = canary_share(node, 400, cls)
            assert abs(share - cap) <= 0.1 * cap + 2.0 / 400.0
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.9))  # the cap never sends them more
    assert 0.2 < canary_share(node, 200) < 0.3
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.0))
    assert canary_share(node, 200) == 0.0
    node.handle(api.CanaryLimit(frozenset(), 1.0))
    assert 0.2 < canary_share(node, 200) < 0.3


def test_canary_servers_get_their_share_of_a_few_calls_from_each_of_many_replicas() -> None:
    canary_calls = 0
    for seed in range(300):
        node = Node(servers=8, seed=seed)
        node.handle(api.CanaryLimit(frozenset({0, 1}), 0.05))
        canary_calls += sum(server < 2 for server in node.serve(4))
    assert 35 <= canary_calls <= 85  # 60 of 1,200 expected


def test_retries_go_to_stable_servers_and_without_any_the_cap_does_not_apply() -> None:
    node = Node(servers=4)
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.4))
    for n in range(60):
        node.serve(2)
        node.request(f"r{n}")
        node.complete(f"r{n}", Result.ERROR)
        node.now += 400.0
        for action in [a for _, a in node.action_log[-3:] if isinstance(a, api.SetTimer)]:
            node.handle(api.TimerFired(action.token))
    retried_at = [server for sent in node.sent.values() for server in sent[1:]]
    assert len(retried_at) > 20 and min(retried_at) >= 2
    node = Node(servers=2)
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.01))
    assert canary_share(node, 50) == 1.0


def test_cap_moves_no_load_to_servers_in_slow_start() -> None:
    node = Node(servers=4)
    node.serve(50)
    restarted = [api.ServerEntry(n, "z", "k", n % 2, started_ms=node.now) for n in (0, 1)]
    node.update_servers(*restarted)
    uncapped, capped = Node(servers=4), node
    capped.handle(api.CanaryLimit(frozenset({0, 1}), 0.5))
    assert canary_share(capped, 40) < 0.5 <= canary_share(uncapped, 40) + 0.1
