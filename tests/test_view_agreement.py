"""Agreement on views: proposals and confirmations across restarts, leases and sealed epochs."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from dunlinloft.coordination.actions import Send
from dunlinloft.coordination.calls import CallHandler
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ChainState
from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber, View, initial_view
from dunlinloft.coordination.voting_messages import Accept, Accepted, Prepare, PrepareResponse
from dunlinloft.validation import validate
from lab.control.cluster import Cluster
from lab.control.invariants import InvariantViolation
from lab.control.operators import empty_change
from tests.replicas import chain_replica, cluster_with_member_down


def test_a_restarted_proposer_reuses_no_proposal_number() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
    local_member, second, third = view.roster
    numbers = set()
    for process in range(2):
        # The promise was not durable, so it is unknown after the restart.
        durable = DurableState(local_member.incarnation, view=view)
        replica = Replica(local_member, True, durable, (), 1, validate, random.Random(process), 0.0)
        replica.start(None)
        replica._voting.propose(view, View(2, view.roster, (local_member, second), 2))
        prepares = [a.message for a in replica._actions if isinstance(a, Send)]
        numbers |= {message.proposal_number for message in prepares if isinstance(message, Prepare)}
        assert third.address in {a.address for a in replica._actions if isinstance(a, Send)}
    assert len(numbers) == 2


def test_accepting_a_later_view_ends_the_lease() -> None:
    cluster = Cluster(91)
    cluster.run(1_000.0)
    first, second, _ = (cluster.machines[address].replica for address in cluster.seeds)
    assert first is not None
    assert second is not None
    assert first.view is not None
    assert first.has_lease(cluster.now)
    later = View(2, first.view.roster, first.view.chain[1:], 2)
    first.handle(Accept(second.local_member, ProposalNumber(9, "second"), later), cluster.now)
    # The third replica still echoes in this epoch, but the other two may have decided the later view.
    assert not first.has_lease(cluster.now)


def test_an_acceptance_from_before_a_restart_decides_nothing() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
    local_member, second, third = view.roster
    replica = Replica(
        local_member,
        True,
        DurableState(local_member.incarnation, view=view),
        (),
        1,
        validate,
        random.Random(1),
        0.0,
    )
    replica.start(None)
    desired = View(2, view.roster, (local_member, second), 2)
    number = replica._voting.propose(view, desired)
    for voter in (second, third):
        replica.handle(PrepareResponse(voter, 2, number, None), 1.0)
    stale = type(number)(number.number, f"{local_member.id}/another process")
    for voter in (second, third):
        replica.handle(Accepted(voter, 2, stale), 2.0)
    assert replica.view == view
    for voter in (second, third):
        replica.handle(Accepted(voter, 2, number), 3.0)
    assert replica.view == desired


def test_nonces_of_confirmations_differ_between_processes() -> None:
    nonces = set()
    for process in range(2):
        view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
        chain, _ = chain_replica(view, view.chain[1], ChainState())
        calls = CallHandler(
            view.chain[1], chain, validate, lambda _: None, lambda *_: None, random.Random(process)
        )
        nonces.add(calls._changes._confirmation._last_nonce)
    assert len(nonces) == 2


@dataclass(frozen=True)
class _DetachedMemberSetup:
    """A chain of a synced head and a member that is catching up, and a detached member that is synced."""

    cluster: Cluster
    view: View
    behind: Replica
    detached: Member


def _cluster_with_a_detached_member() -> _DetachedMemberSetup:
    cluster = cluster_with_member_down(91, 2)
    _, second, third = cluster.seeds
    for version in range(1, 9):
        cluster.submit(empty_change(version, version - 1), lambda _: None)
        cluster.run(300.0)
    cluster.stall(second, True)
    cluster.start(third)
    for _ in range(4_000):
        cluster.run(0.5)
        behind = cluster.machines[third].replica
        assert behind is not None
        assert behind.view is not None
        view = behind.view
        if view.detached and view.position_of(behind.local_member.id) and behind.chain.epoch == view.epoch:
            assert [member.address for member in view.detached] == [second]
            assert not behind.chain.synced
            return _DetachedMemberSetup(cluster, view, behind, view.detached[0])
    raise AssertionError("no view left a synced member detached")


def _submit_changes_after_sealing() -> None:
    """Submit changes after the member that is catching up has sealed the epoch of a head that still runs."""
    setup = _cluster_with_a_detached_member()
    cluster, view, behind, detached = setup.cluster, setup.view, setup.behind, setup.detached
    desired = View(
        view.epoch + 1, view.roster, (detached, behind.local_member), 1, (), behind.local_member.id
    )
    accept = Accept(behind.local_member, ProposalNumber(50, behind.local_member.id), desired)
    cluster._perform(cluster.machines[behind.local_member.address], behind.handle(accept, cluster.now))
    for version in range(9, 15):
        cluster.submit(empty_change(version, version - 1), lambda _: None)
        cluster.run(300.0)
    cluster.stall(detached.address, False)
    cluster.run(5_000.0)


def test_a_sealer_stops_its_epoch_before_others_rely_on_it() -> None:
    _submit_changes_after_sealing()


def test_a_sealer_that_does_not_stop_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "seal_epoch", lambda _: True)
    with pytest.raises(InvariantViolation, match="after its witness had accepted"):
        _submit_changes_after_sealing()


def test_a_synced_member_cannot_seal_and_a_sealer_stays_stopped_after_a_restart() -> None:
    setup = _cluster_with_a_detached_member()
    cluster, view, behind, detached = setup.cluster, setup.view, setup.behind, setup.detached
    assert behind.chain.seal_epoch()
    assert not behind.chain.seal_epoch(), "it has left the epoch and can't seal it again"
    desired = View(
        view.epoch + 1, view.roster, (detached, behind.local_member), 1, (), behind.local_member.id
    )
    durable = DurableState(
        behind.local_member.incarnation, view=view, accepted=AcceptedProposal(ProposalNumber(1, "x"), desired)
    )
    restarted = Replica(behind.local_member, True, durable, (), 1, validate, random.Random(1), cluster.now)
    assert restarted.chain.epoch == 0
    head = cluster.machines[view.chain[0].address].replica
    assert head is not None
    assert not head.chain.seal_epoch(), "it is synced, so the epoch may have committed"
