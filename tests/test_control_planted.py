"""Injected bugs: each checker of the replicas' rules detects its own, and none without a bug."""

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


def _put(cluster: Cluster, order: ConfigurationChange, copies: bool = True) -> None:
    """Send a change, and check its replicas once it is acknowledged."""

    def on_result(status: int) -> None:
        if status == 200 and copies:
            cluster.checker.check_acknowledged(cluster.machines, order)

    cluster.submit(order, on_result)
    cluster.run(2_000.0)


def _partition_tail(cluster: Cluster) -> str:
    """Partition the tail from the others; they go on without it, and it doesn't know."""
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
    _put(cluster, _change(1, 0))


def _read_at_a_stale_tail() -> None:
    cluster = Cluster(2)
    cluster.run(500.0)
    _put(cluster, _change(1, 0))
    tail = _partition_tail(cluster)
    cluster.machines[tail].removed = True  # operators call the others
    _put(cluster, _change(2, 1))
    acked = cluster.checker.newest_acked
    assert acked == 2

    def taker(reply: Reply | None) -> None:
        if reply is not None and reply.status == 200:
            cluster.checker.check_read(reply.version, acked)

    cluster.call(tail, None, taker)
    cluster.run(1_500.0)


def _the_same_change_repeated() -> None:
    cluster = Cluster(3)
    cluster.run(500.0)
    _put(cluster, _change(1, 0))
    _put(cluster, _change(1, 0))


def _two_changes_on_one_version() -> None:
    cluster = Cluster(4)
    cluster.run(500.0)
    _put(cluster, _change(1, 0, "one"))
    _put(cluster, _change(2, 0, "other"))


def _loss_of_the_one_that_acknowledged() -> None:
    cluster = Cluster(5)
    cluster.run(500.0)
    _put(cluster, _change(1, 0), copies=False)
    for address in cluster.seeds[1:]:
        cluster.disconnect(cluster.seeds[0], address)
    cluster.run(20.0)
    cluster.call(cluster.seeds[0], _change(2, 1, "at the head alone"), lambda _: None)
    cluster.run(3_000.0)
    cluster.machines[cluster.seeds[0]].removed = True
    _put(cluster, _change(3, 1, "at the others"), copies=False)
    cluster.heal()
    cluster.run(3_000.0)


def _commit_at_once(chain: ChainReplica) -> None:
    chain._commit(chain.state.sequence)


SCENARIOS = {
    "changes with one working disk": _changes_with_one_working_disk,
    "read at a stale tail": _read_at_a_stale_tail,
    "the same change repeated": _the_same_change_repeated,
    "two changes on one version": _two_changes_on_one_version,
    "loss of the one that acknowledged": _loss_of_the_one_that_acknowledged,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_without_a_fault_no_rule_is_broken(name: str) -> None:
    SCENARIOS[name]()


def test_a_commit_on_too_few_disks_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="committed with 1 copies"):
        _changes_with_one_working_disk()


def _without_the_first_checker(monkeypatch: pytest.MonkeyPatch) -> None:
    """Switch off the checker that detects a commit on too few disks before anything follows from it."""
    monkeypatch.setattr(InvariantChecker, "check_first_commit", lambda *_: None)


def test_an_acknowledgement_by_a_lone_head_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    _without_the_first_checker(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="acknowledged with 1 copies"):
        _changes_with_one_working_disk()


def test_diverged_histories_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    _without_the_first_checker(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(InvariantViolation, match="two histories"):
        _loss_of_the_one_that_acknowledged()


def test_a_read_without_confirmation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EpochConfirmation, "is_confirmed", lambda *_: True)
    with pytest.raises(InvariantViolation, match="was read"):
        _read_at_a_stale_tail()


def test_forgotten_changes_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgetful(self: ChangeQueue) -> bool:
        self._chain.state = ChainState(
            self._chain.state.sequence,
            self._chain.state.chain_digest,
            self._chain.state.version,
            self._chain.state.document,
        )
        return real(self)

    real = ChangeQueue._start_next
    monkeypatch.setattr(ChangeQueue, "_start_next", forgetful)
    with pytest.raises(InvariantViolation, match="was refused with 412"):
        _the_same_change_repeated()


def test_two_changes_acknowledged_on_one_version_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def careless(self: CallHandler, call: ForwardedCall, now_ms: float) -> None:
        if call.change is not None:
            version = self._chain.state.version
            order = ConfigurationChange(ChangeKind.REPLACE, version, call.change.digest, call.change.body)
            call = ForwardedCall(call.sender, call.token, order)
        real(self, call, now_ms)

    real = CallHandler.on_forwarded_call
    monkeypatch.setattr(CallHandler, "on_forwarded_call", careless)
    with pytest.raises(InvariantViolation, match="two orders on version 0"):
        _two_changes_on_one_version()
