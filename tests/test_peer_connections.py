"""`PeerConnections`: queueing while connecting, reconnection, and closing of connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from dunlinloft.controlplane import peer_connections
from dunlinloft.controlplane.peer_connections import MAX_QUEUED_FRAMES, PeerConnections
from dunlinloft.transport import message_stream
from dunlinloft.transport.exceptions import ConnectError

ADDRESS = "127.0.0.1:1"


class _FakeTransport:
    """A fake transport with an empty write buffer."""

    def __init__(self) -> None:
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.aborted = True


class _FakeConnection:
    """A fake connection to a replica: its reader, and a writer that records what is written."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = _FakeTransport()
        self.written: list[bytes] = []

    def is_closing(self) -> bool:
        return self.transport.aborted

    def write(self, data: bytes) -> None:
        self.written.append(data)


class _FakeConnector:
    """Replaces `connect`: fails a given number of times, then returns fake connections."""

    def __init__(self, failure_count: int = 0) -> None:
        self.failure_count = failure_count
        self.connections: list[_FakeConnection] = []

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, _FakeConnection]:
        await asyncio.sleep(0)
        if self.failure_count:
            self.failure_count -= 1
            raise ConnectError(address, ConnectionRefusedError("refused"))
        self.connections.append(_FakeConnection())
        return self.connections[-1].reader, self.connections[-1]


Scenario = Callable[[PeerConnections, _FakeConnector], Coroutine[Any, Any, None]]


@pytest.fixture
def run_scenario(monkeypatch: pytest.MonkeyPatch) -> Callable[..., _FakeConnector]:
    """A function that runs a scenario on fake connections and returns the connector after they are closed."""
    monkeypatch.setattr(peer_connections, "RECONNECT_INTERVAL_S", 0.001)

    def run(scenario: Scenario, failure_count: int = 0) -> _FakeConnector:
        connector = _FakeConnector(failure_count)
        monkeypatch.setattr(message_stream, "connect", connector.connect)

        async def main() -> None:
            async with asyncio.timeout(5.0), PeerConnections() as peers:
                await scenario(peers, connector)

        asyncio.run(main())
        return connector

    return run


async def _wait_until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_messages_sent_while_connecting_are_queued_in_order_up_to_a_limit(
    run_scenario: Callable[..., _FakeConnector],
) -> None:
    frames = [b"%d\n" % number for number in range(MAX_QUEUED_FRAMES + 5)]

    async def scenario(peers: PeerConnections, connector: _FakeConnector) -> None:
        for frame in frames:
            peers.send_frame(ADDRESS, frame)
        await _wait_until(lambda: connector.connections and connector.connections[0].written)
        peers.send_frame(ADDRESS, b"later\n")

    (connection,) = run_scenario(scenario).connections
    assert connection.written == [*frames[:MAX_QUEUED_FRAMES], b"later\n"]


def test_queued_messages_are_dropped_when_connecting_fails(
    run_scenario: Callable[..., _FakeConnector],
) -> None:
    async def scenario(peers: PeerConnections, connector: _FakeConnector) -> None:
        peers.send_frame(ADDRESS, b"lost\n")
        await _wait_until(lambda: connector.connections)
        peers.send_frame(ADDRESS, b"sent\n")
        await _wait_until(lambda: connector.connections[0].written)

    (connection,) = run_scenario(scenario, failure_count=2).connections
    assert connection.written == [b"sent\n"]


def test_lost_connection_is_reestablished(run_scenario: Callable[..., _FakeConnector]) -> None:
    async def scenario(peers: PeerConnections, connector: _FakeConnector) -> None:
        peers.send_frame(ADDRESS, b"first\n")
        await _wait_until(lambda: connector.connections and connector.connections[0].written)
        connector.connections[0].reader.feed_eof()
        await _wait_until(lambda: len(connector.connections) == 2)
        await asyncio.sleep(0.001)
        peers.send_frame(ADDRESS, b"second\n")

    first, second = run_scenario(scenario).connections
    assert (first.written, second.written) == ([b"first\n"], [b"second\n"])


def test_all_connections_are_aborted_on_exit(run_scenario: Callable[..., _FakeConnector]) -> None:
    async def scenario(peers: PeerConnections, connector: _FakeConnector) -> None:
        for port in (1, 2):
            peers.send_frame(f"127.0.0.1:{port}", b"x\n")
        await _wait_until(lambda: len(connector.connections) == 2)
        await asyncio.sleep(0.001)

    assert all(connection.transport.aborted for connection in run_scenario(scenario).connections)


def test_idle_connection_is_closed(
    run_scenario: Callable[..., _FakeConnector], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_connections, "IDLE_TIMEOUT_S", 0.0)

    async def scenario(peers: PeerConnections, connector: _FakeConnector) -> None:
        peers.send_frame(ADDRESS, b"x\n")
        await _wait_until(lambda: connector.connections and connector.connections[0].written)
        await asyncio.sleep(0.001)
        peers.close_idle()
        await _wait_until(lambda: connector.connections[0].transport.aborted)

    assert len(run_scenario(scenario).connections) == 1
