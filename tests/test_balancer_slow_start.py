"""Rule 4: what a server gets that has just started."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from tests.helpers import Node, try_send


def test_rule_4_a_server_in_slow_start_gets_its_share_only() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    picked = node.serve(100)  # 6 seconds, most of the ramp from a quarter to the full
    assert 0 < picked.count(9) < 100 / 5


def test_a_server_that_started_long_ago_gets_its_full_share() -> None:
    node = Node(servers=0)
    node.set_server_list([api.ServerEntry(1), api.ServerEntry(2, started_ms=node.now - 9000.0)])
    picked = node.serve(40)
    assert picked.count(2) == 20


def test_the_gate_itself_keeps_the_slow_start_budget() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    passed = 0
    for n in range(60):  # in no time
        node.request(f"c{n}")
        node.complete(f"c{n}", Result.UNREACHABLE, 0.0)
        passed += try_send(node, f"c{n}", 9)
    assert passed <= 4


def test_a_server_in_slow_start_has_less_weight_than_its_budget_allows() -> None:
    node = Node(servers=4, overload_factor=50.0)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    assert node.serve(20).count(9) <= 2
