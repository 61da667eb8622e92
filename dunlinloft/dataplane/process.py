"""The data-plane process: the frontend, the readiness answer, and what the control plane tells."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from typing import Any

from absl import logging
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from dunlinloft.configuration import NotTyped, typed
from dunlinloft.coordination.durable import changed
from dunlinloft.coordination.messages import Document, Order
from dunlinloft.coordination.stream import (
    Alive,
    Delta,
    Placed,
    QuotaGranted,
    ServerNews,
    Servers,
    ServersComplete,
    Whole,
)
from dunlinloft.dataplane.advice import Advice
from dunlinloft.dataplane.attempts import Serving
from dunlinloft.dataplane.budget import RetryBudget
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.closing import Closing
from dunlinloft.dataplane.control import Subscriptions
from dunlinloft.dataplane.exchange import Exchange
from dunlinloft.dataplane.frontend import Frontend
from dunlinloft.dataplane.quota import NodeQuotas
from dunlinloft.dataplane.routing import RoutingTable
from dunlinloft.dataplane.servers import ServerTable
from dunlinloft.dataplane.upstream import Upstream
from dunlinloft.settings import Settings, SettingsError, host_port, read_settings
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.tasks import guarded

IDLE_S = 75.0  # clients' connections that rest longer are closed
MOST_HEADER = 65_536
BACKLOG = 1_024
TICK_S = 0.2
REREAD_MS = 2_000.0  # between looks at the settings while seeds are needed
LAST_WORD_S = 0.05  # for the last word to leave this process
KEPT_INTERVALS = 4.0  # heartbeat intervals that a lost stream's servers are kept


class DataPlane:
    """One data-plane node."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._rng = random.Random(secrets.randbits(64))
        self._table: RoutingTable | None = None
        self._document: Document = {}
        self._servers = ServerTable(self._rng)
        self._upstreams: dict[str, Upstream] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._closing = Closing(1_000.0 * settings.timing_bounds.grace_period_s)
        self._read_ms = now_ms()
        self._serving = asyncio.Event()  # once it has what a start needs
        self._subscriptions = Subscriptions(
            settings.node_name,
            settings.zone,
            self._seeds,
            self._take,
            lambda source: self._servers.lost(source, now_ms()),
            lambda: 0 if self._table is None else self._table.version,
            self._servers.digests,
            lambda: self._servers.complete,
            lambda address, now: self._quotas.hears(address, now),
            lambda now: self._quotas.shares(now),
        )
        self._quotas = NodeQuotas(
            lambda: self._subscriptions.replicas,
            self._subscriptions.send,
            settings.timing_bounds.quota_bounds(),
        )
        self._advice = Advice(lambda: self._subscriptions.replicas, self._subscriptions.send)
        self._frontend = Frontend(
            lambda: self._table, self._quotas, self._exchange, self._closing, self._serving
        )

    async def run(self) -> None:
        """Serve until SIGTERM, and then until what was taken is answered."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        listeners = self._settings.listeners_config
        assert listeners.frontend is not None
        front = Server(
            self._frontend.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_S,
            max_line_size=MOST_HEADER,
            max_field_size=MOST_HEADER,
        )
        host, port = host_port(listeners.frontend)
        listening = await loop.create_server(front, host, port, backlog=BACKLOG)
        if listeners.readiness is not None:
            host, port = host_port(listeners.readiness)
            await loop.create_server(Server(self._on_readiness, access_log=None), host, port)
        logging.info("event=started node=%s", self._settings.node_name)
        node = self._settings.node_name
        loops = (self._subscriptions.run(), self._ticks())
        tasks = [asyncio.create_task(guarded(each, node)) for each in loops]
        await stop.wait()
        self._closing.begin(now_ms())
        logging.info("event=closing node=%s", self._settings.node_name)
        await asyncio.sleep(self._closing.notice_ms / 1_000.0)
        listening.close()
        for connection in front.connections:
            connection.close()  # at once where it rests, else after its answer
        while self._frontend.inflight and now_ms() < self._closing.ends_ms:
            await asyncio.sleep(0.05)
        self._subscriptions.end()
        await asyncio.sleep(LAST_WORD_S)
        for task in tasks:
            task.cancel()

    # What the control plane tells.

    def _seeds(self) -> tuple[str, ...]:
        """The seeds as they are in the file now: it may change without a signal."""
        if now_ms() - self._read_ms > REREAD_MS:
            self._reread()
            self._read_ms = now_ms()
        return self._settings.seeds()

    def _on_hangup(self) -> None:
        self._reread()

    def _reread(self) -> None:
        """Take new seeds; settings that can't be read change nothing."""
        path = self._settings.path
        if path is None:
            return
        try:
            self._settings = read_settings(path)
        except SettingsError as error:
            logging.error("event=settings_refused error=%s", error)

    def _take(self, source: str, message: Any) -> None:
        match message:
            case Whole():
                self._put_in_force(message.document)
            case Delta():
                if self._table is not None and self._table.version == message.base:
                    order = Order("update", message.base, "", message.body)
                    self._put_in_force(changed(self._document, order))
            case Servers():
                self._servers.whole(source, message.complete, message.ranges, message.records)
            case ServersComplete():
                self._servers.now_complete(source)
            case ServerNews():
                self._servers.news(source, message, now_ms())
            case Placed():
                self._advice.on_placed(source, message)
            case QuotaGranted():
                self._quotas.on_granted(message)
            case Alive():
                pass
        self._follow_start()

    def _put_in_force(self, document: Document) -> None:
        """Build the table of a configuration aside, and swap it in; never back within a life."""
        version = document.get("version", 0)
        if self._table is None or version > self._table.version:
            try:
                configuration = typed(document)
            except NotTyped as error:
                logging.error("event=configuration_refused version=%s error=%s", version, error)
                return
            self._table = RoutingTable(configuration, self._rng)
            self._document = document
            logging.info("event=in_force version=%d", version)
        self._subscriptions.held(self._table.version)

    async def _ticks(self) -> None:
        kept_ms = KEPT_INTERVALS * self._settings.heartbeat_interval_ms
        while True:
            await asyncio.sleep(TICK_S)
            self._servers.forget_unlisted(now_ms())
            self._servers.forget_lost(kept_ms, now_ms())

    # Serving.

    def ready(self) -> bool:
        """Whether it should get connections."""
        return not self._closing.begun and self._serving.is_set()

    def _follow_start(self) -> None:
        """Begin to serve with a configuration in force and servers for its routes, or all that there are."""
        if self._serving.is_set() or self._table is None:
            return
        services = {
            branch.service for route in self._table.configuration.routes for branch in route.targets()
        }
        if self._servers.complete or all(self._servers.pool(service).servers for service in services):
            self._serving.set()

    async def _on_readiness(self, _: BaseRequest) -> StreamResponse:
        return Response(status=200 if self.ready() else 503)

    def _nodes(self) -> int:
        replicas = self._subscriptions.replicas
        return 1 if replicas is None else replicas.nodes

    def _exchange(self, client_request: ClientRequest) -> Exchange:
        service = client_request.active_route.service()
        upstream = self._upstreams.get(service)
        if upstream is None:
            assert self._table is not None
            known = self._table.services.get(service)
            most = 64 if known is None else known.max_connections
            upstream = self._upstreams[service] = Upstream(max(2, most // max(1, self._nodes())))
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.timing_bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_window_s, bounds.retry_allowance)
            self._budgets[service] = budget
        pool = self._servers.pool(service)
        serving = Serving(service, pool, self._advice, upstream, budget, self._nodes(), self._rng)
        return Exchange(client_request, serving, self._closing)
