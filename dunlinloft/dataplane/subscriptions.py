"""Subscriptions to the control plane: one long-lived stream to each subscribed replica."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from absl import logging

from dunlinloft.coordination.stream import (
    ConfigurationAnnouncement,
    ConfigurationId,
    ControlPlaneView,
    ControlToNode,
    FetchConfiguration,
    NodeKeepalive,
    NodeShutdown,
    QuotaHoldingsReport,
    Subscribe,
)
from dunlinloft.dataplane.replica_streams import ReplicaStreams
from dunlinloft.fleet.rendezvous import rank
from dunlinloft.transport import message_stream
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.exceptions import ConnectError

MAX_STREAMS = 9  # if there are more replicas, rendezvous hashing chooses among them
CONFIGURATION_STREAMS = 2  # streams that carry configurations; the others only announce versions
# How long the other streams wait for the configuration streams to list all servers, so as not to repeat that.
SERVER_LISTING_WAIT_MS = 300.0
FETCH_DELAY_S = 0.15  # before an announced version that has not arrived is fetched from its announcer
MIN_RECONNECT_BACKOFF_S = 0.05
MAX_RECONNECT_BACKOFF_S = 0.5
RECONNECT_BACKOFF_FACTOR = 1.5
HEARTBEAT_INTERVAL_S = 0.3  # between keep-alives of this node, and between reconciliations of its streams
RECEIVE_TIMEOUT_S = 1.5  # a stream that carries no message for this long is closed

_decoder = msgspec.json.Decoder(ControlToNode)


class Subscriber(Protocol):
    """The node as seen by its subscriptions: the state that they report, and the receiver of messages.

    Implemented by `NodeState`.
    """

    @property
    def configuration_id(self) -> ConfigurationId:
        """Identifies the active configuration."""

    @property
    def has_all_servers(self) -> bool:
        """Whether any replica has listed all servers."""

    def server_digests(self) -> tuple[int, ...]:
        """Digests of the known servers, by id range."""

    def owner_responds(self, replica: str, now_ms: float) -> bool:
        """Whether a replica responds to this node's quota requests."""

    def quota_shares(self, now_ms: float) -> dict[str, float]:
        """This node's standing shares of quotas, by tenant."""

    def quota_reserves(self) -> dict[str, float]:
        """Unspent reserves of quotas, by tenant."""

    def apply(self, replica: str, message: ControlToNode) -> None:
        """Handle a message from a replica."""

    def on_stream_lost(self, replica: str) -> None:
        """Handle the end of a replica's stream."""


class Subscriptions:
    """Maintains streams to the wanted replicas: first the seeds, then the replicas that those announce.

    Owns one task for each wanted replica, which connects, subscribes, receives, and reconnects with backoff.
    Messages are delivered to the `Subscriber`; open streams are registered in `ReplicaStreams`.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        seeds: Callable[[], tuple[str, ...]],
        streams: ReplicaStreams,
        subscriber: Subscriber,
    ) -> None:
        self._node = node
        self._zone = zone
        self._seeds = seeds
        self._streams = streams
        self._subscriber = subscriber
        self._stopped = False
        self._node_counts: dict[str, int] = {}  # as announced by each connected replica
        self._tasks: dict[str, asyncio.Task[None]] = {}  # by wanted replica
        self._cancelled: dict[asyncio.Task[None], None] = {}  # of replicas no longer wanted
        self._fetches: dict[asyncio.Task[None], None] = {}
        self._replica_addresses: tuple[str, ...] = ()  # addresses of all replicas
        self._started_ms = now_ms()

    async def run(self) -> None:
        """Reconcile the streams with the wanted replicas and send keep-alives, until `stop` is called.

        The streams stay open after this loop, so that the message of `stop` can be sent; `close` ends them.
        """
        while not self._stopped:
            self._reconcile()
            for address in self._streams.addresses():
                responds = self._subscriber.owner_responds(address, now_ms())
                self._streams.send(address, NodeKeepalive(responds))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _reconcile(self) -> None:
        wanted = self._wanted_replicas()
        for address in sorted(wanted - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(self._maintain(address))
        for address in sorted(self._tasks.keys() - wanted):
            task = self._tasks.pop(address)
            self._cancelled[task] = None
            task.add_done_callback(lambda done: self._cancelled.pop(done, None))
            task.cancel()
        self._remove_failed_tasks()

    async def close(self) -> None:
        """Close all streams; called after `run` has ended."""
        tasks = [*self._tasks.values(), *self._cancelled, *self._fetches]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _remove_failed_tasks(self) -> None:
        """Log and remove tasks that failed with an unexpected exception; reconciliation starts them again."""
        for address, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[address]
                if not task.cancelled() and task.exception() is not None:
                    logging.error("event=stream_failed replica=%s", address, exc_info=task.exception())

    def _wanted_replicas(self) -> set[str]:
        """The replicas to subscribe to, and also the seeds as long as none of them is connected."""
        preferred = self._ranked_replicas()[:MAX_STREAMS]
        connected = any(address in self._streams for address in preferred)
        return set(preferred) if connected else set(preferred) | set(self._seeds())

    def _ranked_replicas(self) -> list[str]:
        """All replicas in this node's rendezvous order; the seeds before the first announcement."""
        return sorted(self._replica_addresses or self._seeds(), key=lambda address: rank(self._node, address))

    async def _wait_for_server_listing(self) -> None:
        """Wait until the first streams have listed all servers, so that the others need not."""
        deadline_ms = now_ms() + SERVER_LISTING_WAIT_MS
        while not self._subscriber.has_all_servers and now_ms() < deadline_ms:
            await asyncio.sleep(SERVER_LISTING_WAIT_MS / 10_000.0)

    async def _fetch(self, address: str, announced: ConfigurationId) -> None:
        """Fetch an announced configuration unless it arrives on another stream first."""
        await asyncio.sleep(FETCH_DELAY_S)
        active = self._subscriber.configuration_id
        if announced.supersedes(active, True):
            self._streams.send(address, FetchConfiguration(active))

    def stop(self) -> None:
        """Announce this node's shutdown to all replicas, and start no further streams."""
        self._stopped = True
        self._streams.broadcast(NodeShutdown())

    async def _maintain(self, address: str) -> None:
        """Keep a stream to one replica open until cancelled."""
        backoff_s = MIN_RECONNECT_BACKOFF_S
        while True:
            try:
                reader, raw_writer = await message_stream.connect(address)
            except ConnectError:
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(MAX_RECONNECT_BACKOFF_S, backoff_s * RECONNECT_BACKOFF_FACTOR)
                continue
            backoff_s = MIN_RECONNECT_BACKOFF_S
            reason = await self._receive(address, reader, message_stream.MessageWriter(raw_writer))
            logging.info("event=stream_ended replica=%s reason=%s", address, reason)
            await asyncio.sleep(backoff_s * (0.5 + random.random()))

    async def _receive(
        self, address: str, reader: asyncio.StreamReader, writer: message_stream.MessageWriter
    ) -> message_stream.StreamEnd:
        """Subscribe on a new connection and receive until the stream ends; returns the reason."""
        with self._streams.open(address, writer):
            wants_configurations = address in self._ranked_replicas()[:CONFIGURATION_STREAMS]
            if not wants_configurations:
                await self._wait_for_server_listing()
            writer.send(self._subscribe_message(wants_configurations))
            try:
                return await message_stream.read_messages(
                    reader, _decoder, lambda message: self._on_message(address, message), RECEIVE_TIMEOUT_S
                )
            finally:
                self._node_counts.pop(address, None)
                self._subscriber.on_stream_lost(address)

    def _subscribe_message(self, wants_configurations: bool) -> Subscribe:
        return Subscribe(
            self._node,
            self._zone,
            self._subscriber.configuration_id,
            now_ms() - self._started_ms,
            wants_configurations,
            self._subscriber.server_digests(),
            self._quota_holdings(),
        )

    def _on_message(self, address: str, message: ControlToNode) -> None:
        self._streams.on_received(address)
        if isinstance(message, ControlPlaneView):
            self._on_view(address, message)
        elif isinstance(message, ConfigurationAnnouncement):
            self._on_announcement(address, message)
        else:
            self._subscriber.apply(address, message)

    def _on_announcement(self, address: str, message: ConfigurationAnnouncement) -> None:
        """Schedule a fetch of an announced configuration; another stream usually delivers it first."""
        if message.id.supersedes(self._subscriber.configuration_id, True):
            task = asyncio.create_task(self._fetch(address, message.id))
            self._fetches[task] = None
            task.add_done_callback(lambda done: self._fetches.pop(done, None))

    def _on_view(self, address: str, message: ControlPlaneView) -> None:
        """Store a view of the control plane unless it is outdated.

        The number of nodes is the largest that any connected replica announces, because a replica that has
        just started knows only a few. A new epoch changes the owners of quotas, so this node's quota holdings
        are reported at once to all replicas.
        """
        self._node_counts[address] = message.node_count
        epoch = self._streams.epoch
        if message.epoch < epoch:
            return
        self._streams.view = msgspec.structs.replace(message, node_count=max(self._node_counts.values()))
        self._replica_addresses = message.addresses
        if message.epoch > epoch:
            self._streams.broadcast(self._quota_holdings())

    def _quota_holdings(self) -> QuotaHoldingsReport:
        return QuotaHoldingsReport(
            self._streams.epoch, self._subscriber.quota_shares(now_ms()), self._subscriber.quota_reserves()
        )
