"""Planted faults: each checker of the replicas' rules catches its own, and says nothing without."""

from __future__ import annotations

from typing import Any

import pytest

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.call_messages import ForwardedCall
from dunlinloft.coordination.calls import Calls
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.change_queue import ChangeQueue
from dunlinloft.coordination.epoch_confirmation import EpochConfirmation
from dunlinloft.coordination.state import ChainState, ChangeKind, ConfigurationChange
from lab.control.cluster import Cluster
from lab.control.rules import Broken, Rules


def _order(version: int, base: int, text: str = "") -> ConfigurationChange:
    body = {"version": version, "routes": [], "services": []}
    return ConfigurationChange(ChangeKind.REPLACE, base, f"{base}/{version}/{text}", body)


def _put(cluster: Cluster, order: ConfigurationChange, copies: bool = True) -> None:
    """Send an order, and check its copies once it is acknowledged."""

    def ended(status: int) -> None:
        if status == 200 and copies:
            cluster.rules.durable(cluster.machines, order)

    cluster.order(order, ended)
    cluster.run(2_000.0)


def _cut_off_last(cluster: Cluster) -> str:
    """Cut the tail off from the others; they go on without it, and it doesn't know."""
    tail = cluster.seeds[-1]
    for other in cluster.seeds[:-1]:
        cluster.cut(tail, other)
    cluster.run(3_000.0)
    return tail


def _acknowledged_on_one_disk() -> None:
    cluster = Cluster(1)
    cluster.run(500.0)
    for address in cluster.seeds[1:]:
        cluster.stall(address, True)
    _put(cluster, _order(1, 0))


def _read_at_a_stale_tail() -> None:
    cluster = Cluster(2)
    cluster.run(500.0)
    _put(cluster, _order(1, 0))
    tail = _cut_off_last(cluster)
    cluster.machines[tail].gone = True  # operators call the others
    _put(cluster, _order(2, 1))
    acked = cluster.rules.newest_acked
    assert acked == 2

    def taker(reply: Reply | None) -> None:
        if reply is not None and reply.status == 200:
            cluster.rules.read(reply.version, acked)

    cluster.call(tail, None, taker)
    cluster.run(1_500.0)


def _the_same_order_again() -> None:
    cluster = Cluster(3)
    cluster.run(500.0)
    _put(cluster, _order(1, 0))
    _put(cluster, _order(1, 0))


def _two_orders_on_one_version() -> None:
    cluster = Cluster(4)
    cluster.run(500.0)
    _put(cluster, _order(1, 0, "one"))
    _put(cluster, _order(2, 0, "other"))


def _loss_of_the_one_that_acknowledged() -> None:
    cluster = Cluster(5)
    cluster.run(500.0)
    _put(cluster, _order(1, 0), copies=False)
    for address in cluster.seeds[1:]:
        cluster.cut(cluster.seeds[0], address)
    cluster.run(20.0)
    cluster.call(cluster.seeds[0], _order(2, 1, "at the head alone"), lambda _: None)
    cluster.run(3_000.0)
    cluster.machines[cluster.seeds[0]].gone = True
    _put(cluster, _order(3, 1, "at the others"), copies=False)
    cluster.heal()
    cluster.run(3_000.0)


def _commit_at_once(link: ChainReplica) -> None:
    link._commit(link.state.sequence)


SCENES = {
    "acknowledged on one disk": _acknowledged_on_one_disk,
    "read at a stale tail": _read_at_a_stale_tail,
    "the same order again": _the_same_order_again,
    "two orders on one version": _two_orders_on_one_version,
    "loss of the one that acknowledged": _loss_of_the_one_that_acknowledged,
}


@pytest.mark.parametrize("name", SCENES)
def test_without_a_fault_no_rule_is_broken(name: str) -> None:
    SCENES[name]()


def test_a_commit_with_too_few_copies_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(Broken, match="committed with 1 copies"):
        _acknowledged_on_one_disk()


def _without_the_first_checker(monkeypatch: pytest.MonkeyPatch) -> None:
    """A commit with too few copies is caught before anything follows from it: the later checkers alone."""
    monkeypatch.setattr(Rules, "first_committed", lambda *_: None)


def test_a_head_that_commits_alone_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    _without_the_first_checker(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(Broken, match="acknowledged with 1 copies"):
        _acknowledged_on_one_disk()


def test_two_histories_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    _without_the_first_checker(monkeypatch)
    monkeypatch.setattr(ChainReplica, "_on_progress", _commit_at_once)
    with pytest.raises(Broken, match="two histories"):
        _loss_of_the_one_that_acknowledged()


def test_a_read_without_confirmation_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EpochConfirmation, "is_confirmed", lambda *_: True)
    with pytest.raises(Broken, match="was read"):
        _read_at_a_stale_tail()


def test_orders_that_are_not_remembered_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
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
    with pytest.raises(Broken, match="was refused with 412"):
        _the_same_order_again()


def test_two_on_one_version_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def careless(self: Calls, ask: Any, now_ms: float) -> None:
        if ask.change is not None:
            version = self._chain.state.version
            order = ConfigurationChange(ChangeKind.REPLACE, version, ask.change.digest, ask.change.body)
            ask = ForwardedCall(ask.sender, ask.token, order)
        real(self, ask, now_ms)

    real = Calls.on_forwarded_call
    monkeypatch.setattr(Calls, "on_forwarded_call", careless)
    with pytest.raises(Broken, match="two orders on version 0"):
        _two_orders_on_one_version()
