"""Slow start: the load on a server that has just started (rule 4 of `tests.checker`)."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from tests.helpers import Node, try_send


def test_rule_4_server_in_slow_start_gets_only_its_share() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    picked = node.serve(100)  # 6 s, most of the rise from a quarter of the capacity to all of it
    assert 0 < picked.count(9) < 100 / 5


def test_server_that_started_long_ago_gets_its_full_share() -> None:
    node = Node(servers=0)
    node.set_server_list([api.ServerEntry(1), api.ServerEntry(2, started_ms=node.now - 9000.0)])
    picked = node.serve(40)
    assert picked.count(2) == 20


def test_send_itself_enforces_the_slow_start_budget() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    sent = 0
    for n in range(60):  # no time passes
        node.request(f"c{n}")
        node.complete(f"c{n}", Result.UNREACHABLE, 0.0)
        sent += try_send(node, f"c{n}", 9)
    assert sent <= 4


def test_server_in_slow_start_has_less_weight_than_its_budget_allows() -> None:
    node = Node(servers=4, overload_factor=50.0)
    node.serve(200)
    node.update_servers(api.ServerEntry(9, started_ms=node.now))
    assert node.serve(20).count(9) <= 2
