"""`ServerRegistrar`: which requests are acknowledged, depending on contact with a majority.

Without that contact a server is answered 503. Draining and deregistration are acknowledged once a majority
has them, in memory and on disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest
from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.server_registrar import REPLICATION_TIMEOUT_S, SAVE_TIMEOUT_S, ServerRegistrar
from dunlinloft.coordination.failure_detector import CONTACT_TIMEOUT_MS, FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.stream import ServerHeartbeats, ServerHeartbeatsAck, ServerRecord
from dunlinloft.coordination.views import Member, View, initial_view
from tests.virtual_time import VirtualLoop

ADDRESSES = ("10.0.0.1:7680", "10.0.0.2:7680", "10.0.0.3:7680")
VIEW = initial_view(ADDRESSES)


def _record(sequence: int, state: str = "ready") -> ServerRecord:
    return ServerRecord("i-1", "pool", "10.0.9.1:80", "a", 4, state, sequence)


class _SimulatedPeers:
    """A registrar and its simulated peers.

    Peers in `answering` acknowledge replicated changes; the first `ignored_count` messages are lost. Saving
    the members takes `save_s` seconds.
    """

    def __init__(
        self, answering: tuple[str, ...], ignored_count: int = 0, local_address: str = ADDRESSES[0]
    ) -> None:
        self.answering = answering
        self.save_s = 0.0
        self.saved: list[set[str]] = []  # ids of the servers in each snapshot on disk
        self.ignored_count = ignored_count
        self.view: View | None = VIEW
        self.sent_to: list[str] = []
        rng: Any = None
        self.registry = ServerRegistry(1_000.0, 0.0)
        self.registrar = ServerRegistrar(
            local_address,
            self.registry,
            NodePublisher(),
            PlacementDirectory(rng, 3_000.0),
            lambda: self.view,
            lambda: set(ADDRESSES) - {local_address},
            self._send,
            self._save,
            lambda coroutine: asyncio.get_running_loop().create_task(coroutine),
        )

    async def _save(self) -> None:
        if self.save_s:
            await asyncio.sleep(self.save_s)
        self.saved.append(set(self.registry.records))

    def _send(self, address: str, message: Struct) -> None:
        assert isinstance(message, ServerHeartbeats)
        if not message.announcement_id:
            return
        self.sent_to.append(address)
        if address in self.answering and len(self.sent_to) > self.ignored_count:
            self.registrar.on_replication_acknowledged(ServerHeartbeatsAck(address, message.announcement_id))


def _run_virtual(coroutine: Coroutine[Any, Any, None]) -> float:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(coroutine)
        return loop.time()
    finally:
        loop.close()


def test_heartbeat_is_acknowledged_only_in_contact_with_a_majority() -> None:
    async def scenario() -> None:
        peers = _SimulatedPeers(ADDRESSES)
        assert await peers.registrar.heartbeat(_record(1))
        peers.view = None
        assert not await peers.registrar.heartbeat(_record(2))
        assert not await peers.registrar.heartbeat(_record(3, "draining"))
        assert not await peers.registrar.deregister("i-1")

    _run_virtual(scenario())


def test_draining_is_acknowledged_once_a_majority_has_it() -> None:
    async def scenario() -> None:
        peers = _SimulatedPeers((ADDRESSES[2],))
        assert await peers.registrar.heartbeat(_record(1, "draining"))
        sent_count = len(peers.sent_to)
        assert await peers.registrar.heartbeat(_record(2, "draining"))
        assert len(peers.sent_to) == sent_count, "a majority has it already"

    assert _run_virtual(scenario()) == 0.0


def test_lost_replication_message_is_resent() -> None:
    async def scenario() -> None:
        assert await _SimulatedPeers(ADDRESSES, ignored_count=3).registrar.deregister("i-1")

    assert 0.0 < _run_virtual(scenario()) < REPLICATION_TIMEOUT_S


@pytest.mark.parametrize("answering", [(), ("10.9.9.9:7680",)])
def test_draining_without_a_majority_is_not_acknowledged(answering: tuple[str, ...]) -> None:
    async def scenario() -> None:
        assert not await _SimulatedPeers(answering).registrar.heartbeat(_record(1, "draining"))

    assert _run_virtual(scenario()) == pytest.approx(REPLICATION_TIMEOUT_S, abs=0.05)


def test_replica_outside_the_roster_needs_a_majority_of_the_roster() -> None:
    async def scenario(answering: tuple[str, ...]) -> bool:
        return await _SimulatedPeers(answering, local_address="10.0.0.9:7680").registrar.deregister("i-1")

    async def run_both() -> None:
        assert not await scenario(ADDRESSES[:1])
        assert await scenario(ADDRESSES[:2])

    _run_virtual(run_both())


@pytest.mark.parametrize(
    ("save_s", "saved"), [(0.0, True), (0.1, True), (10.0, False)], ids=["fast", "slow", "stalled"]
)
def test_replicated_change_is_applied_saved_and_acknowledged(save_s: float, saved: bool) -> None:
    """A disk that is stalled is not waited for longer than `SAVE_TIMEOUT_S`."""
    sent: list[tuple[str, Struct]] = []
    acknowledgement = (ADDRESSES[1], ServerHeartbeatsAck(ADDRESSES[0], 7))

    async def scenario() -> None:
        peers = _SimulatedPeers(())
        peers.save_s = save_s
        peers.registrar._send = lambda address, message: sent.append((address, message))
        message = ServerHeartbeats((_record(1, "draining"),), (), ADDRESSES[1], 7)
        peers.registrar.on_relayed_heartbeats(message)
        assert peers.registry.records["i-1"].draining
        assert acknowledgement not in sent, "not saved yet"
        await asyncio.sleep(min(save_s, SAVE_TIMEOUT_S) + 0.01)
        assert acknowledgement in sent
        assert peers.saved == ([{"i-1"}] if saved else [])

    _run_virtual(scenario())


def test_own_copy_counts_for_a_majority_once_it_is_saved() -> None:
    async def scenario() -> None:
        peers = _SimulatedPeers((ADDRESSES[2],))
        peers.save_s = 0.1
        assert await peers.registrar.deregister("i-1")
        assert peers.saved == [set()]
        assert ADDRESSES[0] not in peers.sent_to

    assert _run_virtual(scenario()) == pytest.approx(0.1, abs=0.01)


def test_a_stalled_disk_delays_an_acknowledgement_by_its_timeout_only() -> None:
    async def scenario() -> None:
        peers = _SimulatedPeers((ADDRESSES[2],))
        peers.save_s = 10.0
        assert await peers.registrar.deregister("i-1")

    assert _run_virtual(scenario()) == pytest.approx(SAVE_TIMEOUT_S, abs=0.05)


def _heartbeat(sender: Member, echoes: dict[str, float]) -> Heartbeat:
    return Heartbeat(sender, True, True, False, 1, 1, 1, 0.0, echoes, ())


def test_majority_contact_is_measured_from_the_echoed_send_time() -> None:
    local_member, second, third = VIEW.roster
    detector = FailureDetector(local_member)
    assert not detector.has_majority_contact(VIEW, 0.0)
    detector.on_heartbeat(_heartbeat(second, {local_member.id: 1_000.0}), 1_900.0)
    assert detector.has_majority_contact(VIEW, 1_900.0)
    assert not detector.has_majority_contact(VIEW, 1_000.0 + CONTACT_TIMEOUT_MS)
    detector.on_heartbeat(_heartbeat(third, {local_member.id: 2_000.0}), 2_100.0)
    assert detector.has_majority_contact(VIEW, 2_900.0)
    # After a long suspension: no heartbeat has been received since.
    assert not detector.has_majority_contact(VIEW, 30_000.0)


def test_deregistrations_are_exchanged_with_all_peers() -> None:
    sent: list[tuple[str, Struct]] = []
    peers = _SimulatedPeers(())
    peers.registrar._send = lambda address, message: sent.append((address, message))
    peers.registrar.exchange_deregistrations()
    assert not sent
    peers.registrar.on_relayed_heartbeats(ServerHeartbeats((), ("i-1",)))
    peers.registrar.exchange_deregistrations()
    assert [address for address, _ in sent] == list(ADDRESSES[1:])

    restarted = _SimulatedPeers(())
    restarted.registry.on_heartbeat(_record(1), 0.0)
    for _, message in sent:
        assert isinstance(message, ServerHeartbeats)
        restarted.registrar.on_relayed_heartbeats(message)
    assert not restarted.registry.records
    assert restarted.registry.deregistered_ids() == ("i-1",)
