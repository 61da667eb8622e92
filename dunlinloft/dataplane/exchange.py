"""One client's request from its admission to its one final answer."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass

import aiohttp
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from dunlinloft.configuration import Tenant
from dunlinloft.dataplane.advice import Advice, Advised, Wait
from dunlinloft.dataplane.budget import RetryBudget, gate_allows
from dunlinloft.dataplane.events import EventCutter
from dunlinloft.dataplane.lateness import priority_of
from dunlinloft.dataplane.routing import Way
from dunlinloft.dataplane.servers import Server, ServicePool, Wish
from dunlinloft.dataplane.upstream import (
    ATTEMPT_HEADER,
    Attempt,
    Upstream,
    cancelled_verdict,
    next_bytes,
    passed_headers,
)
from dunlinloft.dataplane.verdict import Failure, Verdict

CONNECTS_MOST = 4  # servers that can't be reached, before a request is given up
RETRY_WAIT_MS = 10.0  # T1, doubling with each attempt, with jitter; deadlines leave no half second
BUFFERED_MOST = 262_144  # bytes of an answer that are held until it is whole
PATIENT_SHARE = 0.5  # of its time left that a late request waits for a free place
FULL_RETRY_S = 0.15  # when to come back where servers were full
STREAMING = "streaming"
UNREACHED = "the server could not be reached"
DEADLINE_HEADER = "X-Deadline-Ms"
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
class Asked:
    """A request that was read whole and may be served."""

    request: BaseRequest
    method: str
    target: str  # path and query as they came
    body: bytes
    way: Way
    tenant: Tenant | None
    arrived_ms: float
    ends_ms: float
    waited_ms: float  # by the client, before this try

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        route = self.way.route
        return route.type == "safe" or (route.type == STREAMING and route.resumable)

    def wish(self) -> Wish:
        """What it needs of its server, as its headers tell."""
        aim_ms = self.way.route.target_latency_ms
        text = self.request.headers.get("X-Prompt-Prefix")
        if text is None:
            return Wish(aim_ms)
        try:
            parts = tuple(_part(part) for part in text.split(","))
            answer = int(self.request.headers.get("X-Token-Usage", "0,0").partition(",")[2])
        except ValueError:
            return Wish(aim_ms)
        before_last = sum(size for _, size in parts[:-1])
        shared = (parts[-2][0], before_last) if len(parts) > 1 else None
        return Wish(aim_ms, shared, parts, answer)


def _part(text: str) -> tuple[str, int]:
    name, _, size = text.partition(":")
    return name.strip(), int(size)


def refusal(status: int, text: str, retry_after_s: float | None = None) -> Response:
    """A final answer of our own."""
    headers = {} if retry_after_s is None else {"Retry-After": f"{retry_after_s:.3f}"}
    return Response(status=status, text=text, headers=headers)


class Exchange:
    """Sends a request on, again where the gate and the rules allow, and passes the answer on."""

    def __init__(
        self,
        asked: Asked,
        service: str,
        pool: ServicePool,
        advice: Advice,
        upstream: Upstream,
        budget: RetryBudget,
        nodes: int,
        rng: random.Random,
        closing: bool,
    ) -> None:
        self._asked = asked
        self._pool = pool
        self._upstream = upstream
        self._budget = budget
        self._nodes = nodes
        self._advice = advice
        self._service = service
        self._advised: dict[str, Advised] = {}  # by server that the request is out at
        self._rng = rng
        self._closing = closing
        self._aim_ms = asked.way.route.target_latency_ms
        self._id = asked.request.headers.get(ATTEMPT_HEADER, "")
        self._tried: list[str] = []
        self._arrivals = 0  # at servers, so far
        self._unreached = 0
        self._ran = False  # at a server, for all that is known
        self._answer: StreamResponse | None = None  # once its head went out
        self._wish = asked.wish()
        self._base = self._base_headers()

    def _base_headers(self) -> CIMultiDict[str]:
        headers = passed_headers(CIMultiDict(self._asked.request.headers))
        for name in _OWN_HEADERS:
            headers.popall(name, None)
        tenant = self._asked.tenant
        if tenant is not None:
            headers["X-Tenant-Id"] = tenant.name
        priority = self._asked.way.route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        self._priority = priority
        return headers

    async def run(self) -> StreamResponse:
        """Serve the request; exactly one final answer."""
        self._budget.first(_now_ms())
        while True:
            opened = await self._open(None)
            if isinstance(opened, Failure):
                return self._final(opened)
            answer = await self._pass_on(*opened)
            if not isinstance(answer, Failure):
                return answer
            if not await self._may_go_on(answer):
                return self._final(answer)

    async def _open(self, resume_after: str | None) -> tuple[Server, aiohttp.ClientResponse] | Failure:
        """Send until a server answers; the failure where that is over."""
        while True:
            now_ms = _now_ms()
            if now_ms >= self._asked.ends_ms:
                return Failure(Verdict.NOT_EXECUTED, "no time left")
            server = await self._choose(now_ms)
            if server is None:
                return Failure(Verdict.NOT_EXECUTED, "no server has a place")
            result = await self._send(server, resume_after)
            if not isinstance(result, Failure):
                return server, result
            if not await self._may_go_on(result):
                return result

    async def _choose(self, now_ms: float) -> Server | None:
        """The server that the service's owner names, or else one by this node's own rotation."""
        limit = self._upstream.per_server
        avoided = self._pool.avoided(self._aim_ms, limit, self._tried, now_ms)
        advised = await self._ask(avoided, now_ms)
        if advised is not None:
            server = self._pool.servers.get(advised.server_id)
            if server is not None and not server.record.draining:
                self._advised[server.record.id] = advised
                return server
            advised.ended(False)
        return self._pool.pick(self._wish, limit, self._tried, now_ms)

    async def _ask(self, avoided: set[str], now_ms: float) -> Advised | None:
        """Ask the owner; a request that is late anyway waits for a free place, half of its time at most."""
        wish = self._wish
        patient = self._waited_ms(now_ms) >= self._aim_ms
        until_ms = now_ms + PATIENT_SHARE * (self._asked.ends_ms - now_ms)
        while True:
            advice = await self._advice.ask(
                self._service, wish.parts, wish.answer_tokens, avoided, patient, _now_ms()
            )
            if not isinstance(advice, Wait):
                return advice
            await asyncio.sleep(advice.wait_ms * (0.5 + self._rng.random()) / 1_000.0)
            patient = _now_ms() < until_ms

    def _waited_ms(self, now_ms: float) -> float:
        """How long the client has waited, over all its tries."""
        return self._asked.waited_ms + now_ms - self._asked.arrived_ms

    async def _may_go_on(self, failure: Failure) -> bool:
        """Whether the request may be sent to another server after a failure; waits as long as it has to."""
        if failure.reason == UNREACHED:
            self._unreached += 1
            return self._unreached < CONNECTS_MOST
        if self._arrivals >= self._asked.way.route.max_attempts:
            return False
        if failure.verdict is not Verdict.NOT_EXECUTED and not self._asked.idempotent:
            return False
        now_ms = _now_ms()
        if not gate_allows(self._pool.controller, self._rng.random(), now_ms):
            return False
        if not self._budget.may_send(self._nodes, now_ms):
            return False
        wait_ms = RETRY_WAIT_MS * 2.0 ** (self._arrivals - 1) * (0.5 + self._rng.random())
        if now_ms + wait_ms >= self._asked.ends_ms:
            return False
        await asyncio.sleep(wait_ms / 1_000.0)
        return True

    async def _send(self, server: Server, resume_after: str | None) -> aiohttp.ClientResponse | Failure:
        """One attempt, up to the head of its answer."""
        now_ms = _now_ms()
        left_ms = self._asked.ends_ms - now_ms
        headers = self._base.copy()
        headers[DEADLINE_HEADER] = str(max(1, math.floor(left_ms)))
        headers["X-Target-Instance"] = server.record.id
        headers["Priority"] = str(priority_of(self._priority, self._waited_ms(now_ms), self._aim_ms))
        if resume_after is not None:
            headers[RESUME_HEADER] = resume_after
        attempt = Attempt()
        self._tried.append(server.record.id)
        server.sent(self._id, now_ms)
        result: aiohttp.ClientResponse | Failure
        try:
            async with asyncio.timeout(left_ms / 1_000.0):
                result = await self._upstream.send(
                    server.record.address,
                    self._asked.method,
                    self._asked.target,
                    headers,
                    self._asked.body,
                    attempt,
                )
        except TimeoutError:
            result = cancelled_verdict(attempt)
            self._pool.controller.answered(left_ms, self._aim_ms, _now_ms(), False)
        except asyncio.CancelledError:
            self._end(server)
            raise
        self._arrivals += attempt.connected
        if not isinstance(result, Failure) or result.verdict is not Verdict.NOT_EXECUTED:
            self._ran = True
        if isinstance(result, Failure):
            self._judge(server, result, attempt)
            self._end(server)
            if not attempt.connected:
                return Failure(Verdict.NOT_EXECUTED, UNREACHED)
        else:
            server.heard(self._id, _now_ms())
        return result

    def _end(self, server: Server) -> None:
        """An attempt is no longer out."""
        server.ended(self._id)
        advised = self._advised.pop(server.record.id, None)
        if advised is not None:
            advised.ended(server.failures > 0)

    def _judge(self, server: Server, failure: Failure, attempt: Attempt) -> None:
        """Keep away from a server that failed; a full one for a moment only."""
        now_ms = _now_ms()
        if failure.verdict is Verdict.NOT_EXECUTED and attempt.connected:
            server.refused(now_ms)
        else:
            server.failed(now_ms)

    # The answer.

    async def _pass_on(self, server: Server, response: aiohttp.ClientResponse) -> StreamResponse | Failure:
        """Pass an answer on; a failure where nothing was passed and the attempt is lost."""
        try:
            async with asyncio.timeout(max(0.0, self._asked.ends_ms - _now_ms()) / 1_000.0):
                if self._asked.way.route.type == STREAMING and response.status < 300:
                    return await self._pass_stream(server, response)
                return await self._pass_body(server, response)
        except TimeoutError:
            if self._answer is not None:
                return self._broken_off(self._answer)
            return Failure(Verdict.MAY_HAVE_EXECUTED, "no whole answer in time")
        finally:
            self._end(server)
            response.close()

    def _answered(self) -> None:
        now_ms = _now_ms()
        for advised in self._advised.values():
            advised.began()
        self._pool.controller.answered(now_ms - self._asked.arrived_ms, self._aim_ms, now_ms, True)

    def _head(self, response: aiohttp.ClientResponse) -> CIMultiDict[str]:
        headers = passed_headers(CIMultiDict(response.headers))
        if self._closing:
            headers["Connection"] = "close"
        return headers

    async def _pass_body(self, server: Server, response: aiohttp.ClientResponse) -> StreamResponse | Failure:
        """An answer in one piece, held until it is whole where it isn't too long for that."""
        held = b""
        while len(held) <= BUFFERED_MOST:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                server.failed(_now_ms())
                return part
            if not part:
                self._answered()
                return Response(
                    status=response.status, reason=response.reason, headers=self._head(response), body=held
                )
            held += part
        return await self._pass_long(response, held)

    async def _begin_answer(self, response: aiohttp.ClientResponse) -> StreamResponse:
        """Send the head; from here on there is no other answer."""
        answer = StreamResponse(status=response.status, reason=response.reason, headers=self._head(response))
        self._answer = answer
        await answer.prepare(self._asked.request)
        return answer

    async def _pass_long(self, response: aiohttp.ClientResponse, held: bytes) -> StreamResponse | Failure:
        answer = await self._begin_answer(response)
        await answer.write(held)
        while True:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                return self._broken_off(answer)
            if not part:
                self._answered()
                await answer.write_eof()
                return answer
            await answer.write(part)

    def _broken_off(self, answer: StreamResponse) -> StreamResponse:
        """End the client's connection so that what was passed doesn't look whole."""
        transport = self._asked.request.transport
        if transport is not None:
            transport.close()
        return answer

    async def _pass_stream(
        self, server: Server, response: aiohttp.ClientResponse
    ) -> StreamResponse | Failure:
        """Pass events on as they come, and go on at another server where that is allowed."""
        cutter = EventCutter()
        answer: StreamResponse | None = None
        while True:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                server.failed(_now_ms())
                if answer is None:
                    return part
                return await self._resume(answer, cutter, part)
            events = cutter.feed(part) if part else cutter.rest()
            if answer is None and (events or not part):
                self._answered()
                answer = await self._begin_answer(response)
            if events and answer is not None:
                await answer.write(events)
            if not part and answer is not None:
                await answer.write_eof()
                return answer

    async def _resume(self, answer: StreamResponse, cutter: EventCutter, failure: Failure) -> StreamResponse:
        """Go on with a stream whose server broke off; the head and stamp stay those of the first."""
        while cutter.last_id is not None and self._asked.idempotent and await self._may_go_on(failure):
            opened = await self._open(cutter.last_id)
            if isinstance(opened, Failure):
                break
            server, response = opened
            try:
                if response.status != 200:
                    break
                cutter.restart()
                ended = await self._pass_rest(answer, cutter, response)
            finally:
                self._end(server)
                response.close()
            if ended is None:
                await answer.write_eof()
                return answer
            server.failed(_now_ms())
            failure = ended
        return self._broken_off(answer)

    async def _pass_rest(
        self, answer: StreamResponse, cutter: EventCutter, response: aiohttp.ClientResponse
    ) -> Failure | None:
        while True:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                return part
            events = cutter.feed(part) if part else cutter.rest()
            if events:
                await answer.write(events)
            if not part:
                return None

    def _final(self, failure: Failure) -> Response:
        """The answer to a request that is given up on, at once."""
        if not self._ran:
            return refusal(503, failure.reason, FULL_RETRY_S)
        if _now_ms() >= self._asked.ends_ms:
            return refusal(504, failure.reason)
        return refusal(502, failure.reason)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1_000.0
