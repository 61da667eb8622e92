"""The control plane under the most critical fault scenarios, one per test."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.actions import Reply
from lab.control.cluster import Cluster
from lab.control.operators import empty_change
from tests.replicas import (
    ACK_TIMEOUT_MS,
    SYNC_TIMEOUT_MS,
    acknowledged_count,
    assert_progress,
    latest_view,
    running_cluster,
)


@pytest.mark.parametrize("position", [0, 1, 2])
def test_a_partitioned_replica_answers_every_call_with_503(position: int) -> None:
    cluster, operators = running_cluster(21 + position)
    address = cluster.seeds[position]
    for other in cluster.seeds:
        if other != address:
            cluster.disconnect(address, other)
    cluster.run(3_000.0)
    statuses: list[int] = []

    def record_status(reply: Reply | None) -> None:
        if reply is not None:
            statuses.append(reply.status)

    for number in range(14):
        cluster.call(address, None, record_status)
        cluster.call(
            address,
            empty_change(9_000 + number, operators[0].version, "at the partitioned one"),
            record_status,
        )
        cluster.run(1_200.0)
        replica = cluster.machines[address].replica
        assert replica is not None
        assert replica.view_with_majority_contact(cluster.now) is None, (
            "it acknowledges no heartbeat of servers"
        )
    assert set(statuses) == {503}
    assert len(statuses) == 28
    cluster.heal()
    assert_progress(cluster, operators)


def test_changes_are_acknowledged_by_a_new_head_while_the_old_one_is_partitioned() -> None:
    cluster, operators = running_cluster(31)
    for other in cluster.seeds[1:]:
        cluster.disconnect(cluster.seeds[0], other)
    before = acknowledged_count(operators)
    cluster.run(20_000.0)
    assert acknowledged_count(operators) - before > 20
    assert operators[0].max_latency_ms < ACK_TIMEOUT_MS


@pytest.mark.parametrize("seed", range(4))
def test_of_two_changes_on_one_version_one_wins_and_its_repetition_is_acknowledged_by_any_head(
    seed: int,
) -> None:
    cluster = Cluster(seed)
    cluster.run(500.0)
    statuses_of: dict[str, list[int]] = {"one": [], "other": []}
    changes_by_name = {name: empty_change(5, 0, name) for name in statuses_of}
    for name, change in changes_by_name.items():
        cluster.submit(change, statuses_of[name].append)
    cluster.run(2_000.0)
    assert sorted(status for (status,) in statuses_of.values()) == [200, 412]
    winner = next(name for name, (status,) in statuses_of.items() if status == 200)
    cluster.kill(cluster.seeds[0])
    cluster.run(2_000.0)
    for name, change in changes_by_name.items():
        cluster.submit(change, statuses_of[name].append)
    cluster.run(3_000.0)
    assert statuses_of[winner] == [200, 200]
    assert [a for name, a in statuses_of.items() if name != winner] == [[412, 412]]


def test_a_rejected_change_stays_rejected_when_its_base_version_becomes_current() -> None:
    cluster = Cluster(5)
    cluster.run(500.0)
    early = empty_change(9, 4, "early")
    statuses: list[int] = []
    cluster.submit(early, statuses.append)
    cluster.run(500.0)
    cluster.submit(empty_change(4, 0), lambda _: None)
    cluster.run(500.0)
    cluster.submit(early, statuses.append)  # a delayed duplicate
    cluster.run(500.0)
    assert statuses == [412, 412]


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_a_disk_lost_after_a_replacement_leaves_a_majority(seed: int, planned: bool, slow: bool) -> None:
    cluster, operators = running_cluster(40 + seed)
    rng = random.Random(seed)
    first, removed, second = rng.sample(cluster.seeds, 3)
    if slow:
        cluster.machines[first].sync_slowdown = 60.0
    newcomer = "10.0.1.1:7000"
    if planned:
        cluster.add(newcomer)
        cluster.run(2_000.0)
        cluster.leave(removed, 8_000.0)
        cluster.run(rng.uniform(300.0, 1_000.0))
        cluster.remove(removed)
    else:
        cluster.remove(removed)
        cluster.run(2_000.0)
        cluster.add(newcomer)
    cluster.run(rng.uniform(4_000.0, 5_000.0))
    view = latest_view(cluster)
    assert {member.address for member in view.roster} == {first, second, newcomer}
    cluster.wipe(second)
    assert_progress(cluster, operators)
    cluster.start(second)
    cluster.run(SYNC_TIMEOUT_MS)
    cluster.machines[first].sync_slowdown = 1.0
    cluster.kill(first)
    assert_progress(cluster, operators)


def test_a_replacement_takes_one_view_and_keeps_the_roster_odd() -> None:
    cluster, operators = running_cluster(51)
    cluster.add("10.0.1.1:7000")
    cluster.run(2_000.0)
    before = latest_view(cluster)
    assert len(before.roster) == 3, "a newcomer waits until a member departs"
    cluster.leave(cluster.seeds[1], 8_000.0)
    cluster.run(300.0)
    after = latest_view(cluster)
    assert after.epoch == before.epoch + 1
    assert {member.address for member in after.roster} == {
        cluster.seeds[0],
        cluster.seeds[2],
        "10.0.1.1:7000",
    }
    assert cluster.machines[cluster.seeds[1]].replica is None, "its process has stopped"
    assert_progress(cluster, operators)


def test_a_leaving_member_with_the_only_replica_stays_until_others_are_synced() -> None:
    cluster, operators = running_cluster(52)
    head, second, third = cluster.seeds
    cluster.kill(third)
    cluster.run(1_500.0)
    cluster.wipe(second)  # one loss more than tolerated: only the head holds the acknowledged changes
    cluster.leave(head, 60_000.0)
    cluster.run(3_000.0)
    assert cluster.machines[head].replica is not None, "it stays"
    cluster.start(third)
    cluster.start(second)
    cluster.run(SYNC_TIMEOUT_MS)
    assert cluster.machines[head].replica is None, "others are synced: its process has stopped"
    assert cluster.checker.newest_acked == operators[0].version
    assert_progress(cluster, operators)


def test_the_roster_grows_and_shrinks_to_odd_sizes_only() -> None:
    for additional, size in ((1, 3), (2, 5), (3, 5), (5, 7)):
        cluster = Cluster(60 + additional, 3, additional=additional)
        cluster.run(3_000.0)
        assert len(latest_view(cluster).roster) == size
    cluster = Cluster(70, 3, additional=2)
    cluster.run(3_000.0)
    for removed in cluster.seeds[:2]:
        cluster.remove(removed)
        cluster.run(4_000.0)
    assert len(latest_view(cluster).roster) == 3


@pytest.mark.parametrize("fault", ["kill", "cut", "freeze"])
def test_a_member_that_missed_hundreds_of_changes_catches_up_before_it_is_head(fault: str) -> None:
    cluster = Cluster(80)
    cluster.run(500.0)
    absent, others = cluster.seeds[0], cluster.seeds[1:]
    version = 0

    def submit_changes(number: int) -> None:
        nonlocal version
        for _ in range(number):
            statuses: list[int] = []
            cluster.submit(empty_change(version + 1, version), statuses.append)
            cluster.run(60.0)
            while not statuses:
                cluster.run(20.0)
            assert statuses == [200]
            version += 1

    submit_changes(20)
    for other in others:
        cluster.disconnect(absent, other)
    if fault == "kill":
        cluster.kill(absent)
    elif fault == "freeze":
        cluster.freeze(absent)
    submit_changes(380)
    cluster.heal()
    if fault == "kill":
        cluster.start(absent)
    elif fault == "freeze":
        cluster.thaw(absent)
    cluster.run(SYNC_TIMEOUT_MS)
    disk = cluster.machines[absent].durable
    assert disk is not None
    assert disk.state.version == version
    for other in others:  # both at once, so that the absent member has to become head
        cluster.kill(other)
    cluster.run(900.0)
    cluster.start(others[1])
    cluster.run(2_000.0)
    submit_changes(5)
