"""Quotas in the simulated cluster: under faults drawn by seed no window exceeds the limit."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum, auto

import pytest

from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.quota import ownership
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.reserves import NodeReserves
from dunlinloft.coordination.quota.shares import TenantShares
from dunlinloft.coordination.views import Member, View
from lab.control.invariants import InvariantViolation
from lab.control.quota_cluster import QuotaCluster, traffic
from tests.quotas import BOUNDS, CHAIN, LARGE, LIMIT, SMALL, owner_address


class Fault(Enum):
    """What may befall replicas and nodes. A seed draws by position: the order decides what it brings."""

    KILL = auto()  # a control plane
    FREEZE = auto()  # a control plane
    PARTITION = auto()  # a control plane from the others
    ISOLATE = auto()  # a control plane from the others and from all nodes
    NODES_FROM_ALL = auto()  # up to half of the nodes from all control planes
    NODES_FROM_ONE = auto()  # nodes from one control plane
    KILL_ALL = auto()  # control planes
    RESTART_NODE = auto()
    ONE_WAY = auto()  # a control plane's messages to some nodes are lost


def _inject_fault(cluster: QuotaCluster, rng: random.Random) -> Callable[[], object]:
    """Inject a fault that is drawn; return what ends it."""
    control = rng.choice(cluster.seeds)
    others = [address for address in cluster.seeds if address != control]
    nodes = sorted(cluster.nodes)
    match rng.choice(list(Fault)):
        case Fault.KILL:
            cluster.kill(control)
            return lambda: cluster.start(control)
        case Fault.FREEZE:
            cluster.freeze(control)
            return lambda: cluster.thaw(control)
        case Fault.PARTITION:
            for other in others:
                cluster.disconnect(control, other)
        case Fault.ONE_WAY:
            for node in rng.sample(nodes, 3):
                cluster.disconnect(control, node, both=False)
        case Fault.ISOLATE:
            for other in (*others, *nodes):
                cluster.disconnect(control, other)
        case Fault.NODES_FROM_ALL:
            for node in rng.sample(nodes, rng.randint(1, len(nodes) // 2)):
                for address in cluster.seeds:
                    cluster.disconnect(node, address)
        case Fault.NODES_FROM_ONE:
            for node in rng.sample(nodes, rng.randint(1, len(nodes))):
                cluster.disconnect(node, control)
        case Fault.KILL_ALL:
            for address in cluster.seeds:
                cluster.kill(address)
            return lambda: list(map(cluster.start, cluster.seeds))
        case Fault.RESTART_NODE:
            cluster.start_node(rng.choice(nodes))
    return cluster.heal


def _run_with_faults(seed: int, limit: QuotaLimit, demand: float) -> QuotaCluster:
    """Run for half a minute with faults, one after the other."""
    cluster = QuotaCluster(seed, BOUNDS, limit)
    rng = random.Random(seed)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(8_000.0)
    for _ in range(8):
        cluster.demand = demand if rng.random() < 0.7 else 0.2  # then buckets and reserves fill
        end_fault = _inject_fault(cluster, rng)
        cluster.run(rng.uniform(100.0, 4_000.0))
        end_fault()
        cluster.run(rng.uniform(50.0, 2_000.0))
    return cluster


@pytest.mark.parametrize("limit", [LARGE, LIMIT, SMALL])
@pytest.mark.parametrize("seed", range(8))
def test_no_window_exceeds_the_limit(seed: int, limit: QuotaLimit) -> None:
    cluster = _run_with_faults(seed, limit, 3.0)
    assert cluster.window.total > 0.3 * limit.rate_per_s * cluster.now / 1_000.0


def test_hardly_anything_below_the_limit_is_rejected_when_the_owner_is_lost() -> None:
    cluster = QuotaCluster(5, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(6_000.0)
    refused = sum(node.refused for node in cluster.nodes.values())
    paid = sum(node.paid for node in cluster.nodes.values())
    cluster.kill(owner_address(cluster.seeds))
    cluster.run(4_000.0)
    lost = sum(node.refused for node in cluster.nodes.values()) - refused
    served = sum(node.paid for node in cluster.nodes.values()) - paid
    assert lost <= 0.08 * (lost + served), f"{lost} refused, {served} served"


def test_an_owner_that_returns_takes_over_without_a_pause() -> None:
    cluster = QuotaCluster(9, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(6_000.0)
    owner = owner_address(cluster.seeds)
    cluster.kill(owner)
    cluster.run(6_000.0)
    cluster.start(owner)
    refused = sum(node.refused for node in cluster.nodes.values())
    cluster.run(5_000.0)
    replica = cluster.machines[owner].replica
    assert replica is not None
    assert replica.view is not None
    assert replica.view.position_of(replica.local_member.id) is not None, "it is in the chain again"
    assert sum(node.refused for node in cluster.nodes.values()) - refused <= 3


def _partition_half_of_the_nodes() -> None:
    cluster = QuotaCluster(7, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(8_000.0)
    cluster.demand = 8.0
    for node in sorted(cluster.nodes)[:4]:
        for address in cluster.seeds:
            cluster.disconnect(node, address)
    cluster.run(12_000.0)
    cluster.heal()
    cluster.run(3_000.0)


def test_partitioned_nodes_spend_no_more_than_the_others_leave() -> None:
    _partition_half_of_the_nodes()


def test_shares_spent_beside_the_full_rate_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TenantShares, "autonomous_fraction", lambda *_: 0.0)
    with pytest.raises(InvariantViolation, match="were spent"):
        _partition_half_of_the_nodes()


def _lose_owners_one_after_the_other() -> None:
    cluster = QuotaCluster(3, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(6_000.0)
    cluster.demand = 8.0
    for _ in range(6):
        owner = owner_address(cluster.seeds)
        cluster.kill(owner)
        cluster.run(1_700.0)
        cluster.start(owner)
        cluster.run(900.0)


def test_owners_lost_one_after_the_other_stay_within_the_limit() -> None:
    _lose_owners_one_after_the_other()


def test_an_owner_that_starts_with_a_full_bucket_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    # With the wait alone or the level alone, nodes spend so much less meanwhile that the sum still holds.
    monkeypatch.setattr(ownership, "HANDOVER_WAIT_MS", 0.0)
    monkeypatch.setattr(QuotaBounds, "initial_level", lambda self, limit, *_: 2.0 * self.base_capacity(limit))
    monkeypatch.setattr(ownership.QuotaOwnership, "handed_over_level", lambda *_: None)
    with pytest.raises(InvariantViolation, match="were spent"):
        _lose_owners_one_after_the_other()


def test_a_node_that_spends_without_bound_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def granted(self: NodeReserves, *_: object) -> float:
        return 0.0

    monkeypatch.setattr(NodeReserves, "spend_without_owner", granted)
    with pytest.raises(InvariantViolation, match="were spent"):
        _partition_half_of_the_nodes()


def _partition_an_owner_that_left_the_chain() -> None:
    """The others are cut off from it and go on without it at once, while it still holds its lease."""
    cluster = QuotaCluster(12, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(3_000.0)
    owner = owner_address(cluster.seeds)
    others = [address for address in cluster.seeds if address != owner]
    for other in others:
        cluster.disconnect(owner, other)
        for node in sorted(cluster.nodes)[:4]:
            cluster.disconnect(node, other)
    proposer = cluster.machines[others[0]].replica
    assert proposer is not None
    view = proposer.view
    assert view is not None
    chain = tuple(member for member in view.chain if member.address != owner)
    proposer._voting.propose(view, View(view.epoch + 1, view.roster, chain, len(chain)))
    cluster.run(2_500.0)
    assert proposer.view != view


def test_a_successor_waits_for_the_lease_of_an_owner_that_left_the_chain() -> None:
    _partition_an_owner_that_left_the_chain()


def test_a_successor_that_does_not_wait_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ownership, "HANDOVER_WAIT_MS", 0.0)
    with pytest.raises(InvariantViolation, match="granted after epoch"):
        _partition_an_owner_that_left_the_chain()


def test_a_lease_taken_for_expired_too_early_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FailureDetector, "lease_expired", lambda *_: True)
    with pytest.raises(InvariantViolation, match="granted after epoch"):
        _partition_an_owner_that_left_the_chain()


def test_a_lease_has_expired_once_a_majority_of_the_next_epoch_receives_nothing_from_its_owner() -> None:
    cluster = QuotaCluster(11, BOUNDS, LARGE)
    cluster.run(3_000.0)
    owner = owner_address(cluster.seeds)
    others = [address for address in cluster.seeds if address != owner]
    before = cluster.machines[others[0]].replica
    assert before is not None
    assert before.view is not None
    epoch = before.view.epoch
    cluster.kill(owner)
    over: dict[str, float] = {}
    for _ in range(1_500):
        cluster.run(1.0)
        for address in others:
            replica = cluster.machines[address].replica
            assert replica is not None
            if replica.lease_expired(owner, cluster.now):
                assert replica.view is not None
                assert replica.view.epoch > epoch
                over.setdefault(address, cluster.now - 3_000.0)
    assert len(over) == 2
    assert 600.0 < min(over.values()) < max(over.values()) < 1_200.0


@pytest.mark.parametrize(("uptime_ms", "proven"), [(50.0, False), (5_000.0, True)])
def test_a_voter_that_has_just_restarted_proves_nothing_of_a_lease(uptime_ms: float, proven: bool) -> None:
    local_member, voter, owner = (Member(address, "0") for address in CHAIN)
    before = View(1, (local_member, voter, owner), (local_member, voter, owner), 3)
    detector = FailureDetector(local_member)

    def receive(sender: Member, epoch: int, echoes: tuple[Member, ...], now: float, uptime_ms: float) -> None:
        stamps = {member.id: now for member in echoes}
        heartbeat = Heartbeat(sender, True, True, False, epoch, 0, epoch, now, stamps, (), uptime_ms)
        detector.on_heartbeat(heartbeat, now)

    receive(owner, 1, (local_member, voter), 0.0, 5_000.0)
    receive(voter, 1, (local_member, owner), 0.0, 5_000.0)
    receive(voter, 2, (local_member,), 650.0, uptime_ms)
    assert not detector.lease_expired(owner, before, 2, 700.0)
    receive(voter, 2, (local_member,), 790.0, uptime_ms + 140.0)
    assert detector.lease_expired(owner, before, 2, 800.0) == proven
