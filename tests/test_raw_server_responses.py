"""The data plane against servers down to the socket: whose bytes clients get, and whether all of them."""

from __future__ import annotations

import asyncio

import pytest

from lab.router.raw_server import Arrival, Connection, answer, events
from tests.raw_servers import IDEMPOTENT, KINDS, MAX_ATTEMPTS, Scene, good_response, play

LONG_BODY = b"0123456789abcdef" * 65_536  # 1 MiB


# Late, surplus and foreign responses.


@pytest.mark.parametrize("kind", KINDS)
def test_surplus_response_reaches_nobody(kind: str) -> None:
    async def respond_twice(connection: Connection, arrival: Arrival) -> None:
        connection.send(good_response(arrival) + good_response(arrival))

    async def scene(scene: Scene) -> None:
        for result in [await scene.send(kind) for _ in range(12)]:
            assert scene.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT else 1)
            assert result.complete or result.status in (0, 502)

    play(respond_twice, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_response_to_an_abandoned_request_reaches_nobody(kind: str) -> None:
    async def respond_late(connection: Connection, arrival: Arrival) -> None:
        if connection.requests == 1 and arrival.attempt == "try-1":
            await asyncio.sleep(0.4)
        connection.send(good_response(arrival))

    async def scene(scene: Scene) -> None:
        first = await scene.send(kind, deadline_ms=150)
        assert first.status in (0, 502, 504)
        for result in [await scene.send(kind) for _ in range(10)]:
            assert result.complete
            assert scene.executions(result) == 1

    play(respond_late, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_response_to_another_request_reaches_nobody(kind: str) -> None:
    async def respond_to_another(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), stream=True, attempt="somebody-elses"))

    async def scene(scene: Scene) -> None:
        result = await scene.send(kind)
        assert result.status in (0, 502)
        assert scene.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT else 1)

    play(respond_to_another, scene)


# Responses that end early.


@pytest.mark.parametrize("kind", KINDS)
def test_response_without_a_length_that_is_reset_is_not_complete(kind: str) -> None:
    async def reset_unframed(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), length=False, stream=True))
        await connection.writer.drain()
        await asyncio.sleep(0.02)
        connection.reset()

    async def scene(scene: Scene) -> None:
        result = await scene.send(kind)
        assert result.status in (0, 502)
        assert scene.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT else 1)

    play(reset_unframed, scene)


def test_broken_stream_is_resumed_without_a_gap_only_where_that_is_allowed() -> None:
    async def break_within_an_event(connection: Connection, arrival: Arrival) -> None:
        resume = [line for line in arrival.head.split(b"\r\n") if line.lower().startswith(b"last-event-id: ")]
        if resume:
            first = int(resume[0].split(b": ")[1]) + 1
            connection.send(answer(arrival, events(first, 6), stream=True))
            return
        response = answer(arrival, events(1, 6), stream=True)
        connection.send(response[: response.index(b"id: 4") + 9])
        await connection.writer.drain()
        connection.reset()

    async def scene(scene: Scene) -> None:
        resumed = await scene.send("resumable")
        assert resumed.status == 0 or resumed.body == events(1, 6)
        assert scene.executions(resumed) == 2
        broken = await scene.send("once")
        assert broken.status == 0, "it must not look complete"
        assert scene.executions(broken) == 1

    play(break_within_an_event, scene)


# Early responses, while a long body is still being sent.


@pytest.mark.parametrize("stays_open", [True, False])
@pytest.mark.parametrize("kind", ["unsafe", "safe"])
def test_rest_of_a_body_after_an_early_response_stays_that_body(kind: str, stays_open: bool) -> None:
    async def respond_early(connection: Connection, head: bytes) -> None:
        attempt = next(
            line.split(b": ")[1].decode()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-attempt-id")
        )
        arrival = Arrival(attempt, head, b"", 0)
        connection.send(answer(arrival, b"for " + attempt.encode()))
        if not stays_open:
            await connection.writer.drain()
            connection.writer.close()

    async def do_nothing(_: Connection, __: Arrival) -> None:
        """The response was sent already."""

    async def scene(scene: Scene) -> None:
        for _ in range(6):
            result = await scene.send(kind, body=LONG_BODY, deadline_ms=2_000)
            assert result.complete or result.status in (0, 502)
        for server in scene.servers:
            for arrival in server.arrivals:
                assert arrival.body == LONG_BODY

    play(do_nothing, scene, early=respond_early)
