"""A node's streams to the control plane: restarted after a fault of ours, alive until their end."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.coordination.stream import Alive, ConfigurationId
from dunlinloft.dataplane.control import NodeSide, Subscriptions


def _subscriptions() -> Subscriptions:
    seeds = ("127.0.0.1:1",)
    side = NodeSide(
        take=lambda *_: None,
        lost=lambda _: None,
        held=ConfigurationId,
        digests=tuple,
        has_servers=lambda: True,
        hears=lambda *_: False,
        shares=lambda _: {},
        reserves=dict,
    )
    return Subscriptions("node", "a", lambda: seeds, side)


def test_a_failed_stream_is_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    started: list[str] = []
    restarted = asyncio.Event()

    async def keep(self: Subscriptions, address: str) -> None:
        started.append(address)
        if len(started) == 1:
            raise KeyError("planted")
        restarted.set()
        await asyncio.Event().wait()

    async def main() -> None:
        monkeypatch.setattr(Subscriptions, "_keep", keep)
        monkeypatch.setattr("dunlinloft.dataplane.control.ALIVE_S", 0.001)
        running = asyncio.create_task(_subscriptions().run())
        async with asyncio.timeout(5.0):
            await restarted.wait()
        running.cancel()

    asyncio.run(main())
    assert started == ["127.0.0.1:1"] * 2


class _Transport:
    """Takes all that is written."""

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Nothing to end."""


class _Writer:
    """The writing side of a connection that nobody reads."""

    transport = _Transport()

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        """Drop it."""


def test_a_replica_is_alive_from_the_start_of_its_stream_until_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        reader = asyncio.StreamReader()
        connected = asyncio.Event()

        async def connect(_: str) -> tuple[asyncio.StreamReader, _Writer]:
            connected.set()
            return reader, _Writer()

        monkeypatch.setattr("dunlinloft.transport.message_stream.connect", connect)
        subscriptions = _subscriptions()
        assert not subscriptions.alive("127.0.0.1:1")
        keeping = asyncio.create_task(subscriptions._keep("127.0.0.1:1"))
        await connected.wait()
        while not subscriptions.send("127.0.0.1:1", Alive()):
            await asyncio.sleep(0)
        assert subscriptions.alive("127.0.0.1:1")
        reader.feed_eof()
        while subscriptions.send("127.0.0.1:1", Alive()):
            await asyncio.sleep(0)
        assert not subscriptions.alive("127.0.0.1:1")
        keeping.cancel()

    asyncio.run(main())
