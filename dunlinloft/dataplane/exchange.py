"""One client request from its admission to its final response."""

from __future__ import annotations

import asyncio
import socket
import struct

import aiohttp
from aiohttp.http_writer import HttpVersion11
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from dunlinloft.dataplane.attempts import AttemptSequence, OpenResponse
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.event_framing import EventFramer
from dunlinloft.dataplane.graceful_shutdown import GracefulShutdown
from dunlinloft.dataplane.http_headers import end_to_end_headers
from dunlinloft.dataplane.refusal import Refusal
from dunlinloft.dataplane.server_response import ends_with_connection, read_chunk
from dunlinloft.dataplane.service_context import ServiceContext
from dunlinloft.dataplane.verdict import AttemptFailure, Verdict
from dunlinloft.transport.clock import now_ms

MAX_BUFFERED_BYTES = 262_144  # of a response that is held back until it is complete
NOT_EXECUTED_RETRY_AFTER_S = 0.15  # for clients whose request no server executed


class Exchange:
    """Forwards a request and relays its response; created by the process for each admitted request."""

    def __init__(
        self, client_request: ClientRequest, context: ServiceContext, shutdown: GracefulShutdown
    ) -> None:
        self._request = client_request
        self._attempts = AttemptSequence(client_request, context, shutdown)
        self._shutdown = shutdown
        self._response: StreamResponse | None = None  # to the client; set when its head is sent

    async def run(self) -> StreamResponse:
        """Serve the request; returns its only final response."""
        while True:
            opened = await self._attempts.open()
            if isinstance(opened, AttemptFailure):
                return self._refusal(opened.cause, opened.reason)
            response = await self._relay(opened)
            if not isinstance(response, AttemptFailure):
                return response
            if not await self._attempts.may_retry(response):
                return self._refusal(response.cause, response.reason)

    def abandon(self) -> StreamResponse:
        """The final response after `run` was cancelled because the node shuts down."""
        if self._response is not None:
            return self._abort(self._response)
        return self._refusal(Cause.CLOSING, "this node ends")

    def _refusal(self, cause: Cause, reason: str) -> Response:
        """The final response to a request that failed or was abandoned.

        503 guarantees that the request was not executed, so it is sent only if that is known.
        """
        if not self._attempts.may_have_executed:
            return Refusal(503, cause, reason, NOT_EXECUTED_RETRY_AFTER_S)
        if now_ms() >= self._request.deadline_ms:
            return Refusal(504, cause, reason)
        return Refusal(502, cause, reason)

    async def _relay(self, opened: OpenResponse) -> StreamResponse | AttemptFailure:
        """Relay a response; returns a failure if the attempt broke before anything was sent to the client."""
        try:
            async with asyncio.timeout(max(0.0, self._request.deadline_ms - now_ms()) / 1_000.0):
                if self._request.streaming and opened.response.status < 300:
                    return await self._relay_stream(opened)
                return await self._relay_body(opened)
        except TimeoutError:
            if self._response is not None:
                return self._abort(self._response)
            return AttemptFailure(Verdict.MAY_HAVE_EXECUTED, Cause.LATE, "no whole answer in time")
        finally:
            self._attempts.close(opened)

    def _head(self, response: aiohttp.ClientResponse) -> CIMultiDict[str]:
        headers = end_to_end_headers(CIMultiDict(response.headers))
        if self._shutdown.started:
            headers["Connection"] = "close"
        return headers

    async def _start_response(self, response: aiohttp.ClientResponse) -> StreamResponse:
        """Send the head to the client; after this no other response is possible."""
        head = self._head(response)
        self._response = StreamResponse(status=response.status, reason=response.reason, headers=head)
        await self._response.prepare(self._request.http)
        return self._response

    def _abort(self, response: StreamResponse) -> StreamResponse:
        """Close the client's connection, so that the client can't take a partial response for complete.

        In HTTP/1.0 the end of the connection may mark the end of the response, so that it has to be reset.
        """
        transport = self._request.http.transport
        if transport is None:
            return response
        if self._request.http.version < HttpVersion11:
            _reset_on_close(transport)
        transport.close()
        return response

    # Bodies.

    async def _relay_body(self, opened: OpenResponse) -> StreamResponse | AttemptFailure:
        """Buffer a response until it is complete; relay it directly if it exceeds the buffer.

        A broken attempt can be retried only as long as no head has been sent to the client.
        """
        response = opened.response
        buffered = b""
        while len(buffered) <= MAX_BUFFERED_BYTES:
            chunk = await read_chunk(response)
            if isinstance(chunk, AttemptFailure):
                opened.server.on_failure(now_ms())
                return chunk
            if not chunk:
                self._attempts.on_response_started()
                head = self._head(response)
                return Response(status=response.status, reason=response.reason, headers=head, body=buffered)
            buffered += chunk
        return await self._relay_unbuffered(response, buffered)

    async def _relay_unbuffered(self, response: aiohttp.ClientResponse, buffered: bytes) -> StreamResponse:
        client_response = await self._start_response(response)
        await client_response.write(buffered)
        while True:
            chunk = await read_chunk(response)
            if isinstance(chunk, AttemptFailure):
                return self._abort(client_response)
            if not chunk:
                self._attempts.on_response_started()
                await client_response.write_eof()
                return client_response
            await client_response.write(chunk)

    # Streams of events.

    async def _relay_stream(self, opened: OpenResponse) -> StreamResponse | AttemptFailure:
        """Relay events as they arrive; resume at another server if that is allowed."""
        framer = EventFramer()
        failure = await self._relay_events(opened, framer)
        while failure is not None:
            opened.server.on_failure(now_ms())
            if self._response is None:
                return failure
            resumed = await self._resume(framer, failure)
            if resumed is None:
                return self._abort(self._response)
            try:
                failure = await self._relay_events(resumed, framer)
            finally:
                self._attempts.close(resumed)
            opened = resumed
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    async def _relay_events(self, opened: OpenResponse, framer: EventFramer) -> AttemptFailure | None:
        """Relay one server's events until its stream ends; returns the failure if the stream breaks.

        A stream whose end is only marked by the end of its connection is broken if it ends inside an event:
        the connection of a server that crashes is closed like any other.
        """
        while True:
            chunk = await read_chunk(opened.response)
            if isinstance(chunk, AttemptFailure):
                return chunk
            if not chunk and framer.inside_event and ends_with_connection(opened.response):
                return AttemptFailure(
                    Verdict.MAY_HAVE_EXECUTED, Cause.BROKEN, "the stream ended inside an event"
                )
            events = framer.feed(chunk) if chunk else framer.flush()
            if self._response is None and (events or not chunk):
                self._attempts.on_response_started()
                await self._start_response(opened.response)
            if events and self._response is not None:
                await self._response.write(events)
            if not chunk:
                return None

    async def _resume(self, framer: EventFramer, failure: AttemptFailure) -> OpenResponse | None:
        """Resume a broken stream after its last event at another server; None if that isn't possible.

        The client has already received the first server's head, including its signature. It must not have
        received a part of an event, which the next server would send again.
        """
        if framer.last_event_id is None or not self._request.idempotent:
            return None
        if framer.event_partly_forwarded:
            return None
        if not await self._attempts.may_retry(failure):
            return None
        resumed = await self._attempts.open(framer.last_event_id)
        if isinstance(resumed, AttemptFailure):
            return None
        if resumed.response.status != 200:
            self._attempts.close(resumed)
            return None
        framer.discard_incomplete()
        return resumed


def _reset_on_close(transport: asyncio.Transport) -> None:
    """Have the connection reset when it is closed; unsent data is discarded."""
    connection: socket.socket = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
