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
from dunlinloft.dataplane.control import NodeSide, Subscriptions
from dunlinloft.dataplane.exchange import Exchange
from dunlinloft.dataplane.frontend import Frontend
from dunlinloft.dataplane.in_force import InForce
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.quota import NodeQuotas
from dunlinloft.dataplane.servers import ServerTable
from dunlinloft.dataplane.upstream import Upstream
from dunlinloft.settings import Settings, SettingsError, host_port, read_settings
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.tasks import run_essential

IDLE_S = 75.0  # clients' connections that rest longer are closed
MOST_HEADER = 65_536
BACKLOG = 1_024
METRICS_PORT = 9464  # as in `deploy/system.toml`
TICK_S = 0.1
REREAD_MS = 2_000.0  # between looks at the settings while seeds are needed
LAST_WORD_S = 0.05  # for the last word to leave this process
KEPT_INTERVALS = 4.0  # heartbeat intervals that a lost stream's servers are kept


class DataPlane:
    """One data-plane node."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._rng = random.Random(secrets.randbits(64))
        self._in_force = InForce(self._rng)
        self._servers = ServerTable(self._rng)
        self._upstreams: dict[str, Upstream] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._closing = Closing(1_000.0 * settings.timing_bounds.grace_period_s)
        self._read_ms = now_ms()
        self._serving = asyncio.Event()  # once it has what a start needs
        side = NodeSide(
            take=self._take,
            lost=lambda source: self._servers.lost(source, now_ms()),
            held=lambda: self._in_force.id,
            digests=self._servers.digests,
            has_servers=lambda: self._servers.complete,
            hears=lambda address, now: self._quotas.hears(address, now),
            shares=lambda now: self._quotas.shares(now),
            reserves=lambda: self._quotas.reserves(),
        )
        self._subscriptions = Subscriptions(settings.node_name, settings.zone, self._seeds, side)
        self._quotas = NodeQuotas(self._subscriptions, settings.timing_bounds.quota_bounds())
        self._advice = Advice(self._subscriptions)
        self._metrics = Metrics()
        self._frontend = Frontend(
            lambda: self._in_force.table,
            self._quotas,
            self._exchange,
            self._closing,
            self._serving,
            self._metrics,
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
        await self._serve_metrics()
        logging.info("event=started node=%s", self._settings.node_name)
        node = self._settings.node_name
        loops = (self._subscriptions.run(), self._ticks())
        tasks = [asyncio.create_task(run_essential(each, node)) for each in loops]
        await stop.wait()
        self._closing.begin(now_ms())
        logging.info("event=closing node=%s", self._settings.node_name)
        await asyncio.sleep(self._closing.notice_ms / 1_000.0)
        listening.close()
        self._frontend.give_back(front.connections)
        while self._frontend.inflight and now_ms() < self._closing.ends_ms:
            await asyncio.sleep(0.05)
        self._subscriptions.end()
        await asyncio.sleep(LAST_WORD_S)
        for task in tasks:
            task.cancel()

    async def _serve_metrics(self) -> None:
        """Tell figures on the port that the deploy file names; a port that is taken is said, and no more."""
        loop, host = asyncio.get_running_loop(), self._settings.ip_address
        try:
            await loop.create_server(Server(self._metrics.handle, access_log=None), host, METRICS_PORT)
        except OSError as error:
            logging.warning("event=no_metrics port=%d error=%s", METRICS_PORT, error.strerror)

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
                self._in_force.whole(message, now_ms())
                self._acknowledge()
            case Delta():
                self._in_force.delta(message)
                self._acknowledge()
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

    def _acknowledge(self) -> None:
        if self._in_force.table is not None:
            self._subscriptions.held()

    async def _ticks(self) -> None:
        kept_ms = KEPT_INTERVALS * self._settings.heartbeat_interval_ms
        while True:
            await asyncio.sleep(TICK_S)
            if self._in_force.tick(now_ms()):
                self._acknowledge()
                self._follow_start()
            self._servers.forget_unlisted(now_ms())
            self._servers.forget_lost(kept_ms, now_ms())

    # Serving.

    def ready(self) -> bool:
        """Whether it should get connections."""
        return not self._closing.begun and self._serving.is_set()

    def _follow_start(self) -> None:
        """Begin to serve with a configuration in force and servers for its routes, or all that there are."""
        table = self._in_force.table
        if self._serving.is_set() or table is None:
            return
        services = {branch.service for route in table.configuration.routes for branch in route.targets()}
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
            assert self._in_force.table is not None
            known = self._in_force.table.services.get(service)
            most = 64 if known is None else known.max_connections
            upstream = self._upstreams[service] = Upstream(max(2, most // max(1, self._nodes())))
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.timing_bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_window_s, bounds.retry_allowance)
            self._budgets[service] = budget
        pool = self._servers.pool(service)
        serving = Serving(
            service, pool, self._advice, upstream, budget, self._nodes(), self._rng, self._metrics
        )
        return Exchange(client_request, serving, self._closing)
