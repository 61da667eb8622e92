"""The server registry: heartbeats, deregistration, expiry, and merging between control planes."""

from __future__ import annotations

import msgspec

from dunlinloft.coordination.server_registry import ReceivedHeartbeats, RegistryChanges, ServerRegistry
from dunlinloft.coordination.server_tombstones import MAX_EXCHANGED_AGE_MS, RETENTION_MS
from dunlinloft.coordination.stream import Deregistration, ServerRecord


def _record(sequence: int, state: str = "ready", server_id: str = "i-1") -> ServerRecord:
    return ServerRecord(server_id, "pool", "10.0.0.1:80", "a", 12, state, sequence)


def _pass_time(registry: ServerRegistry, start_ms: float, end_ms: float) -> None:
    """Call `expire` as often as the control plane does."""
    now = start_ms
    while now < end_ms:
        now += 50.0
        registry.expire(now)


def test_a_late_heartbeat_changes_nothing() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_heartbeat(_record(5, "draining"), 10.0)
    registry.on_heartbeat(_record(4), 20.0)
    assert registry.records["i-1"].draining


def test_draining_is_published_once_and_never_reverted() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_heartbeat(_record(1), 0.0)
    assert registry.drain_changes() == RegistryChanges((_record(1),), ())
    registry.on_heartbeat(_record(2), 100.0)
    assert registry.drain_changes() == RegistryChanges((), ())
    registry.on_heartbeat(_record(3, "draining"), 200.0)
    assert [record.state for record in registry.drain_changes().changed] == ["draining"]
    registry.on_heartbeat(_record(4), 300.0)
    assert registry.records["i-1"].draining


def test_a_server_expires_without_heartbeats_and_returns_with_one() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_heartbeat(_record(1), 0.0)
    _pass_time(registry, 0.0, 3_000.0)
    assert registry.records
    _pass_time(registry, 3_000.0, 4_000.0)
    assert not registry.records
    assert registry.drain_changes() == RegistryChanges((), ("i-1",))
    assert registry.drain_expired() == ("i-1",)
    assert registry.drain_expired() == ()
    registry.on_heartbeat(_record(2), 5_000.0)
    assert registry.drain_changes() == RegistryChanges((_record(2),), ())


def test_a_pause_of_the_process_expires_no_server() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_heartbeat(_record(1), 0.0)
    _pass_time(registry, 0.0, 1_000.0)
    registry.expire(9_000.0)
    assert registry.records
    _pass_time(registry, 9_000.0, 12_000.0)
    assert not registry.records


def test_a_late_heartbeat_does_not_restore_a_deregistered_server() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_heartbeat(_record(1), 0.0)
    registry.on_deregistration("i-1", 100.0)
    registry.on_heartbeat(_record(2), 200.0, relayed=True)
    assert not registry.records
    assert registry.drain_changes() == RegistryChanges((), ("i-1",))
    assert registry.drain_expired() == ()


def test_two_registries_converge() -> None:
    one, other = ServerRegistry(1_000.0, 0.0), ServerRegistry(1_000.0, 0.0)
    one.on_heartbeat(_record(1), 0.0)
    other.on_heartbeat(_record(1, server_id="i-2"), 0.0)
    for source, target in ((one, other), (other, one)):
        received = source.drain_heartbeats()
        for record in received.records:
            target.on_heartbeat(record, 10.0, relayed=True)
        for server_id in received.deregistered:
            target.on_deregistration(server_id, 10.0, relayed=True)
    assert one.records == other.records
    assert set(one.records) == {"i-1", "i-2"}
    assert one.drain_heartbeats() == ReceivedHeartbeats((), ())


def test_restored_servers_stay_until_they_expire() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.restore((_record(7), _record(3, server_id="i-2")), (), 0.0)
    assert not registry.is_complete(100.0)
    _pass_time(registry, 0.0, 3_000.0)
    registry.on_heartbeat(_record(8), 3_000.0)
    _pass_time(registry, 3_000.0, 3_600.0)
    assert registry.records == {"i-1": _record(8)}
    assert msgspec.structs.asdict(registry.records["i-1"])["sequence"] == 8


def test_a_deregistration_is_published_even_if_the_server_is_unknown() -> None:
    """Nodes keep a server that only missed heartbeats while it responds, and must hear that it left."""
    registry = ServerRegistry(1_000.0, 0.0)
    registry.on_deregistration("i-1", 0.0, relayed=True)
    assert registry.drain_changes() == RegistryChanges((), ("i-1",))
    assert registry.drain_expired() == ()
    registry.on_deregistration("i-1", 50.0, relayed=True)
    assert registry.drain_changes() == RegistryChanges((), ())


def test_a_restarted_registry_hears_of_servers_that_left_meanwhile() -> None:
    """Guards against a control plane that lists a server which left while it was down (review/2)."""
    running, restarted = ServerRegistry(1_000.0, 0.0), ServerRegistry(1_000.0, 0.0)
    running.on_deregistration("i-1", 100.0)
    restarted.restore((_record(7), _record(3, server_id="i-2")), (), 3_000.0)
    deregistrations = running.recent_deregistrations(4_100.0)
    assert deregistrations == (Deregistration("i-1", 4_000.0),)
    restarted.on_earlier_deregistrations(deregistrations, 9_000.0)
    assert set(restarted.records) == {"i-2"}
    assert restarted.drain_changes().removed == ("i-1",)
    restarted.on_heartbeat(_record(8), 9_100.0)
    assert set(restarted.records) == {"i-2"}
    assert restarted.recent_deregistrations(9_000.0) == deregistrations
    assert restarted.drain_heartbeats().deregistered == (), "the age is passed on, not a new deregistration"


def test_a_deregistration_on_disk_outlasts_a_restart() -> None:
    registry = ServerRegistry(1_000.0, 0.0)
    registry.restore((_record(7),), (Deregistration("i-1", 500.0),), 0.0)
    assert not registry.records
    assert registry.deregistered_ids() == ("i-1",)


def test_deregistrations_are_not_renewed_by_being_exchanged() -> None:
    """However often two control planes exchange them, and however long a message takes to arrive."""
    one, other = ServerRegistry(1_000.0, 0.0), ServerRegistry(1_000.0, 0.0)
    one.on_deregistration("i-1", 0.0)
    now, delay_ms = 0.0, 3_000.0
    while now < 2.0 * RETENTION_MS:
        now += 1_000.0
        for source, target in ((one, other), (other, one)):
            source.expire(now)
            target.on_earlier_deregistrations(source.recent_deregistrations(now - delay_ms), now)
        assert not one.recent_deregistrations(now) or now <= MAX_EXCHANGED_AGE_MS
    assert one.deregistered_ids() == other.deregistered_ids() == ()
