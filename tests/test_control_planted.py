"""Injected bugs: each invariant checker detects its bug, and none reports a violation without one."""

from __future__ import annotations

import pytest

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.call_messages import ForwardedCall
from dunlinloft.coordination.calls import CallHandler
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.change_queue import ChangeQueue
from dunlinloft.coordination.epoch_confirmation import EpochConfirmation
from dunlinloft.coordination.state import ChainState, ChangeKind, ConfigurationChange
from lab.control.cluster import Cluster
from lab.control.invariants import InvariantChecker, InvariantViolation


def _change(version: int, base: int, text: str = "") -> ConfigurationChange:
    body = {"version": version, "routes": [], "services": []}
    return ConfigurationChange(ChangeKind.REPLACE, base, f"{base}/{version}/{text}", body)


def _submit_change(cluster: Cluster, change: ConfigurationChange, copies: bool = True) -> None:
    """Submit a change and, if `copies`, check once it is acknowledged that enough disks hold it."""

    def on_result(status: int) -> None:
        if status == 200 and copies:
            cluster.checker.check_acknowledged(cluster.machines, change)

    cluster.submit(change, on_result)
    cluster.run(2_000.0)


def _partition_tail(cluster: Cluster) -> str:
    """Partition the tail from the other replicas, which continue without it, and return its address."""
    tail = cluster.seeds[-1]
    for other in cluster.seeds[:-1]:
        cluster.disconnect(tail, other)
    cluster.run(3_000.0)
    return tail


def _changes_with_one_working_disk() -> None:
    cluster = Cluster(1)
    cluster.run(500.0)
    for address in cluster.seeds[1:]:
        cluster.stall(address, True)
    _submit_change(cluster, _change(1, 0))


def _read_at_a_stale_tail() -> None:
    cluster = Cluster(2)
    cluster.run(500.0)
    _submit_change(cluster, _change(1, 0))
    tail = _partition_tail(cluster)
    cluster.machines[tail].removed = True  # so that operators call the other replicas
    _submit_change(cluster, _change(2, 1))
    acked = cluster.checker.newest_acked
    assert acked == 2

    def check_reply(reply: Reply | None) -> None:
        if reply is not None and reply.status == 200:
            cluster.checker.check_read(reply.version, acked)

    cluster.call(tail, None, check_reply)
    cluster.run(1_500.0)


def _the_same_change_repeated() -> None:
    cluster = Cluster(3)
    cluster.run(500.0)
    _submit_change(cluster, _change(1, 0))
    _submit_change(cluster, _change(1, 0))


def _two_changes_on_one_version() -> None:
    cluster = Cluster(4)
    cluster.run(500.0)
    _submit_change(cluster, _change(1, 0, "one"))
    _submit_change(cluster, _change(2, 0, "other"))


def _loss_of_the_acknowledging_replica() -> None:
    cluster = Cluster(5)
    cluster.run(500.0)
    _submit_change(cluster, _change(1, 0), copies=False)
    for address in cluster.seeds[1:]:
        cluster.disconnect(cluster.seeds[0], address)
    cluster.run(20.0)
    cluster.call(cluster.seeds[0], _change(2, 1, "at the head alone"), lambda _: None)
    cluster.run(3_000.0)
    cluster.machines[cluster.seeds[0]].removed = True
    _submit_change(cluster, _change(3, 1, "at the others"), copies=False)
    cluster.heal()
    cluster.run(3_000.0)


def _commit_at_once(chain: ChainReplica) -> None:
    chain._commit(chain.state.sequence)


SCENARIOS = {
    "changes with one working disk": _changes_with_one_working_disk,
    "read at a stale tail": _read_at_a_stale_tail,
    "the same change repeated": _the_same_change_repeated,
    "two changes on one version": _two_changes_on_one_version,
    "loss of the one that acknowledged": _loss_of_the_acknowledging_replica,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenarios_without_an_injected_bug_violate_no_invariant(name: str) -> None:
    SCENARIOS[name]()


def test_a_commit_on_too_few_disks_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="committed with 1 copies"):
        _changes_with_one_working_disk()


def _disable_first_commit_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the check of first commits, which would detect the bug before its consequences appear."""
    monkeypatch.setattr(InvariantChecker, "check_first_commit", lambda *_: None)


def test_an_acknowledgement_by_a_lone_head_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    _disable_first_commit_check(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="acknowledged with 1 copies"):
        _changes_with_one_working_disk()


def test_diverged_histories_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    _disable_first_commit_check(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="two histories"):
        _loss_of_the_acknowledging_replica()


def test_a_read_without_confirmation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EpochConfirmation, "is_confirmed", lambda *_: True)
    with pytest.raises(InvariantViolation, match="was read"):
        _read_at_a_stale_tail()


def test_forgotten_changes_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def start_without_applied_changes(self: ChangeQueue) -> bool:
        self._chain.state = ChainState(
            self._chain.state.sequence,
            self._chain.state.chain_digest,
            self._chain.state.version,
            self._chain.state.document,
        )
        return original(self)

    original = ChangeQueue._start_next
    monkeypatch.setattr(ChangeQueue, "_start_next", start_without_applied_changes)
    with pytest.raises(InvariantViolation, match="was refused with 412"):
        _the_same_change_repeated()


def test_two_changes_acknowledged_on_one_version_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def replace_base_version(self: CallHandler, call: ForwardedCall, now_ms: float) -> None:
        if call.change is not None:
            version = self._chain.state.version
            change = ConfigurationChange(ChangeKind.REPLACE, version, call.change.digest, call.change.body)
            call = ForwardedCall(call.sender, call.token, change)
        original(self, call, now_ms)

    original = CallHandler.on_forwarded_call
    monkeypatch.setattr(CallHandler, "on_forwarded_call", replace_base_version)
    with pytest.raises(InvariantViolation, match="two orders on version 0"):
        _two_changes_on_one_version()
