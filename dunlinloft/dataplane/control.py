"""Subscriptions to the control plane: one long-lived stream to each replica that this node should hear."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from absl import logging

from dunlinloft.coordination.stream import (
    ConfigurationId,
    Fetch,
    Held,
    HoldsShares,
    NodeAlive,
    NodeEnds,
    Replicas,
    Subscribe,
    ToNode,
    Version,
)
from dunlinloft.fleet.rendezvous import rank
from dunlinloft.transport import message_stream
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.exceptions import ConnectError

STREAMS_MOST = 9  # replicas subscribed to, chosen by rendezvous hashing where there are more
CONFIGURATION_STREAMS = 2  # of them send configurations, the others tell versions
OTHERS_FIRST_MS = 300.0  # that they wait for the first ones to tell of all servers
FETCH_AFTER_S = 0.15  # a version told of that hasn't come by then is fetched from who told
REDIAL_S, REDIAL_MOST_S = 0.05, 0.5
ALIVE_S = 0.3
SILENT_S = 1.5
QUIET_MS = 700.0  # a replica says something each 300 ms; after so long without, it may be gone

_decoder = msgspec.json.Decoder(ToNode)


@dataclass(frozen=True, slots=True)
class NodeSide:
    """What a node takes from its streams, and what it tells on them."""

    take: Callable[[str, Any], None]  # a message, by the replica that sent it
    lost: Callable[[str], None]  # a replica's stream ended
    held: Callable[[], ConfigurationId]  # in force
    digests: Callable[[], tuple[int, ...]]  # of the servers known
    has_servers: Callable[[], bool]  # all that there are
    hears: Callable[[str, float], bool]  # whether a replica answers, at a time
    shares: Callable[[float], dict[str, float]]  # of quotas that are held, by tenant
    reserves: Callable[[], dict[str, float]]  # of quotas, by tenant


class Subscriptions:
    """Keeps streams to the replicas that are wanted: the seeds at first, then those that replicas name."""

    def __init__(
        self,
        node: str,
        zone: str,
        seeds: Callable[[], tuple[str, ...]],
        side: NodeSide,
    ) -> None:
        self._node = node
        self._zone = zone
        self._seeds = seeds
        self._side = side
        self._heard_ms: dict[str, float] = {}  # by replica, of its stream
        self._ended = False
        self._node_counts: dict[str, int] = {}  # as each replica that is heard tells
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._writers: dict[str, message_stream.MessageWriter] = {}
        self._named: tuple[str, ...] = ()
        self.replicas: Replicas | None = None
        self._began_ms = now_ms()
        self._fetches: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """The loop that turns the wanted streams into those that are."""
        while not self._ended:
            wanted = self._wanted()
            for address in wanted - self._tasks.keys():
                self._tasks[address] = asyncio.create_task(self._keep(address))
            for address in self._tasks.keys() - wanted:
                self._tasks.pop(address).cancel()
            self._drop_failed()
            for address, writer in list(self._writers.items()):
                writer.send(NodeAlive(self._side.hears(address, now_ms())))
            await asyncio.sleep(ALIVE_S)

    def _drop_failed(self) -> None:
        """A stream that ended by a fault of ours is said, and begun anew at the next look."""
        for address, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[address]
                if not task.cancelled() and task.exception() is not None:
                    logging.error("event=stream_failed replica=%s", address, exc_info=task.exception())

    def _wanted(self) -> set[str]:
        named = self._ranked()[:STREAMS_MOST]
        up = any(address in self._writers for address in named)
        return set(named) if up else set(named) | set(self._seeds())

    def _ranked(self) -> list[str]:
        """All replicas in this node's own order; before any is named, the seeds."""
        return sorted(self._named or self._seeds(), key=lambda address: rank(self._node, address))

    async def _wait_for_servers(self) -> None:
        """Let the first streams tell of all servers, so that the others need not."""
        ends_ms = now_ms() + OTHERS_FIRST_MS
        while not self._side.has_servers() and now_ms() < ends_ms:
            await asyncio.sleep(OTHERS_FIRST_MS / 10_000.0)

    async def _fetch(self, address: str, told: ConfigurationId) -> None:
        await asyncio.sleep(FETCH_AFTER_S)
        if told.replaces(self._side.held(), True):
            self.send(address, Fetch(self._side.held()))

    def end(self) -> None:
        """Tell all replicas that this process ends."""
        self._ended = True
        for writer in self._writers.values():
            writer.send(NodeEnds())

    def held(self) -> None:
        """Acknowledge to all what is in force."""
        for writer in self._writers.values():
            writer.send(Held(self._side.held()))

    def send(self, address: str, message: msgspec.Struct) -> bool:
        """Send to one replica; whether there is a stream to it."""
        writer = self._writers.get(address)
        if writer is None:
            return False
        writer.send(message)
        return True

    async def _keep(self, address: str) -> None:
        wait_s = REDIAL_S
        while True:
            try:
                reader, raw = await message_stream.connect(address)
            except ConnectError:
                await asyncio.sleep(wait_s * (0.5 + random.random()))
                wait_s = min(REDIAL_MOST_S, wait_s * 1.5)
                continue
            wait_s = REDIAL_S
            writer = message_stream.MessageWriter(raw)
            self._writers[address] = writer
            self._heard_ms[address] = now_ms()
            wants = address in self._ranked()[:CONFIGURATION_STREAMS]
            if not wants:
                await self._wait_for_servers()
            uptime_ms = now_ms() - self._began_ms
            held, digests = self._side.held(), self._side.digests()
            holdings = self._holdings()
            writer.send(Subscribe(self._node, self._zone, held, uptime_ms, wants, digests, holdings))
            try:
                reason = await message_stream.read_messages(
                    reader, _decoder, lambda m: self._on(address, m), SILENT_S
                )
            finally:
                writer.abort()
                del self._writers[address]
                self._node_counts.pop(address, None)
                self._side.lost(address)
            logging.info("event=stream_ended replica=%s reason=%s", address, reason)
            await asyncio.sleep(wait_s * (0.5 + random.random()))

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is up, and was heard or begun of late."""
        return address in self._writers and now_ms() - self._heard_ms.get(address, 0.0) < QUIET_MS

    def _on(self, address: str, message: Any) -> None:
        self._heard_ms[address] = now_ms()
        if isinstance(message, Replicas):
            self._on_replicas(address, message)
        elif isinstance(message, Version):
            if message.id.replaces(self._side.held(), True):
                task = asyncio.create_task(self._fetch(address, message.id))
                self._fetches.add(task)
                task.add_done_callback(self._fetches.discard)
        else:
            self._side.take(address, message)

    def _on_replicas(self, address: str, message: Replicas) -> None:
        """Take the newest view, and as many nodes as any replica knows: one that just started knows few."""
        self._node_counts[address] = message.nodes
        epoch = 0 if self.replicas is None else self.replicas.epoch
        if message.epoch < epoch:
            return
        self.replicas = msgspec.structs.replace(message, nodes=max(self._node_counts.values()))
        self._named = message.addresses
        if message.epoch > epoch:
            holdings = self._holdings()
            for writer in self._writers.values():
                writer.send(holdings)

    def _holdings(self) -> HoldsShares:
        epoch = 0 if self.replicas is None else self.replicas.epoch
        return HoldsShares(epoch, self._side.shares(now_ms()), self._side.reserves())
