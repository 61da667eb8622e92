"""Whole processes under faults in virtual time, and each checker with an injected bug."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from dunlinloft.controlplane.loops import PeriodicLoops
from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.controlplane.server_registrar import ServerRegistrar
from dunlinloft.coordination import server_registry
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.quota.bucket import QuotaBucket
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.stream import ConfigurationId, QuotaGrant, QuotaRequest
from dunlinloft.transport.live_settings import LiveSettings
from lab.control.faults import Fault, FaultKind
from lab.control.invariants import InvariantViolation
from lab.simulation.cluster import SimulatedCluster
from lab.simulation.deployment import deployment_of
from lab.simulation.event_loop import ProcessFailure
from lab.simulation.files import SimulatedFiles
from lab.simulation.world import run_seed, simulate

SEEDS = int(os.environ.get("SIMULATION_SEEDS", "25"))  # `dunlinloft world` runs thousands

BugInjection = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_fault_schedule_violates_no_invariant(seed: int) -> None:
    summary = simulate(seed)
    assert summary.acknowledged > 0
    assert summary.served > 0
    assert summary.checked > 0


def test_a_seed_is_reproducible() -> None:
    assert simulate(7) == simulate(7)


# Regression tests: seeds that violated an invariant.


def test_a_change_that_was_rejected_too_early_is_not_taken_by_the_next_head() -> None:
    """Only the head's process stored the rejection (seeds 19 and 51 of the first schedules)."""
    behind_fault = Fault(5_817.012458479109, FaultKind.BEHIND, 526.719346794428, 13_074)
    assert simulate(19, (behind_fault,)).acknowledged > 0


# Injected bugs, without and with faults.


def _replace_attribute(owner: Any, name: str, value: Any) -> BugInjection:
    return lambda monkeypatch: monkeypatch.setattr(owner, name, value)


def _suppress_publishing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(NodePublisher, "_publish_current", lambda _: None)


def _drop_draining_state(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ServerRegistry.on_heartbeat

    def as_ready(self: ServerRegistry, record: Any, now_ms: float, relayed: bool = False) -> None:
        real(self, msgspec.structs.replace(record, state="ready"), now_ms, relayed)

    monkeypatch.setattr(ServerRegistry, "on_heartbeat", as_ready)


def _deny_quota_ownership(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(_: QuotaService, __: str, message: QuotaRequest) -> QuotaGrant:
        return QuotaGrant(message.request_id, message.tenant, 0.0, 0.0, 0.0, 0.0, False)

    monkeypatch.setattr(QuotaService, "grant", refuse)


def _withhold_placements(monkeypatch: pytest.MonkeyPatch) -> None:
    real = PlacementService.choose_server

    def without_server(self: PlacementService, number: int, message: Any) -> Any:
        return msgspec.structs.replace(real(self, number, message), server_id="")

    monkeypatch.setattr(PlacementService, "choose_server", without_server)


async def _refuse(*_: Any) -> bool:
    return False


async def _fail(_: PeriodicLoops) -> None:
    raise RuntimeError("injected failure")


def _commit_at_once(chain: ChainReplica) -> None:
    chain._commit(chain.state.sequence)


INJECTED_BUGS: dict[str, tuple[BugInjection, str]] = {
    "no node is sent changes": (_suppress_publishing, "serves by version"),
    "draining is not passed on": (_drop_draining_state, "after its drain was acknowledged"),
    "a server expires between two heartbeats": (
        _replace_attribute(server_registry, "EXPIRY_INTERVALS", 0.5),
        "which sends heartbeats",
    ),
    "a deregistration is ignored": (
        _replace_attribute(ServerRegistry, "on_deregistration", lambda *_, **__: None),
        "which deregistered",
    ),
    "a server never expires": (
        _replace_attribute(ServerRegistry, "expire", lambda *_: None),
        "whose heartbeats stopped",
    ),
    "heartbeats are not acknowledged": (
        _replace_attribute(ServerRegistrar, "heartbeat", _refuse),
        "no heartbeat of",
    ),
    "nobody owns a quota": (_deny_quota_ownership, "is granted no quota by an owner"),
    "no placement is given": (_withhold_placements, "gets no placement from an owner"),
    "completed requests stay in flight": (
        _replace_attribute(PlacementService, "on_completed", lambda *_: None),
        "requests that are not in flight",
    ),
    "an owner grants what it does not have": (
        _replace_attribute(QuotaBucket, "try_consume", lambda *_: 0.0),
        "were spent in a window",
    ),
    "a lone replica commits": (
        _replace_attribute(ChainReplica, "_on_progress", _commit_at_once),
        "with 1 copies",
    ),
}


def _violation(seeds: range, schedule: tuple[Fault, ...] | None = ()) -> str:
    """Return the message of the first violation among these seeds, or an empty string."""
    for seed in seeds:
        try:
            simulate(seed, schedule)
        except InvariantViolation as violation:
            return str(violation)
    return ""


@pytest.mark.parametrize("name", INJECTED_BUGS)
def test_an_injected_bug_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_bug, message = INJECTED_BUGS[name]
    inject_bug(monkeypatch)
    assert message in _violation(range(12))


def test_a_node_that_goes_back_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ConfigurationId, "supersedes", lambda *_: True)
    partition = Fault(1_300.0, FaultKind.PARTITION, 4_000.0, 0)
    damage = tuple(Fault(1_500.0, FaultKind.DAMAGE, 4_000.0, 256 + node) for node in range(3))
    assert "went back" in _violation(range(12), (partition, *damage))


def test_a_disk_that_does_not_sync_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SimulatedFiles, "sync_data", lambda *_: None)
    power = tuple(Fault(1_500.0 + 700.0 * n, FaultKind.POWER, 200.0, n) for n in range(4))
    assert "recovered sequence" in _violation(range(8), power)


def test_a_successor_that_never_becomes_synced_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "on_predecessor_position", lambda *_: None)
    wipe = Fault(1_500.0, FaultKind.WIPE, 900.0, 1)
    assert "although nothing fails any more" in _violation(range(3), (wipe,))


def test_a_loop_that_fails_ends_its_process_and_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeriodicLoops, "_keep_alive", _fail)
    with pytest.raises(ProcessFailure, match="ended by itself"):
        simulate(0, ())


def test_a_violation_is_reported_with_the_shortest_schedule(monkeypatch: pytest.MonkeyPatch) -> None:
    _suppress_publishing(monkeypatch)
    result = run_seed(2)
    assert "serves by version" in result.violation
    assert result.schedule == ()
    assert result.summary is None


# A new machine whose seeds no longer exist.


@pytest.mark.parametrize("reloads_settings", [True, False])
def test_a_new_machine_joins_only_after_reloading_its_seeds(
    reloads_settings: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not reloads_settings:
        monkeypatch.setattr(LiveSettings, "reload", lambda _: None)
    joined: list[bool] = []
    real = SimulatedCluster.run

    def run(self: SimulatedCluster, for_ms: float) -> None:
        """Before the first run, add a machine with stale seeds, and correct its settings 1.5 s later."""
        if not joined:
            joined.append(False)
            real(self, 1_000.0)
            seeds = self.configured_seeds
            self.configured_seeds = ("10.9.9.8:7000", "10.9.9.9:7000")
            self.add("10.0.1.9:7000")
            self.configured_seeds = seeds
            real(self, 1_500.0)
            new_machine = self.machines["10.0.1.9:7000"]
            assert new_machine.replica is not None
            assert new_machine.replica.view is None
            self.update_seeds()
            real(self, 3_500.0)
            joined[0] = new_machine.replica is not None and new_machine.replica.view is not None
        real(self, for_ms)

    monkeypatch.setattr(SimulatedCluster, "run", run)
    if reloads_settings:
        simulate(0, ())
    else:
        with pytest.raises(InvariantViolation, match="answer no read"):
            simulate(0, ())
    assert joined == [reloads_settings]
    assert deployment_of(0).control_machines == 3
