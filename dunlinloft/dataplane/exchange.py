"""One client's request from its admission to its one final answer."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from dunlinloft.dataplane.attempts import Attempts, Opened, Serving
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.closing import Closing
from dunlinloft.dataplane.events import EventCutter
from dunlinloft.dataplane.upstream import next_bytes, passed_headers
from dunlinloft.dataplane.verdict import Failure, Verdict
from dunlinloft.transport.clock import now_ms

BUFFERED_MOST = 262_144  # bytes of an answer that are held until it is whole
FULL_RETRY_S = 0.15  # when to come back where servers were full


class Refusal(Response):
    """A final answer of our own, and why."""

    def __init__(self, status: int, cause: Cause, text: str, retry_after_s: float | None = None) -> None:
        headers = {} if retry_after_s is None else {"Retry-After": f"{retry_after_s:.3f}"}
        super().__init__(status=status, text=text, headers=headers)
        self.cause = cause


class Exchange:
    """Has a request sent, and passes the answer on."""

    def __init__(self, client_request: ClientRequest, serving: Serving, closing: Closing) -> None:
        self._request = client_request
        self._attempts = Attempts(client_request, serving)
        self._closing = closing
        self._answer: StreamResponse | None = None  # once its head went out

    async def run(self) -> StreamResponse:
        """Serve the request; exactly one final answer."""
        while True:
            opened = await self._attempts.open()
            if isinstance(opened, Failure):
                return self._final(opened)
            answer = await self._pass_on(opened)
            if not isinstance(answer, Failure):
                return answer
            if not await self._attempts.may_go_on(answer):
                return self._final(answer)

    def _final(self, failure: Failure) -> Response:
        """The answer to a request that is given up on, at once."""
        if not self._attempts.may_have_run:
            return Refusal(503, failure.cause, failure.reason, FULL_RETRY_S)
        if now_ms() >= self._request.ends_ms:
            return Refusal(504, failure.cause, failure.reason)
        return Refusal(502, failure.cause, failure.reason)

    async def _pass_on(self, opened: Opened) -> StreamResponse | Failure:
        """Pass an answer on; a failure where nothing was passed and the attempt is lost."""
        try:
            async with asyncio.timeout(max(0.0, self._request.ends_ms - now_ms()) / 1_000.0):
                if self._request.streaming and opened.response.status < 300:
                    return await self._pass_stream(opened)
                return await self._pass_body(opened)
        except TimeoutError:
            if self._answer is not None:
                return self._broken_off(self._answer)
            return Failure(Verdict.MAY_HAVE_EXECUTED, Cause.LATE, "no whole answer in time")
        finally:
            self._attempts.end(opened)

    def _head(self, response: aiohttp.ClientResponse) -> CIMultiDict[str]:
        headers = passed_headers(CIMultiDict(response.headers))
        if self._closing.begun:
            headers["Connection"] = "close"
        return headers

    async def _begin_answer(self, response: aiohttp.ClientResponse) -> StreamResponse:
        """Send the head; from here on there is no other answer."""
        head = self._head(response)
        self._answer = StreamResponse(status=response.status, reason=response.reason, headers=head)
        await self._answer.prepare(self._request.http)
        return self._answer

    def _broken_off(self, answer: StreamResponse) -> StreamResponse:
        """End the client's connection so that what was passed doesn't look whole."""
        transport = self._request.http.transport
        if transport is not None:
            transport.close()
        return answer

    # Answers in one piece.

    async def _pass_body(self, opened: Opened) -> StreamResponse | Failure:
        """Hold an answer until it is whole, where it isn't too long for that."""
        response = opened.response
        held = b""
        while len(held) <= BUFFERED_MOST:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                opened.server.failed(now_ms())
                return part
            if not part:
                self._attempts.answered()
                head = self._head(response)
                return Response(status=response.status, reason=response.reason, headers=head, body=held)
            held += part
        return await self._pass_long(response, held)

    async def _pass_long(self, response: aiohttp.ClientResponse, held: bytes) -> StreamResponse:
        answer = await self._begin_answer(response)
        await answer.write(held)
        while True:
            part = await next_bytes(response)
            if isinstance(part, Failure):
                return self._broken_off(answer)
            if not part:
                self._attempts.answered()
                await answer.write_eof()
                return answer
            await answer.write(part)

    # Streams.

    async def _pass_stream(self, opened: Opened) -> StreamResponse | Failure:
        """Pass events on as they come, and go on at another server where that is allowed."""
        cutter = EventCutter()
        failure = await self._pass_events(opened, cutter)
        while failure is not None:
            opened.server.failed(now_ms())
            if self._answer is None:
                return failure
            resumed = await self._resume(cutter, failure)
            if resumed is None:
                return self._broken_off(self._answer)
            try:
                failure = await self._pass_events(resumed, cutter)
            finally:
                self._attempts.end(resumed)
            opened = resumed
        assert self._answer is not None
        await self._answer.write_eof()
        return self._answer

    async def _pass_events(self, opened: Opened, cutter: EventCutter) -> Failure | None:
        """Pass the events of one server on; the failure where it broke off."""
        while True:
            part = await next_bytes(opened.response)
            if isinstance(part, Failure):
                return part
            events = cutter.feed(part) if part else cutter.rest()
            if self._answer is None and (events or not part):
                self._attempts.answered()
                await self._begin_answer(opened.response)
            if events and self._answer is not None:
                await self._answer.write(events)
            if not part:
                return None

    async def _resume(self, cutter: EventCutter, failure: Failure) -> Opened | None:
        """Another server that goes on after the last event; the head and stamp stay those of the first."""
        if cutter.last_id is None or not self._request.idempotent:
            return None
        if not await self._attempts.may_go_on(failure):
            return None
        resumed = await self._attempts.open(cutter.last_id)
        if isinstance(resumed, Failure):
            return None
        if resumed.response.status != 200:
            self._attempts.end(resumed)
            return None
        cutter.restart()
        return resumed
