"""Rule 3, the server list, subsets of it and how replicas share a fleet."""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.server_set import INITIAL_SLICES
from tests.helpers import Node, entries, sends, timers


def test_rule_3_a_draining_server_gets_nothing() -> None:
    node = Node(servers=2)
    node.update_servers(api.ServerEntry(0, health=api.Health.DRAINING))
    assert set(node.serve(10)) == {1}


def test_rule_3_a_server_missing_from_a_snapshot_gets_nothing() -> None:
    node = Node(servers=2)
    node.set_server_list(entries([1]), 2)
    assert set(node.serve(10)) == {1}


def test_rule_3_a_delta_leaves_the_rest_of_the_list() -> None:
    node = Node(servers=2)
    node.update_servers(api.ServerEntry(7))
    assert set(node.serve(30)) == {0, 1, 7}


def test_a_failed_subscription_is_renewed_with_jitter() -> None:
    delays = set()
    for seed in range(5):
        node = Node(seed=seed, subscribes=True)
        assert api.Subscribe() in [a for _, a in node.action_log]
        [timer] = timers(node.handle(api.ServerListUpdate(api.ListUpdateKind.FAILED)))
        delays.add(timer.delay_ms)
        assert node.handle(api.TimerFired(timer.token), timer.delay_ms) == [api.Subscribe()]
        assert timer.delay_ms < node.balancer.settings.poll_interval_ms / 4
    assert len(delays) == 5


def test_replicas_subset_a_large_fleet_evenly() -> None:
    """i29d3aa: many copies that go round all servers need more connections than these accept."""
    callers = dict.fromkeys(range(60), 0)
    load = dict.fromkeys(callers, 0.0)
    for number in range(40):
        fleet = Node(60, replicas=40, replica_index=number).balancer.server_set
        assert len(fleet.ready) < 30
        assert math.isclose(sum(server.subset_share for server in fleet.ready), INITIAL_SLICES * 60 / 40)
        for server in fleet.ready:
            callers[server.id] += 1
            load[server.id] += server.subset_share
    assert max(callers.values()) <= 40 / 2
    assert all(math.isclose(part, INITIAL_SLICES) for part in load.values())


def test_a_hot_caller_takes_more_of_the_fleet() -> None:
    node = Node(60, replicas=40, tier=1)
    few = len(node.balancer.server_set.ready)
    node.serve(50)
    assert len(node.balancer.server_set.ready) == few
    for n in range(40):
        node.request(f"{n}")
    assert len(node.balancer.server_set.ready) > few
    assert len({server for sent in node.sent.values() for server in sent}) > few
    node.set_server_list(entries(range(60)))
    assert len(node.balancer.server_set.ready) == few


def test_a_keyed_retry_may_leave_the_subset_but_not_its_group() -> None:
    node = Node(40, replicas=40)
    own = {server.id for server in node.balancer.server_set.ready}
    node.request("k", "keyed")
    (first,) = node.sent["k"]
    node.set_server_list(entries(n for n in range(40) if n == first or n % 2 != first % 2 or n not in own))
    node.update_servers(*entries([first], health=api.Health.TERMINATED))
    (timer,) = timers(node.complete("k", Result.ERROR))
    node.handle(api.TimerFired(timer.token), timer.delay_ms)
    retried_at = node.sent["k"][1]
    assert retried_at not in own
    assert retried_at % 2 == first % 2


def test_a_replica_index_beyond_their_count_still_has_servers() -> None:
    node = Node(60, replicas=40, replica_index=57)
    assert node.balancer.server_set.ready
    assert sends(node.request("a"))


def test_slices_double_no_further_once_a_replica_has_all_servers() -> None:
    # The drain day of seed 9101: 2 to the power of 280 slices, each cut anew, of a fleet of four servers.
    node = Node(servers=4, replicas=8, tier=1)
    for n in range(200):
        node.request(f"{n}")
    assert node.balancer.server_set.slices == 8
    assert len(node.balancer.server_set.ready) == 4


def test_excluded_servers_are_those_ejected_unresponsive_or_draining() -> None:
    node = Node(servers=4)
    assert node.balancer.excluded_count(node.now) == 0
    node.update_servers(api.ServerEntry(0, "z", "k", 0, api.Health.DRAINING))
    assert node.balancer.excluded_count(node.now) == 1
    node.request("a", "safe")
    node.complete("a", api.Result.UNREACHABLE)
    assert node.balancer.excluded_count(node.now) == 2
