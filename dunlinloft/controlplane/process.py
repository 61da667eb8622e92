"""The control-plane process: the pure parts, hosted on sockets, a disk and the steady clock."""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import signal
import time
from pathlib import Path
from typing import Any

import msgspec
from absl import logging

from dunlinloft.configuration import NotTyped, typed
from dunlinloft.controlplane.disk import Disk
from dunlinloft.controlplane.distribution import Distribution, NodeStream
from dunlinloft.controlplane.links import Links
from dunlinloft.controlplane.roles import Roles
from dunlinloft.controlplane.server_list import ServerList
from dunlinloft.coordination.actions import Action, Commit, Persist, Reply, Send
from dunlinloft.coordination.calls import Invalid, Valid
from dunlinloft.coordination.messages import Document, Durable, Member, Order
from dunlinloft.coordination.nodes import Nodes
from dunlinloft.coordination.registry import Registry
from dunlinloft.coordination.replica import FIRST_INCARNATION, Replica, first_view
from dunlinloft.coordination.stream import (
    Alive,
    Beats,
    BeatsTaken,
    Fetch,
    Held,
    HoldsShares,
    NodeAlive,
    NodeEnds,
    NodesSeen,
    Place,
    PlaceBegan,
    PlaceChosen,
    PlaceEnded,
    QuotasHandedOver,
    Replicas,
    Servers,
    Subscribe,
    TakeQuota,
    ToControl,
)
from dunlinloft.settings import Settings, host_port
from dunlinloft.transport import message_stream
from dunlinloft.transport.aiohttp_import import import_aiohttp
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.tasks import run_essential

TICK_S = 0.05
ALIVE_S = 0.3  # between words to nodes
RELAY_S = 0.3  # between words of servers heard to other control planes
NODES_S = 1.0
REMEMBER_S = 1.0  # between looks at whether other servers are known than those on disk
SILENT_S = 2.0  # a peer's stream that is silent for so long is ended
LEAVE_SHARE = 0.8  # of the grace period, for others to go on without this replica
LEAVE_LOOK_S = 0.01
BACKLOG = 512

_decoder = msgspec.json.Decoder(ToControl)


class ControlPlane:
    """One process of the control plane."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._address = settings.control_address(settings.ip_address)
        self._links = Links()
        self._registry = Registry(settings.heartbeat_interval_ms, now_ms())
        self._distribution = Distribution()
        self._nodes = Nodes()
        self._roles = Roles(
            self._address, settings.timing_bounds, self._nodes, lambda: self._replica, self._links.send
        )
        self._calls: dict[str, asyncio.Future[Reply]] = {}
        self._numbers = itertools.count(1)
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
        known = await self._disk.known()
        self._registry.restore(known.servers, now_ms())
        self._nodes.seen(known.nodes, now_ms())
        self._roles.placements.follow(self._registry.records.values())
        begins = settings.bootstrap and counts and self._address in settings.seeds()
        self._server_list = ServerList(
            self._address,
            self._registry,
            self._distribution,
            self._roles.placements,
            lambda: self._replica.contact(now_ms()),
            self._replica.addresses,
            self._links.send,
        )
        self._perform(self._replica.begin(first_view(settings.seeds()) if begins else None))
        host, port = host_port(self._address)
        internal = await asyncio.start_server(
            self._on_stream, host, port, limit=message_stream.MAX_FRAME_BYTES, backlog=BACKLOG
        )
        logging.info("event=started node=%s member=%s", settings.node_name, self._replica.me.id)
        loops = [
            self._disk.run(self._persisted),
            self._ticks(),
            self._relays(),
            self._alives(),
            self._node_words(),
            self._memories(),
        ]
        tasks = [asyncio.create_task(run_essential(each, settings.node_name)) for each in loops]
        await self._start_api()
        await stop.wait()
        await self._leave_chain()
        for task in tasks:
            task.cancel()
        internal.close()

    async def _start_api(self) -> None:
        """Serve servers and operators; loaded last, as replicas and nodes wait for the rest at a start."""
        import_aiohttp()
        from aiohttp.web_server import Server

        from dunlinloft.controlplane.api import Api

        assert self._settings.listeners_config.control_plane is not None
        host, port = host_port(self._settings.listeners_config.control_plane)
        api = Server(Api(self._call, self._server_list.beat, self._server_list.leave).handle, access_log=None)
        await asyncio.get_running_loop().create_server(api, host, port, backlog=BACKLOG)

    def _make_replica(self, durable: Durable, counts: bool) -> Replica:
        settings = self._settings
        incarnation = durable.incarnation or secrets.token_hex(8)
        me = Member(self._address, incarnation)
        seeds = settings.seeds()
        tolerance = settings.fault_tolerance.hosts_lost
        return Replica(
            me,
            counts,
            durable,
            seeds,
            tolerance,
            _judge,
            random.Random(secrets.randbits(64)),
            now_ms(),
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
        try:
            configuration = typed(state.document)
        except NotTyped as error:
            logging.error("event=configuration_refused version=%d error=%s", state.version, error)
        else:
            self._roles.configure(configuration)
        logging.info("event=committed sequence=%d version=%d", state.sequence, state.version)

    def _persisted(self, token: int) -> None:
        self._perform(self._replica.persisted(token, now_ms()))

    async def _ticks(self) -> None:
        while True:
            self._perform(self._replica.tick(now_ms()))
            self._tell_replicas()
            self._distribution.set_confirmed(self._replica.confirmed(now_ms()))
            self._roles.settle()
            self._registry.expire(now_ms())
            self._server_list.flush()
            if not self._told_complete and self._registry.complete(now_ms()):
                self._told_complete = True
                self._distribution.servers_complete()
            await asyncio.sleep(TICK_S)

    def _tell_replicas(self) -> None:
        view = self._replica.view
        if view is None:
            return
        addresses = tuple(member.address for member in view.roster)
        chain = tuple(member.address for member in view.chain)
        self._roles.follow(view)
        self._distribution.set_replicas(Replicas(view.epoch, addresses, chain, self._nodes.count()))

    # Streams from nodes and other replicas.

    async def _on_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message_stream.configure_socket(writer)
        out = message_stream.MessageWriter(writer)
        stream: NodeStream | None = None
        number = next(self._numbers)

        def take(message: Any) -> None:
            nonlocal stream
            match message:
                case Subscribe():
                    wants = message.wants_configurations
                    stream = NodeStream(message.node, out, message.held, message.held, wants)
                    self._subscribe(stream, message)
                case Fetch() if stream is not None:
                    self._distribution.fetch(stream, message.held)
                case Held() if stream is not None:
                    stream.held = message.id
                case HoldsShares() if stream is not None:
                    self._roles.holds(stream.node, message)
                case NodeEnds() if stream is not None:
                    self._nodes.ended(stream.node, now_ms())
                case NodeAlive() if stream is not None:
                    self._nodes.heard(stream.node, message.hears, now_ms())
                case TakeQuota() if stream is not None:
                    out.send(self._roles.take_quota(stream.node, message))
                case Place():
                    out.send(self._roles.place(number, message))
                case PlaceChosen():
                    self._roles.chosen(number, message)
                case PlaceBegan():
                    self._roles.began(number, message)
                case PlaceEnded():
                    self._roles.ended(number, message)
                case Beats():
                    self._server_list.on_beats(message)
                case BeatsTaken():
                    self._server_list.on_taken(message)
                case QuotasHandedOver():
                    self._roles.handed_over(message)
                case NodesSeen():
                    self._nodes.seen(message.nodes, now_ms())
                case _:
                    self._perform(self._replica.handle(message, now_ms()))

        try:
            reason = await message_stream.read_messages(reader, _decoder, take, SILENT_S)
        finally:
            out.abort()
            if stream is not None:
                self._distribution.end(stream)
                self._roles.stream_lost(number)
        if reason is message_stream.StreamEnd.UNDECODABLE:
            logging.warning("event=refused_line peer=%s", writer.get_extra_info("peername"))

    def _subscribe(self, stream: NodeStream, message: Subscribe) -> None:
        now = now_ms()
        self._nodes.heard(stream.node, False, now)
        self._roles.subscribed(stream.node, message.uptime_ms, message.shares)
        self._server_list.flush()
        ranges = self._registry.digests.differing(message.digests)
        servers = Servers(self._registry.complete(now), ranges, self._registry.in_ranges(ranges))
        self._distribution.subscribe(stream, servers)

    async def _relays(self) -> None:
        while True:
            await asyncio.sleep(RELAY_S)
            self._server_list.relay()
            self._links.forget()

    async def _alives(self) -> None:
        line = message_stream.encode_frame(Alive())
        while True:
            await asyncio.sleep(ALIVE_S)
            self._distribution.to_all(line)

    async def _memories(self) -> None:
        known: set[str] = set()
        while True:
            await asyncio.sleep(REMEMBER_S)
            names = {*self._registry.records, *self._nodes.names()}
            if known != names:
                known = names
                servers = tuple(self._registry.records.values())
                await self._disk.remember(servers, self._nodes.known(now_ms()))

    async def _node_words(self) -> None:
        while True:
            await asyncio.sleep(NODES_S)
            self._nodes.forget(now_ms())
            self._roles.forget()
            line = message_stream.encode_frame(NodesSeen(self._nodes.known(now_ms())))
            for address in self._replica.addresses():
                self._links.send_frame(address, line)

    # The operator's calls.

    async def _call(self, order: Order | None) -> Reply:
        token = f"{self._replica.me.id}/{next(self._numbers)}/{secrets.token_hex(4)}"
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._calls[token] = future
        try:
            self._perform(self._replica.call(token, order, now_ms()))
            return await future
        finally:
            self._calls.pop(token, None)

    async def _leave_chain(self) -> None:
        """Step out before the end, so that nothing waits for a suspicion and no copy goes too early."""
        self._perform(self._replica.leave(now_ms()))
        ends_s = time.monotonic() + LEAVE_SHARE * self._settings.timing_bounds.grace_period_s
        while time.monotonic() < ends_s and not self._replica.may_end():
            await asyncio.sleep(LEAVE_LOOK_S)


def _judge(document: Document, order: Order) -> Valid | Invalid:
    """Check an order; what that needs is loaded with the first one, so that a start is quick."""
    from dunlinloft.validation import judge

    return judge(document, order)
