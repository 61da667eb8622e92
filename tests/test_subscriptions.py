"""A node's subscriptions: streams that fail start anew, and a replica is alive while its stream is up."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.coordination.stream import ConfigurationId, ControlKeepalive, ControlToNode
from dunlinloft.dataplane.replica_streams import ReplicaStreams
from dunlinloft.dataplane.subscriptions import CONFIGURATION_STREAMS, Subscriptions

REPLICA = "127.0.0.1:1"


class _IdleSubscriber:
    """A subscriber that knows everything it needs and takes nothing."""

    configuration_id = ConfigurationId()
    has_all_servers = True

    def server_digests(self) -> tuple[int, ...]:
        return ()

    def owner_responds(self, replica: str, now_ms: float) -> bool:
        return False

    def quota_shares(self, now_ms: float) -> dict[str, float]:
        return {}

    def quota_reserves(self) -> dict[str, float]:
        return {}

    def apply(self, replica: str, message: ControlToNode) -> None:
        """Drop it."""

    def on_stream_lost(self, replica: str) -> None:
        """Nothing depends on it."""


@pytest.fixture
def streams() -> ReplicaStreams:
    """No open stream."""
    return ReplicaStreams()


@pytest.fixture
def subscriptions(streams: ReplicaStreams) -> Subscriptions:
    """Subscriptions whose only seed is one replica."""
    return Subscriptions("node", "a", lambda: (REPLICA,), streams, _IdleSubscriber())


def test_stream_that_failed_starts_anew(
    subscriptions: Subscriptions, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[str] = []
    restarted = asyncio.Event()

    async def maintain(self: Subscriptions, address: str) -> None:
        started.append(address)
        if len(started) == 1:
            raise KeyError("planted")
        restarted.set()
        await asyncio.Event().wait()

    async def main() -> None:
        monkeypatch.setattr(Subscriptions, "_maintain", maintain)
        monkeypatch.setattr("dunlinloft.dataplane.subscriptions.HEARTBEAT_INTERVAL_S", 0.001)
        running = asyncio.create_task(subscriptions.run())
        async with asyncio.timeout(5.0):
            await restarted.wait()
        running.cancel()

    asyncio.run(main())
    assert started == [REPLICA] * 2


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


def test_replica_is_alive_from_the_start_of_its_stream_to_the_end(
    subscriptions: Subscriptions, streams: ReplicaStreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        reader = asyncio.StreamReader()
        connected = asyncio.Event()

        async def connect(_: str) -> tuple[asyncio.StreamReader, _Writer]:
            connected.set()
            return reader, _Writer()

        monkeypatch.setattr("dunlinloft.transport.message_stream.connect", connect)
        assert not streams.alive(REPLICA)
        maintaining = asyncio.create_task(subscriptions._maintain(REPLICA))
        await connected.wait()
        while not streams.send(REPLICA, ControlKeepalive()):
            await asyncio.sleep(0)
        assert streams.alive(REPLICA)
        reader.feed_eof()
        while streams.send(REPLICA, ControlKeepalive()):
            await asyncio.sleep(0)
        assert not streams.alive(REPLICA)
        maintaining.cancel()

    asyncio.run(main())


def test_stream_that_ends_before_its_subscription_is_closed(
    streams: ReplicaStreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Streams that carry no configurations wait for the others' server listing before they subscribe."""

    class _StartedSubscriber(_IdleSubscriber):
        has_all_servers = False

    replicas = tuple(f"127.0.0.1:{port}" for port in range(1, CONFIGURATION_STREAMS + 2))

    async def main() -> None:
        async def connect(_: str) -> tuple[asyncio.StreamReader, _Writer]:
            return asyncio.StreamReader(), _Writer()

        monkeypatch.setattr("dunlinloft.transport.message_stream.connect", connect)
        subscriptions = Subscriptions("node", "a", lambda: replicas, streams, _StartedSubscriber())
        running = asyncio.create_task(subscriptions.run())
        while len(streams.addresses()) < len(replicas):
            await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait((running,))
        await subscriptions.close()
        assert streams.addresses() == []
        assert asyncio.all_tasks() == {asyncio.current_task()}

    asyncio.run(main())
