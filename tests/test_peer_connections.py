"""Connections to other replicas: early messages stay in order, a lost connection is made again."""

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


class _Transport:
    """Takes all that is written."""

    def __init__(self) -> None:
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.aborted = True


class _Connection:
    """Both sides of a connection to a replica."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = _Transport()
        self.written: list[bytes] = []

    def is_closing(self) -> bool:
        return self.transport.aborted

    def write(self, data: bytes) -> None:
        self.written.append(data)


class _Dialer:
    """Stands in for `connect`: fails so many times, then connects."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.connections: list[_Connection] = []

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, _Connection]:
        await asyncio.sleep(0)
        if self.failures:
            self.failures -= 1
            raise ConnectError(address, ConnectionRefusedError("refused"))
        self.connections.append(_Connection())
        return self.connections[-1].reader, self.connections[-1]


Play = Callable[[PeerConnections, _Dialer], Coroutine[Any, Any, None]]


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Callable[..., _Dialer]:
    """Runs a scene with connections that a dialer makes; the dialer, after the connections' end."""
    monkeypatch.setattr(peer_connections, "RECONNECT_INTERVAL_S", 0.001)

    def run(scene: Play, failures: int = 0) -> _Dialer:
        dialer = _Dialer(failures)
        monkeypatch.setattr(message_stream, "connect", dialer.connect)

        async def main() -> None:
            async with asyncio.timeout(5.0), PeerConnections() as peers:
                await scene(peers, dialer)

        asyncio.run(main())
        return dialer

    return run


async def _until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_messages_sent_while_connecting_are_kept_in_order_up_to_a_limit(
    play: Callable[..., _Dialer],
) -> None:
    frames = [b"%d\n" % number for number in range(MAX_QUEUED_FRAMES + 5)]

    async def scene(peers: PeerConnections, dialer: _Dialer) -> None:
        for frame in frames:
            peers.send_frame(ADDRESS, frame)
        await _until(lambda: dialer.connections and dialer.connections[0].written)
        peers.send_frame(ADDRESS, b"later\n")

    (connection,) = play(scene).connections
    assert connection.written == [*frames[:MAX_QUEUED_FRAMES], b"later\n"]


def test_messages_are_dropped_where_no_connection_can_be_made(play: Callable[..., _Dialer]) -> None:
    async def scene(peers: PeerConnections, dialer: _Dialer) -> None:
        peers.send_frame(ADDRESS, b"lost\n")
        await _until(lambda: dialer.connections)
        peers.send_frame(ADDRESS, b"sent\n")
        await _until(lambda: dialer.connections[0].written)

    (connection,) = play(scene, failures=2).connections
    assert connection.written == [b"sent\n"]


def test_a_connection_that_ends_is_made_again(play: Callable[..., _Dialer]) -> None:
    async def scene(peers: PeerConnections, dialer: _Dialer) -> None:
        peers.send_frame(ADDRESS, b"first\n")
        await _until(lambda: dialer.connections and dialer.connections[0].written)
        dialer.connections[0].reader.feed_eof()
        await _until(lambda: len(dialer.connections) == 2)
        await asyncio.sleep(0.001)
        peers.send_frame(ADDRESS, b"second\n")

    first, second = play(scene).connections
    assert (first.written, second.written) == ([b"first\n"], [b"second\n"])


def test_all_connections_end_with_their_owner(play: Callable[..., _Dialer]) -> None:
    async def scene(peers: PeerConnections, dialer: _Dialer) -> None:
        for port in (1, 2):
            peers.send_frame(f"127.0.0.1:{port}", b"x\n")
        await _until(lambda: len(dialer.connections) == 2)
        await asyncio.sleep(0.001)

    assert all(connection.transport.aborted for connection in play(scene).connections)


def test_a_connection_unused_for_long_is_closed(
    play: Callable[..., _Dialer], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_connections, "IDLE_TIMEOUT_S", 0.0)

    async def scene(peers: PeerConnections, dialer: _Dialer) -> None:
        peers.send_frame(ADDRESS, b"x\n")
        await _until(lambda: dialer.connections and dialer.connections[0].written)
        await asyncio.sleep(0.001)
        peers.close_idle()
        await _until(lambda: dialer.connections[0].transport.aborted)

    assert len(play(scene).connections) == 1
