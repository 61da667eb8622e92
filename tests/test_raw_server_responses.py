"""The data plane against raw socket servers: clients get only their own responses, and only complete ones."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.dataplane.event_framing import MAX_PENDING_BYTES
from lab.router.raw_server import Arrival, Connection, answer, events
from tests.raw_servers import (
    HOST,
    IDEMPOTENT_KINDS,
    MAX_ATTEMPTS,
    ROUTE_KINDS,
    Harness,
    run_scenario,
    valid_response,
)

LONG_BODY = b"0123456789abcdef" * 65_536  # 1 MiB


# Late, surplus and mismatched responses.


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_surplus_response_is_not_relayed(kind: str) -> None:
    async def respond_twice(connection: Connection, arrival: Arrival) -> None:
        connection.send(valid_response(arrival) + valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        for result in [await harness.send(kind) for _ in range(12)]:
            assert harness.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT_KINDS else 1)
            assert result.complete or result.status in (0, 502)

    run_scenario(respond_twice, scenario)


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_response_to_an_abandoned_request_is_not_relayed(kind: str) -> None:
    async def respond_late(connection: Connection, arrival: Arrival) -> None:
        if connection.requests == 1 and arrival.attempt == "try-1":
            await asyncio.sleep(0.4)
        connection.send(valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        first = await harness.send(kind, deadline_ms=150)
        assert first.status in (0, 502, 504)
        for result in [await harness.send(kind) for _ in range(10)]:
            assert result.complete
            assert harness.executions(result) == 1

    run_scenario(respond_late, scenario)


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_response_to_another_request_is_not_relayed(kind: str) -> None:
    async def respond_to_another(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), stream=True, attempt="another-attempt"))

    async def scenario(harness: Harness) -> None:
        result = await harness.send(kind)
        assert result.status in (0, 502)
        assert harness.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT_KINDS else 1)

    run_scenario(respond_to_another, scenario)


# Responses that end early.


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_response_without_a_length_that_is_reset_is_not_complete(kind: str) -> None:
    async def reset_unframed(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), length=False, stream=True))
        await connection.writer.drain()
        await asyncio.sleep(0.02)
        connection.reset()

    async def scenario(harness: Harness) -> None:
        result = await harness.send(kind)
        assert result.status in (0, 502)
        assert harness.executions(result) <= (MAX_ATTEMPTS if kind in IDEMPOTENT_KINDS else 1)

    run_scenario(reset_unframed, scenario)


def test_broken_stream_is_resumed_without_a_gap_only_if_allowed() -> None:
    async def break_within_an_event(connection: Connection, arrival: Arrival) -> None:
        last = _resumed_from(arrival)
        if last:
            connection.send(answer(arrival, events(last + 1, 6), stream=True))
            return
        response = answer(arrival, events(1, 6), stream=True)
        connection.send(response[: response.index(b"id: 4") + 9])
        await connection.writer.drain()
        connection.reset()

    async def scenario(harness: Harness) -> None:
        resumed = await harness.send("resumable")
        assert resumed.status == 0 or resumed.body == events(1, 6)
        assert harness.executions(resumed) == 2
        broken = await harness.send("once")
        assert broken.status == 0, "a broken stream must not appear complete"
        assert harness.executions(broken) == 1

    run_scenario(break_within_an_event, scenario)


def _resumed_from(arrival: Arrival) -> int:
    """The number in the `Last-Event-Id` of a request; 0 if it has none."""
    for line in arrival.head.split(b"\r\n"):
        if line.lower().startswith(b"last-event-id: "):
            return int(line.split(b": ")[1])
    return 0


@pytest.mark.parametrize("sent", [0, 1, 3], ids=lambda sent: f"{sent} events")
@pytest.mark.parametrize("kind", ["once", "resumable"])
def test_stream_without_a_length_that_ends_inside_an_event_is_not_complete(kind: str, sent: int) -> None:
    """A server's crash closes its connections in the ordinary way: the stream looked complete (review/6)."""

    crashed: list[str] = []

    async def crash_first(connection: Connection, arrival: Arrival) -> None:
        first = _resumed_from(arrival) + 1
        if crashed:
            connection.send(answer(arrival, events(first, 6), length=False, stream=True))
        else:
            crashed.append(arrival.attempt)
            partial = events(1, sent) + b"id: %d\ndata: p" % (sent + 1)
            connection.send(answer(arrival, partial, length=False, stream=True))
        await connection.writer.drain()
        connection.writer.close()

    async def scenario(harness: Harness) -> None:
        result = await harness.send(kind)
        if kind == "resumable":
            assert (result.status, result.body) == (200, events(1, 6))
            assert harness.executions(result) == 2
        else:
            assert result.status == (0 if sent else 502)
            assert harness.executions(result) == 1

    run_scenario(crash_first, scenario)


def test_client_of_http_1_0_can_tell_that_its_stream_was_cut() -> None:
    """Without chunks nothing but a reset tells it: the end of the connection marks the end of the stream."""

    async def break_stream(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2) + b"id: 3", length=False, stream=True))
        await connection.writer.drain()
        await asyncio.sleep(0.05)
        connection.writer.close()

    async def scenario(harness: Harness) -> None:
        host, port = harness.node.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST /once/a HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n\r\n".encode())
        assert (await reader.readuntil(b"\r\n")).endswith(b" 200 OK\r\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()

    run_scenario(break_stream, scenario)


@pytest.mark.parametrize("framing", ["length", "chunked", "connection"])
def test_stream_that_states_its_end_is_relayed_with_a_last_event_that_lacks_its_blank_line(
    framing: str,
) -> None:
    """Only where nothing but the end of the connection marks the end may the rest be missing."""
    body = events(1, 2) + b"data: last"

    async def respond(connection: Connection, arrival: Arrival) -> None:
        if framing == "chunked":
            head = answer(arrival, b"", length=False, stream=True).removesuffix(b"\r\n")
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            connection.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
            return
        connection.send(answer(arrival, body, length=framing == "length", stream=True))
        await connection.writer.drain()
        if framing == "connection":
            connection.writer.close()

    async def scenario(harness: Harness) -> None:
        result = await harness.send("once")
        if framing == "connection":
            assert result.status == 0
        else:
            assert (result.status, result.body) == (200, body)

    run_scenario(respond, scenario)


def test_stream_is_not_resumed_after_a_part_of_an_event_was_forwarded() -> None:
    """The next server would send that event again from its beginning."""
    long_event = b"id: 2\ndata: " + b"x" * (MAX_PENDING_BYTES + 100_000)

    async def break_in_a_long_event(connection: Connection, arrival: Arrival) -> None:
        if _resumed_from(arrival):
            connection.send(answer(arrival, events(2, 3), stream=True))
            return
        connection.send(answer(arrival, events(1, 1) + long_event, length=False, stream=True))
        await connection.writer.drain()
        await asyncio.sleep(0.1)
        connection.writer.close()

    async def scenario(harness: Harness) -> None:
        result = await harness.send("resumable", deadline_ms=2_000)
        assert result.status == 0, "a broken stream must not appear complete"
        assert harness.executions(result) == 1

    run_scenario(break_in_a_long_event, scenario)


# Early responses, sent while a long body is still being received.


@pytest.mark.parametrize("stays_open", [True, False])
@pytest.mark.parametrize("kind", ["unsafe", "safe"])
def test_rest_of_a_body_after_an_early_response_is_not_parsed_as_a_request(
    kind: str, stays_open: bool
) -> None:
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
        """Do nothing, as the response has already been sent."""

    async def scenario(harness: Harness) -> None:
        for _ in range(6):
            result = await harness.send(kind, body=LONG_BODY, deadline_ms=2_000)
            assert result.complete or result.status in (0, 502)
        for server in harness.servers:
            for arrival in server.arrivals:
                assert arrival.body == LONG_BODY

    run_scenario(do_nothing, scenario, on_head=respond_early)
