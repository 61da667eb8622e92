"""A node's requests for placement advice: how long it waits, and what it reports."""

from __future__ import annotations

import asyncio

from msgspec import Struct

from dunlinloft.coordination.stream import (
    ControlPlaneView,
    LocalPlacement,
    PlacementCompleted,
    PlacementQuery,
    PlacementReply,
)
from dunlinloft.dataplane.placement_client import PlacedRequest, PlacementClient
from dunlinloft.dataplane.server_pool import ServerRequirements
from tests.virtual_time import run_virtually

CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


NEEDS = ServerRequirements(
    200.0, prompt_segments=(("system", 2_500), ("handbook", 3_800), ("own", 2_900)), max_response_tokens=60
)


class _Owner:
    """An owner that answers after a while, in virtual time."""

    def __init__(self, answer_ms: float, alive: bool = True) -> None:
        self.answer_ms = answer_ms
        self.is_alive = alive
        self.sent: list[Struct] = []
        self.replicas = ControlPlaneView(1, CHAIN, CHAIN, 10)
        self.client = PlacementClient(self)

    def alive(self, _: str) -> bool:
        """Whether it is there."""
        return self.is_alive

    def send(self, address: str, message: Struct) -> bool:
        self.sent.append(message)
        if isinstance(message, PlacementQuery):
            placed = PlacementReply(message.request_id, message.service, "i-1")
            loop = asyncio.get_running_loop()
            loop.call_later(self.answer_ms / 1_000.0, self.client.on_placed, address, placed)
        return True

    async def ask(self) -> bool:
        """Ask with an objective of 200 ms; whether advice came in time."""
        now = 1_000.0 * asyncio.get_running_loop().time()
        advised = await self.client.request("pool", NEEDS, (), False, now)
        return isinstance(advised, PlacedRequest)


def test_advice_is_waited_for_a_fifth_of_the_objective() -> None:
    async def play() -> None:
        assert await _Owner(35.0).ask()
        assert not await _Owner(45.0).ask()

    run_virtually(play())


def test_an_owner_that_is_there_is_asked_again_after_a_late_answer_and_one_that_is_gone_is_not() -> None:
    async def play() -> None:
        for alive in (True, False):
            owner = _Owner(45.0, alive)
            assert not await owner.ask()
            owner.answer_ms = 5.0
            assert await owner.ask() == alive
            await asyncio.sleep(0.1)
            ended = [message for message in owner.sent if isinstance(message, PlacementCompleted)]
            assert len(ended) == 1, "the late answer is given back"

    run_virtually(play())


def test_a_choice_of_its_own_is_told_and_its_end_too() -> None:
    owner = _Owner(5.0)
    told = owner.client.report_choice("pool", NEEDS, "i-2")
    assert told is not None
    told.finish(False)
    chosen, ended = owner.sent
    assert isinstance(chosen, LocalPlacement)
    assert isinstance(ended, PlacementCompleted)
    assert (chosen.server_id, chosen.request_id) == ("i-2", ended.request_id)
