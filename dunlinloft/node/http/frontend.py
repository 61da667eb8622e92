"""HTTP server for clients: reads requests and writes exactly one response to each.

A misbehaving client affects only its own connection. An invalid request is answered with a client error; only
the balancer decides on overload responses (429, 503), except while the node drains or shuts down.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol, cast
from urllib.parse import unquote

import httptools

from dunlinloft.node.addresses import Address
from dunlinloft.node.clock import now_ms
from dunlinloft.node.http.bodies import CHUNK_BYTES, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, Body, Memory
from dunlinloft.node.http.sockets import file_descriptor, has_event
from dunlinloft.node.http.upstream import MAX_HEAD_BYTES, FlowControl

BACKLOG = 1024
MAX_BUDGET_S = 3600.0  # a longer X-Budget is taken for a client's mistake
# For a complete request head; on a new connection from when it was accepted. Must stay under 3 s.
READ_TIMEOUT_MS = 2_700.0
READ_STALL_TIMEOUT_MS = 1_000.0  # for more bytes of a body, after READ_TIMEOUT_MS
MIN_BODY_BYTES_PER_S = 8_000.0  # on average, after READ_TIMEOUT_MS
WRITE_STALL_TIMEOUT_MS = 20_000.0  # for a client to read more of a response
KEEPALIVE_TIMEOUT_MS = 60_000.0  # frees the sockets of clients that vanished without closing
SHORT_KEEPALIVE_TIMEOUT_MS = 2_000.0  # while sockets are scarce
# While sockets are scarce, a connection without a request for this long after accept is closed first.
FIRST_REQUEST_GRACE_MS = 100.0
CLOSE_TIMEOUT_MS = 2_000.0  # for a client to read more of the last response on its connection
LINGER_TIMEOUT_MS = 3_000.0  # for a client to send the rest of a body that was answered early
SWEEP_INTERVAL_S = 0.1  # between checks of these timeouts
DRAIN_CLOSE_DELAY_MS = 450.0  # new connections arrive for up to 0.3 s after a drain begins, then none
SHUTDOWN_READ_TIMEOUT_S = 0.2  # a request that is incomplete by then could outlive the process
MAX_EXCESS_CONNECTIONS = 8  # accepted beyond the free sockets while every other connection is busy
# After the drain began. By 4 s no request that arrived within the last 2 s may be in flight.
DRAIN_ACCEPT_MS = 1_900.0
READY_PATH = b"/-/ready"
RESERVED_PATH_PREFIX = b"/-/"


@dataclass(slots=True)
class ClientRequest:
    """A client's request: the fields that the node uses and those that are forwarded unchanged.

    Attributes
    ----------
    id
        From X-Call-Id.
    cls
        Name of the request class: the first segment of the path.
    budget_ms
        How long the client waits, from X-Budget.
    tenant
        From X-Caller.
    is_retry
        The client has sent the request before, as X-Again says.
    key
        From Idempotency-Key.
    """

    method: bytes
    target: bytes
    id: str
    cls: str
    budget_ms: float
    tenant: str | None
    is_retry: bool
    key: bytes | None
    content_type: bytes | None
    body: Body


@dataclass(slots=True)
class Response:
    """A response that is sent to a client in one piece."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None


class AcceptedRequest(Protocol):
    """The node's handle of a request that it accepted, which the frontend notifies."""

    def body_complete(self) -> None:
        """Handle the end of a body that was still being received when the request was accepted."""

    def client_disconnected(self) -> None:
        """Handle that the client no longer waits for a response."""


class ResponseWriter(Protocol):
    """Writes the response to one request, either in one piece or streamed."""

    def is_disconnected(self) -> bool:
        """Return whether the client has gone, even if the event loop has not reported it yet."""

    def answer(self, response: Response) -> None: ...

    def start_response(
        self, content_type: bytes | None, length: int | None, flow_control: FlowControl
    ) -> None: ...

    def forward_body(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def terminate(self) -> None:
        """End a streamed response so that the client sees that it is incomplete."""


class InvalidRequest(Exception):
    """A request that can't be accepted; the text is sent to the client."""


RequestHandler = Callable[[ClientRequest, ResponseWriter], AcceptedRequest]


def encode_response(response: Response, close: bool) -> bytes:
    """Return a complete response in its wire format."""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"]
    if response.content_type is not None:
        lines.append(f"Content-Type: {response.content_type.decode('latin-1')}\r\n")
    if response.retry_after_s is not None:
        lines.append(f"Retry-After: {response.retry_after_s:.3f}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append(f"Content-Length: {len(response.body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + response.body


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection. Pipelined requests are answered one at a time, in their order."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[ClientRequest | Response] = deque()  # received and not yet dispatched
        self._accepted_request: AcceptedRequest | None = None  # the node's handle of the active request
        self._active_request: ClientRequest | None = None  # the request that the node works on
        self._flow_control: FlowControl | None = None  # of the response that is being streamed
        self._chunked = False  # whether that response uses chunked encoding
        self._busy = self._closing = self._ignores_input = False
        self._receiving = self._message_complete = False
        self._reading_paused = self._writing_paused = False
        self._lingering = False  # the last response has been written; further input is discarded
        self._had_request = False  # at least one complete request was received
        self._phase_start_ms = 0.0  # start of the current request, idle period or close
        self._last_progress_ms = self._head_complete_ms = 0.0
        self._unsent_bytes = 0  # at the last check
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body_chunks: list[bytes] = []  # not yet added to the body
        self._incoming: ClientRequest | Response | None = None  # set once the head is complete
        self._body: Body | None = None
        # Bytes fed to the parser before the head was complete, of the header fields, of the body.
        self._head_bytes = self._header_bytes = self._body_bytes = 0
        self._headers_complete = self._queued = self._awaits_continue = False

    # Transport events

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        self._transport.set_write_buffer_limits(CHUNK_BYTES)
        self._phase_start_ms = self._last_progress_ms = now_ms()
        self._frontend.on_connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._frontend.read_buffer  # shared: data is parsed before any connection's next read

    def buffer_updated(self, nbytes: int) -> None:
        self._last_progress_ms = now_ms()
        if self._ignores_input:
            return
        self._message_complete = False
        try:
            self._parser.feed_data(self._frontend.read_buffer[:nbytes])
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed HTTP")
        # The parser reports a header only once it is complete, so an endless one shows only in the bytes fed.
        if not self._headers_complete and not self._message_complete:
            self._head_bytes += nbytes
            if self._head_bytes > MAX_HEAD_BYTES:
                self._reject(431, "headers too large")
        self._feed_body()
        self._serve_next()
        self._update_reading()

    def eof_received(self) -> None:
        # A half-close counts as a disconnect. Buffered output may keep the connection open for a while, but
        # the client's requests end now.
        self._on_disconnect()
        return None  # closes

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_disconnect()
        self._frontend.on_connection_closed(self)
        self._active_request = self._incoming = self._body = self._flow_control = None
        del self._parser  # breaks a reference cycle, which would last until a full garbage collection

    def _on_disconnect(self) -> None:
        """Drop queued requests and tell the node that the client of the active one has gone."""
        self._ignores_input = True
        for queued in self._queue:
            if isinstance(queued, ClientRequest):
                queued.body.close()
        self._queue.clear()
        if self._body is not None and self._incoming is not self._active_request:
            self._body.close()
        accepted, self._accepted_request = self._accepted_request, None
        if accepted is not None:
            accepted.client_disconnected()

    def is_disconnected(self) -> bool:
        """Return whether the client has gone, by polling the socket itself.

        The event loop reports no end of a connection that it doesn't read, and reports it late when it lags.
        """
        if not self._transport.is_closing():
            if not has_event(file_descriptor(self._transport), select.POLLRDHUP):
                return False
            self.abort()
        return True

    def pause_writing(self) -> None:
        self._writing_paused, self._last_progress_ms = True, now_ms()
        if self._flow_control is not None:
            self._flow_control.pause()

    def resume_writing(self) -> None:
        self._writing_paused, self._last_progress_ms = False, now_ms()
        if self._flow_control is not None:
            self._flow_control.resume()
        elif not self._transport.is_closing():
            self._serve_next()
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading: bodies no faster than they are forwarded, and one request ahead."""
        if self._transport.is_closing():
            return
        pause = self._busy and bool(self._queue)
        pause = not self._ignores_input and (pause or (self._body is not None and self._body.is_full()))
        if pause and not self._reading_paused:
            self._transport.pause_reading()
        elif self._reading_paused and not pause:
            self._last_progress_ms = now_ms()
            self._transport.resume_reading()
        self._reading_paused = pause

    def is_idle(self) -> bool:
        """Return whether no request is active, queued or partially received."""
        return not self._busy and not self._receiving and not self._queue

    def check_timeouts(self, now: float, idle_ms: float) -> None:
        """Enforce the timeouts of the current phase, of which `idle_ms` is the one for idle connections."""
        waited_ms = now - self._phase_start_ms
        if self._reading_paused and self.is_disconnected():
            return
        if self._transport.is_closing() or self._lingering:
            self._check_close_timeouts(now)
        elif self._writing_paused and now - self._last_progress_ms > WRITE_STALL_TIMEOUT_MS:
            self._transport.abort()
        elif (
            self._receiving
            and waited_ms > READ_TIMEOUT_MS
            and not self._reading_paused
            and self._is_too_slow(now)
        ):
            if self._busy and self._active_request is not self._incoming:
                return
            if self._accepted_request is not None:  # an incomplete request can't succeed any more
                accepted, self._accepted_request = self._accepted_request, None
                accepted.client_disconnected()
                self._busy, self._active_request = False, None
            self._reject(408, "the request is not whole")
            self._serve_next()
        elif self._busy:
            return
        elif not self._receiving and waited_ms > (idle_ms if self._had_request else READ_TIMEOUT_MS):
            self.close_if_idle()

    def _check_close_timeouts(self, now: float) -> None:
        """Close a connection whose client is slow to read the last response or keeps sending."""
        previous_unsent, self._unsent_bytes = self._unsent_bytes, self._transport.get_write_buffer_size()
        waited_ms = now - self._phase_start_ms
        if previous_unsent != self._unsent_bytes:
            self._phase_start_ms = self._last_progress_ms = now
        elif self._unsent_bytes or self._transport.is_closing():
            if waited_ms > CLOSE_TIMEOUT_MS:
                self._transport.abort()
        elif waited_ms > LINGER_TIMEOUT_MS or now - self._last_progress_ms > READ_STALL_TIMEOUT_MS:
            self._close()

    def _is_too_slow(self, now: float) -> bool:
        """Return whether the head is overdue, or the body is stalled or below the minimum rate."""
        if not self._headers_complete:
            return True
        min_bytes = MIN_BODY_BYTES_PER_S * (now - self._head_complete_ms) / 1000.0
        return now - self._last_progress_ms > READ_STALL_TIMEOUT_MS or self._body_bytes < min_bytes

    def _close(self) -> None:
        self._phase_start_ms = now_ms()
        self._transport.close()

    def _start_lingering_close(self) -> None:
        """Close the connection after its last response so that the client receives all of that response.

        Closing a socket with unread input resets the connection, which discards what the client has not read
        yet. So only the sending side is closed first; input is discarded until the client closes too.
        """
        self._closing = self._ignores_input = self._lingering = True
        self._phase_start_ms = self._last_progress_ms = now_ms()
        self._transport.write_eof()
        self._update_reading()

    def shut_down(self) -> None:
        """Close after the active request, or at once if the client has had a response and is idle.

        A new connection's first request may be in transit; unanswered it would count as refused.
        """
        self._closing = True
        if self._had_request:
            self.close_if_idle()

    def close_if_idle(self) -> bool:
        """Close if idle and without unread input; return whether it was closed."""
        if self._transport.is_closing() or self._lingering or not self.is_idle() or self._has_unread_data():
            return False
        self._close()
        return True

    def had_request(self) -> bool:
        """Return whether at least one complete request was received."""
        return self._had_request

    def is_unused(self, now: float) -> bool:
        """Return whether no request has arrived within the grace period of a new connection."""
        return not self._had_request and now - self._phase_start_ms > FIRST_REQUEST_GRACE_MS

    def abort(self) -> None:
        """Close at once and discard unsent output: no response is awaited."""
        self._ignores_input = True
        self._transport.abort()

    def _has_unread_data(self) -> bool:
        """Return whether input, possibly a request, has arrived that the event loop has not read yet."""
        return has_event(file_descriptor(self._transport))

    def reject_partial_request(self) -> None:
        """Reject a request that is still being received: it would be complete too late to be answered."""
        if self._receiving and self._flow_control is None and not self._transport.is_closing():
            self._reject(503, "this process serves no more")
            self._serve_next()
            self._update_reading()
        else:
            self.close_if_idle()

    def drain(self, drained_ms: float) -> None:
        """Close once idle, `drained_ms` into a drain; past `DRAIN_ACCEPT_MS` reject a partial request."""
        if drained_ms > DRAIN_ACCEPT_MS and self._receiving:
            self.reject_partial_request()
        elif self._had_request or drained_ms > DRAIN_ACCEPT_MS:
            self._closing = True
            self.close_if_idle()

    # Parser callbacks. An exception in one of them would be taken for malformed HTTP.

    def on_message_begin(self) -> None:
        self._feed_body()  # the end of the previous message
        self._receiving = True
        if self._had_request:  # the first request's timeout runs from accept, so its sender can't delay it
            self._phase_start_ms = now_ms()
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")
        elif not self._ignores_input and not self._headers_complete:  # trailers are ignored
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_complete, self._head_complete_ms = True, now_ms()
        if len(self._target) > MAX_HEAD_BYTES:
            self._reject(431, "target too long")
        headers = self._headers
        chunked = b"transfer-encoding" in headers
        if chunked and (headers[b"transfer-encoding"].lower() != b"chunked" or b"content-length" in headers):
            self._reject(400, "the length of the body can't be told")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 18 or int(length) > MAX_BODY_BYTES:
            self._reject(413, "body over 32 MB")
        expect_header = headers.get(b"expect")
        if expect_header is not None and expect_header.lower() != b"100-continue":
            self._reject(417, "this can't be expected")
        if self._ignores_input:
            return
        try:
            self._incoming = self._parse_request(None if chunked else int(length))
        except InvalidRequest as error:
            self._incoming = Response(400, str(error).encode())
        if isinstance(self._incoming, Response) and (
            expect_header is not None or int(length) > MAX_BUFFERED_BYTES
        ):
            self._reject(self._incoming.status, self._incoming.body.decode())
        if isinstance(self._incoming, ClientRequest):
            self._body = self._incoming.body
            self._body.on_drained = self._update_reading
            self._awaits_continue = expect_header is not None and self._parser.get_http_version() != "1.0"
            if self._awaits_continue and not self._busy and not self._queue:
                self._send_continue()

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._reject(413, "body over 32 MB")
        elif self._body is not None and not self._ignores_input:
            self._body_chunks.append(body)
        elif isinstance(self._incoming, Response) and self._body_bytes > MAX_BUFFERED_BYTES:
            # The request has failed already, so the rest of its body is not read.
            self._reject(self._incoming.status, self._incoming.body.decode())

    def on_message_complete(self) -> None:
        self._feed_body()
        self._receiving, self._message_complete, self._had_request = False, True, True
        if self._ignores_input:
            return
        if not self._parser.should_keep_alive():
            self._closing = self._ignores_input = True
        incoming = self._incoming
        if incoming is None:
            return
        if isinstance(incoming, ClientRequest):
            self._body, body = None, incoming.body
            self._awaits_continue = False
            body.finish()
            if self._active_request is incoming and self._accepted_request is not None:
                self._accepted_request.body_complete()
        if not self._queued:
            self._queued = True
            self._queue.append(incoming)

    def _feed_body(self) -> None:
        """Add received bytes to the body; queue the request early if its body is being streamed."""
        if not self._body_chunks or self._body is None:
            return
        data = b"".join(self._body_chunks)
        self._body_chunks.clear()
        if self._ignores_input:
            return
        self._body.feed(data)
        if self._body.streaming and not self._queued and self._incoming is not None:
            self._queued = True
            self._queue.append(self._incoming)

    # Requests and responses

    def _parse_request(self, length: int | None) -> ClientRequest | Response:
        method, target, headers = self._parser.get_method(), self._target, self._headers
        if not target.startswith(b"/"):  # in absolute form
            _, _, rest = target.partition(b"://")
            target = b"/" + rest.partition(b"/")[2]
        path = target.partition(b"?")[0]
        if path.startswith(RESERVED_PATH_PREFIX):
            return self._frontend.reserved_path_response(path)
        if method not in (b"GET", b"POST"):
            return Response(405, b"only GET and POST are served")
        try:
            id = headers.get(b"x-call-id", b"").decode("ascii")
            cls = unquote(path.decode("ascii").partition("/")[2].partition("/")[0])
            tenant = headers.get(b"x-caller", b"").decode("utf-8") or None
            budget_s = float(headers.get(b"x-budget", b""))
        except ValueError:
            raise InvalidRequest("X-Call-Id, X-Budget, X-Caller or the path can't be read") from None
        if not id:
            raise InvalidRequest("X-Call-Id is missing")
        if not (math.isfinite(budget_s) and 0.0 < budget_s <= MAX_BUDGET_S):
            raise InvalidRequest("X-Budget must be seconds above 0")
        return ClientRequest(
            method, target, id, cls, budget_s * 1000.0, tenant, headers.get(b"x-again") == b"1",
            headers.get(b"idempotency-key"), headers.get(b"content-type"),
            Body(self._frontend.memory, length),
        )  # fmt: skip

    def _send_continue(self) -> None:
        """Ask a client that sent `Expect: 100-continue` for its body."""
        self._awaits_continue = False
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int, reason: str) -> None:
        """Queue an error for the request being received, and ignore all further input."""
        if self._ignores_input:
            return
        self._ignores_input = self._closing = True
        if self._active_request is not None and self._active_request is self._incoming:
            self._reject_active_request(status, reason)
            return
        self._receiving = False
        if self._body is not None:
            self._body.close()
            self._body = None
        if self._queued and self._queue and self._queue[-1] is self._incoming:
            self._queue.pop()
        self._queue.append(Response(status, reason.encode()))

    def _reject_active_request(self, status: int, reason: str) -> None:
        """Call off the active request, the rest of whose body can't be received."""
        accepted, self._accepted_request = self._accepted_request, None
        self._busy = self._receiving = False
        self._active_request = self._body = None
        if accepted is not None:
            accepted.client_disconnected()
        if self._flow_control is not None:
            self.terminate()
        else:
            self._queue.appendleft(Response(status, reason.encode()))

    def _serve_next(self) -> None:
        while (
            self._queue and not self._busy and not self._writing_paused and not self._transport.is_closing()
        ):
            queued = self._queue.popleft()
            if isinstance(queued, ClientRequest):
                self._dispatch(queued)
            else:
                self._write_response(queued)
        awaits_continue = self._awaits_continue and not self._lingering and not self._transport.is_closing()
        if awaits_continue and not self._busy and not self._queue:
            self._send_continue()

    def _dispatch(self, request: ClientRequest) -> None:
        if self._frontend.refuses_requests():
            self._frontend.on_refused(request.cls)
            request.body.close()
            return self._write_response(Response(503, b"draining"))
        self._busy, self._active_request = True, request
        try:
            accepted = self._frontend.accept(request, self)
        except InvalidRequest as error:
            request.body.close()
            return self.answer(Response(400, str(error).encode()))
        if self._busy:  # it may have been answered at once
            self._accepted_request = accepted

    def _finish_exchange(self) -> bool:
        """Clear the active request; return whether it was answered before all of it was received."""
        early = self._receiving and self._active_request is self._incoming
        self._accepted_request = self._active_request = self._flow_control = None
        self._busy = False
        if early:  # the rest of the request is discarded, and the connection closes after this response
            self._receiving, self._body = False, None
        return early

    def answer(self, response: Response) -> None:
        """Send a complete response to the active request."""
        early = self._finish_exchange()
        if self._transport.is_closing():
            return
        if early:
            self._transport.write(encode_response(response, close=True))
            self._start_lingering_close()
        else:
            self._write_response(response)
            self._serve_next()
            self._update_reading()

    def start_response(
        self, content_type: bytes | None, length: int | None, flow_control: FlowControl
    ) -> None:
        """Start a streamed response with status 200."""
        self._flow_control = flow_control
        is_http_1_0 = self._parser.get_http_version() == "1.0"
        self._chunked = length is None and not is_http_1_0
        if (length is None and is_http_1_0) or (self._receiving and self._active_request is self._incoming):
            self._closing = True
        lines = ["HTTP/1.1 200 OK\r\n"]
        if content_type is not None:
            lines.append(f"Content-Type: {content_type.decode('latin-1')}\r\n")
        self._closing = self._closing or self._frontend.closes_after_response()
        if self._closing and not self._queue:
            lines.append("Connection: close\r\n")
        if length is not None:
            lines.append(f"Content-Length: {length}\r\n")
        elif self._chunked:
            lines.append("Transfer-Encoding: chunked\r\n")
        self._transport.write("".join((*lines, "\r\n")).encode("latin-1"))

    def forward_body(self, data: bytes) -> None:
        """Send a part of the streamed response."""
        if not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """End the streamed response, which is complete."""
        if self._chunked and not self._transport.is_closing():
            self._transport.write(b"0\r\n\r\n")
        early = self._finish_exchange()
        if self._transport.is_closing():
            return
        if early or (self._closing and not self._queue):
            self._start_lingering_close()
        else:
            self._phase_start_ms = now_ms()
            self._serve_next()
            self._update_reading()

    def terminate(self) -> None:
        """Reset the connection, as the streamed response can't be completed.

        A plain close would mark the end of a response that has neither a length nor chunks.
        """
        self._finish_exchange()
        self._ignores_input = True
        if not self._transport.is_closing():
            zero_linger = struct.pack("ii", 1, 0)
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, zero_linger
            )
        self._transport.abort()

    def _write_response(self, response: Response) -> None:
        close = (
            (self._closing or self._frontend.closes_after_response())
            and not self._queue
            and not self._receiving
        )
        self._transport.write(encode_response(response, close))
        if close:
            self._start_lingering_close()
        elif not self._receiving:
            self._phase_start_ms = now_ms()


class Frontend:
    """The listening socket and all clients' connections."""

    def __init__(
        self,
        accept: RequestHandler,
        is_serving: Callable[[], bool],
        free_sockets: Callable[[], int],
        has_spare_sockets: Callable[[], bool],
        reclaim_socket: Callable[[], bool],
        on_refused: Callable[[str], None],
        memory: Memory,
    ) -> None:
        self.memory, self.read_buffer = memory, memoryview(bytearray(CHUNK_BYTES))
        self.accept, self.on_refused = accept, on_refused
        self._is_serving, self._free_sockets, self._has_spare_sockets, self._reclaim_socket = (
            is_serving,
            free_sockets,
            has_spare_sockets,
            reclaim_socket,
        )
        self._connections: dict[ClientConnection, None] = {}  # in the order of their accept
        self._server: asyncio.Server | None = None
        self._closing = self._rejecting_requests = False
        # The successor is another process of this node that goes on serving.
        self._stopped_accepting = self._has_successor = False
        self._drain_start_ms: float | None = None
        self._all_closed = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Listen and accept clients; return the address, with the port that port 0 resolved to."""
        return await self._start_server(
            loop, loop.create_server(lambda: ClientConnection(self), *address, backlog=BACKLOG)
        )

    async def accept_from(self, loop: asyncio.AbstractEventLoop, listener: socket.socket) -> Address:
        """Accept clients on a listening socket that other processes may share; return its address."""
        return await self._start_server(
            loop, loop.create_server(lambda: ClientConnection(self), sock=listener, backlog=BACKLOG)
        )

    async def _start_server(
        self, loop: asyncio.AbstractEventLoop, creation: Coroutine[Any, Any, asyncio.Server]
    ) -> Address:
        self._server = server = await creation
        self._sweep(loop)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def stop_accepting(self, has_successor: bool) -> None:
        """Stop accepting connections, and close each open one after its next response."""
        self._stopped_accepting, self._has_successor = True, has_successor
        if self._server is not None:
            self._server.close()

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)
        now = now_ms()
        # Idle clients must not use up the sockets that connections to servers need.
        idle_ms = KEEPALIVE_TIMEOUT_MS if self._has_spare_sockets() else SHORT_KEEPALIVE_TIMEOUT_MS
        drained_ms = now - self._drain_start_ms if self._drain_start_ms is not None else 0.0
        for connection in list(self._connections):
            connection.check_timeouts(now, idle_ms)
            if drained_ms > DRAIN_CLOSE_DELAY_MS:
                connection.drain(drained_ms)

    def count(self) -> int:
        """Return the number of open client connections."""
        return len(self._connections)

    def reserved_path_response(self, path: bytes) -> Response:
        """Respond to a path that the node serves itself."""
        if path != READY_PATH:
            return Response(404, b"no such path")
        # Not 503: a client might count the status of this health check as a refused request. On a kept-alive
        # connection the answer is for the whole node, whose successor process accepts already.
        ready = self.ready() or (self._has_successor and self._is_serving())
        return Response(200, b"ready") if ready else Response(500, b"not ready")

    def ready(self) -> bool:
        """Return whether clients should connect to this process."""
        listening = self._server is not None and not self._stopped_accepting and not self._closing
        return self._is_serving() and listening and not self.draining()

    def closes_after_response(self) -> bool:
        """Return whether each connection closes after its next response."""
        return self._stopped_accepting or self.draining()

    def draining(self) -> bool:
        """Return whether a drain is in progress."""
        return self._drain_start_ms is not None

    def refuses_requests(self) -> bool:
        """Return whether new requests are refused, late in a drain or in a shutdown."""
        return self._rejecting_requests or (
            self._drain_start_ms is not None and now_ms() - self._drain_start_ms > DRAIN_ACCEPT_MS
        )

    def quiesce(self) -> None:
        """Start a drain, unless one is in progress; the listening socket stays open."""
        if self._drain_start_ms is None:
            self._drain_start_ms = now_ms()

    def resume(self) -> None:
        """End the drain; connections whose close was announced still close."""
        self._drain_start_ms = None

    def on_connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection; if no socket is free, an idle one is closed to make room."""
        self._connections[connection] = None
        if self._closing:
            connection.shut_down()
        elif (
            self._free_sockets() < 0
            and not self._reclaim_socket()
            and self._free_sockets() < -MAX_EXCESS_CONNECTIONS
        ):
            connection.abort()  # running out of file descriptors would crash the process

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)
        if not self._connections:
            self._all_closed.set()

    def _reject_partial_requests(self) -> None:
        self._rejecting_requests = True
        for connection in list(self._connections):
            connection.reject_partial_request()

    def close_idle_connections(self, count: int) -> None:
        """Close up to `count` idle connections."""
        while count > 0 and self.close_idle_connection():
            count -= 1

    def close_idle_connection(self, silent: bool = False) -> bool:
        """Close an idle connection to free its socket; return whether there was one.

        The oldest of those that never had a request goes first. Unless only these may be closed (`silent`),
        connections that have had a request come next and new ones last, as a first request may be in transit.
        """
        now = now_ms()
        newest = next(reversed(self._connections), None)
        ranks: list[Callable[[ClientConnection], bool]] = [lambda connection: connection.is_unused(now)]
        if not silent:
            ranks += [ClientConnection.had_request, lambda connection: connection is not newest]
        return any(
            connection.close_if_idle()
            for rank in ranks
            for connection in self._connections
            if rank(connection)
        )

    async def _accept_backlog(self) -> None:
        """Accept the connections in the listen backlog, which closing the listening socket would reset."""
        for _ in range(BACKLOG):
            if self._server is None or not any(
                has_event(listener.fileno()) for listener in self._server.sockets
            ):
                return
            await asyncio.sleep(0)

    async def shut_down(self) -> None:
        """Close the listening socket and idle connections; wait until all requests have been answered."""
        await self._accept_backlog()
        self._closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.shut_down()
        asyncio.get_running_loop().call_later(SHUTDOWN_READ_TIMEOUT_S, self._reject_partial_requests)
        while self._connections:
            self._all_closed.clear()
            await self._all_closed.wait()
