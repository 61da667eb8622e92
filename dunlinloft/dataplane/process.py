"""The data-plane process: builds the components of a node, listens, and shuts down gracefully on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import signal

from absl import logging
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.control_clients import build_control_clients
from dunlinloft.dataplane.exchange import Exchange
from dunlinloft.dataplane.frontend import Frontend
from dunlinloft.dataplane.graceful_shutdown import GracefulShutdown
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.service_context import ServiceContexts
from dunlinloft.settings import Settings, split_host_port
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.live_settings import LiveSettings
from dunlinloft.transport.tasks import BackgroundTasks, run_essential

CLIENT_IDLE_TIMEOUT_S = 75.0  # of persistent client connections
MAX_HEADER_BYTES = 65_536  # limit for one header line of a client
LISTEN_BACKLOG = 1_024  # connections
METRICS_PORT = 9464  # as in `deploy/system.toml`
SHUTDOWN_MESSAGE_FLUSH_S = 0.05  # time for sending the shutdown message to the control plane


class DataPlane:
    """One data-plane node; `transport.program.run_program` builds it from the settings and runs it."""

    def __init__(self, settings: Settings) -> None:
        rng = random.Random(secrets.randbits(64))
        bounds = settings.timing_bounds
        self._settings = LiveSettings(settings)
        self._shutdown = GracefulShutdown(1_000.0 * bounds.grace_period_s)
        self._serving = asyncio.Event()  # set as soon as the node can serve requests
        self._metrics = Metrics()
        self._clients = build_control_clients(self._settings, rng, self._serving)
        self._contexts = ServiceContexts(self._clients, rng, self._metrics)
        self._frontend = Frontend(
            lambda: self._clients.configuration.table,
            self._clients.quotas,
            self._create_exchange,
            self._shutdown,
            self._serving,
            self._metrics,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain.

        Connections to servers stay open until the process exits: closing them earlier would make requests
        that outlast the shutdown appear broken, so that they would be retried before they are cancelled.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings.reload)
        frontend_server = Server(
            self._frontend.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=CLIENT_IDLE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        node = self._settings.current.node_name
        with contextlib.ExitStack() as listeners:
            frontend_listener = await self._listen(frontend_server, listeners)
            logging.info("event=started node=%s", node)
            async with BackgroundTasks() as tasks:
                tasks.start(run_essential(self._clients.subscriptions.run(), node))
                tasks.start(run_essential(self._clients.tick_forever(), node))
                await stop.wait()
                await self._drain(frontend_server, frontend_listener)
            await self._clients.subscriptions.close()

    async def _listen(self, frontend_server: Server, listeners: contextlib.ExitStack) -> asyncio.Server:
        """Open all listeners, to be closed by `listeners`; returns the frontend's listener."""
        loop = asyncio.get_running_loop()
        addresses = self._settings.current.listeners_config
        assert addresses.frontend is not None
        host, port = split_host_port(addresses.frontend)
        frontend_listener = await loop.create_server(frontend_server, host, port, backlog=LISTEN_BACKLOG)
        listeners.enter_context(contextlib.closing(frontend_listener))
        if addresses.readiness is not None:
            host, port = split_host_port(addresses.readiness)
            readiness_server = Server(self._on_readiness, access_log=None)
            listeners.enter_context(
                contextlib.closing(await loop.create_server(readiness_server, host, port))
            )
        try:
            metrics_server = Server(self._metrics.handle, access_log=None)
            host = self._settings.current.ip_address
            metrics_listener = await loop.create_server(metrics_server, host, METRICS_PORT)
        except OSError as error:  # the node can serve without its metrics
            logging.warning("event=metrics_unavailable port=%d error=%s", METRICS_PORT, error.strerror)
        else:
            listeners.enter_context(contextlib.closing(metrics_listener))
        return frontend_listener

    async def _drain(self, frontend_server: Server, frontend_listener: asyncio.Server) -> None:
        """Report unready, stop listening once the platform has noticed, and finish the requests in flight.

        The control plane is notified of the shutdown only after the last response, because it tracks this
        node's requests.
        """
        self._shutdown.start(now_ms())
        logging.info("event=shutting_down node=%s", self._settings.current.node_name)
        await asyncio.sleep(self._shutdown.readiness_propagation_ms / 1_000.0)
        frontend_listener.close()
        self._frontend.close_connections(frontend_server.connections)
        await self._frontend.finish_requests()
        self._clients.subscriptions.stop()
        await asyncio.sleep(SHUTDOWN_MESSAGE_FLUSH_S)

    @property
    def ready(self) -> bool:
        """Whether the platform should send connections to this node."""
        return not self._shutdown.started and self._serving.is_set()

    async def _on_readiness(self, _: BaseRequest) -> StreamResponse:
        return Response(status=200 if self.ready else 503)

    def _create_exchange(self, client_request: ClientRequest) -> Exchange:
        service = client_request.active_route.next_service()
        return Exchange(client_request, self._contexts.context(service), self._shutdown)
