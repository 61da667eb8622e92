"""Updates of the server list (rule 3 of `tests.checker`) and deterministic subsetting."""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.server_set import INITIAL_SLICES
from tests.helpers import Node, entries, sends, timers


def test_rule_3_draining_server_gets_no_calls() -> None:
    node = Node(servers=2)
    node.update_servers(api.ServerEntry(0, health=api.Health.DRAINING))
    assert set(node.serve(10)) == {1}


def test_rule_3_server_missing_from_a_snapshot_gets_no_calls() -> None:
    node = Node(servers=2)
    node.set_server_list(entries([1]), 2)
    assert set(node.serve(10)) == {1}


def test_rule_3_delta_keeps_the_rest_of_the_list() -> None:
    node = Node(servers=2)
    node.update_servers(api.ServerEntry(7))
    assert set(node.serve(30)) == {0, 1, 7}


def test_failed_subscription_is_renewed_with_jitter() -> None:
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
    """If many replicas each use all servers, they need more connections than the servers accept.

    (Seen in incident i29d3aa.)
    """
    callers = dict.fromkeys(range(60), 0)
    load = dict.fromkeys(callers, 0.0)
    for replica_index in range(40):
        server_set = Node(60, replicas=40, replica_index=replica_index).balancer.server_set
        assert len(server_set.ready) < 30
        assert math.isclose(sum(server.subset_share for server in server_set.ready), INITIAL_SLICES * 60 / 40)
        for server in server_set.ready:
            callers[server.id] += 1
            load[server.id] += server.subset_share
    assert max(callers.values()) <= 40 / 2
    assert all(math.isclose(share, INITIAL_SLICES) for share in load.values())


def test_subset_grows_with_the_number_of_calls_in_flight() -> None:
    node = Node(60, replicas=40, tier=1)
    initial_size = len(node.balancer.server_set.ready)
    node.serve(50)
    assert len(node.balancer.server_set.ready) == initial_size
    for n in range(40):
        node.request(f"{n}")
    assert len(node.balancer.server_set.ready) > initial_size
    assert len({server for sent in node.sent.values() for server in sent}) > initial_size
    node.set_server_list(entries(range(60)))
    assert len(node.balancer.server_set.ready) == initial_size


def test_keyed_retry_may_leave_the_subset_but_not_its_deduplication_group() -> None:
    node = Node(40, replicas=40)
    subset = {server.id for server in node.balancer.server_set.ready}
    node.request("k", "keyed")
    (first,) = node.sent["k"]
    node.set_server_list(entries(n for n in range(40) if n == first or n % 2 != first % 2 or n not in subset))
    node.update_servers(*entries([first], health=api.Health.TERMINATED))
    (timer,) = timers(node.complete("k", Result.ERROR))
    node.handle(api.TimerFired(timer.token), timer.delay_ms)
    retried_at = node.sent["k"][1]
    assert retried_at not in subset
    assert retried_at % 2 == first % 2


def test_replica_index_beyond_the_replica_count_still_has_servers() -> None:
    node = Node(60, replicas=40, replica_index=57)
    assert node.balancer.server_set.ready
    assert sends(node.request("a"))


def test_slices_stop_doubling_once_a_replica_uses_all_servers() -> None:
    # In the drain scenario (seed 9101) a replica reached 2**280 slices of a fleet of four servers,
    # recomputing its subset for each doubling.
    node = Node(servers=4, replicas=8, tier=1)
    for n in range(200):
        node.request(f"{n}")
    assert node.balancer.server_set.slices == 8
    assert len(node.balancer.server_set.ready) == 4


def test_excluded_count_includes_ejected_and_draining_servers() -> None:
    node = Node(servers=4)
    assert node.balancer.excluded_count(node.now) == 0
    node.update_servers(api.ServerEntry(0, "z", "k", 0, api.Health.DRAINING))
    assert node.balancer.excluded_count(node.now) == 1
    node.request("a", "safe")
    node.complete("a", api.Result.UNREACHABLE)
    assert node.balancer.excluded_count(node.now) == 2
