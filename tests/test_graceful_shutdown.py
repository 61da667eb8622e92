"""Graceful shutdown of a node: which requests it refuses, and how it closes connections."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.dataplane.graceful_shutdown import EXIT_MARGIN_MS, READINESS_PROPAGATION_MS, GracefulShutdown
from lab.router.raw_server import Arrival, Connection
from tests.raw_servers import HOST, ROUTE_KINDS, Harness, run_scenario, valid_response


def test_request_that_would_outlast_the_shutdown_is_refused() -> None:
    shutdown = GracefulShutdown(8_000.0)
    assert not shutdown.refuses(1e9, 0.0)
    shutdown.start(1_000.0)
    assert shutdown.deadline_ms == 9_000.0 - EXIT_MARGIN_MS
    propagated_ms = 1_000.0 + READINESS_PROPAGATION_MS
    assert not shutdown.refuses(1e9, propagated_ms - 1.0), "the platform may not have noticed yet"
    assert shutdown.refuses(shutdown.deadline_ms + 1.0, propagated_ms)
    assert not shutdown.refuses(shutdown.deadline_ms, propagated_ms)


def test_short_grace_period_leaves_time_for_responses() -> None:
    shutdown = GracefulShutdown(4_000.0)
    assert shutdown.readiness_propagation_ms == (4_000.0 - EXIT_MARGIN_MS) / 2.0


def test_idle_connections_are_closed_at_once_and_busy_ones_after_their_response() -> None:
    arrived = asyncio.Event()
    released = asyncio.Event()

    async def respond_when_released(connection: Connection, arrival: Arrival) -> None:
        if arrival.attempt == "try-2":
            arrived.set()
            await released.wait()
        connection.send(valid_response(arrival))

    async def open_connection(
        harness: Harness, attempt: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = harness.node.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /unsafe/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        return reader, writer

    async def scenario(harness: Harness) -> None:
        idle, idle_writer = await open_connection(harness, "try-1")
        assert b"200 OK" in await idle.readuntil(b"for try-1")
        busy, busy_writer = await open_connection(harness, "try-2")
        await arrived.wait()
        harness.node.shutdown.start(asyncio.get_running_loop().time() * 1_000.0)
        harness.node.frontend.close_connections(harness.node.server.connections)
        assert await idle.read() == b"", "the idle connection is closed at once"
        released.set()
        assert (await busy.read()).endswith(b"for try-2"), "the busy connection is closed after its response"
        idle_writer.close()
        busy_writer.close()

    run_scenario(respond_when_released, scenario)


@pytest.mark.parametrize("kind", ROUTE_KINDS)
@pytest.mark.parametrize("started", [False, True], ids=["silent", "head sent"])
def test_request_at_a_server_is_responded_to_at_the_deadline(kind: str, started: bool) -> None:
    """A request that may have executed must not be refused with 503, nor a partial response look complete."""
    arrived = asyncio.Event()

    async def hang(connection: Connection, arrival: Arrival) -> None:
        if started:
            connection.send(valid_response(arrival)[:-1])
        arrived.set()
        await connection.closed()

    async def scenario(harness: Harness) -> None:
        request = asyncio.create_task(harness.send(kind, deadline_ms=60_000))
        await arrived.wait()
        await asyncio.sleep(0.05)
        await _reach_deadline(harness)
        result = await request
        relayed = started and kind in ("once", "resumable")
        assert result.status == (0 if relayed else 502)
        assert harness.executions(result) == 1
        assert harness.node.frontend.in_flight == 0

    run_scenario(hang, scenario)


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_request_whose_body_is_incomplete_is_refused_at_the_deadline(kind: str) -> None:
    async def respond(connection: Connection, arrival: Arrival) -> None:
        connection.send(valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        host, port = harness.node.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /{kind}/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\n"
        writer.write(head.encode() + b"half")
        while not harness.node.frontend.in_flight:
            await asyncio.sleep(0.01)
        await _reach_deadline(harness)
        assert (await reader.read()).startswith(b"HTTP/1.1 503 ")
        writer.close()
        assert not any(server.runs for server in harness.servers)

    run_scenario(respond, scenario)


async def _reach_deadline(harness: Harness) -> None:
    """Let the shutdown reach its deadline."""
    harness.node.shutdown.started_ms = asyncio.get_running_loop().time() * 1_000.0 - 10_000.0
    await harness.node.frontend.finish_requests()


def test_refused_request_on_a_persistent_connection_is_not_executed() -> None:
    async def respond(connection: Connection, arrival: Arrival) -> None:
        connection.send(valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        assert (await harness.send("once")).complete
        harness.node.shutdown.started_ms = asyncio.get_running_loop().time() * 1_000.0 - 7_000.0
        result = await harness.send("once", deadline_ms=15_000)
        assert result.status == 503
        assert harness.executions(result) == 0

    run_scenario(respond, scenario)
