"""Random fault schedules against the simulated control plane, and schedules that once violated invariants."""

from __future__ import annotations

import os

import pytest

from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.chain_messages import PredecessorPosition
from lab.control.cluster import Cluster
from lab.control.faults import Fault, FaultInjector, FaultKind
from lab.control.invariants import InvariantViolation
from lab.control.operators import empty_change
from lab.control.world import deployment_of, run_seed, simulate
from tests.replicas import SYNC_TIMEOUT_MS, cluster_with_member_down

SEEDS = int(os.environ.get("WORLD_SEEDS", "28"))  # `dunlinloft explore control` runs thousands


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_fault_schedules_violate_no_invariant(seed: int) -> None:
    assert simulate(seed) > 0


def _assert_detected(message: str, seeds: range) -> None:
    for seed in seeds:
        try:
            simulate(seed)
        except InvariantViolation as broken:
            if message in str(broken):
                return
    pytest.fail(f"not detected: {message}")


def test_a_successor_that_never_installs_snapshots_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "on_install_snapshot", lambda *_: None)
    _assert_detected("although nothing fails any more", range(0, 40))


def test_a_violation_is_reported_with_a_minimal_schedule(monkeypatch: pytest.MonkeyPatch) -> None:
    def never_synced(self: ChainReplica, position: PredecessorPosition) -> None:
        """Ignore the message, so that no successor becomes synced and no tail exists after the first loss."""

    monkeypatch.setattr(ChainReplica, "on_predecessor_position", never_synced)
    result = run_seed(1)
    assert "although nothing fails any more" in result.violation
    assert len(result.schedule) <= 1


def test_a_schedule_is_reproducible() -> None:
    schedule = (Fault(3_000.0, FaultKind.WIPE, 700.0, 1), Fault(3_300.0, FaultKind.SPLIT, 9_000.0, 0))
    assert simulate(8, schedule) == simulate(8, schedule)
    assert deployment_of(8) == deployment_of(1)


def test_schedules_lose_no_more_disks_than_tolerated() -> None:
    cluster = Cluster(1)
    faults = FaultInjector(cluster, 1)
    for position in range(3):
        faults.begin(Fault(0.0, FaultKind.WIPE, 100.0, position))
    assert sum(machine.durable is None for machine in cluster.machines.values()) == 1
    cluster.run(300.0)
    cluster.run(SYNC_TIMEOUT_MS + 500.0)
    faults.begin(Fault(0.0, FaultKind.WIPE, 100.0, 2))
    assert cluster.machines[cluster.seeds[2]].durable is None


def test_an_abandoned_proposal_is_completed() -> None:
    """Seed 4424: guards against acceptors that block forever on an undecided view.

    Two replicas had accepted a view that no replica desired any longer, and so confirmed no epoch after that.
    """
    split = Fault(12_503.55136678152, FaultKind.SPLIT, 2_506.0209163933077, 58_310)
    partition = Fault(13_454.102252139757, FaultKind.PARTITION_FROM_ALL, 1_263.5152376472624, 15_814)
    assert simulate(4_424, (split, partition)) > 0


def test_a_disk_lost_between_commit_and_answer_counts_as_a_replica() -> None:
    """Seed 4789: a change was committed on two disks, and one was lost before the operator got the reply."""
    partition = Fault(5_194.2843714117225, FaultKind.PARTITION, 4_557.240223571141, 57_656)
    assert (
        simulate(4_789, (partition, Fault(6_012.034361357097, FaultKind.WIPE, 513.8083944110192, 56_137))) > 0
    )


def test_a_detached_synced_member_leads_when_the_chains_only_synced_member_is_lost() -> None:
    """Seed 4508: a member with a stalled disk is detached; then the only synced member loses its disk."""
    restart = Fault(4_699.538375753763, FaultKind.RESTART, 2_324.9745928472457, 55_389)
    stall = Fault(5_660.325437332149, FaultKind.STALL, 4_560.514303204171, 8_537)
    wipe = Fault(7_506.711202275268, FaultKind.WIPE, 4_071.822066263923, 51_142)
    assert simulate(4_508, (restart, stall, wipe)) > 0


def test_a_disk_lost_before_the_commit_counts_as_a_replica() -> None:
    """Seed 21547: the head lost its disk while an entry was on its way to a frozen tail.

    The tail commits the entry once it resumes, although only its own disk still holds it.
    """
    cluster = cluster_with_member_down(92, 1)
    head, _, tail = cluster.seeds
    cluster.freeze(tail)
    cluster.call(head, empty_change(1, 0), lambda _: None)
    cluster.run(50.0)
    cluster.remove(head)
    cluster.thaw(tail)
    cluster.run(100.0)
    survivor = cluster.machines[tail].replica
    assert survivor is not None
    assert survivor.chain.committed.sequence == 1
    cluster.checker._changes_on_lost_disks.clear()
    with pytest.raises(InvariantViolation, match="committed with 1 copies"):
        cluster.checker.check_first_commit(survivor.chain.committed, cluster.machines)


def test_a_chain_too_short_to_commit_is_not_proposed() -> None:
    """Seed 3549: a chain of one excluded two members that held everything; then its member lost its disk."""
    assert simulate(3_549) > 0


def test_a_replaced_machine_counts_as_lost_until_its_replacement_is_synced() -> None:
    """Seed 2905: guards against schedules that lose two disks where one is tolerated.

    A machine was replaced after 5 s, and another disk was lost before the replacement was synced.
    """
    cluster = Cluster(1)
    faults = FaultInjector(cluster, 1)
    cluster.run(500.0)
    faults.begin(Fault(0.0, FaultKind.REPLACE, 3.0 * SYNC_TIMEOUT_MS, 0))
    cluster.run(2.0 * SYNC_TIMEOUT_MS)
    faults.begin(Fault(0.0, FaultKind.WIPE, 100.0, 1))
    assert all(cluster.machines[address].durable is not None for address in cluster.seeds[1:])
    assert simulate(2_905) > 0


def test_schedules_and_deployments_keep_their_printed_form() -> None:
    fault = Fault(3_000.5, FaultKind.PARTITION_FROM_ALL, 700.0, 1)
    assert f"{fault}" == "Trouble(at_ms=3000.5, kind='cut_all', for_ms=700.0, pick=1)"
    assert f"{deployment_of(2)}" == "Deployment(seeds=3, further=1, diskless=0, tolerance=1)"
