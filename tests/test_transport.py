"""The transport: streams report why they ended, and background tasks end with their owner."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from dunlinloft.coordination.stream import ControlKeepalive
from dunlinloft.transport import message_stream
from dunlinloft.transport.exceptions import ConnectError
from dunlinloft.transport.message_stream import StreamEnd, encode_frame, read_messages
from dunlinloft.transport.tasks import BackgroundTasks, run_essential


@pytest.mark.parametrize("first", ["frame", "cancel"])
def test_cancellation_that_coincides_with_a_frame_ends_read_messages(first: str) -> None:
    async def main() -> None:
        reader = asyncio.StreamReader()
        decoder = msgspec.json.Decoder(ControlKeepalive)
        reading = asyncio.create_task(read_messages(reader, decoder, lambda _: None, 60.0))
        await asyncio.sleep(0)  # let it wait for a frame
        frame = encode_frame(ControlKeepalive())
        if first == "frame":
            reader.feed_data(frame)
            reading.cancel()
        else:
            reading.cancel()
            reader.feed_data(frame)
        with pytest.raises(asyncio.CancelledError):
            async with asyncio.timeout(5.0):
                await reading

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "end", "logged"),
    [
        (b"", StreamEnd.CLOSED_BY_PEER, "closed"),
        (b'{"type":"alive"}\n{"type":"al', StreamEnd.CLOSED_BY_PEER, "closed"),
        (b'{"type":"alive"}\n{"type":"other"}\n', StreamEnd.UNDECODABLE, "not understood"),
        (b'{"type":"alive"}\n' + b"x" * 200, StreamEnd.FRAME_TOO_LONG, "line too long"),
        (None, StreamEnd.IDLE, "silent"),
        (ConnectionResetError(), StreamEnd.CONNECTION_LOST, "lost"),
    ],
)
def test_read_messages_returns_the_reason_of_the_end_as_it_is_logged(
    data: bytes | Exception | None, end: StreamEnd, logged: str
) -> None:
    async def main() -> StreamEnd:
        reader = asyncio.StreamReader(limit=100)
        if isinstance(data, bytes):
            reader.feed_data(data)
            reader.feed_eof()
        elif data is not None:
            reader.set_exception(data)
        return await read_messages(reader, msgspec.json.Decoder(ControlKeepalive), lambda _: None, 0.01)

    assert asyncio.run(main()) is end
    assert f"{end}" == logged


@pytest.mark.parametrize("failure", [ConnectionRefusedError("refused"), TimeoutError()])
def test_failed_connection_raises_an_error_with_its_address(
    monkeypatch: pytest.MonkeyPatch, failure: OSError
) -> None:
    async def fail(*_: object, **__: object) -> None:
        raise failure

    monkeypatch.setattr(asyncio, "open_connection", fail)
    with pytest.raises(ConnectError, match=r"127\.0\.0\.1:9") as raised:
        asyncio.run(message_stream.connect("127.0.0.1:9"))
    assert raised.value.address == "127.0.0.1:9"
    assert raised.value.__cause__ is failure


def test_failure_of_an_essential_loop_ends_the_process() -> None:
    async def fail() -> None:
        raise ValueError("injected fault")

    with pytest.raises(SystemExit):
        asyncio.run(run_essential(fail(), "node"))


def test_background_tasks_are_cancelled_and_awaited_when_their_owner_exits() -> None:
    ended: list[str] = []

    async def wait(name: str) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.001)
            ended.append(name)

    async def main() -> None:
        with pytest.raises(KeyError):
            async with BackgroundTasks() as tasks:
                tasks.start(wait("first"))
                tasks.start(wait("second"))
                tasks.start(asyncio.sleep(0))
                await asyncio.sleep(0.01)
                raise KeyError("injected fault")
        assert sorted(ended) == ["first", "second"]

    asyncio.run(main())


def test_cancellation_of_the_owner_is_propagated() -> None:
    async def run_owner() -> None:
        async with BackgroundTasks() as tasks:
            tasks.start(asyncio.Event().wait())  # type: ignore[arg-type]
            await asyncio.Event().wait()

    async def main() -> None:
        owner = asyncio.create_task(run_owner())
        await asyncio.sleep(0.01)
        owner.cancel()
        with pytest.raises(asyncio.CancelledError):
            await owner

    asyncio.run(main())
