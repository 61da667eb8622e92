"""Control planes answer servers 503 where they can't pass it on, and to leaving once a majority has it."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import pytest
from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.server_registrar import REPLICATION_TIMEOUT_S, ServerRegistrar
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


class _Others:
    """The other control planes: those that answer take what is announced, after so many messages."""

    def __init__(self, answering: tuple[str, ...], deaf_for: int = 0, me: str = ADDRESSES[0]) -> None:
        self.answering = answering
        self.deaf_for = deaf_for
        self.view: View | None = VIEW
        self.announced: list[str] = []
        rng: Any = None
        self.registry = ServerRegistry(1_000.0, 0.0)
        self.registrar = ServerRegistrar(
            me,
            self.registry,
            NodePublisher(),
            PlacementDirectory(rng, 3_000.0),
            lambda: self.view,
            lambda: set(ADDRESSES) - {me},
            self._send,
        )

    def _send(self, address: str, message: Struct) -> None:
        assert isinstance(message, ServerHeartbeats)
        if not message.announcement_id:
            return
        self.announced.append(address)
        if address in self.answering and len(self.announced) > self.deaf_for:
            self.registrar.on_replication_acknowledged(ServerHeartbeatsAck(address, message.announcement_id))


def _run(coroutine: Coroutine[Any, Any, None]) -> float:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(coroutine)
        return loop.time()
    finally:
        loop.close()


def test_a_heartbeat_is_acknowledged_only_in_contact_with_a_majority() -> None:
    async def play() -> None:
        others = _Others(ADDRESSES)
        assert await others.registrar.heartbeat(_record(1))
        others.view = None
        assert not await others.registrar.heartbeat(_record(2))
        assert not await others.registrar.heartbeat(_record(3, "draining"))
        assert not await others.registrar.deregister("i-1")

    _run(play())


def test_leaving_is_acknowledged_once_a_majority_has_it() -> None:
    async def play() -> None:
        others = _Others((ADDRESSES[2],))
        assert await others.registrar.heartbeat(_record(1, "draining"))
        told = len(others.announced)
        assert await others.registrar.heartbeat(_record(2, "draining"))
        assert len(others.announced) == told, "a majority knows it already"

    assert _run(play()) == 0.0


def test_a_lost_replication_is_resent() -> None:
    async def play() -> None:
        assert await _Others(ADDRESSES, deaf_for=3).registrar.deregister("i-1")

    assert 0.0 < _run(play()) < REPLICATION_TIMEOUT_S


@pytest.mark.parametrize("answering", [(), ("10.9.9.9:7680",)])
def test_leaving_without_a_majority_is_not_acknowledged(answering: tuple[str, ...]) -> None:
    async def play() -> None:
        assert not await _Others(answering).registrar.heartbeat(_record(1, "draining"))

    assert _run(play()) == pytest.approx(REPLICATION_TIMEOUT_S, abs=0.05)


def test_a_replica_without_a_vote_needs_a_majority_of_those_who_have_one() -> None:
    async def play(answering: tuple[str, ...]) -> bool:
        return await _Others(answering, me="10.0.0.9:7680").registrar.deregister("i-1")

    async def both() -> None:
        assert not await play(ADDRESSES[:1])
        assert await play(ADDRESSES[:2])

    _run(both())


def test_a_replica_acknowledges_and_applies_what_is_replicated_to_it() -> None:
    sent: list[tuple[str, Struct]] = []
    others = _Others(())
    others.registrar._send = lambda address, message: sent.append((address, message))
    others.registrar.on_relayed_heartbeats(ServerHeartbeats((_record(1, "draining"),), (), ADDRESSES[1], 7))
    assert (ADDRESSES[1], ServerHeartbeatsAck(ADDRESSES[0], 7)) in sent
    assert others.registry.records["i-1"].draining


def _ping(sender: Member, echoes: dict[str, float]) -> Heartbeat:
    return Heartbeat(sender, True, True, False, 1, 1, 1, 0.0, echoes, ())


def test_contact_is_counted_from_when_a_stamp_was_sent() -> None:
    me, second, third = VIEW.roster
    liveness = FailureDetector(me)
    assert not liveness.has_majority_contact(VIEW, 0.0)
    liveness.on_heartbeat(_ping(second, {me.id: 1_000.0}), 1_900.0)
    assert liveness.has_majority_contact(VIEW, 1_900.0)
    assert not liveness.has_majority_contact(VIEW, 1_000.0 + CONTACT_TIMEOUT_MS)
    liveness.on_heartbeat(_ping(third, {me.id: 2_000.0}), 2_100.0)
    assert liveness.has_majority_contact(VIEW, 2_900.0)
    # Frozen for long, and awake again: it has heard nobody since.
    assert not liveness.has_majority_contact(VIEW, 30_000.0)
