"""Handles client requests: reads them, matches routes, charges quotas and starts forwarding."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterable

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from dunlinloft.configuration import Limits, Tenant
from dunlinloft.coordination.quota.bounds import QuotaLimit
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.client_wait import ClientWaitEstimator
from dunlinloft.dataplane.exceptions import RequestRefused
from dunlinloft.dataplane.exchange import Exchange
from dunlinloft.dataplane.graceful_shutdown import GracefulShutdown
from dunlinloft.dataplane.header_numbers import finite_number
from dunlinloft.dataplane.http_headers import API_KEY_HEADER, DEADLINE_HEADER, TOKEN_USAGE_HEADER
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.quota_charge import OverQuota, quota_charge
from dunlinloft.dataplane.quota_client import QuotaClient
from dunlinloft.dataplane.refusal import Refusal
from dunlinloft.dataplane.routing import ActiveRoute, RoutingTable, quota_cost
from dunlinloft.transport.clock import now_ms

BODY_TIMEOUT_S = 20.0  # for reading a complete body
READ_CHUNK_BYTES = 65_536
STARTING_RETRY_AFTER_S = 0.3
CLOSING_RETRY_AFTER_S = 0.01  # short, as another node can serve the request at once
# A node that has just started holds a request until it can serve, for at most this time or this share of the
# request's deadline. Waiting here takes less time than a retry by the client.
STARTUP_DELAY_S = 0.6
STARTUP_DELAY_DEADLINE_SHARE = 0.25

DRAIN_POLL_INTERVAL_S = 0.05
# For the responses to requests that the shutdown abandons; they need no server.
ABANDON_TIMEOUT_S = 0.2
ABANDON_POLL_INTERVAL_S = 0.005

CreateExchange = Callable[[ClientRequest], Exchange]


class Frontend:
    """Handles client requests; `DataPlane` owns it and passes `handle` to aiohttp's server."""

    def __init__(
        self,
        active_table: Callable[[], RoutingTable | None],
        quotas: QuotaClient,
        create_exchange: CreateExchange,
        shutdown: GracefulShutdown,
        serving: asyncio.Event,
        metrics: Metrics,
    ) -> None:
        self._active_table = active_table
        self._quotas = quotas
        self._create_exchange = create_exchange
        self._shutdown = shutdown
        self._serving = serving
        self._client_wait = ClientWaitEstimator()
        self._metrics = metrics
        self._active_connections: set[RequestHandler] = set()  # connections with a request in flight
        self._timeouts: set[asyncio.Timeout] = set()  # of the requests in flight; set by `finish_requests`

    def close_connections(self, connections: Iterable[RequestHandler]) -> None:
        """Close connections: idle ones at once, the others after their response.

        aiohttp's `close` leaves an idle connection open and drops requests that arrive on it.
        """
        for connection in connections:
            if connection in self._active_connections:
                connection.close()
            else:
                connection.force_close()

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Respond to one request and count it."""
        self._metrics.in_flight += 1
        self._active_connections.add(request.protocol)
        try:
            response = await self._serve(request)
        except RequestRefused as refused:
            response = refused.response
        finally:
            self._metrics.in_flight -= 1
            self._active_connections.discard(request.protocol)
        if self._shutdown.started:
            response.force_close()
        self._metrics.requests[response.status] += 1
        if isinstance(response, Refusal):
            self._metrics.refusals[response.status, response.cause] += 1
        return response

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._metrics.in_flight

    async def finish_requests(self) -> None:
        """Complete the requests in flight until the deadline of the shutdown, then respond to the others.

        Without that response, the client of a request that still waits here would learn only from the end of
        its connection that the request failed, and not whether it may be sent again.
        """
        while self.in_flight and now_ms() < self._shutdown.deadline_ms:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        loop = asyncio.get_running_loop()
        for timeout in self._timeouts:
            timeout.reschedule(loop.time())
        give_up_s = loop.time() + ABANDON_TIMEOUT_S
        while self.in_flight and loop.time() < give_up_s:
            await asyncio.sleep(ABANDON_POLL_INTERVAL_S)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        """Admit a request and forward it, until the shutdown abandons it. Raises `RequestRefused`."""
        exchange: Exchange | None = None
        timeout = asyncio.timeout(None)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                client_request = await self._admit(request)
                exchange = self._create_exchange(client_request)
                return await exchange.run()
        except TimeoutError:
            if not timeout.expired():
                raise
            return _closing_refusal() if exchange is None else exchange.abandon()
        finally:
            self._timeouts.discard(timeout)

    async def _admit(self, request: BaseRequest) -> ClientRequest:
        """Read a request, match it to a route and charge its quota. Raises `RequestRefused`."""
        arrived_ms = now_ms()
        table = self._active_table()
        limits = Limits() if table is None else table.limits
        body = await self._read_body(request, limits.max_body_bytes)
        if not self._serving.is_set():
            await self._await_serving(request)
        # Use a configuration that was activated while the body was read: it may have added the route or key.
        table = self._active_table()
        if table is None:
            raise RequestRefused(Refusal(503, Cause.STARTING, "no configuration yet", STARTING_RETRY_AFTER_S))
        active, tenant = self._match(table, request)
        remaining_ms = _remaining_ms(request)
        deadline_ms = arrived_ms + min(remaining_ms, active.route.timeout_ms)
        if self._shutdown.refuses(deadline_ms, now_ms()):
            raise RequestRefused(_closing_refusal())
        waited_ms = 0.0
        if remaining_ms < math.inf:
            waited_ms = self._client_wait.waited_ms(active.route.name, remaining_ms)
        if tenant is not None and tenant.rate_per_s > 0.0:
            charge = quota_charge(
                tenant.name,
                quota_cost(tenant, request.headers.get(TOKEN_USAGE_HEADER)),
                QuotaLimit(tenant.rate_per_s, tenant.burst),
                active.route.target_latency_ms,
                waited_ms,
                deadline_ms - now_ms(),
            )
            result = await self._quotas.charge(charge)
            if isinstance(result, OverQuota):
                raise RequestRefused(
                    Refusal(429, result.cause, "over the tenant's quota", result.wait_ms / 1_000.0)
                )
        return ClientRequest(
            request,
            request.method,
            request.raw_path,
            body,
            active,
            tenant,
            arrived_ms,
            deadline_ms,
            waited_ms,
        )

    async def _await_serving(self, request: BaseRequest) -> None:
        """Wait until the node can serve, for a limited time."""
        delay_s = min(STARTUP_DELAY_S, STARTUP_DELAY_DEADLINE_SHARE * _remaining_ms(request) / 1_000.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._serving.wait()

    def _match(self, table: RoutingTable, request: BaseRequest) -> tuple[ActiveRoute, Tenant | None]:
        """The route of a request, and its tenant unless the route is public. Raises `RequestRefused`."""
        host = request.headers.get("Host", "").partition(":")[0]
        active = table.match(host, request.raw_path.partition("?")[0])
        if active is None:
            raise RequestRefused(Refusal(404, Cause.NO_ROUTE, "no such route"))
        if not table.has_tenants or active.route.public:
            return active, None
        tenant = table.tenant_of(request.headers.get(API_KEY_HEADER, ""))
        if tenant is None:
            raise RequestRefused(Refusal(401, Cause.UNKNOWN_KEY, "unknown key"))
        return active, tenant

    async def _read_body(self, request: BaseRequest, max_bytes: int) -> bytes:
        """The complete body of a request. Raises `RequestRefused`."""
        chunks: list[bytes] = []
        length = 0
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                async for chunk in request.content.iter_chunked(READ_CHUNK_BYTES):
                    length += len(chunk)
                    if length > max_bytes:
                        raise _body_refused(413, Cause.BODY_LARGE, "the body is too large")
                    chunks.append(chunk)
        except TimeoutError:
            raise _body_refused(408, Cause.BODY_LATE, "the body did not come") from None
        return b"".join(chunks)


def _body_refused(status: int, cause: Cause, text: str) -> RequestRefused:
    """A refusal that closes the connection, because unread bytes of the body still follow on it."""
    refusal = Refusal(status, cause, text)
    refusal.force_close()
    return RequestRefused(refusal)


def _closing_refusal() -> Refusal:
    """The response to a request that was not sent to any server because this node ends."""
    return Refusal(503, Cause.CLOSING, "this node ends", CLOSING_RETRY_AFTER_S)


def _remaining_ms(request: BaseRequest) -> float:
    """The remaining time that the client states for this attempt; infinite if it states none."""
    stated = request.headers.get(DEADLINE_HEADER)
    if stated is None:
        return math.inf
    try:
        return finite_number(stated)
    except ValueError:
        return math.inf
