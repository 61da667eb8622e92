"""The control-plane process: startup, serving and shutdown."""

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

LEAVE_GRACE_FRACTION = 0.8  # share of the grace period for leaving the chain
HTTP_LISTEN_BACKLOG = 512  # pending connections; all servers may fail over to this replica at once


class ControlPlane:
    """The program. `run` opens all resources and closes them in reverse order when it returns."""

    def __init__(self, settings: Settings) -> None:
        self._settings = LiveSettings(settings)
        self._started_ms = now_ms()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the chain gracefully.

        Raises
        ------
        StoreError
            The data directory was written in another format.
        OSError
            A listener can't bind its address.
        """
        stop = self._stop_event()
        async with AsyncExitStack() as stack:
            components = await self._start(stack)
            await stop.wait()
            grace_period_s = self._settings.current.timing_bounds.grace_period_s
            await components.replica_host.leave(LEAVE_GRACE_FRACTION * grace_period_s)

    def _stop_event(self) -> asyncio.Event:
        """Create an event that SIGTERM and SIGINT set; SIGHUP reloads the settings file."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings.reload)
        return stop

    async def _start(self, stack: AsyncExitStack) -> Components:
        """Start all components. The HTTP API comes last, because replicas and nodes wait for the others."""
        components = await start_components(self._settings, self._started_ms, stack)
        control_plane = self._settings.current.listeners_config.control_plane
        assert control_plane is not None
        await stack.enter_async_context(_serve_http(components, control_plane))
        return components


@asynccontextmanager
async def _serve_http(components: Components, address: str) -> AsyncIterator[None]:
    """Serve the HTTP API until the context exits; then close open connections without a response.

    Callers without a response don't know the outcome and retry at another control plane. aiohttp is imported
    here because its import is slow.
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
