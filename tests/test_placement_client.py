"""A node's placement client: how long it waits for an owner, and what it reports."""

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
from tests.virtual_time import run_in_virtual_time

CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


REQUIREMENTS = ServerRequirements(
    200.0, prompt_segments=(("system", 2_500), ("handbook", 3_800), ("own", 2_900)), max_output_tokens=60
)


class _Owner:
    """Control streams to an owner that replies after a delay, in virtual time."""

    def __init__(self, reply_ms: float, alive: bool = True) -> None:
        self.reply_ms = reply_ms
        self.is_alive = alive
        self.sent: list[Struct] = []
        self.view = ControlPlaneView(1, CHAIN, CHAIN, 10)
        self.client = PlacementClient(self)

    def alive(self, _: str) -> bool:
        """Whether the owner's stream is up."""
        return self.is_alive

    def send(self, address: str, message: Struct) -> bool:
        self.sent.append(message)
        if isinstance(message, PlacementQuery):
            placed = PlacementReply(message.request_id, message.service, "i-1")
            loop = asyncio.get_running_loop()
            loop.call_later(self.reply_ms / 1_000.0, self.client.on_reply, address, placed)
        return True

    async def request(self) -> bool:
        """Request a server with a latency target of 200 ms; returns whether the owner names one in time."""
        now = 1_000.0 * asyncio.get_running_loop().time()
        placement = await self.client.request("pool", REQUIREMENTS, (), False, now)
        return isinstance(placement, PlacedRequest)


def test_placement_request_times_out_after_a_fifth_of_the_latency_target() -> None:
    async def scenario() -> None:
        assert await _Owner(35.0).request()
        assert not await _Owner(45.0).request()

    run_in_virtual_time(scenario())


def test_owner_that_replied_late_is_suspended_only_if_its_stream_is_down() -> None:
    async def scenario() -> None:
        for alive in (True, False):
            owner = _Owner(45.0, alive)
            assert not await owner.request()
            owner.reply_ms = 5.0
            assert await owner.request() == alive
            await asyncio.sleep(0.1)
            completed = [message for message in owner.sent if isinstance(message, PlacementCompleted)]
            assert len(completed) == 1, "the late placement must be released"

    run_in_virtual_time(scenario())


def test_local_choice_is_reported_and_so_is_its_completion() -> None:
    owner = _Owner(5.0)
    placement = owner.client.report_choice("pool", REQUIREMENTS, "i-2")
    assert placement is not None
    placement.finish(False)
    choice, completion = owner.sent
    assert isinstance(choice, LocalPlacement)
    assert isinstance(completion, PlacementCompleted)
    assert (choice.server_id, choice.request_id) == ("i-2", completion.request_id)
