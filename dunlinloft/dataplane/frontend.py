"""Where clients' requests come in: read, matched with the configuration in force, paid for, and sent on."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterable

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from dunlinloft.configuration import Limits, Tenant
from dunlinloft.coordination.quotas import QuotaLimit
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import DEADLINE_HEADER, ClientRequest
from dunlinloft.dataplane.closing import Closing
from dunlinloft.dataplane.exchange import Exchange, Refusal
from dunlinloft.dataplane.lateness import Lateness
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.quota import NodeQuotas, OverQuota, payment
from dunlinloft.dataplane.routing import ActiveRoute, RoutingTable, cost_of
from dunlinloft.transport.clock import now_ms

BODY_S = 20.0  # for a whole body
STARTING_RETRY_S = 0.3
CLOSING_RETRY_S = 0.01  # another node takes it at once
HOLD_S = 0.6  # a node that has just started holds a request so long until it can serve it,
HOLD_SHARE = 0.25  # or this share of its deadline
CHUNK = 65_536

MakeExchange = Callable[[ClientRequest], Exchange]


class Refused(Exception):
    """A request that gets an answer of our own."""

    def __init__(self, answer: Response) -> None:
        super().__init__(answer.status)
        self.answer = answer


class Frontend:
    """Takes clients' requests."""

    def __init__(
        self,
        table: Callable[[], RoutingTable | None],
        quotas: NodeQuotas,
        make_exchange: MakeExchange,
        closing: Closing,
        serving: asyncio.Event,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._quotas = quotas
        self._make_exchange = make_exchange
        self._closing = closing
        self._serving = serving
        self._lateness = Lateness()
        self._metrics = metrics
        self._busy: set[RequestHandler] = set()  # connections with a request under way

    def give_back(self, connections: Iterable[RequestHandler]) -> None:
        """Close connections: at once where they rest, else after their answer.

        The library's `close` leaves a resting one open and drops what comes on it.
        """
        for connection in connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request."""
        self._metrics.inflight += 1
        self._busy.add(request.protocol)
        try:
            answer = await self._serve(request)
        except Refused as refused:
            answer = refused.answer
        finally:
            self._metrics.inflight -= 1
            self._busy.discard(request.protocol)
        if self._closing.begun:
            answer.force_close()
        self._metrics.requests[answer.status] += 1
        if isinstance(answer, Refusal):
            self._metrics.refusals[answer.status, answer.cause] += 1
        return answer

    @property
    def inflight(self) -> int:
        """Requests under way."""
        return self._metrics.inflight

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        arrived_ms = now_ms()
        table = self._table()
        limits = Limits() if table is None else table.limits
        body = await self._body(request, limits.max_body_bytes)
        if not self._serving.is_set():
            await self._hold(request)
        # What was put in force while the body came counts: it may name a route or key that is new.
        table = self._table()
        if table is None:
            return Refusal(503, Cause.STARTING, "no configuration yet", STARTING_RETRY_S)
        active, tenant = self._match(table, request)
        deadline_ms = _deadline_ms(request)
        ends_ms = arrived_ms + min(deadline_ms, active.route.timeout_ms)
        if self._closing.refuses(ends_ms, now_ms()):
            return Refusal(503, Cause.CLOSING, "this node ends", CLOSING_RETRY_S)
        waited_ms = 0.0
        if deadline_ms < math.inf:
            waited_ms = self._lateness.waited_ms(active.route.name, deadline_ms)
        if tenant is not None and tenant.rate_per_s > 0.0:
            amount = cost_of(tenant, request.headers.get("X-Token-Usage"))
            limit = QuotaLimit(tenant.rate_per_s, tenant.burst)
            aim_ms, left_ms = active.route.target_latency_ms, ends_ms - now_ms()
            paid = await self._quotas.pay(payment(tenant.name, amount, limit, aim_ms, waited_ms, left_ms))
            if isinstance(paid, OverQuota):
                return Refusal(429, paid.cause, "over the tenant's quota", paid.wait_ms / 1_000.0)
        client_request = ClientRequest(
            request, request.method, request.raw_path, body, active, tenant, arrived_ms, ends_ms, waited_ms
        )
        return await self._make_exchange(client_request).run()

    async def _hold(self, request: BaseRequest) -> None:
        """Wait a little for what a start needs: it takes less time than a client's return."""
        seconds = min(HOLD_S, HOLD_SHARE * _deadline_ms(request) / 1_000.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._serving.wait()

    def _match(self, table: RoutingTable, request: BaseRequest) -> tuple[ActiveRoute, Tenant | None]:
        host = request.headers.get("Host", "").partition(":")[0]
        active = table.find(host, request.raw_path.partition("?")[0])
        if active is None:
            raise Refused(Refusal(404, Cause.NO_ROUTE, "no such route"))
        if not table.has_tenants or active.route.public:
            return active, None
        tenant = table.holder(request.headers.get("Api-Key", ""))
        if tenant is None:
            raise Refused(Refusal(401, Cause.UNKNOWN_KEY, "unknown key"))
        return active, tenant

    async def _body(self, request: BaseRequest, most: int) -> bytes:
        parts: list[bytes] = []
        length = 0
        try:
            async with asyncio.timeout(BODY_S):
                async for part in request.content.iter_chunked(CHUNK):
                    length += len(part)
                    if length > most:
                        answer = Refusal(413, Cause.BODY_LARGE, "the body is too large")
                        answer.force_close()
                        raise Refused(answer)
                    parts.append(part)
        except TimeoutError:
            answer = Refusal(408, Cause.BODY_LATE, "the body did not come")
            answer.force_close()
            raise Refused(answer) from None
        return b"".join(parts)


def _deadline_ms(request: BaseRequest) -> float:
    try:
        return float(request.headers.get(DEADLINE_HEADER, "inf"))
    except ValueError:
        return float("inf")
