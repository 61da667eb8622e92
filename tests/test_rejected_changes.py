"""No head ever accepts a change that was rejected before."""

from __future__ import annotations

import pytest

from dunlinloft.coordination import change_queue
from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.change_queue import ChangeQueue
from dunlinloft.coordination.history import (
    REJECTION_DIGEST_PREFIX,
    is_next_entry,
    is_recorded_as_rejected,
    rejection_entry,
    state_after,
)
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from lab.control.cluster import Cluster
from lab.control.invariants import InvariantViolation
from lab.control.operators import empty_change
from tests.replicas import latest_view

FUTURE = empty_change(9, 4, "future")


def _status_of(cluster: Cluster, change: ConfigurationChange) -> int:
    """Submit a change and return its only, definite status."""
    statuses: list[int] = []
    cluster.submit(change, statuses.append)
    cluster.run(3_000.0)
    (status,) = statuses
    return status


def _cluster_at_version(version: int) -> Cluster:
    cluster = Cluster(11)
    cluster.run(500.0)
    if version:
        assert _status_of(cluster, empty_change(version, 0)) == 200
    return cluster


def _replace_head(cluster: Cluster) -> None:
    """Kill the head and wait until another replica is the head."""
    head = latest_view(cluster).chain[0].address
    cluster.kill(head)
    cluster.run(2_000.0)
    assert latest_view(cluster).chain[0].address != head


@pytest.mark.parametrize("version", [0, 2])
@pytest.mark.parametrize("restart_all", [False, True])
def test_a_change_on_a_future_version_stays_rejected_under_another_head(
    version: int, restart_all: bool
) -> None:
    cluster = _cluster_at_version(version)
    assert _status_of(cluster, FUTURE) == 412
    _replace_head(cluster)
    if restart_all:
        for address in cluster.seeds:
            cluster.kill(address)
        for address in cluster.seeds:
            cluster.start(address)
        cluster.run(2_000.0)
    assert _status_of(cluster, empty_change(4, version)) == 200
    assert _status_of(cluster, FUTURE) == 412
    assert _status_of(cluster, empty_change(9, 4, "another")) == 200


def test_a_rejection_that_only_the_head_remembers_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChangeQueue, "_reject_future_base", lambda *_: None)
    cluster = _cluster_at_version(2)
    assert _status_of(cluster, FUTURE) == 412
    _replace_head(cluster)
    assert _status_of(cluster, empty_change(4, 2)) == 200
    with pytest.raises(InvariantViolation, match="refused"):
        _status_of(cluster, FUTURE)


def test_a_rejection_changes_neither_version_nor_document() -> None:
    cluster = _cluster_at_version(2)
    replies: list[Reply | None] = []
    cluster.call(cluster.seeds[1], None, replies.append)
    cluster.run(500.0)
    assert _status_of(cluster, FUTURE) == 412
    cluster.call(cluster.seeds[2], None, replies.append)
    cluster.run(500.0)
    before, after = replies
    assert before is not None
    assert after is not None
    assert (before.version, before.document) == (after.version, after.document)


def test_changes_on_old_versions_are_rejected_without_an_entry() -> None:
    cluster = _cluster_at_version(2)
    replica = cluster.machines[cluster.seeds[0]].replica
    assert replica is not None
    sequence = replica.chain.committed.sequence
    assert _status_of(cluster, empty_change(3, 0, "late")) == 412
    assert replica.chain.committed.sequence == sequence
    assert _status_of(cluster, FUTURE) == 412
    assert replica.chain.committed.sequence == sequence + 1


def test_the_entry_is_an_update_that_any_release_applies() -> None:
    document = {"version": 2, "routes": [{"name": "a"}], "services": [], "note": "kept"}
    state = ChainState(5, "digest", 2, document)
    entry = rejection_entry(state, FUTURE)
    assert is_next_entry(state, entry)
    after = state_after(state, entry)
    assert (after.sequence, after.version, after.document) == (6, 2, document)
    assert after.applied[-1].digest == REJECTION_DIGEST_PREFIX + FUTURE.digest
    assert is_recorded_as_rejected(after, FUTURE)
    assert not is_recorded_as_rejected(state, FUTURE)
    assert not is_recorded_as_rejected(after, empty_change(9, 4, "another"))


def test_many_rejections_leave_room_for_changes() -> None:
    cluster = _cluster_at_version(2)
    for number in range(30):
        assert _status_of(cluster, empty_change(99, 50, f"{number}")) == 412
    assert _status_of(cluster, empty_change(5, 2, "last")) == 200
    assert change_queue.MAX_REMEMBERED_REJECTIONS > 30
