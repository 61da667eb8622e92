"""Quotas in the simulated world: under troubles drawn by seed no window passes the limit."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from dunlinloft.coordination import quota_holder, quotas
from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.quota_holder import QuotaHolder
from dunlinloft.coordination.quota_shares import TenantShares
from dunlinloft.coordination.quotas import QuotaBounds, QuotaLimit, QuotaOwner
from dunlinloft.coordination.views import Member, View
from lab.control.quota_cluster import QuotaCluster, traffic
from lab.control.rules import Broken
from tests.quotas import BOUNDS, CHAIN, LARGE, LIMIT, SMALL, owner_address


def _trouble(cluster: QuotaCluster, rng: random.Random) -> Callable[[], object]:
    """Bring one trouble about; what ends it."""
    control = rng.choice(cluster.seeds)
    others = [address for address in cluster.seeds if address != control]
    nodes = sorted(cluster.nodes)
    match rng.choice(
        ["kill", "freeze", "cut", "cut all", "node cut", "nodes owner", "all", "node", "one way"]
    ):
        case "kill":
            cluster.kill(control)
            return lambda: cluster.start(control)
        case "freeze":
            cluster.freeze(control)
            return lambda: cluster.thaw(control)
        case "cut":
            for other in others:
                cluster.cut(control, other)
        case "one way":
            for node in rng.sample(nodes, 3):
                cluster.cut(control, node, both=False)
        case "cut all":
            for other in (*others, *nodes):
                cluster.cut(control, other)
        case "node cut":
            for node in rng.sample(nodes, rng.randint(1, len(nodes) // 2)):
                for address in cluster.seeds:
                    cluster.cut(node, address)
        case "nodes owner":
            for node in rng.sample(nodes, rng.randint(1, len(nodes))):
                cluster.cut(node, control)
        case "all":
            for address in cluster.seeds:
                cluster.kill(address)
            return lambda: list(map(cluster.start, cluster.seeds))
        case "node":
            cluster.start_node(rng.choice(nodes))
    return cluster.heal


def _play(seed: int, limit: QuotaLimit, demand: float) -> QuotaCluster:
    """Half a minute with troubles, one after the other or two at once."""
    cluster = QuotaCluster(seed, BOUNDS, limit)
    rng = random.Random(seed)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(8_000.0)
    for _ in range(8):
        cluster.demand = demand if rng.random() < 0.7 else 0.2  # then buckets and reserves fill
        end = _trouble(cluster, rng)
        cluster.run(rng.uniform(100.0, 4_000.0))
        end()
        cluster.run(rng.uniform(50.0, 2_000.0))
    return cluster


@pytest.mark.parametrize("limit", [LARGE, LIMIT, SMALL])
@pytest.mark.parametrize("seed", range(8))
def test_no_window_passes_the_limit(seed: int, limit: QuotaLimit) -> None:
    cluster = _play(seed, limit, 3.0)
    assert cluster.window.total > 0.3 * limit.rate_per_s * cluster.now / 1_000.0


def test_hardly_anything_is_refused_below_the_limit_when_the_owner_is_lost() -> None:
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


def _half_of_the_nodes_are_cut_off() -> None:
    cluster = QuotaCluster(7, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(8_000.0)
    cluster.demand = 8.0
    for node in sorted(cluster.nodes)[:4]:
        for address in cluster.seeds:
            cluster.cut(node, address)
    cluster.run(12_000.0)
    cluster.heal()
    cluster.run(3_000.0)


def test_nodes_that_are_cut_off_spend_no_more_than_the_others_leave() -> None:
    _half_of_the_nodes_are_cut_off()


def test_shares_that_are_spent_beside_the_whole_rate_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TenantShares, "spent_elsewhere", lambda *_: 0.0)
    with pytest.raises(Broken, match="were spent"):
        _half_of_the_nodes_are_cut_off()


def _owners_are_lost_one_after_the_other() -> None:
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


def test_owners_that_are_lost_one_after_the_other_stay_within_the_limit() -> None:
    _owners_are_lost_one_after_the_other()


def test_an_owner_that_begins_full_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    # With the wait alone or the level alone, nodes spend so much less meanwhile that the sum still holds.
    monkeypatch.setattr(quotas, "HANDOVER_MS", 0.0)
    monkeypatch.setattr(QuotaBounds, "first_level", lambda self, limit, *_: 2.0 * self.bucket_least(limit))
    monkeypatch.setattr(QuotaOwner, "_left_for", lambda *_: None)
    with pytest.raises(Broken, match="were spent"):
        _owners_are_lost_one_after_the_other()


def test_a_node_that_goes_on_alone_at_the_whole_rate_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def whole(self: QuotaHolder, *_: object) -> float:
        return 0.0

    monkeypatch.setattr(quota_holder.QuotaHolder, "spend_alone", whole)
    with pytest.raises(Broken, match="were spent"):
        _half_of_the_nodes_are_cut_off()


def _an_owner_is_left_out_and_cut_off() -> None:
    """The others are cut off from it and go on without it at once, while it still holds its lease."""
    cluster = QuotaCluster(12, BOUNDS, LARGE)
    traffic(cluster, (300.0, 9_190.0))
    cluster.run(3_000.0)
    owner = owner_address(cluster.seeds)
    others = [address for address in cluster.seeds if address != owner]
    for other in others:
        cluster.cut(owner, other)
        for node in sorted(cluster.nodes)[:4]:
            cluster.cut(node, other)
    proposer = cluster.machines[others[0]].replica
    assert proposer is not None
    view = proposer.view
    assert view is not None
    chain = tuple(member for member in view.chain if member.address != owner)
    proposer._voting.propose(view, View(view.epoch + 1, view.roster, chain, len(chain)))
    cluster.run(2_500.0)
    assert proposer.view != view


def test_a_successor_waits_for_the_lease_of_an_owner_that_was_left_out() -> None:
    _an_owner_is_left_out_and_cut_off()


def test_a_successor_that_does_not_wait_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quotas, "HANDOVER_MS", 0.0)
    with pytest.raises(Broken, match="granted after epoch"):
        _an_owner_is_left_out_and_cut_off()


def test_a_lease_that_is_taken_for_over_too_early_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FailureDetector, "lease_expired", lambda *_: True)
    with pytest.raises(Broken, match="granted after epoch"):
        _an_owner_is_left_out_and_cut_off()


def test_a_lease_is_over_once_a_majority_is_deaf_to_its_holder_in_the_next_epoch() -> None:
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


def test_a_voter_that_was_just_restarted_says_nothing_of_a_lease() -> None:
    me, voter, owner = (Member(address, "0") for address in CHAIN)
    before = View(1, (me, voter, owner), (me, voter, owner), 3)
    for uptime_ms, over in ((50.0, False), (5_000.0, True)):
        liveness = FailureDetector(me)

        def heard(sender: Member, epoch: int, echoes: tuple[Member, ...], now: float, up: float) -> None:
            stamps = {member.id: now for member in echoes}
            beat = Heartbeat(sender, True, True, False, epoch, 0, epoch, now, stamps, (), up)
            liveness.on_heartbeat(beat, now)  # noqa: B023

        heard(owner, 1, (me, voter), 0.0, 5_000.0)
        heard(voter, 1, (me, owner), 0.0, 5_000.0)
        heard(voter, 2, (me,), 650.0, uptime_ms)
        assert not liveness.lease_expired(owner, before, 2, 700.0)
        heard(voter, 2, (me,), 790.0, uptime_ms + 140.0)
        assert liveness.lease_expired(owner, before, 2, 800.0) == over
