"""The control-plane process: the order in which it starts, serves and ends."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from absl import logging

from dunlinloft.controlplane.components import Components, build_components, build_replica
from dunlinloft.controlplane.disk_writer import open_disk
from dunlinloft.controlplane.loops import PeriodicLoops
from dunlinloft.controlplane.peer_connections import PeerConnections
from dunlinloft.controlplane.stream_server import serve_streams
from dunlinloft.coordination.views import FIRST_INCARNATION, initial_view
from dunlinloft.settings import Settings, split_host_port
from dunlinloft.transport.aiohttp_import import import_aiohttp
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.tasks import BackgroundTasks, run_essential

LEAVE_GRACE_FRACTION = 0.8  # of the grace period, for the others to go on without this replica
HTTP_LISTEN_BACKLOG = 512  # connections not accepted yet: all servers may turn to this replica at once


class ControlPlane:
    """The program; everything it uses is opened in `run` and closed when that ends, in reverse order."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
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
        stop = _stop_event()
        async with AsyncExitStack() as stack:
            components = await self._start(stack)
            await stop.wait()
            grace_period_s = self._settings.timing_bounds.grace_period_s
            await components.replica_host.leave(LEAVE_GRACE_FRACTION * grace_period_s)

    async def _start(self, stack: AsyncExitStack) -> Components:
        """Open and build everything.

        The order matters: nothing is sent before the durable state is recovered, and the HTTP API comes last,
        as replicas and nodes wait for the rest at a start.
        """
        settings = self._settings
        holds_state = settings.counts_for_quorum
        folder = Path(settings.data_directory) if settings.data_directory and holds_state else None
        first_incarnation = FIRST_INCARNATION if settings.bootstrap else None
        disk = await stack.enter_async_context(open_disk(folder, first_incarnation))
        replica = build_replica(settings, disk.durable)
        members = await disk.read_members()
        peers = await stack.enter_async_context(PeerConnections())
        components = build_components(settings, self._started_ms, replica, disk, peers, members)
        address = settings.control_address(settings.ip_address)
        begins = settings.bootstrap and holds_state and address in settings.seed_addresses()
        components.replica_host.begin(initial_view(settings.seed_addresses()) if begins else None)
        host, port = split_host_port(address)
        await stack.enter_async_context(serve_streams(components.stream_services(), host, port))
        logging.info("event=started node=%s member=%s", settings.node_name, replica.me.id)
        tasks = await stack.enter_async_context(BackgroundTasks())
        for loop in PeriodicLoops(components).coroutines():
            tasks.start(run_essential(loop, settings.node_name))
        assert settings.listeners_config.control_plane is not None
        await stack.enter_async_context(_serve_http(components, settings.listeners_config.control_plane))
        return components


def _stop_event() -> asyncio.Event:
    """An event that SIGTERM or SIGINT sets. SIGHUP is for nodes, and must not end a control plane."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    return stop


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
