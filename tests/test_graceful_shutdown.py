"""Graceful shutdown of a node: which requests it refuses, and how it closes connections."""

from __future__ import annotations

import asyncio

from dunlinloft.dataplane.graceful_shutdown import EXIT_MARGIN_MS, READINESS_PROPAGATION_MS, GracefulShutdown
from lab.router.raw_server import Arrival, Connection
from tests.raw_servers import HOST, Harness, run_scenario, valid_response


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
