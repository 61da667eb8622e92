"""A node's subscriptions: failed streams are restarted, and a replica is alive while its stream is open."""

from __future__ import annotations

import asyncio

import pytest

from dunlinloft.coordination.stream import ConfigurationId, ControlKeepalive, ControlToNode
from dunlinloft.dataplane.replica_streams import ReplicaStreams
from dunlinloft.dataplane.subscriptions import CONFIGURATION_STREAMS, Subscriptions

REPLICA = "127.0.0.1:1"


class _IdleSubscriber:
    """A subscriber with a complete server listing that ignores all messages."""

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
        """Ignore the message."""

    def on_stream_lost(self, replica: str) -> None:
        """Ignore the loss."""


@pytest.fixture
def streams() -> ReplicaStreams:
    """Streams of which none is open."""
    return ReplicaStreams()


@pytest.fixture
def subscriptions(streams: ReplicaStreams) -> Subscriptions:
    """Subscriptions with a single replica as seed."""
    return Subscriptions("node", "a", lambda: (REPLICA,), streams, _IdleSubscriber())


def test_failed_stream_is_restarted(subscriptions: Subscriptions, monkeypatch: pytest.MonkeyPatch) -> None:
    started: list[str] = []
    restarted = asyncio.Event()

    async def maintain(self: Subscriptions, address: str) -> None:
        started.append(address)
        if len(started) == 1:
            raise KeyError("injected fault")
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
    """A transport whose write buffer is always empty."""

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Do nothing."""


class _Writer:
    """A stream writer that discards its data."""

    transport = _Transport()

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        """Discard the data."""


def test_replica_is_alive_while_its_stream_is_open(
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


def test_stream_that_is_cancelled_before_it_subscribes_is_closed(
    streams: ReplicaStreams, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaked streams that still wait for the server listing of the configuration streams."""

    class _StartingSubscriber(_IdleSubscriber):
        has_all_servers = False

    replicas = tuple(f"127.0.0.1:{port}" for port in range(1, CONFIGURATION_STREAMS + 2))

    async def main() -> None:
        async def connect(_: str) -> tuple[asyncio.StreamReader, _Writer]:
            return asyncio.StreamReader(), _Writer()

        monkeypatch.setattr("dunlinloft.transport.message_stream.connect", connect)
        subscriptions = Subscriptions("node", "a", lambda: replicas, streams, _StartingSubscriber())
        running = asyncio.create_task(subscriptions.run())
        while len(streams.addresses()) < len(replicas):
            await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait((running,))
        await subscriptions.close()
        assert streams.addresses() == []
        assert asyncio.all_tasks() == {asyncio.current_task()}

    asyncio.run(main())
