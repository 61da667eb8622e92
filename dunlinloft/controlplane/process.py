"""The control-plane process: the order in which it starts, serves and ends."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from dunlinloft.controlplane.components import Components
from dunlinloft.controlplane.startup import start_components
from dunlinloft.settings import Settings, split_host_port
from dunlinloft.transport.aiohttp_import import import_aiohttp
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.live_settings import LiveSettings

LEAVE_GRACE_FRACTION = 0.8  # of the grace period, for the others to go on without this replica
HTTP_LISTEN_BACKLOG = 512  # connections not accepted yet: all servers may turn to this replica at once


class ControlPlane:
    """The program; everything it uses is opened in `run` and closed when that ends, in reverse order."""

    def __init__(self, settings: Settings) -> None:
        self._settings = LiveSettings(settings)
        self._started_ms = now_ms()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the chain.

        Raises
        ------
        StoreError
            The data directory was written in another format.
        OSError
            A listener's address can't be used.
        """
        stop = self._stop_event()
        async with AsyncExitStack() as stack:
            components = await self._start(stack)
            await stop.wait()
            grace_period_s = self._settings.current.timing_bounds.grace_period_s
            await components.replica_host.leave(LEAVE_GRACE_FRACTION * grace_period_s)

    def _stop_event(self) -> asyncio.Event:
        """An event that SIGTERM or SIGINT sets; SIGHUP has the settings file read again."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings.reload)
        return stop

    async def _start(self, stack: AsyncExitStack) -> Components:
        """Open and start everything; the HTTP API comes last, as replicas and nodes wait for the rest."""
        components = await start_components(self._settings, self._started_ms, stack)
        control_plane = self._settings.current.listeners_config.control_plane
        assert control_plane is not None
        await stack.enter_async_context(_serve_http(components, control_plane))
        return components


@asynccontextmanager
async def _serve_http(components: Components, address: str) -> AsyncIterator[None]:
    """Serve the HTTP API until the context ends; then open connections are closed without an answer.

    Who called then doesn't know the outcome, and turns to another control plane. aiohttp is imported here, as
    it takes long.
    """
    import_aiohttp()
    from aiohttp.web_server import Server

    from dunlinloft.controlplane.http_api import HttpApi

    registrar = components.registrar
    api = HttpApi(components.replica_host.call, registrar.heartbeat, registrar.deregister)
    server = Server(api.handle, access_log=None)
    host, port = split_host_port(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=HTTP_LISTEN_BACKLOG)
    try:
        yield
    finally:
        listener.close()
        for connection in server.connections:
            connection.force_close()
