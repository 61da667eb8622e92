"""The control-plane process: the pure parts, hosted on sockets, a disk and the steady clock."""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
from absl import logging
from aiohttp import web

from dunlinloft import configuration
from dunlinloft.controlplane.api import Api
from dunlinloft.controlplane.disk import Disk
from dunlinloft.controlplane.distribution import Distribution, NodeStream
from dunlinloft.controlplane.links import Links
from dunlinloft.coordination.actions import Action, Commit, Persist, Reply, Send
from dunlinloft.coordination.agreement import majority_of
from dunlinloft.coordination.calls import Invalid
from dunlinloft.coordination.messages import Durable, Member, Order
from dunlinloft.coordination.quotas import LEASE_MS, QuotaOwner
from dunlinloft.coordination.registry import Registry
from dunlinloft.coordination.replica import FIRST_INCARNATION, Replica, first_view
from dunlinloft.coordination.stream import (
    Alive,
    Beats,
    Held,
    NodesSeen,
    QuotaGranted,
    Replicas,
    ServerRecord,
    Subscribe,
    TakeQuota,
    ToControl,
)
from dunlinloft.settings import Settings, host_port
from dunlinloft.transport import lines

TICK_S = 0.05
ALIVE_S = 0.3  # between words to nodes
RELAY_S = 0.3  # between words of servers heard to other control planes
NODES_S = 1.0
NODES_KEPT_S = 20.0  # a node not heard of for so long no longer counts
SILENT_S = 2.0  # a peer's stream that is silent for so long is ended
LEAVE_S = 2.0  # after SIGTERM, for the chain to go on without this replica
BACKLOG = 512

_decoder = msgspec.json.Decoder(ToControl)


class ControlPlane:
    """One process of the control plane."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._address = settings.control_address(settings.ip_address)
        self._links = Links()
        self._registry = Registry(settings.heartbeat_interval_ms, _now_ms())
        self._distribution = Distribution()
        self._quotas = QuotaOwner(self._address)
        self._calls: dict[str, asyncio.Future[Reply]] = {}
        self._numbers = itertools.count(1)
        self._nodes: dict[str, float] = {}  # data-plane nodes, and when each was heard of
        self._streams: set[asyncio.Task[None]] = set()
        self._told_complete = False

    async def run(self) -> None:
        """Serve until SIGTERM."""
        settings = self._settings
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        counts = settings.counts_for_quorum
        self._disk = Disk(Path(settings.data_directory) if settings.data_directory and counts else None)
        first = FIRST_INCARNATION if settings.bootstrap else None
        durable = await self._disk.open(first)
        self._replica = self._make_replica(durable, counts)
        host, port = host_port(self._address)
        internal = await asyncio.start_server(
            self._on_stream, host, port, limit=lines.MOST_LINE, backlog=BACKLOG
        )
        api = web.ServerRunner(web.Server(Api(self._call, self._beat, self._leave).handle, access_log=None))
        await api.setup()
        assert settings.listeners_config.control_plane is not None
        host, port = host_port(settings.listeners_config.control_plane)
        await web.TCPSite(api, host, port, backlog=BACKLOG).start()
        logging.info("event=started node=%s member=%s", settings.node_name, self._replica.me.id)
        loops = [
            self._disk.run(self._persisted),
            self._ticks(),
            self._relays(),
            self._alives(),
            self._node_words(),
        ]
        tasks = [asyncio.create_task(self._guarded(each)) for each in loops]
        await stop.wait()
        await self._leave_chain()
        for task in tasks:
            task.cancel()
        internal.close()
        await api.cleanup()

    async def _guarded(self, loop: Coroutine[Any, Any, None]) -> None:
        """A loop that fails says so and ends the process: the platform starts it again."""
        try:
            await loop
        except asyncio.CancelledError:
            raise
        except Exception:
            logging.exception("event=loop_failed node=%s", self._settings.node_name)
            raise SystemExit(1) from None

    def _make_replica(self, durable: Durable, counts: bool) -> Replica:
        settings = self._settings
        incarnation = durable.incarnation or secrets.token_hex(8)
        me = Member(self._address, incarnation)
        seeds = settings.seeds()
        if durable.view is None and incarnation == FIRST_INCARNATION and counts and self._address in seeds:
            durable.view = first_view(seeds)
        tolerance = settings.fault_tolerance.hosts_lost
        return Replica(
            me,
            counts,
            durable,
            seeds,
            tolerance,
            configuration.judge,
            random.Random(secrets.randbits(64)),
            _now_ms(),
        )

    # The replica's actions.

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._links.send(action.address, action.message)
                case Persist():
                    self._disk.write(action.token, action.record)
                case Reply():
                    future = self._calls.pop(action.token, None)
                    if future is not None and not future.done():
                        future.set_result(action)
                case Commit():
                    self._on_commit(action)

    def _on_commit(self, commit: Commit) -> None:
        state = commit.state
        entry = self._replica.chain.entry_at(state.sequence)
        self._distribution.committed(state, entry)
        parsed = configuration.parsed(state.document)
        if not isinstance(parsed, Invalid):
            self._quotas.set_limits({t.name: (t.rate_per_s, t.burst) for t in parsed.tenants if t.rate_per_s})
        logging.info("event=committed sequence=%d version=%d", state.sequence, state.version)

    def _persisted(self, token: int) -> None:
        self._perform(self._replica.persisted(token, _now_ms()))

    async def _ticks(self) -> None:
        while True:
            self._perform(self._replica.tick(_now_ms()))
            self._tell_replicas()
            self._registry.expire(_now_ms())
            self._flush_servers()
            if not self._told_complete and self._registry.complete(_now_ms()):
                self._told_complete = True
                self._distribution.all_servers(tuple(self._registry.records.values()))
            await asyncio.sleep(TICK_S)

    def _tell_replicas(self) -> None:
        view = self._replica.view
        if view is None:
            return
        addresses = tuple(member.address for member in view.roster)
        chain = tuple(member.address for member in view.chain)
        self._quotas.set_chain(chain, _now_ms())
        self._distribution.set_replicas(Replicas(view.epoch, addresses, chain, max(1, len(self._nodes))))

    # Streams from nodes and other replicas.

    async def _on_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines.tune(writer)
        out = lines.LineWriter(writer)
        stream: NodeStream | None = None

        def take(message: Any) -> None:
            nonlocal stream
            match message:
                case Subscribe():
                    stream = NodeStream(message.node, out, message.held, message.held)
                    self._subscribe(stream)
                case Held() if stream is not None:
                    stream.held = message.version
                case TakeQuota():
                    out.send(self._take_quota(message))
                case Alive():
                    pass
                case Beats():
                    self._on_beats(message)
                case NodesSeen():
                    self._on_nodes(message.nodes)
                case _:
                    self._perform(self._replica.handle(message, _now_ms()))

        try:
            reason = await lines.read_messages(reader, _decoder, take, SILENT_S)
        finally:
            out.abort()
            if stream is not None:
                self._distribution.end(stream)
        if reason == "not understood":
            logging.warning("event=refused_line peer=%s", writer.get_extra_info("peername"))

    def _subscribe(self, stream: NodeStream) -> None:
        now_ms = _now_ms()
        self._on_nodes((stream.node,))
        self._flush_servers()
        records = tuple(self._registry.records.values())
        self._distribution.subscribe(stream, records, self._registry.complete(now_ms))

    def _on_nodes(self, nodes: tuple[str, ...]) -> None:
        now_s = time.monotonic()
        for node in nodes:
            self._nodes[node] = now_s

    def _take_quota(self, message: TakeQuota) -> QuotaGranted:
        now_ms = _now_ms()
        wait_ms = self._quotas.take(message.tenant, message.amount, self._leased(now_ms), now_ms)
        if wait_ms is None:
            return QuotaGranted(message.number, message.tenant, 0.0, 0.0, False)
        return QuotaGranted(message.number, message.tenant, 0.0 if wait_ms else message.amount, wait_ms)

    def _leased(self, now_ms: float) -> bool:
        """Whether a majority was in this epoch a moment ago."""
        view, peers = self._replica.view, self._replica.liveness.peers
        if view is None or self._replica.me.id not in view.voters():
            return False
        fresh = 1
        for member in view.roster:
            peer = peers.get(member.id)
            fresh += peer is not None and peer.ping.epoch == view.epoch and now_ms - peer.heard_ms <= LEASE_MS
        return fresh >= majority_of(view)

    # Servers.

    def _beat(self, record: ServerRecord) -> None:
        self._registry.beat(record, _now_ms())
        self._flush_servers()

    def _leave(self, server_id: str) -> None:
        self._registry.leave(server_id, _now_ms())
        self._flush_servers()

    def _on_beats(self, message: Beats) -> None:
        now_ms = _now_ms()
        for record in message.records:
            self._registry.beat(record, now_ms, relayed=True)
        for server_id in message.gone:
            self._registry.leave(server_id, now_ms, relayed=True)
        self._flush_servers()

    def _flush_servers(self) -> None:
        changed, gone = self._registry.take_news()
        if changed or gone:
            self._distribution.server_news(changed, gone)
            self._relay()

    def _relay(self) -> None:
        records, gone = self._registry.take_beats()
        if records or gone:
            line = lines.encoded(Beats(records, gone))
            for address in self._replica.addresses():
                self._links.send_line(address, line)

    async def _relays(self) -> None:
        while True:
            await asyncio.sleep(RELAY_S)
            self._relay()
            self._links.forget()

    async def _alives(self) -> None:
        line = lines.encoded(Alive())
        while True:
            await asyncio.sleep(ALIVE_S)
            self._distribution.to_all(line)

    async def _node_words(self) -> None:
        while True:
            await asyncio.sleep(NODES_S)
            self._on_nodes(tuple(stream.node for stream in self._distribution.streams))
            oldest = time.monotonic() - NODES_KEPT_S
            self._nodes = {node: seen for node, seen in self._nodes.items() if seen >= oldest}
            line = lines.encoded(NodesSeen(tuple(stream.node for stream in self._distribution.streams)))
            for address in self._replica.addresses():
                self._links.send_line(address, line)

    # The operator's calls.

    async def _call(self, order: Order | None) -> Reply:
        token = f"{self._replica.me.id}/{next(self._numbers)}/{secrets.token_hex(4)}"
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._calls[token] = future
        try:
            self._perform(self._replica.call(token, order, _now_ms()))
            return await future
        finally:
            self._calls.pop(token, None)

    async def _leave_chain(self) -> None:
        """Step out of the chain before the end, so that nothing waits for a suspicion."""
        self._replica.leaving = True
        ends_s = time.monotonic() + LEAVE_S
        while time.monotonic() < ends_s:
            view = self._replica.view
            if view is None or view.place(self._replica.me.id) is None:
                break
            await asyncio.sleep(TICK_S)


def _now_ms() -> float:
    return time.monotonic() * 1_000.0
