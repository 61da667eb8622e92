"""The callers' side: HTTP in, exactly one answer to each request out.

Whatever a caller sends or fails to send, only its own connection suffers. Requests that can't be
served are turned away here as errors, never as refusals (429, 503): those are the module's to give.
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
from dunlinloft.node.http.sockets import descriptor, shows
from dunlinloft.node.http.upstream import MAX_HEAD_BYTES, FlowControl

BACKLOG = 1024
MAX_BUDGET_S = 3600.0  # a caller that says it waits longer has made a mistake
READ_TIMEOUT_MS = (
    2_700.0  # for a head to come whole, the first from when its connection came: 3 s are allowed
)
READ_STALL_TIMEOUT_MS = 1_000.0  # and for a body to go on, once that time is over,
MIN_BODY_BYTES_PER_S = 8_000.0  # at no fewer bytes a second
WRITE_STALL_TIMEOUT_MS = 20_000.0  # for a caller to take more of an answer
KEEPALIVE_TIMEOUT_MS = (
    60_000.0  # between requests: a caller that has gone without a word holds no socket for ever
)
SHORT_KEEPALIVE_TIMEOUT_MS = 2_000.0  # and while sockets are short
FIRST_REQUEST_GRACE_MS = 100.0  # after which a newcomer that asked nothing goes first where sockets are short
CLOSE_TIMEOUT_MS = 2_000.0  # for a peer to take more of the answer that its connection ends with
LINGER_TIMEOUT_MS = 3_000.0  # for a peer to send the rest of a body that was answered before its end
SWEEP_INTERVAL_S = 0.1  # how often connections are looked at for these
DRAIN_CLOSE_DELAY_MS = (
    450.0  # after the word to drain: connections go on coming for up to 0.3 s, and then none does
)
SHUTDOWN_READ_TIMEOUT_S = (
    0.2  # from when callers are shut down: what is not whole by then could outlive this process
)
MAX_EXCESS_CONNECTIONS = (
    8  # callers so many more than there is room for may still come, when all others are busy
)
DRAIN_ACCEPT_MS = (
    1_900.0  # and from then on nothing new is taken: by 4 s no request of the last 2 s may be held
)
READY_PATH = b"/-/ready"
RESERVED_PATH_PREFIX = b"/-/"


@dataclass(slots=True)
class ClientRequest:
    """A request as it came in, with what must go on unchanged."""

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
    """What a caller is told."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None


class AcceptedRequest(Protocol):
    """What the frontend keeps of a request that the node has taken."""

    def body_complete(self) -> None:
        """Its body, which was still coming when it was taken, is there."""

    def client_disconnected(self) -> None:
        """Nobody waits any more."""


class ResponseWriter(Protocol):
    """How the node answers: with a reply at once, or with one that flows."""

    def is_disconnected(self) -> bool:
        """Whether nobody waits any more, though the loop may not have heard that yet."""

    def answer(self, reply: Response) -> None: ...

    def start_response(self, content_type: bytes | None, length: int | None, flow: FlowControl) -> None: ...

    def forward_body(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def terminate(self) -> None:
        """End an answer that flows in a way that shows it is not whole."""


class InvalidRequest(Exception):
    """A request that can't be taken; the text tells the caller why."""


RequestHandler = Callable[[ClientRequest, ResponseWriter], AcceptedRequest]


def render(reply: Response, close: bool) -> bytes:
    """An answer as one piece of bytes, to be written at once."""
    lines = [f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\n"]
    if reply.content_type is not None:
        lines.append(f"Content-Type: {reply.content_type.decode('latin-1')}\r\n")
    if reply.retry_after_s is not None:
        lines.append(f"Retry-After: {reply.retry_after_s:.3f}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append(f"Content-Length: {len(reply.body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + reply.body


class ClientConnection(asyncio.BufferedProtocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[ClientRequest | Response] = deque()  # read and not yet begun
        self._owed: AcceptedRequest | None = None  # the one that the node has
        self._taken: ClientRequest | None = None  # and what it came as
        self._flow: FlowControl | None = None  # where the answer comes from that is passed on
        self._chunks = False  # whether it goes out in chunks
        self._busy = self._closing = self._deaf = False
        self._reading = self._completed = False
        self._reading_paused = self._writing_paused = False  # reading waits; writing does
        self._lingers = False  # its last answer is out: what still comes is dropped
        self._asked = False  # a whole request has come
        self._since_ms = 0.0  # when what is waited for began: a request, a pause between two, or the close
        self._moved_ms = self._head_ms = 0.0  # when bytes last came or went, and a head was whole
        self._left = 0  # to be written when last looked
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._came: list[bytes] = []  # of the body, since the last look
        self._incoming: ClientRequest | Response | None = None  # what the head asks for
        self._body: Body | None = None
        self._head = self._fields = self._size = 0  # bytes: before the head is whole, of headers, of the body
        self._headers_done = self._queued = self._continue = False

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._transport.set_write_buffer_limits(CHUNK_BYTES)
        self._since_ms = self._moved_ms = now_ms()
        self._frontend.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._frontend.buffer  # one for all: what is read is worked through before the next read

    def buffer_updated(self, nbytes: int) -> None:
        self._moved_ms = now_ms()
        if self._deaf:
            return
        self._completed = False
        try:
            self._parser.feed_data(self._frontend.buffer[:nbytes])
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed HTTP")
        # The parser hands out a header once it is whole: one without end shows only in what was fed.
        if not self._headers_done and not self._completed:
            self._head += nbytes
            if self._head > MAX_HEAD_BYTES:
                self._reject(431, "headers too large")
        self._feed()
        self._serve_next()
        self._read_on()

    def eof_received(self) -> None:
        # A caller that ends its sending has gone away. What is still to be written to it may keep the
        # connection for a while; what it asked for ends now.
        self._gone_away()
        return None  # closes

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone_away()
        self._frontend.closed(self)
        self._taken = self._incoming = self._body = self._flow = None
        del self._parser  # it knows its caller: a circle would wait for a full collection

    def _gone_away(self) -> None:
        """Nobody waits any more: drop what was not begun, and have the node end what was."""
        self._deaf = True
        for item in self._queue:
            if isinstance(item, ClientRequest):
                item.body.close()
        self._queue.clear()
        if self._body is not None and self._incoming is not self._taken:
            self._body.close()
        owed, self._owed = self._owed, None
        if owed is not None:
            owed.client_disconnected()

    def is_disconnected(self) -> bool:
        """Whether the peer has gone, asked of the socket itself.

        While its connection is not being read the loop hears of no end, and while the loop is late
        it has not heard of it yet.
        """
        if not self._transport.is_closing():
            if not shows(descriptor(self._transport), select.POLLRDHUP):
                return False
            self.abort()
        return True

    def pause_writing(self) -> None:
        self._writing_paused, self._moved_ms = True, now_ms()
        if self._flow is not None:
            self._flow.pause()

    def resume_writing(self) -> None:
        self._writing_paused, self._moved_ms = False, now_ms()
        if self._flow is not None:
            self._flow.resume()
        elif not self._transport.is_closing():
            self._serve_next()
            self._read_on()

    def _read_on(self) -> None:
        """Read as long as there is a use for it: bodies no faster than they flow, and one request ahead."""
        if self._transport.is_closing():
            return
        waits = self._busy and bool(self._queue)
        waits = not self._deaf and (waits or (self._body is not None and self._body.is_full()))
        if waits and not self._reading_paused:
            self._transport.pause_reading()
        elif self._reading_paused and not waits:
            self._moved_ms = now_ms()
            self._transport.resume_reading()
        self._reading_paused = waits

    def idle(self) -> bool:
        """Nothing is owed on it, and nothing is half read."""
        return not self._busy and not self._reading and not self._queue

    def check_timeouts(self, now: float, idle_ms: float) -> None:
        """Part with a peer that keeps its connection waiting."""
        waited_ms = now - self._since_ms
        if self._reading_paused and self.is_disconnected():
            return
        if self._transport.is_closing() or self._lingers:
            self._check_end(now)
        elif self._writing_paused and now - self._moved_ms > WRITE_STALL_TIMEOUT_MS:
            self._transport.abort()
        elif (
            self._reading and waited_ms > READ_TIMEOUT_MS and not self._reading_paused and self._too_slow(now)
        ):
            if self._busy and self._taken is not self._incoming:
                return
            if self._owed is not None:  # nothing can come of it any more
                owed, self._owed = self._owed, None
                owed.client_disconnected()
                self._busy, self._taken = False, None
            self._reject(408, "the request is not whole")
            self._serve_next()
        elif self._busy:
            return
        elif not self._reading and waited_ms > (idle_ms if self._asked else READ_TIMEOUT_MS):
            self.close_at_rest()

    def _check_end(self, now: float) -> None:
        """Have an end come, however slowly the peer takes its last answer or goes on sending."""
        left, self._left = self._left, self._transport.get_write_buffer_size()
        waited_ms = now - self._since_ms
        if left != self._left:
            self._since_ms = self._moved_ms = now
        elif self._left or self._transport.is_closing():
            if waited_ms > CLOSE_TIMEOUT_MS:
                self._transport.abort()
        elif waited_ms > LINGER_TIMEOUT_MS or now - self._moved_ms > READ_STALL_TIMEOUT_MS:
            self._close()

    def _too_slow(self, now: float) -> bool:
        """Whether the head is late, or the body goes on too slowly."""
        if not self._headers_done:
            return True
        asked = MIN_BODY_BYTES_PER_S * (now - self._head_ms) / 1000.0
        return now - self._moved_ms > READ_STALL_TIMEOUT_MS or self._size < asked

    def _close(self) -> None:
        self._since_ms = now_ms()
        self._transport.close()

    def _linger(self) -> None:
        """End the connection after its last answer, so that the answer reaches its peer.

        A close over unread bytes resets the connection, and what the peer has not had by then is lost.
        So the end is only told at first; what still comes is read and dropped until the peer ends too.
        """
        self._closing = self._deaf = self._lingers = True
        self._since_ms = self._moved_ms = now_ms()
        self._transport.write_eof()
        self._read_on()

    def shut_down(self) -> None:
        """Close after what is under way; at once where the peer has been answered and asks nothing.

        A newcomer's request may be on its way: closed without an answer it would count as refused.
        """
        self._closing = True
        if self._asked:
            self.close_at_rest()

    def close_at_rest(self) -> bool:
        """Close, if nothing is owed and nothing has come; whether that was so."""
        if self._transport.is_closing() or self._lingers or not self.idle() or self._unread():
            return False
        self._close()
        return True

    def asked(self) -> bool:
        """Whether it ever had a whole request."""
        return self._asked

    def silent(self, now: float) -> bool:
        """Whether it has asked nothing for so long that it hardly will."""
        return not self._asked and now - self._since_ms > FIRST_REQUEST_GRACE_MS

    def abort(self) -> None:
        """Close at once, as nobody waits for anything on it."""
        self._deaf = True
        self._transport.abort()

    def _unread(self) -> bool:
        """Whether something has come that the loop has not read yet: that may be a request."""
        return shows(descriptor(self._transport))

    def cut(self) -> None:
        """Refuse what is still coming: it would be whole too late to be answered in its time."""
        if self._reading and self._flow is None and not self._transport.is_closing():
            self._reject(503, "this process serves no more")
            self._serve_next()
            self._read_on()
        else:
            self.close_at_rest()

    def drain(self, drained_ms: float) -> None:
        """Leave a node that drains: once idle, and in the end whatever it is about to send."""
        if drained_ms > DRAIN_ACCEPT_MS and self._reading:
            self.cut()
        elif self._asked or drained_ms > DRAIN_ACCEPT_MS:
            self._closing = True
            self.close_at_rest()

    # The parser's calls. An exception in one of them would count as malformed HTTP.

    def on_message_begin(self) -> None:
        self._feed()  # what came of the message before
        self._reading = True
        if self._asked:  # the first one's time runs from the start: a peer may be slow before it, too
            self._since_ms = now_ms()
        self._start_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += len(name) + len(value)
        if self._fields > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")
        elif not self._deaf and not self._headers_done:  # trailers say nothing that is used
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_done, self._head_ms = True, now_ms()
        if len(self._target) > MAX_HEAD_BYTES:
            self._reject(431, "target too long")
        headers = self._headers
        chunked = b"transfer-encoding" in headers
        if chunked and (headers[b"transfer-encoding"].lower() != b"chunked" or b"content-length" in headers):
            self._reject(400, "the length of the body can't be told")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 18 or int(length) > MAX_BODY_BYTES:
            self._reject(413, "body over 32 MB")
        expected = headers.get(b"expect")
        if expected is not None and expected.lower() != b"100-continue":
            self._reject(417, "this can't be expected")
        if self._deaf:
            return
        try:
            self._incoming = self._message(None if chunked else int(length))
        except InvalidRequest as problem:
            self._incoming = Response(400, str(problem).encode())
        if isinstance(self._incoming, Response) and (
            expected is not None or int(length) > MAX_BUFFERED_BYTES
        ):
            self._reject(self._incoming.status, self._incoming.body.decode())
        if isinstance(self._incoming, ClientRequest):
            self._body = self._incoming.body
            self._body.on_drained = self._read_on
            self._continue = expected is not None and self._parser.get_http_version() != "1.0"
            if self._continue and not self._busy and not self._queue:
                self._go_ahead()

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            self._reject(413, "body over 32 MB")
        elif self._body is not None and not self._deaf:
            self._came.append(body)
        elif isinstance(self._incoming, Response) and self._size > MAX_BUFFERED_BYTES:  # no use in reading on
            self._reject(self._incoming.status, self._incoming.body.decode())

    def on_message_complete(self) -> None:
        self._feed()
        self._reading, self._completed, self._asked = False, True, True
        if self._deaf:
            return
        if not self._parser.should_keep_alive():
            self._closing = self._deaf = True
        item = self._incoming
        if item is None:
            return
        if isinstance(item, ClientRequest):
            self._body, body = None, item.body
            self._continue = False
            body.finish()
            if self._taken is item and self._owed is not None:
                self._owed.body_complete()
        if not self._queued:
            self._queued = True
            self._queue.append(item)

    def _feed(self) -> None:
        """Hand on what has come of a body; a large one is taken before it is whole."""
        if not self._came or self._body is None:
            return
        data = b"".join(self._came)
        self._came.clear()
        if self._deaf:
            return
        self._body.feed(data)
        if self._body.streaming and not self._queued and self._incoming is not None:
            self._queued = True
            self._queue.append(self._incoming)

    # Requests and answers

    def _message(self, length: int | None) -> ClientRequest | Response:
        method, target, headers = self._parser.get_method(), self._target, self._headers
        if not target.startswith(b"/"):  # in absolute form
            _, _, rest = target.partition(b"://")
            target = b"/" + rest.partition(b"/")[2]
        path = target.partition(b"?")[0]
        if path.startswith(RESERVED_PATH_PREFIX):
            return self._frontend.own_path(path)
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

    def _go_ahead(self) -> None:
        """Tell a caller that waits for it to send its body."""
        self._continue = False
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int, why: str) -> None:
        """Answer what can't be read, after what is owed before it, and read no more."""
        if self._deaf:
            return
        self._deaf = self._closing = True
        if self._taken is not None and self._taken is self._incoming:  # the node has begun with it
            self._broken(status, why)
            return
        self._reading = False
        if self._body is not None:
            self._body.close()
            self._body = None
        if self._queued and self._queue and self._queue[-1] is self._incoming:
            self._queue.pop()
        self._queue.append(Response(status, why.encode()))

    def _broken(self, status: int, why: str) -> None:
        """A request that is being passed on can't be read on: call it off."""
        owed, self._owed = self._owed, None
        self._busy = self._reading = False
        self._taken = self._body = None
        if owed is not None:
            owed.client_disconnected()
        if self._flow is not None:
            self.terminate()
        else:
            self._queue.appendleft(Response(status, why.encode()))

    def _serve_next(self) -> None:
        while (
            self._queue and not self._busy and not self._writing_paused and not self._transport.is_closing()
        ):
            item = self._queue.popleft()
            if isinstance(item, ClientRequest):
                self._take(item)
            else:
                self._write(item)
        waits = self._continue and not self._lingers and not self._transport.is_closing()
        if waits and not self._busy and not self._queue:
            self._go_ahead()

    def _take(self, message: ClientRequest) -> None:
        if self._frontend.refusing():
            self._frontend.turned_away(message.cls)
            message.body.close()
            return self._write(Response(503, b"draining"))
        self._busy, self._taken = True, message
        try:
            owed = self._frontend.accept(message, self)
        except InvalidRequest as problem:
            message.body.close()
            return self.answer(Response(400, str(problem).encode()))
        if self._busy:  # it may have been answered at once
            self._owed = owed

    def _ended(self) -> bool:
        """The request that the node had has its answer; whether that came before its end."""
        early = self._reading and self._taken is self._incoming
        self._owed = self._taken = self._flow = None
        self._busy = False
        if early:  # the rest of it is of no use: the connection ends with this answer
            self._reading, self._body = False, None
        return early

    def answer(self, reply: Response) -> None:
        """The node's answer to the request it has."""
        early = self._ended()
        if self._transport.is_closing():
            return
        if early:
            self._transport.write(render(reply, close=True))
            self._linger()
        else:
            self._write(reply)
            self._serve_next()
            self._read_on()

    def start_response(self, content_type: bytes | None, length: int | None, flow: FlowControl) -> None:
        """Pass on an answer as it comes."""
        self._flow = flow
        old = self._parser.get_http_version() == "1.0"
        self._chunks = length is None and not old
        if (length is None and old) or (self._reading and self._taken is self._incoming):
            self._closing = True
        lines = ["HTTP/1.1 200 OK\r\n"]
        if content_type is not None:
            lines.append(f"Content-Type: {content_type.decode('latin-1')}\r\n")
        self._closing = self._closing or self._frontend.parting()
        if self._closing and not self._queue:
            lines.append("Connection: close\r\n")
        if length is not None:
            lines.append(f"Content-Length: {length}\r\n")
        elif self._chunks:
            lines.append("Transfer-Encoding: chunked\r\n")
        self._transport.write("".join((*lines, "\r\n")).encode("latin-1"))

    def forward_body(self, data: bytes) -> None:
        """A part of it."""
        if not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunks else data)

    def finish(self) -> None:
        """It is whole."""
        if self._chunks and not self._transport.is_closing():
            self._transport.write(b"0\r\n\r\n")
        early = self._ended()
        if self._transport.is_closing():
            return
        if early or (self._closing and not self._queue):
            self._linger()
        else:
            self._since_ms = now_ms()
            self._serve_next()
            self._read_on()

    def terminate(self) -> None:
        """It can't be whole any more: the connection breaks, which nobody takes for an end.

        Without a length and without chunks a plain close would be one.
        """
        self._ended()
        self._deaf = True
        if not self._transport.is_closing():
            reset = struct.pack("ii", 1, 0)
            self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self._transport.abort()

    def _write(self, reply: Response) -> None:
        close = (self._closing or self._frontend.parting()) and not self._queue and not self._reading
        self._transport.write(render(reply, close))
        if close:
            self._linger()
        elif not self._reading:
            self._since_ms = now_ms()


class Frontend:
    """The listener and all callers' connections."""

    def __init__(
        self,
        accept: RequestHandler,
        ready: Callable[[], bool],
        room: Callable[[], int],
        plenty: Callable[[], bool],
        make_room: Callable[[], bool],
        turned_away: Callable[[str], None],
        memory: Memory,
    ) -> None:
        self.memory, self.buffer = memory, memoryview(bytearray(CHUNK_BYTES))
        self.accept, self.turned_away = accept, turned_away
        self._ready, self._room, self._plenty, self._make_room = ready, room, plenty, make_room
        self._connections: dict[ClientConnection, None] = {}  # in the order they came
        self._server: asyncio.Server | None = None
        self._closing = self._cut = False
        self._leaving = self._succeeded = False  # it ends soon; another process of this node serves on
        self._drain_ms: float | None = None  # since when it drains
        self._empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept callers from now on; the address, with the port that port 0 stands for."""
        return await self._serve(
            loop, loop.create_server(lambda: ClientConnection(self), *address, backlog=BACKLOG)
        )

    async def accept_from(self, loop: asyncio.AbstractEventLoop, handed: socket.socket) -> Address:
        """Accept callers from now on at a socket that other processes may share."""
        return await self._serve(
            loop, loop.create_server(lambda: ClientConnection(self), sock=handed, backlog=BACKLOG)
        )

    async def _serve(
        self, loop: asyncio.AbstractEventLoop, opening: Coroutine[Any, Any, asyncio.Server]
    ) -> Address:
        self._server = server = await opening
        self._sweep(loop)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def stop_accepting(self, succeeded: bool) -> None:
        """Accept no more, and part with each caller at its next answer."""
        self._leaving, self._succeeded = True, succeeded
        if self._server is not None:
            self._server.close()

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)
        now = now_ms()
        # Idle callers must not take the sockets that connections to servers live by.
        idle_ms = KEEPALIVE_TIMEOUT_MS if self._plenty() else SHORT_KEEPALIVE_TIMEOUT_MS
        drained_ms = now - self._drain_ms if self._drain_ms is not None else 0.0
        for caller in list(self._connections):
            caller.check_timeouts(now, idle_ms)
            if drained_ms > DRAIN_CLOSE_DELAY_MS:
                caller.drain(drained_ms)

    def count(self) -> int:
        """Callers' connections that are open."""
        return len(self._connections)

    def own_path(self, path: bytes) -> Response:
        """Answer for the node itself."""
        if path != READY_PATH:
            return Response(404, b"no such path")
        # Not 503, which would be a refusal: this answers no request, but whoever asks may not know.
        # Asked on a kept connection while a successor accepts, the node as a whole is.
        ready = self.ready() or (self._succeeded and self._ready())
        return Response(200, b"ready") if ready else Response(500, b"not ready")

    def ready(self) -> bool:
        """Whether callers should come to this process."""
        listening = self._server is not None and not self._leaving and not self._closing
        return self._ready() and listening and not self.draining()

    def parting(self) -> bool:
        """Whether answers end their connections."""
        return self._leaving or self.draining()

    def draining(self) -> bool:
        """Whether callers are to leave."""
        return self._drain_ms is not None

    def refusing(self) -> bool:
        """Whether nothing new is taken, so late in a drain or at the end."""
        return self._cut or (self._drain_ms is not None and now_ms() - self._drain_ms > DRAIN_ACCEPT_MS)

    def quiesce(self) -> None:
        """Empty the node, from the first call on; the listener stays."""
        if self._drain_ms is None:
            self._drain_ms = now_ms()

    def resume(self) -> None:
        """End the drain; connections told to close still close."""
        self._drain_ms = None

    def opened(self, caller: ClientConnection) -> None:
        """Count a caller in; with all sockets in use, one that asks nothing has to go for it."""
        self._connections[caller] = None
        if self._closing:
            caller.shut_down()
        elif self._room() < 0 and not self._make_room() and self._room() < -MAX_EXCESS_CONNECTIONS:
            caller.abort()  # nobody's request is worth the crash that too many sockets are

    def closed(self, caller: ClientConnection) -> None:
        """Count a caller out."""
        self._connections.pop(caller, None)
        if not self._connections:
            self._empty.set()

    def _cut_short(self) -> None:
        self._cut = True
        for caller in list(self._connections):
            caller.cut()

    def close_idle_connections(self, count: int) -> None:
        """Part with so many callers that ask nothing."""
        while count > 0 and self.close_idle_connection():
            count -= 1

    def close_idle_connection(self, silent: bool = False) -> bool:
        """Give back the socket of a caller that asks nothing; whether there was one.

        First of those that have been `silent` since they came, the oldest; unless none but those may go,
        then of those that have been answered, and of newcomers last: a request may be on its way.
        """
        now = now_ms()
        newest = next(reversed(self._connections), None)
        ranks: list[Callable[[ClientConnection], bool]] = [lambda caller: caller.silent(now)]
        if not silent:
            ranks += [ClientConnection.asked, lambda caller: caller is not newest]
        return any(caller.close_at_rest() for rank in ranks for caller in self._connections if rank(caller))

    async def _accept_rest(self) -> None:
        """Accept what the machine has accepted already: the listener's close would reset it, unread."""
        for _ in range(BACKLOG):
            if self._server is None or not any(shows(one.fileno()) for one in self._server.sockets):
                return
            await asyncio.sleep(0)

    async def shut_down(self) -> None:
        """Close the listener and what is idle; wait until all that is owed has been answered."""
        await self._accept_rest()
        self._closing = True
        if self._server is not None:
            self._server.close()
        for caller in list(self._connections):
            caller.shut_down()
        asyncio.get_running_loop().call_later(SHUTDOWN_READ_TIMEOUT_S, self._cut_short)
        while self._connections:
            self._empty.clear()
            await self._empty.wait()
