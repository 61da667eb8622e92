"""A data plane's request path in this process, without a control plane and with a fixed set of servers."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from aiohttp.web_server import Server

from dunlinloft.configuration import to_configuration
from dunlinloft.coordination.quota.bounds import QuotaBounds
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.control_streams import NoControlStreams
from dunlinloft.dataplane.exchange import Exchange
from dunlinloft.dataplane.frontend import Frontend
from dunlinloft.dataplane.graceful_shutdown import GracefulShutdown
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.placement_client import PlacementClient
from dunlinloft.dataplane.quota_client import QuotaClient
from dunlinloft.dataplane.retry_budget import RetryBudget
from dunlinloft.dataplane.routing import RoutingTable
from dunlinloft.dataplane.server_pool import ServerPool
from dunlinloft.dataplane.service_context import ServiceContext
from dunlinloft.dataplane.upstream import Upstream

SERVICE = "pool"
GRACE_MS = 8_000.0  # of the shutdown


class BareNode:
    """Accepts requests on loopback, and forwards them to the given servers."""

    def __init__(self, routes: list[dict[str, Any]], addresses: list[str]) -> None:
        rng = random.Random(1)
        document = {"version": 1, "routes": routes, "services": [{"name": SERVICE}]}
        table = RoutingTable(to_configuration(document), rng)
        pool = ServerPool(rng)
        for number, address in enumerate(addresses):
            pool.put(ServerRecord(f"i-{number}", SERVICE, address, "a", 8, "ready", 1))
        self.shutdown = GracefulShutdown(GRACE_MS)
        self.metrics = metrics = Metrics()
        self.upstream = Upstream(16)
        budget = RetryBudget(0.2, 10.0, 1_000.0)
        placement = PlacementClient(NoControlStreams())
        context = ServiceContext(SERVICE, pool, placement, self.upstream, budget, 1, rng, metrics)
        quotas = QuotaClient(NoControlStreams(), QuotaBounds(8.0, 0.1, 0.0))
        started = asyncio.Event()
        started.set()

        def exchange(request: ClientRequest) -> Exchange:
            return Exchange(request, context, self.shutdown)

        self.frontend = Frontend(lambda: table, quotas, exchange, self.shutdown, started, metrics)
        self.server = Server(self.frontend.handle, handler_cancellation=True, access_log=None)
        self.url = ""
        self._listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(self.server, "127.0.0.1", 0)
        host, port = self._listening.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._listening is not None
        self._listening.close()
        await self.server.shutdown(0.0)
        await self.upstream.close()
