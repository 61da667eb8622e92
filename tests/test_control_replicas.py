"""Control-plane replicas under seeded faults; the invariants are checked after each event."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.views import initial_view
from lab.control.cluster import Cluster
from lab.control.operators import Operator


def _assert_recovered(cluster: Cluster, operator: Operator) -> None:
    """Assert that, with all faults repaired, changes are acknowledged and reads return acknowledged state."""
    acked = operator.acked
    cluster.run(6_000.0)
    assert operator.acked > acked, "no change is acknowledged although nothing fails any more"
    versions: list[int] = []

    def record_version(reply: Reply | None) -> None:
        if reply is not None and reply.status == 200:
            versions.append(reply.version)

    for machine in cluster.machines.values():
        if not machine.removed:
            cluster.call(machine.address, None, record_version)
    newest = cluster.checker.newest_acked
    cluster.run(1_500.0)
    assert versions, "nobody answers a read"
    assert min(versions) >= newest


def test_a_cluster_without_faults_acknowledges_within_milliseconds() -> None:
    cluster = Cluster(1)
    operator = Operator(cluster)
    cluster.after(300.0, operator.change)
    operator.read()
    cluster.run(10_000.0)
    assert operator.acked > 20
    assert operator.refused == 0
    assert operator.max_latency_ms < 50.0
    _assert_recovered(cluster, operator)


@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "one_way", "stall", "slow", "wipe"])
def test_changes_are_acknowledged_while_one_machine_has_a_fault(position: int, fault: str) -> None:
    cluster = Cluster(100 * position + len(fault))
    operator = Operator(cluster)
    operator.read()
    cluster.after(300.0, operator.change)
    cluster.run(2_000.0)
    address = cluster.seeds[position]
    _begin_fault(cluster, address, fault)
    acked = operator.acked
    cluster.run(4_000.0)
    assert operator.acked > acked, f"no change acknowledged while {fault} lasts"
    _repair(cluster, address, fault)
    _assert_recovered(cluster, operator)
    view = next(m.replica.view for m in cluster.machines.values() if m.replica is not None)
    assert view is not None
    assert len(view.chain) == 3


def _begin_fault(cluster: Cluster, address: str, fault: str) -> None:
    match fault:
        case "kill":
            cluster.kill(address)
        case "freeze":
            cluster.freeze(address)
        case "cut" | "one_way":
            for other in cluster.machines:
                if other != address:
                    cluster.disconnect(address, other, both=fault == "cut")
        case "stall":
            cluster.stall(address, True)
        case "slow":
            cluster.machines[address].sync_slowdown = 400.0
        case "wipe":
            cluster.wipe(address)


def _repair(cluster: Cluster, address: str, fault: str) -> None:
    match fault:
        case "kill" | "wipe":
            cluster.start(address)
        case "freeze":
            cluster.thaw(address)
        case "cut" | "one_way":
            cluster.heal()
        case "stall":
            cluster.stall(address, False)
        case "slow":
            cluster.machines[address].sync_slowdown = 1.0


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("wiped", [None, 0, 1, 2])
def test_acknowledged_changes_survive_the_loss_of_all_processes(seed: int, wiped: int | None) -> None:
    cluster = Cluster(seed)
    operator = Operator(cluster)
    cluster.after(300.0, operator.change)
    cluster.run(2_000.0 + 37.0 * seed)
    for position, address in enumerate(cluster.seeds):
        if position == wiped:
            cluster.wipe(address)
        else:
            cluster.kill(address)
    cluster.run(500.0)
    for address in cluster.seeds:
        cluster.start(address)
    _assert_recovered(cluster, operator)


@pytest.mark.parametrize("wiped", [None, 0, 2])
def test_replicas_restarted_with_other_seeds_find_each_other(wiped: int | None) -> None:
    """Guards against a non-durable initial view, which is lost if all replicas restart with new seeds.

    All replicas lost power after `seed_turnover` (seen in hunt 6ae8-19).
    """
    cluster = Cluster(11)
    operator = Operator(cluster)
    cluster.after(300.0, operator.change)
    cluster.run(2_000.0)
    for address in cluster.seeds:
        cluster.kill(address)
    cluster.configured_seeds = ("10.9.9.1:7000", cluster.seeds[0])
    if wiped is not None:
        cluster.wipe(cluster.seeds[wiped])
    for address in cluster.seeds:
        cluster.start(address)
    _assert_recovered(cluster, operator)


def test_the_initial_view_is_on_disk_before_it_is_used() -> None:
    cluster = Cluster(12)
    cluster.run(50.0)
    for machine in cluster.machines.values():
        assert machine.durable is not None
        assert machine.durable.view == initial_view(cluster.seeds)


@pytest.mark.parametrize("planned", [True, False])
def test_every_machine_can_be_replaced_in_turn(planned: bool) -> None:
    cluster = Cluster(7)
    operator = Operator(cluster)
    operator.read()
    cluster.after(300.0, operator.change)
    cluster.run(1_000.0)
    for number, address in enumerate(cluster.seeds):
        newcomer = f"10.0.1.{number}:7000"
        if planned:
            cluster.add(newcomer)
            cluster.run(2_400.0)
            cluster.remove(address)
        else:
            cluster.remove(address)
            cluster.run(1_500.0)
            cluster.add(newcomer)
        cluster.run(6_000.0)
    _assert_recovered(cluster, operator)


def _random_fault(cluster: Cluster, rng: random.Random, active_faults: list[tuple[str, str]]) -> None:
    """Begin or repair a fault of one machine; at most one machine has a fault at a time."""
    if active_faults:
        address, fault = active_faults.pop()
        _repair(cluster, address, fault)
        return
    address = rng.choice(cluster.seeds)
    fault = rng.choice(["kill", "freeze", "cut", "one_way", "stall", "slow", "wipe"])
    _begin_fault(cluster, address, fault)
    active_faults.append((address, fault))


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_violate_no_invariant(seed: int) -> None:
    cluster = Cluster(seed, loss=0.01 if seed % 2 else 0.0)
    rng = random.Random(seed)
    operators = [Operator(cluster), Operator(cluster)]
    for operator in operators:
        cluster.after(300.0 * rng.random(), operator.change)
        operator.read()
    cluster.run(1_500.0)
    active_faults: list[tuple[str, str]] = []
    for _ in range(8):
        _random_fault(cluster, rng, active_faults)
        # A repaired machine counts as lost until it has had time to catch up.
        cluster.run(rng.uniform(200.0, 3_000.0) if active_faults else 4_000.0)
    while active_faults:
        _random_fault(cluster, rng, active_faults)
    cluster.run(4_000.0)
    _assert_changes_continue(cluster, operators)


def _assert_changes_continue(cluster: Cluster, operators: list[Operator]) -> None:
    acked = sum(operator.acked for operator in operators)
    cluster.run(6_000.0)
    assert sum(operator.acked for operator in operators) > acked
