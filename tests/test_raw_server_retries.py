"""The data plane against servers down to the socket: how often a request is executed."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.dataplane.upstream import Upstream
from lab.router.raw_server import Arrival, Connection
from tests.raw_servers import IDEMPOTENT, KINDS, MAX_ATTEMPTS, METHODS, Scene, good_response, play


async def _never_respond(connection: Connection, _: Arrival) -> None:
    await connection.closed()


async def _reset_before_head(connection: Connection, _: Arrival) -> None:
    connection.reset()


async def _reset_within_head(connection: Connection, arrival: Arrival) -> None:
    connection.send(good_response(arrival)[:30])
    await connection.writer.drain()
    connection.reset()


async def _reset_after_head(connection: Connection, arrival: Arrival) -> None:
    response = good_response(arrival)
    connection.send(response[: response.index(b"\r\n\r\n") + 4])
    await connection.writer.drain()
    connection.reset()


async def _close_before_head(connection: Connection, _: Arrival) -> None:
    connection.writer.close()


BREAKS = {
    "no response": _never_respond,
    "reset before head": _reset_before_head,
    "reset within head": _reset_within_head,
    "reset after head": _reset_after_head,
    "close before head": _close_before_head,
}


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("how", BREAKS)
def test_request_that_may_have_executed_is_retried_only_if_idempotent(
    how: str, kind: str, method: str
) -> None:
    async def scene(scene: Scene) -> None:
        result = await scene.send(kind, method)
        limit = MAX_ATTEMPTS if kind in IDEMPOTENT else 1
        assert 1 <= scene.executions(result) <= limit
        assert scene.executions(result) == 1 or how != "no response"
        # No promise that it was not executed, and no success.
        assert result.status in (0, 502, 504)

    play(BREAKS[how], scene)


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", KINDS)
def test_loss_of_a_reused_connection_does_not_repeat_a_request(kind: str, method: str) -> None:
    """The library would retry GET, PUT and the like by itself."""

    async def respond_once(connection: Connection, arrival: Arrival) -> None:
        if arrival.place:
            connection.reset()
            return
        connection.send(good_response(arrival))

    async def scene(scene: Scene) -> None:
        first = [await scene.send(kind, method) for _ in range(2)]  # one connection to each server
        assert all(result.complete for result in first)
        result = await scene.send(kind, method)
        limit = MAX_ATTEMPTS if kind in IDEMPOTENT else 1
        assert 1 <= scene.executions(result) <= limit
        assert result.status in (0, 200, 502)
        assert result.status != 200 or kind in IDEMPOTENT

    play(respond_once, scene)


def test_library_repeats_a_request_by_itself_without_the_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted fault of the test above, which has to see the library's own retry."""
    original = Upstream.__init__

    def unguarded(self: Upstream, max_in_flight: int) -> None:
        original(self, max_in_flight)
        self._session._retry_connection = True

    monkeypatch.setattr(Upstream, "__init__", unguarded)
    with pytest.raises(AssertionError):
        test_loss_of_a_reused_connection_does_not_repeat_a_request("unsafe", "PUT")


@pytest.mark.parametrize("kind", KINDS)
def test_disconnect_of_the_client_ends_its_attempt_without_a_retry(kind: str) -> None:
    arrived = asyncio.Event()

    async def respond_never_to_the_first(connection: Connection, arrival: Arrival) -> None:
        if arrival.attempt == "try-1":
            arrived.set()
            await connection.closed()
            return
        connection.send(good_response(arrival))

    async def scene(scene: Scene) -> None:
        sending = asyncio.create_task(scene.send(kind, deadline_ms=10_000))
        await arrived.wait()
        sending.cancel()
        async with asyncio.timeout(2.0):
            while not all(c.reader.at_eof() for s in scene.servers for c in s.connections):
                await asyncio.sleep(0.01)
        assert sum(server.runs["try-1"] for server in scene.servers) == 1
        assert (await scene.send(kind)).complete
        assert sum(server.runs["try-1"] for server in scene.servers) == 1

    play(respond_never_to_the_first, scene)
