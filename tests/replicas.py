"""Simulated control-plane clusters in the initial states of the replica tests."""

from __future__ import annotations

from dunlinloft.coordination.actions import Action
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.state import ChainState
from dunlinloft.coordination.views import Member, View
from lab.control.cluster import Cluster
from lab.control.operators import Operator, empty_change

ACK_TIMEOUT_MS = 4_000.0  # until a change is acknowledged after a fault
SYNC_TIMEOUT_MS = 4_000.0  # until a restarted replica is synced


def running_cluster(seed: int, size: int = 3, operators: int = 1) -> tuple[Cluster, list[Operator]]:
    """Return a cluster and its operators, which have submitted changes for 2 s."""
    cluster = Cluster(seed, size)
    running = [Operator(cluster) for _ in range(operators)]
    for operator in running:
        cluster.after(300.0, operator.change)
        operator.read()
    cluster.run(2_000.0)
    return cluster, running


def acknowledged_count(operators: list[Operator]) -> int:
    """Return the number of acknowledged changes of these operators."""
    return sum(operator.acked for operator in operators)


def assert_progress(cluster: Cluster, operators: list[Operator], within_ms: float = ACK_TIMEOUT_MS) -> None:
    """Assert that at least one change is acknowledged within a time."""
    before = acknowledged_count(operators)
    cluster.run(within_ms)
    assert acknowledged_count(operators) > before, "no change was acknowledged"


def latest_view(cluster: Cluster) -> View:
    """Return the latest view that any live replica knows."""
    views = [m.replica.view for m in cluster.machines.values() if m.replica is not None]
    return max((view for view in views if view is not None), key=lambda view: view.epoch)


def cluster_with_member_down(seed: int, position: int) -> Cluster:
    """Return a cluster of three after the member at a position was killed and excluded from the view."""
    cluster = Cluster(seed)
    cluster.run(500.0)
    cluster.kill(cluster.seeds[position])
    cluster.run(1_500.0)
    return cluster


def send_changes_to_head_without_live_successor() -> None:
    """Submit changes to a head whose only live peer has a stalled disk, while the third member is down."""
    cluster = cluster_with_member_down(90, 2)
    head, second, _ = cluster.seeds
    cluster.stall(second, True)
    for number in range(80):
        for version in range(1, 9):
            cluster.call(head, empty_change(version, version - 1), lambda _: None)
        cluster.run(20.0)
        if number == 35:
            cluster.stall(second, False)  # after it has voted for a chain without itself


def chain_replica(view: View, local_member: Member, state: ChainState) -> tuple[ChainReplica, list[Action]]:
    """Return a chain replica in an epoch, whose writes complete immediately, and the actions it emits."""
    actions: list[Action] = []
    durable = DurableState(local_member.incarnation, state=state, committed_digest=state.chain_digest)
    chain = ChainReplica(local_member, durable, actions.append, lambda _, then: then(), 2)
    chain.enter_epoch(view)
    return chain, actions
