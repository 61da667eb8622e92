"""A node's stream that ends by a fault of ours is begun anew, and a loop that fails ends the process."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.dataplane.control import Subscriptions
from dunlinloft.transport.tasks import guarded


def _subscriptions() -> Subscriptions:
    seeds = ("127.0.0.1:1",)
    return Subscriptions(
        "node",
        "a",
        lambda: seeds,
        lambda *_: None,
        lambda _: None,
        lambda: 0,
        tuple,
        lambda: True,
        lambda *_: False,
        lambda _: {},
    )


def test_a_stream_that_failed_is_begun_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    begun: list[str] = []
    again = asyncio.Event()

    async def keep(self: Subscriptions, address: str) -> None:
        begun.append(address)
        if len(begun) == 1:
            raise KeyError("planted")
        again.set()
        await asyncio.Event().wait()

    async def main() -> None:
        monkeypatch.setattr(Subscriptions, "_keep", keep)
        monkeypatch.setattr("dunlinloft.dataplane.control.ALIVE_S", 0.001)
        running = asyncio.create_task(_subscriptions().run())
        async with asyncio.timeout(5.0):
            await again.wait()
        running.cancel()

    asyncio.run(main())
    assert begun == ["127.0.0.1:1"] * 2


def test_a_loop_that_fails_ends_the_process() -> None:
    async def fails() -> None:
        raise ValueError("planted")

    with pytest.raises(SystemExit):
        asyncio.run(guarded(fails(), "node"))
