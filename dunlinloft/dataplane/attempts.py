"""The attempts of one request: which server, whether another may follow, and what is known of having run."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from dunlinloft.dataplane.advice import Advice, Advised, Wait
from dunlinloft.dataplane.budget import RetryBudget, gate_allows
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import DEADLINE_HEADER, ClientRequest
from dunlinloft.dataplane.lateness import priority_of
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.servers import Server, ServicePool
from dunlinloft.dataplane.upstream import (
    ATTEMPT_HEADER,
    Attempt,
    Upstream,
    cancelled_verdict,
    passed_headers,
)
from dunlinloft.dataplane.verdict import Failure, Verdict
from dunlinloft.transport.clock import now_ms

CONNECTS_MOST = 4  # servers that can't be reached, before a request is given up
RETRY_WAIT_MS = 10.0  # T1, doubling with each attempt, with jitter; deadlines leave no half second
PATIENT_SHARE = 0.5  # of its time left that a late request waits for a free place
RESUME_HEADER = "Last-Event-Id"
_OWN_HEADERS = (
    "Api-Key",
    "X-Tenant-Id",
    "X-Target-Instance",
    DEADLINE_HEADER,
    "Content-Length",
    "Expect",
    "Priority",
)


@dataclass(frozen=True, slots=True)
class Serving:
    """What serves the requests of one service at this node."""

    service: str
    pool: ServicePool
    advice: Advice
    upstream: Upstream
    budget: RetryBudget
    nodes: int  # that share the budget
    rng: random.Random
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class Opened:
    """An attempt whose answer has begun."""

    server: Server
    response: aiohttp.ClientResponse


class Attempts:
    """Sends a request, and again where the gate and the rules allow."""

    def __init__(self, client_request: ClientRequest, serving: Serving) -> None:
        self._request = client_request
        self._serving = serving
        self._id = client_request.http.headers.get(ATTEMPT_HEADER, "")
        self._needs = client_request.needs()
        self._tried: list[str] = []
        self._arrivals = 0  # at servers, so far
        self._unreached = 0
        self._advised: dict[str, Advised] = {}  # by server that the request is out at
        self._base = self._base_headers()
        self.may_have_run = False
        serving.budget.first(now_ms())

    def _base_headers(self) -> CIMultiDict[str]:
        headers = passed_headers(CIMultiDict(self._request.http.headers))
        for name in _OWN_HEADERS:
            headers.popall(name, None)
        if self._request.tenant is not None:
            headers["X-Tenant-Id"] = self._request.tenant.name
        return headers

    async def open(self, resume_after: str | None = None) -> Opened | Failure:
        """Send until a server's answer begins; the failure where that is over."""
        while True:
            if now_ms() >= self._request.ends_ms:
                return Failure(Verdict.NOT_EXECUTED, Cause.NO_TIME, "no time left")
            server = await self._choose()
            if server is None:
                return Failure(Verdict.NOT_EXECUTED, Cause.NO_SERVER, "no server has a place")
            result = await self._send(server, resume_after)
            if not isinstance(result, Failure):
                return Opened(server, result)
            if not await self.may_go_on(result):
                return result

    async def may_go_on(self, failure: Failure) -> bool:
        """Whether the request may be sent to another server after a failure; waits as long as it has to."""
        if failure.cause is Cause.UNREACHED:
            self._unreached += 1
            return self._unreached < CONNECTS_MOST
        if self._arrivals >= self._request.active_route.route.max_attempts:
            return False
        if failure.verdict is not Verdict.NOT_EXECUTED and not self._request.idempotent:
            return False
        serving = self._serving
        if not gate_allows(serving.pool.controller, serving.rng.random(), now_ms()):
            return False
        if not serving.budget.may_send(serving.nodes, now_ms()):
            return False
        wait_ms = RETRY_WAIT_MS * 2.0 ** (self._arrivals - 1) * (0.5 + serving.rng.random())
        if now_ms() + wait_ms >= self._request.ends_ms:
            return False
        await asyncio.sleep(wait_ms / 1_000.0)
        return True

    def answered(self) -> None:
        """The first of its answer came: a delay sample, and the owner is told."""
        now = now_ms()
        for advised in self._advised.values():
            advised.began()
        self._serving.pool.controller.answered(
            now - self._request.arrived_ms, self._request.aim_ms, now, True
        )

    def end(self, opened: Opened) -> None:
        """An attempt is no longer out."""
        self._end(opened.server)
        opened.response.close()

    def _end(self, server: Server) -> None:
        server.ended(self._id)
        advised = self._advised.pop(server.record.id, None)
        if advised is not None:
            advised.ended(server.failures > 0)

    # Which server.

    async def _choose(self) -> Server | None:
        """The server that the service's owner names, or else one by this node's own rotation."""
        pool, limit, now = self._serving.pool, self._serving.upstream.per_server, now_ms()
        advised = await self._ask(pool.avoided(self._request.aim_ms, limit, self._tried, now))
        if advised is not None:
            server = pool.servers.get(advised.server_id)
            if server is not None and not server.record.draining:
                self._advised[server.record.id] = advised
                self._serving.metrics.placements["advised"] += 1
                return server
            advised.ended(False)
        return self._own_choice()

    def _own_choice(self) -> Server | None:
        """The server by this node's own rotation; the owner, which counts on, is told."""
        serving, needs = self._serving, self._needs
        server = serving.pool.pick(needs, serving.upstream.per_server, self._tried, now_ms())
        if server is None:
            return None
        serving.metrics.placements["own"] += 1
        told = serving.advice.chose(serving.service, needs, server.record.id)
        if told is not None:
            self._advised[server.record.id] = told
        return server

    async def _ask(self, avoided: set[str]) -> Advised | None:
        """Ask the owner; a request that is late anyway waits for a free place, half of its time at most."""
        needs, serving = self._needs, self._serving
        began_ms = now_ms()
        patient = self._request.client_waited_ms(began_ms) >= self._request.aim_ms
        until_ms = began_ms + PATIENT_SHARE * (self._request.ends_ms - began_ms)
        while True:
            advice = await serving.advice.ask(serving.service, needs, avoided, patient, now_ms())
            if not isinstance(advice, Wait):
                return advice
            await asyncio.sleep(advice.wait_ms * (0.5 + serving.rng.random()) / 1_000.0)
            patient = now_ms() < until_ms

    # One attempt.

    def _headers(self, server: Server, resume_after: str | None) -> CIMultiDict[str]:
        now = now_ms()
        headers = self._base.copy()
        headers[DEADLINE_HEADER] = str(max(1, math.floor(self._request.ends_ms - now)))
        headers["X-Target-Instance"] = server.record.id
        waited_ms = self._request.client_waited_ms(now)
        headers["Priority"] = str(priority_of(self._request.priority, waited_ms, self._request.aim_ms))
        if resume_after is not None:
            headers[RESUME_HEADER] = resume_after
        return headers

    async def _send(self, server: Server, resume_after: str | None) -> aiohttp.ClientResponse | Failure:
        """One attempt, up to the head of its answer."""
        attempt = Attempt()
        self._serving.metrics.attempts["further" if self._tried else "first"] += 1
        self._tried.append(server.record.id)
        server.sent(self._id, now_ms())
        try:
            result = await self._bounded(server, resume_after, attempt)
        except asyncio.CancelledError:
            self._end(server)
            raise
        self._arrivals += attempt.connected
        if not isinstance(result, Failure):
            self.may_have_run = True
            server.heard(self._id, now_ms())
            return result
        if result.verdict is not Verdict.NOT_EXECUTED:
            self.may_have_run = True
        self._judge(server, result, attempt)
        self._end(server)
        if attempt.connected:
            return result
        return Failure(Verdict.NOT_EXECUTED, Cause.UNREACHED, "the server could not be reached")

    async def _bounded(
        self, server: Server, resume_after: str | None, attempt: Attempt
    ) -> aiohttp.ClientResponse | Failure:
        """Send within the time left; a time-out counts as a delay sample of its length."""
        left_ms = self._request.ends_ms - now_ms()
        try:
            async with asyncio.timeout(left_ms / 1_000.0):
                return await self._serving.upstream.send(
                    server.record.address,
                    self._request.method,
                    self._request.target,
                    self._headers(server, resume_after),
                    self._request.body,
                    attempt,
                )
        except TimeoutError:
            self._serving.pool.controller.answered(left_ms, self._request.aim_ms, now_ms(), False)
            return cancelled_verdict(attempt)

    def _judge(self, server: Server, failure: Failure, attempt: Attempt) -> None:
        """Keep away from a server that failed; a full one for a moment only."""
        if failure.verdict is Verdict.NOT_EXECUTED and attempt.connected:
            server.refused(now_ms())
        else:
            server.failed(now_ms())
