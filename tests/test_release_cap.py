"""The balancer caps the first sends that go to the servers of a new build."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from tests.helpers import Node


def shares(node: Node, count: int, cls: str = "safe") -> float:
    return sum(server < 2 for server in node.serve(count, cls)) / count


def test_new_servers_get_their_share_of_each_class_and_no_more() -> None:
    node = Node(servers=8)
    assert 0.2 < shares(node, 200) < 0.3
    for cap in (0.01, 0.05, 0.125):
        node.handle(api.CanaryLimit(frozenset({0, 1}), cap))
        for cls in ("safe", "unsafe"):
            got = shares(node, 400, cls)
            assert abs(got - cap) <= 0.1 * cap + 2.0 / 400.0
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.9))  # a bound, never a reason
    assert 0.2 < shares(node, 200) < 0.3
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.0))
    assert shares(node, 200) == 0.0
    node.handle(api.CanaryLimit(frozenset(), 1.0))
    assert 0.2 < shares(node, 200) < 0.3


def test_of_the_few_calls_of_many_nodes_new_servers_get_their_share_too() -> None:
    got = 0
    for seed in range(300):
        node = Node(servers=8, seed=seed)
        node.handle(api.CanaryLimit(frozenset({0, 1}), 0.05))
        got += sum(server < 2 for server in node.serve(4))
    assert 35 <= got <= 85  # of 1,200 calls 60


def test_retries_go_to_old_servers_and_without_any_nothing_is_capped() -> None:
    node = Node(servers=4)
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.4))
    for n in range(60):
        node.serve(2)
        node.request(f"r{n}")
        node.complete(f"r{n}", Result.ERROR)
        node.now += 400.0
        for action in [a for _, a in node.action_log[-3:] if isinstance(a, api.SetTimer)]:
            node.handle(api.TimerFired(action.token))
    repeats = [server for sent in node.sent.values() for server in sent[1:]]
    assert len(repeats) > 20 and min(repeats) >= 2
    node = Node(servers=2)
    node.handle(api.CanaryLimit(frozenset({0, 1}), 0.01))
    assert shares(node, 50) == 1.0


def test_a_cap_pushes_no_load_onto_a_server_that_warms_up() -> None:
    node = Node(servers=4)
    node.serve(50)
    fresh = [api.ServerEntry(n, "z", "k", n % 2, started_ms=node.now) for n in (0, 1)]
    node.update_servers(*fresh)
    free, capped = Node(servers=4), node
    capped.handle(api.CanaryLimit(frozenset({0, 1}), 0.5))
    assert shares(capped, 40) < 0.5 <= shares(free, 40) + 0.1
