"""A node's stream that ends by a fault of ours is begun anew, and a loop that fails ends the process."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from dunlinloft.coordination.stream import Alive, ConfigurationId
from dunlinloft.dataplane.control import NodeSide, Subscriptions
from dunlinloft.transport.message_stream import encode_frame, read_messages
from dunlinloft.transport.tasks import run_essential


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


@pytest.mark.parametrize("first", ["line", "cancel"])
def test_a_cancellation_that_meets_a_line_ends_the_reading(first: str) -> None:
    async def main() -> None:
        reader = asyncio.StreamReader()
        decoder = msgspec.json.Decoder(Alive)
        reading = asyncio.create_task(read_messages(reader, decoder, lambda _: None, 60.0))
        await asyncio.sleep(0)  # it waits for a line now
        line = encode_frame(Alive())
        if first == "line":
            reader.feed_data(line)
            reading.cancel()
        else:
            reading.cancel()
            reader.feed_data(line)
        with pytest.raises(asyncio.CancelledError):
            async with asyncio.timeout(5.0):
                await reading

    asyncio.run(main())


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


def test_a_replica_counts_as_there_from_when_its_stream_begins_until_it_ends(
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


def test_a_loop_that_fails_ends_the_process() -> None:
    async def fails() -> None:
        raise ValueError("planted")

    with pytest.raises(SystemExit):
        asyncio.run(run_essential(fails(), "node"))
