"""The data plane against raw socket servers: how often a request is executed."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.dataplane.upstream import Upstream
from lab.router.raw_server import Arrival, Connection
from tests.raw_servers import (
    IDEMPOTENT_KINDS,
    MAX_ATTEMPTS,
    METHODS,
    ROUTE_KINDS,
    Harness,
    run_scenario,
    valid_response,
)


async def _never_respond(connection: Connection, _: Arrival) -> None:
    await connection.closed()


async def _reset_before_head(connection: Connection, _: Arrival) -> None:
    connection.reset()


async def _reset_within_head(connection: Connection, arrival: Arrival) -> None:
    connection.send(valid_response(arrival)[:30])
    await connection.writer.drain()
    connection.reset()


async def _reset_after_head(connection: Connection, arrival: Arrival) -> None:
    response = valid_response(arrival)
    connection.send(response[: response.index(b"\r\n\r\n") + 4])
    await connection.writer.drain()
    connection.reset()


async def _close_before_head(connection: Connection, _: Arrival) -> None:
    connection.writer.close()


CONNECTION_FAILURES = {
    "no response": _never_respond,
    "reset before head": _reset_before_head,
    "reset within head": _reset_within_head,
    "reset after head": _reset_after_head,
    "close before head": _close_before_head,
}


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", ROUTE_KINDS)
@pytest.mark.parametrize("failure", CONNECTION_FAILURES)
def test_request_that_may_have_executed_is_retried_only_if_idempotent(
    failure: str, kind: str, method: str
) -> None:
    async def scenario(harness: Harness) -> None:
        result = await harness.send(kind, method)
        limit = MAX_ATTEMPTS if kind in IDEMPOTENT_KINDS else 1
        assert 1 <= harness.executions(result) <= limit
        assert harness.executions(result) == 1 or failure != "no response"
        # Never 503, which states that the request was not executed, and never a success.
        assert result.status in (0, 502, 504)

    run_scenario(CONNECTION_FAILURES[failure], scenario)


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_request_on_a_lost_reused_connection_is_retried_only_if_idempotent(kind: str, method: str) -> None:
    """Guards against aiohttp's own retry of GET, PUT and similar methods after a connection loss."""

    async def respond_once(connection: Connection, arrival: Arrival) -> None:
        if arrival.position:
            connection.reset()
            return
        connection.send(valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        first = [await harness.send(kind, method) for _ in range(2)]  # one connection to each server
        assert all(result.complete for result in first)
        result = await harness.send(kind, method)
        limit = MAX_ATTEMPTS if kind in IDEMPOTENT_KINDS else 1
        assert 1 <= harness.executions(result) <= limit
        assert result.status in (0, 200, 502)
        assert result.status != 200 or kind in IDEMPOTENT_KINDS

    run_scenario(respond_once, scenario)


def test_aiohttp_retry_is_detected_if_it_is_not_disabled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Enables aiohttp's own retry to check that the test above detects it."""
    original = Upstream.__init__

    def enable_retry(self: Upstream, max_in_flight: int) -> None:
        original(self, max_in_flight)
        self._session._retry_connection = True

    monkeypatch.setattr(Upstream, "__init__", enable_retry)
    with pytest.raises(AssertionError):
        test_request_on_a_lost_reused_connection_is_retried_only_if_idempotent("unsafe", "PUT")


@pytest.mark.parametrize("kind", ROUTE_KINDS)
def test_client_disconnect_cancels_its_attempt_without_a_retry(kind: str) -> None:
    arrived = asyncio.Event()

    async def never_respond_to_the_first(connection: Connection, arrival: Arrival) -> None:
        if arrival.attempt == "try-1":
            arrived.set()
            await connection.closed()
            return
        connection.send(valid_response(arrival))

    async def scenario(harness: Harness) -> None:
        sending = asyncio.create_task(harness.send(kind, deadline_ms=10_000))
        await arrived.wait()
        sending.cancel()
        async with asyncio.timeout(2.0):
            while not all(c.reader.at_eof() for s in harness.servers for c in s.connections):
                await asyncio.sleep(0.01)
        assert sum(server.runs["try-1"] for server in harness.servers) == 1
        assert (await harness.send(kind)).complete
        assert sum(server.runs["try-1"] for server in harness.servers) == 1

    run_scenario(never_respond_to_the_first, scenario)
