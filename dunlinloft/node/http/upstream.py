"""HTTP client for servers: sends attempts over pooled connections; each ends with exactly one result.

The result tells whether the server may have executed the request, which decides whether it may be retried. A
server executes nothing before the last byte of a request, so an attempt may have run once that was written.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from dunlinloft.balancer.interface import Result
from dunlinloft.node.addresses import Address
from dunlinloft.node.clock import now_ms
from dunlinloft.node.http.bodies import CHUNK_BYTES, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, Body, Memory
from dunlinloft.node.http.sockets import file_descriptor, has_event

MAX_HEAD_BYTES = 16 * 1024
# Share of the servers' idle limit at which a connection is closed: a request that crosses the server's own
# close ends with a reset.
IDLE_LIMIT_FRACTION = 0.5
IDLE_LIMIT_GROWTH = 1.05  # factor per sweep by which a lowered idle limit recovers
MIN_IDLE_LIMIT_MS = 1.0
# A server's close this soon after a response ends that exchange and says nothing of its idle limit.
CLOSE_AFTER_RESPONSE_MS = 50.0
# Idle time before a connection is reused, for a period after the last unsolicited data. A duplicate response
# arrives some milliseconds late, and would be taken for the response to the next request.
REUSE_DELAY_MS = 20.0
REUSE_DELAY_PERIOD_MS = 60_000.0
SWEEP_INTERVAL_S = 1.0  # between checks for stalled and idle connections
REQUEST_STALL_TIMEOUT_MS = 5_000.0  # for a server to read more of a request
RESPONSE_STALL_TIMEOUT_MS = 30_000.0  # for a server to send more of a streamed response
BUFFERING_TIMEOUT_S = 0.1  # for a response of unknown length to complete, before it is streamed


@dataclass(slots=True)
class ServerResponse:
    """A server's response; the body of a streamed one is not included."""

    status: int
    body: bytes
    content_type: bytes | None
    load_report: dict[str, float] | None
    length: int | None = None  # of a streamed body; None: unknown


class AttemptOwner(Protocol):
    """The sender of an attempt, which is notified of its progress; `attempt_ended` is called once, last."""

    def may_send(self) -> bool:
        """Return whether to send the attempt still; called when its connection is established."""

    def response_started(self, response: ServerResponse, flow_control: FlowControl) -> None:
        """Start forwarding a streamed response; from now on the request can't be retried."""

    def forward_body(self, data: bytes) -> None:
        """Forward a part of the streamed body."""

    def attempt_ended(self, result: Result, response: ServerResponse | None) -> None:
        """Take the attempt's result."""


class FlowControl(Protocol):
    """Pauses and resumes the source of a streamed response."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class _NullOwner:
    def may_send(self) -> bool:
        return False

    def response_started(self, response: ServerResponse, flow_control: FlowControl) -> None:
        pass

    def forward_body(self, data: bytes) -> None:
        pass

    def attempt_ended(self, result: Result, response: ServerResponse | None) -> None:
        pass


NULL_OWNER = _NullOwner()


class Attempt:
    """One try of a request at one server; reports its result exactly once."""

    __slots__ = (
        "_cancel_io", "_send_deadline_ms", "_send_timer", "_timeout_timer",
        "body", "chunked", "finished", "head", "owner", "streaming", "written",
    )  # fmt: skip

    def __init__(self, head: bytes, body: Body, chunked: bool, owner: AttemptOwner) -> None:
        self.head, self.body, self.chunked, self.owner = head, body, chunked, owner
        self.written = self.finished = False
        self.streaming = False  # its response is being forwarded as it arrives
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self._send_deadline_ms = math.inf
        self._cancel_io: Callable[[], object] | None = None

    def set_timeout_timer(self, timer: asyncio.TimerHandle) -> None:
        self._timeout_timer = timer

    def set_send_window(self, loop: asyncio.AbstractEventLoop, send_window_ms: float) -> None:
        """Allow sending only within a window: a retry sent later may be executed a second time."""
        self._send_deadline_ms = now_ms() + send_window_ms
        self._send_timer = loop.call_later(max(0.0, send_window_ms) / 1000.0, self._on_send_deadline)

    def is_expired(self) -> bool:
        """Return whether the send window is over; reads the clock, as the timer may be late."""
        return now_ms() >= self._send_deadline_ms

    def _on_send_deadline(self) -> None:
        if not self.written:  # the server executes nothing before the last byte
            self.terminate(Result.NOT_SENT)

    def set_cancel_io(self, cancel_io: Callable[[], object]) -> None:
        """Set what stops the attempt's connect or closes its connection."""
        self._cancel_io = cancel_io

    def start_streaming(self, response: ServerResponse, flow_control: FlowControl) -> None:
        """Start forwarding the response as it arrives, from now on without a timeout."""
        self.streaming = True
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self.owner.response_started(response, flow_control)

    def end(self, result: Result, response: ServerResponse | None = None) -> None:
        """Report the result, unless one was reported before."""
        if self.finished:
            return
        self.finished, self._cancel_io = True, None
        for timer in (self._timeout_timer, self._send_timer):
            if timer is not None:
                timer.cancel()
        self.body.on_data = _ignore
        # Breaks a reference cycle, which would last until a full garbage collection.
        owner, self.owner = self.owner, NULL_OWNER
        owner.attempt_ended(result, response)

    def terminate(self, result: Result) -> None:
        """Stop the attempt and report the result; the closed connection tells the server."""
        if not self.finished:
            cancel_io = self._cancel_io
            if cancel_io is not None:
                cancel_io()
            self.end(result)

    def on_timeout(self) -> None:
        # The server executes nothing before the last byte.
        self.terminate(Result.TIMEOUT if self.written else Result.UNREACHABLE)


def _ignore() -> None:
    pass


def parse_load_report(text: bytes) -> dict[str, float] | None:
    """Parse a load report; return None if it is malformed. Negative values, which are noise, become 0."""
    try:
        pairs = [part.split("=") for part in text.decode("ascii").split(",")]
        load_report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, load_report.values())):
        return None
    return {name: max(0.0, value) for name, value in load_report.items()}


class ServerConnection(asyncio.BufferedProtocol):
    """A connection to a server, used by one attempt at a time."""

    def __init__(self, pool: Upstream, server: int, address: Address) -> None:
        self.server, self.address, self.idle_since_ms = server, address, 0.0
        self._pool = pool
        self._idle_before_ms: float | None = None  # before the current attempt; None: not used before
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        self.is_new = True  # not used by any attempt yet
        self._writing_paused = self._lost = self._closed = False
        self._reading_paused = False  # while the client reads too slowly
        self._sent_bytes = 0  # of the request body
        self._request_written = True  # to the transport, which may still buffer a part
        self._last_progress_ms = 0.0
        self._buffering_timer: asyncio.TimerHandle | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._body_bytes = self._buffered_bytes = self._head_bytes = self._status = 0
        self._content_type: bytes | None = None
        self._load_report: dict[str, float] | None = None
        self._length: int | None = None
        self._rejected = self._response_complete = self._in_body = self._invalid = self._keep_alive = (
            self._chunked
        ) = False

    # Transport events

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        # With a limit of 0 the transport writes at once and calls `pause_writing` while anything is left in
        # its buffer, so it is always known whether a request is fully written.
        self._transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        self._writing_paused, self._last_progress_ms = True, now_ms()

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._attempt is not None:
            self._write_body()

    def _mark_written(self, attempt: Attempt) -> None:
        """Note that the last byte was written: from now on the request may be executed."""
        if not attempt.written:
            attempt.written = True
            self._pool.on_request_written()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._pool.read_buffer  # shared: data is parsed before any connection's next read

    def buffer_updated(self, nbytes: int) -> None:
        if self._attempt is None:  # unsolicited: the next response could belong to another request
            self._pool.on_unsolicited_data()
            return self.close()
        self._last_progress_ms = now_ms()
        try:
            if not self._in_body:
                self._head_bytes += nbytes
            self._parser.feed_data(self._pool.read_buffer[:nbytes])
        except httptools.HttpParserUpgrade:
            self._invalid = True
        except httptools.HttpParserError:
            self._invalid = self._invalid or not self._response_complete
            self._on_excess_data()
        self._process_input()

    def _process_input(self) -> None:
        """Forward the parsed data, finish the attempt, or wait for more data."""
        attempt = self._attempt
        if attempt is None:
            return
        if self._invalid or (
            not self._in_body and not self._response_complete and self._head_bytes > MAX_HEAD_BYTES
        ):
            return self._end(Result.RESET if attempt.streaming else Result.ERROR, reuse=False)
        if not attempt.streaming and self._in_body and not self._response_complete and self._status == 200:
            if (
                self._body_bytes > MAX_BUFFERED_BYTES
                or (self._length or 0) > MAX_BUFFERED_BYTES
                or self._pool.memory.is_exhausted()
            ):
                self._start_streaming()
            elif self._length is None and self._buffering_timer is None:
                self._buffering_timer = self._pool.loop.call_later(
                    BUFFERING_TIMEOUT_S, self._on_buffering_timeout
                )
        if attempt.streaming and self._body:
            data = self._take_body()
            attempt.owner.forward_body(data)
        if self._response_complete and self._attempt is attempt:
            self._finish_response()

    def _on_buffering_timeout(self) -> None:
        if self._attempt is not None and not self._response_complete and not self._attempt.streaming:
            self._start_streaming()
            self._process_input()

    def _start_streaming(self) -> None:
        assert self._attempt is not None
        self._attempt.start_streaming(
            ServerResponse(self._status, b"", self._content_type, self._load_report, self._length), self
        )

    def _take_body(self) -> bytes:
        """Return the buffered part of the body and release its memory."""
        data = b"".join(self._body)
        self._body.clear()
        self._pool.memory.used_bytes -= self._buffered_bytes
        self._buffered_bytes = 0
        return data

    def pause(self) -> None:
        """Pause reading until the client has read what was forwarded."""
        if not self._reading_paused and not self._lost and not self._transport.is_closing():
            self._reading_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._reading_paused:
            self._reading_paused, self._last_progress_ms = False, now_ms()
            if not self._lost and not self._transport.is_closing():
                self._transport.resume_reading()

    def eof_received(self) -> None:
        # A response with neither a length nor chunks ends with the connection.
        if self._in_body and not self._response_complete and self._length is None and not self._chunked:
            self._response_complete, self._keep_alive = True, False
            self._process_input()
        return None  # closes the transport; `connection_lost` ends the attempt

    def connection_lost(self, exc: Exception | None) -> None:
        closed_here, self._lost = self._closed, True
        self._pool.unregister(self)
        idled_ms = now_ms() - self.idle_since_ms
        if self._attempt is None and not closed_here and idled_ms > CLOSE_AFTER_RESPONSE_MS:
            self._pool.on_early_close(self.server, idled_ms)
        elif self._attempt is not None and self._idle_before_ms is not None and not self._head_bytes:
            self._pool.on_early_close(self.server, self._idle_before_ms)
        if self._attempt is not None:
            self._end(Result.RESET if self._attempt.written else Result.UNREACHABLE, reuse=False)
        del self._parser  # breaks a reference cycle, which would last until a full garbage collection

    def close(self) -> None:
        """Close at once, even in the middle of an attempt."""
        self._pool.unregister(self)
        self._detach_attempt()
        self._closed = True
        self._transport.abort()

    def check_stall(self, now: float) -> None:
        """Terminate an attempt that the server has stalled for too long."""
        attempt, waited_ms = self._attempt, now - self._last_progress_ms
        if attempt is None:
            return
        if (
            self._writing_paused
            and not attempt.written
            and not attempt.body.is_replayable()
            and waited_ms > REQUEST_STALL_TIMEOUT_MS
        ):
            attempt.terminate(Result.UNREACHABLE)
        elif attempt.streaming and not self._reading_paused and waited_ms > RESPONSE_STALL_TIMEOUT_MS:
            attempt.terminate(Result.RESET)

    # Attempts

    def is_usable(self) -> bool:
        """Return whether a request may be written: the connection is open and has no unread input.

        The socket itself is polled, as the event loop reads once per iteration. A request written after an
        unnoticed close or stray byte would end with a reset, and might have been executed.
        """
        if self._lost or self._transport.is_closing():
            return False
        return not has_event(file_descriptor(self._transport))

    def start_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its response."""
        self._attempt, self._sent_bytes, self._request_written = attempt, 0, False
        self.is_new = False
        self._last_progress_ms = now_ms()
        self._idle_before_ms = self._last_progress_ms - self.idle_since_ms if self.idle_since_ms else None
        self._reset_response()
        attempt.set_cancel_io(self.close)
        body = attempt.body
        if body.complete and not attempt.chunked:  # head and body in one write
            self._sent_bytes, self._request_written = body.size, True
            self._transport.write(attempt.head + body.data_from(0))
            body.on_forwarded()
        else:
            self._transport.write(attempt.head)
            body.on_data = self._write_body
        if self._transport.is_closing():  # the write failed
            self._end(Result.UNREACHABLE, reuse=False)
        else:
            self._write_body()

    def _write_body(self) -> None:
        """Write what was received of the body, as fast as the server reads it."""
        attempt = self._attempt
        if attempt is None or attempt.finished or self._writing_paused:
            return
        body = attempt.body
        while not self._request_written and not self._writing_paused and not self._transport.is_closing():
            data = body.data_from(self._sent_bytes) if self._sent_bytes < body.size else b""
            self._request_written = body.complete and self._sent_bytes + len(data) == body.size
            self._sent_bytes += len(data)
            if attempt.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
                data += b"0\r\n\r\n" if self._request_written else b""
            if not data:
                break
            self._last_progress_ms = now_ms()
            self._transport.write(data)
            body.on_forwarded()
        if self._request_written and not self._writing_paused and not self._transport.is_closing():
            self._mark_written(attempt)

    def _finish_response(self) -> None:
        assert self._attempt is not None
        body = b"" if self._attempt.streaming else self._take_body()
        response = ServerResponse(self._status, body, self._content_type, self._load_report)
        if self._status == 200:
            result = Result.SERVED
        else:
            refused = self._status in (503, 504) and self._rejected
            result = Result.REJECTED if refused else Result.ERROR
        self._end(result, self._keep_alive and self._attempt.written, response)

    def _detach_attempt(self) -> Attempt | None:
        """Detach the current attempt and return it."""
        attempt, self._attempt = self._attempt, None
        self._take_body()
        if attempt is not None:
            attempt.body.on_data = _ignore
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
            self._buffering_timer = None
        return attempt

    def _end(self, result: Result, reuse: bool, response: ServerResponse | None = None) -> None:
        attempt = self._detach_attempt()
        self.resume()
        if reuse and not self._writing_paused and self.is_usable():
            self._pool.release(self)  # before reporting: an attempt that the result triggers can use it
        else:
            self.close()
        if attempt is not None:
            attempt.end(result, response)

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self._response_complete:
            self._on_excess_data()

    def _on_excess_data(self) -> None:
        """Prevent reuse of a connection that sent more than the response."""
        self._keep_alive = False
        if self._response_complete:
            self._pool.on_unsolicited_data()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._response_complete or self._in_body:  # trailers are ignored
            return
        match name.lower():
            case b"content-length":
                self._length = int(value)
                self._invalid = self._invalid or self._length > MAX_BODY_BYTES
            case b"transfer-encoding":
                self._chunked = True
                self._invalid = self._invalid or value.strip().lower() != b"chunked"
            case b"content-type":
                self._content_type = value
            case b"x-rejected":
                self._rejected = value.strip() == b"1"
            case b"x-load-report":
                self._load_report = parse_load_report(value)

    def on_headers_complete(self) -> None:
        if not self._response_complete:
            self._status, self._in_body = self._parser.get_status_code(), True

    def on_body(self, body: bytes) -> None:
        if self._response_complete or self._invalid:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._invalid = True
        elif self._status == 200 or self._body_bytes <= MAX_BUFFERED_BYTES:
            # The rest of a long error response is not used.
            self._body.append(body)
            self._buffered_bytes += len(body)
            self._pool.memory.used_bytes += len(body)

    def on_message_complete(self) -> None:
        if self._response_complete:
            return
        if 100 <= self._status < 200:  # an interim response: the final one follows
            self._in_body, self._rejected, self._load_report, self._length = False, False, None, None
            self._head_bytes = 0
            return
        self._response_complete, self._keep_alive = True, self._parser.should_keep_alive()


class Upstream:
    """The pool of connections to all servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        free_sockets: Callable[[], int],
        reclaim_socket: Callable[[], bool],
        on_request_written: Callable[[], None],
        memory: Memory,
    ) -> None:
        self.loop, self._free_sockets, self._reclaim_socket = loop, free_sockets, reclaim_socket
        self.on_request_written, self.memory = on_request_written, memory
        self.read_buffer = memoryview(bytearray(CHUNK_BYTES))
        self.configure_timeouts(connect_timeout_ms, keepalive_ms)
        self._learned_idle_limits_ms: dict[int, float] = {}  # of servers that closed earlier
        self._idle: dict[int, list[ServerConnection]] = {}
        self._connections: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._reuse_delay_until_ms = -math.inf
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def on_unsolicited_data(self) -> None:
        """Delay the reuse of connections for a while, as a server sent more than was asked for."""
        self._reuse_delay_until_ms = now_ms() + REUSE_DELAY_PERIOD_MS

    def configure_timeouts(self, connect_timeout_ms: float, keepalive_ms: float) -> None:
        """Apply the configured connect timeout and the servers' idle limit."""
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._idle_limit_ms = keepalive_ms * IDLE_LIMIT_FRACTION

    def count(self) -> int:
        """Return the number of sockets in use, including those that are being connected."""
        return len(self._connections) + len(self._connecting)

    def send(
        self,
        server: int,
        address: Address,
        head: bytes,
        body: Body,
        chunked: bool,
        timeout_ms: float,
        owner: AttemptOwner,
        send_window_ms: float = math.inf,
    ) -> Attempt:
        """Start an attempt; it may end before this returns. Its timeout starts once its body is complete.

        A request that is not fully written within `send_window_ms` is never completed.
        """
        attempt = Attempt(head, body, chunked, owner)
        if send_window_ms < math.inf:
            attempt.set_send_window(self.loop, send_window_ms)
        if body.complete:
            self.limit(attempt, timeout_ms)
        idle = self._idle.get(server, [])
        while (index := self._find_reusable(idle)) is not None:
            connection = idle.pop(index)
            idled_ms = now_ms() - connection.idle_since_ms
            if not connection.is_usable():
                if idled_ms > CLOSE_AFTER_RESPONSE_MS:
                    self.on_early_close(server, idled_ms)
            elif connection.address == address and idled_ms <= self._idle_limit(server):
                connection.start_attempt(attempt)
                return attempt
            connection.close()
        if self._free_sockets() <= 0 and not self._reclaim_socket():
            attempt.end(Result.UNREACHABLE)
            return attempt
        connecting = self.loop.create_task(self._connect(attempt, server, address))
        self._connecting.add(connecting)
        connecting.add_done_callback(self._connecting.discard)
        attempt.set_cancel_io(connecting.cancel)
        return attempt

    def _find_reusable(self, idle: list[ServerConnection]) -> int | None:
        """Return the index of the idle connection to use, if any.

        The most recently used one comes first, so that the others reach their idle limit. While servers send
        duplicate responses, a connection is not reused at once: the duplicate would be taken for the response
        to the next request.
        """
        now = now_ms()
        before = now - REUSE_DELAY_MS if now < self._reuse_delay_until_ms else now
        for n in reversed(range(len(idle))):
            if idle[n].is_new or idle[n].idle_since_ms <= before:
                return n
        return None

    def limit(self, attempt: Attempt, timeout_ms: float) -> None:
        """Set an attempt's timeout, which no longer applies once its response is streamed."""
        if not attempt.finished and not attempt.streaming:
            attempt.set_timeout_timer(self.loop.call_later(max(0.0, timeout_ms) / 1000.0, attempt.on_timeout))

    async def _connect(self, attempt: Attempt, server: int, address: Address) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await self.loop.create_connection(
                    lambda: ServerConnection(self, server, address), *address
                )
        except (OSError, TimeoutError):
            return attempt.end(Result.UNREACHABLE)
        if not connection.is_usable():  # established and closed at once
            return attempt.end(Result.UNREACHABLE)
        self._connections.add(connection)
        # Meanwhile the request may have ended, or its server may have left service.
        if attempt.finished or attempt.is_expired() or not attempt.owner.may_send():
            self.release(connection)
            attempt.end(Result.NOT_SENT)
        else:
            connection.start_attempt(attempt)

    def on_early_close(self, server: int, idled_ms: float) -> None:
        """Lower a server's idle limit, as it closed a connection that was idle for `idled_ms`.

        The configured limit is only an upper bound: servers and middleboxes also close sooner. A request
        written at that moment ends with a reset and may have been executed, which costs far more than a
        handshake.
        """
        self._learned_idle_limits_ms[server] = max(
            MIN_IDLE_LIMIT_MS, min(self._idle_limit(server), IDLE_LIMIT_FRACTION * idled_ms)
        )

    def _idle_limit(self, server: int) -> float:
        return self._learned_idle_limits_ms.get(server, self._idle_limit_ms)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool for the next attempt."""
        connection.idle_since_ms = now_ms()
        self._idle.setdefault(connection.server, []).append(connection)

    def unregister(self, connection: ServerConnection) -> None:
        """Remove a connection from the pool."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.server)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(server, []):
            connection.close()

    def forget_server(self, server: int) -> None:
        """Drop the state of a removed server: what it closed at its end doesn't apply to its successor."""
        self.close_idle(server)
        self._learned_idle_limits_ms.pop(server, None)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        oldest = min((idle[0] for idle in self._idle.values() if idle), key=_idle_since, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = now_ms()
        for connection in list(self._connections):
            connection.check_stall(now)
        raised = {
            server: limit_ms * IDLE_LIMIT_GROWTH for server, limit_ms in self._learned_idle_limits_ms.items()
        }
        self._learned_idle_limits_ms = {
            server: ms for server, ms in raised.items() if ms < self._idle_limit_ms
        }
        for server, idle in list(self._idle.items()):
            before = now_ms() - self._idle_limit(server)
            while idle and idle[0].idle_since_ms < before:
                idle[0].close()
            if not idle:
                del self._idle[server]


def _idle_since(connection: ServerConnection) -> float:
    return connection.idle_since_ms
