"""Connections to servers: attempts go out on them and end in exactly one outcome each.

What an outcome says about whether the attempt ran decides what may be sent again, so the line
between 'never ran' and 'may have run' is drawn at the last byte written, as the protocol draws it.
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
IDLE_LIMIT_FRACTION = 0.5  # of the servers' idle limit: a request that crosses their close ends as a reset
IDLE_LIMIT_GROWTH = 1.05  # a sweep: how soon idle connections are trusted for longer again
MIN_IDLE_LIMIT_MS = 1.0  # what it grows from
CLOSE_AFTER_RESPONSE_MS = 50.0  # a close that soon after an answer is the server's way to end that exchange
REUSE_DELAY_MS = (
    20.0  # before a connection is used again, while servers are known to send what nobody asked for:
)
REUSE_DELAY_PERIOD_MS = (
    60_000.0  # so long after the last such bytes. A second answer comes some milliseconds late
)
SWEEP_INTERVAL_S = 1.0  # how often connections that have idled too long are looked for
REQUEST_STALL_TIMEOUT_MS = (
    5_000.0  # for a server to take what is written to it, while its request is not out whole
)
RESPONSE_STALL_TIMEOUT_MS = 30_000.0  # for a server to go on with an answer that is being passed on
BUFFERING_TIMEOUT_S = (
    0.1  # for an answer of unknown length to come whole, before what there is of it is passed on
)


@dataclass(slots=True)
class ServerResponse:
    """What a server answered; one that is passed on as it comes has no body here."""

    status: int
    body: bytes
    content_type: bytes | None
    load_report: dict[str, float] | None
    length: int | None = None  # of one that is passed on; None: unknown


class AttemptOwner(Protocol):
    """Who sent an attempt, and hears of it. `ended` comes once, and last."""

    def may_send(self) -> bool:
        """Whether it should still go out: asked when its connection has come up."""

    def response_started(self, answer: ServerResponse, flow: FlowControl) -> None:
        """An answer comes that is passed on: from now on the request is bound to it."""

    def forward_body(self, data: bytes) -> None:
        """A part of it."""

    def attempt_ended(self, result: Result, answer: ServerResponse | None) -> None:
        """The outcome."""


class FlowControl(Protocol):
    """Where an answer comes from that is passed on."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class _Nobody:
    def may_send(self) -> bool:
        return False

    def response_started(self, answer: ServerResponse, flow: FlowControl) -> None:
        pass

    def forward_body(self, data: bytes) -> None:
        pass

    def attempt_ended(self, result: Result, answer: ServerResponse | None) -> None:
        pass


NOBODY = _Nobody()


class Attempt:
    """One copy of a request on its way to one server; reports its outcome exactly once."""

    __slots__ = (
        "_cancel_io", "_expires_ms", "_expiry", "_timer",
        "body", "chunked", "finished", "head", "owner", "streaming", "written",
    )  # fmt: skip

    def __init__(self, head: bytes, body: Body, chunked: bool, owner: AttemptOwner) -> None:
        self.head, self.body, self.chunked, self.owner = head, body, chunked, owner
        self.written = self.finished = False
        self.streaming = False  # whether its answer is being passed on
        self._timer: asyncio.TimerHandle | None = None
        self._expiry: asyncio.TimerHandle | None = None
        self._expires_ms = math.inf  # from then on it may not go out any more
        self._cancel_io: Callable[[], object] | None = None

    def give_up_after(self, timer: asyncio.TimerHandle) -> None:
        self._timer = timer

    def expire_after(self, loop: asyncio.AbstractEventLoop, within_ms: float) -> None:
        """Let it go out no later than that: a repeat beyond its window may run a second time."""
        self._expires_ms = now_ms() + within_ms
        self._expiry = loop.call_later(max(0.0, within_ms) / 1000.0, self._expire)

    def expired(self) -> bool:
        """Whether it is too late to send it; the clock is asked, as timers may come late."""
        return now_ms() >= self._expires_ms

    def _expire(self) -> None:
        if not self.written:  # the server can't have begun, as it waits for the last byte
            self.terminate(Result.NOT_SENT)

    def carried_by(self, cancel_io: Callable[[], object]) -> None:
        """Note what stops the attempt where it is: its dial, or its connection."""
        self._cancel_io = cancel_io

    def begin(self, answer: ServerResponse, flow: FlowControl) -> None:
        """Pass its answer on as it comes: no time-out cuts it off any more."""
        self.streaming = True
        if self._timer is not None:
            self._timer.cancel()
        self.owner.response_started(answer, flow)

    def end(self, result: Result, answer: ServerResponse | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.finished:
            return
        self.finished, self._cancel_io = True, None
        for timer in (self._timer, self._expiry):
            if timer is not None:
                timer.cancel()
        self.body.on_data = _nothing
        # What they remember leads back here: a circle would wait for a full collection.
        owner, self.owner = self.owner, NOBODY
        owner.attempt_ended(result, answer)

    def terminate(self, result: Result) -> None:
        """Stop waiting: closing the connection is what tells the server."""
        if not self.finished:
            cancel_io = self._cancel_io
            if cancel_io is not None:
                cancel_io()
            self.end(result)

    def timed_out(self) -> None:
        # Not all of it written: the server can't have begun, as it waits for the last byte.
        self.terminate(Result.TIMEOUT if self.written else Result.UNREACHABLE)


def _nothing() -> None:
    pass


def parse_load_report(text: bytes) -> dict[str, float] | None:
    """A load report; one that can't be read counts as none, negative values (they are noisy) as 0."""
    try:
        pairs = [part.split("=") for part in text.decode("ascii").split(",")]
        load_report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, load_report.values())):
        return None
    return {name: max(0.0, value) for name, value in load_report.items()}


class ServerConnection(asyncio.BufferedProtocol):
    """A connection to a server, which carries one attempt at a time."""

    def __init__(self, pool: Upstream, server: int, address: Address) -> None:
        self.server, self.address, self.idle_since = server, address, 0.0
        self._pool = pool
        self._idled_ms: float | None = None  # how long before what it carries; None: it is new
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        self.fresh = True  # it has carried nothing yet
        self._paused = self._lost = self._closed = False
        self._stopped = False  # reading waits for the caller
        self._sent = 0  # of the body that it carries
        self._out = True  # all of the request has been given to the transport
        self._moved_ms = 0.0  # when its transfer last went on
        self._hold: asyncio.TimerHandle | None = None
        self._start_answer()

    def _start_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = self._held = self._head = self._status = 0
        self._type: bytes | None = None
        self._report: dict[str, float] | None = None
        self._length: int | None = None
        self._rejected = self._complete = self._in_body = self._spoilt = self._keep = self._chunked = False

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        # Nothing may wait in the transport unseen: at a limit of 0 a write goes out at once, and
        # `pause_writing` tells of what did not fit.
        self._transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        self._paused, self._moved_ms = True, now_ms()

    def resume_writing(self) -> None:
        self._paused = False
        if self._attempt is not None:
            self._pump()

    def _written(self, attempt: Attempt) -> None:
        """Its last byte is out: from now on it may run."""
        if not attempt.written:
            attempt.written = True
            self._pool.written()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._pool.buffer  # one for all: what is read is worked through before the next read

    def buffer_updated(self, nbytes: int) -> None:
        if self._attempt is None:  # nobody asked: the next answer on it could be somebody else's
            self._pool.spoke_unasked()
            return self.close()
        self._moved_ms = now_ms()
        try:
            if not self._in_body:
                self._head += nbytes
            self._parser.feed_data(self._pool.buffer[:nbytes])
        except httptools.HttpParserUpgrade:
            self._spoilt = True
        except httptools.HttpParserError:
            self._spoilt = self._spoilt or not self._complete
            self._beyond()
        self._go_on()

    def _go_on(self) -> None:
        """Do what has come allows: pass it on, end, or wait for more."""
        attempt = self._attempt
        if attempt is None:
            return
        if self._spoilt or (not self._in_body and not self._complete and self._head > MAX_HEAD_BYTES):
            return self._end(Result.RESET if attempt.streaming else Result.ERROR, reuse=False)
        if not attempt.streaming and self._in_body and not self._complete and self._status == 200:
            if (
                self._size > MAX_BUFFERED_BYTES
                or (self._length or 0) > MAX_BUFFERED_BYTES
                or self._pool.memory.is_exhausted()
            ):
                self._begin()
            elif self._length is None and self._hold is None:
                self._hold = self._pool.loop.call_later(BUFFERING_TIMEOUT_S, self._held_long)
        if attempt.streaming and self._body:
            data = self._taken()
            attempt.owner.forward_body(data)
        if self._complete and self._attempt is attempt:
            self._answered()

    def _held_long(self) -> None:
        if self._attempt is not None and not self._complete and not self._attempt.streaming:
            self._begin()
            self._go_on()

    def _begin(self) -> None:
        assert self._attempt is not None
        self._attempt.begin(ServerResponse(self._status, b"", self._type, self._report, self._length), self)

    def _taken(self) -> bytes:
        """What has come of the body and is held."""
        data = b"".join(self._body)
        self._body.clear()
        self._pool.memory.used_bytes -= self._held
        self._held = 0
        return data

    def pause(self) -> None:
        """Read no more until the caller has taken what came."""
        if not self._stopped and not self._lost and not self._transport.is_closing():
            self._stopped = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._stopped:
            self._stopped, self._moved_ms = False, now_ms()
            if not self._lost and not self._transport.is_closing():
                self._transport.resume_reading()

    def eof_received(self) -> None:
        # Without a length and without chunks the end of the connection ends the answer.
        if self._in_body and not self._complete and self._length is None and not self._chunked:
            self._complete, self._keep = True, False
            self._go_on()
        return None  # closes, and `connection_lost` reports

    def connection_lost(self, exc: Exception | None) -> None:
        closed_here, self._lost = self._closed, True
        self._pool.forget(self)
        idled_ms = now_ms() - self.idle_since
        if self._attempt is None and not closed_here and idled_ms > CLOSE_AFTER_RESPONSE_MS:
            self._pool.closed_early(self.server, idled_ms)
        elif self._attempt is not None and self._idled_ms is not None and not self._head:
            self._pool.closed_early(self.server, self._idled_ms)
        if self._attempt is not None:
            self._end(Result.RESET if self._attempt.written else Result.UNREACHABLE, reuse=False)
        del self._parser  # it knows its connection: a circle would wait for a full collection

    def close(self) -> None:
        """Close now, whatever it carries."""
        self._pool.forget(self)
        self._let_go()
        self._closed = True
        self._transport.abort()

    def stalled(self, now: float) -> None:
        """End what has not gone on for too long, though nothing here holds it up."""
        attempt, waited_ms = self._attempt, now - self._moved_ms
        if attempt is None:
            return
        if (
            self._paused
            and not attempt.written
            and not attempt.body.is_replayable()
            and waited_ms > REQUEST_STALL_TIMEOUT_MS
        ):
            attempt.terminate(Result.UNREACHABLE)
        elif attempt.streaming and not self._stopped and waited_ms > RESPONSE_STALL_TIMEOUT_MS:
            attempt.terminate(Result.RESET)

    # Attempts

    def is_usable(self) -> bool:
        """Whether a request may be written: open as far as known, and nothing unread.

        The loop reads only once a turn. An end or a stray byte that has come in since would turn a
        request written now into a reset that may have run, so the socket itself is asked.
        """
        if self._lost or self._transport.is_closing():
            return False
        return not has_event(file_descriptor(self._transport))

    def carry(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its answer."""
        self._attempt, self._sent, self._out = attempt, 0, False
        self.fresh = False
        self._moved_ms = now_ms()
        self._idled_ms = self._moved_ms - self.idle_since if self.idle_since else None
        self._start_answer()
        attempt.carried_by(self.close)
        body = attempt.body
        if body.complete and not attempt.chunked:  # in one piece
            self._sent, self._out = body.size, True
            self._transport.write(attempt.head + body.data_from(0))
            body.on_forwarded()
        else:
            self._transport.write(attempt.head)
            body.on_data = self._pump
        if self._transport.is_closing():  # the write itself failed
            self._end(Result.UNREACHABLE, reuse=False)
        else:
            self._pump()

    def _pump(self) -> None:
        """Write what has come of the body, as fast as the server takes it."""
        attempt = self._attempt
        if attempt is None or attempt.finished or self._paused:
            return
        body = attempt.body
        while not self._out and not self._paused and not self._transport.is_closing():
            data = body.data_from(self._sent) if self._sent < body.size else b""
            self._out = body.complete and self._sent + len(data) == body.size
            self._sent += len(data)
            if attempt.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
                data += b"0\r\n\r\n" if self._out else b""
            if not data:
                break
            self._moved_ms = now_ms()
            self._transport.write(data)
            body.on_forwarded()
        if self._out and not self._paused and not self._transport.is_closing():
            self._written(attempt)

    def _answered(self) -> None:
        assert self._attempt is not None
        body = b"" if self._attempt.streaming else self._taken()
        answer = ServerResponse(self._status, body, self._type, self._report)
        if self._status == 200:
            result = Result.SERVED
        else:
            refused = self._status in (503, 504) and self._rejected
            result = Result.REJECTED if refused else Result.ERROR
        self._end(result, self._keep and self._attempt.written, answer)

    def _let_go(self) -> Attempt | None:
        """Carry nothing from now on; what it carried."""
        attempt, self._attempt = self._attempt, None
        self._taken()
        if attempt is not None:
            attempt.body.on_data = _nothing
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        return attempt

    def _end(self, result: Result, reuse: bool, answer: ServerResponse | None = None) -> None:
        attempt = self._let_go()
        self.resume()
        if reuse and not self._paused and self.is_usable():
            self._pool.put_back(self)  # first: what the outcome sets off may use it
        else:
            self.close()
        if attempt is not None:
            attempt.end(result, answer)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self._complete:
            self._beyond()

    def _beyond(self) -> None:
        """More than the answer has come: the connection is of no further use."""
        self._keep = False
        if self._complete:
            self._pool.spoke_unasked()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or self._in_body:  # trailers say nothing that is used
            return
        match name.lower():
            case b"content-length":
                self._length = int(value)
                self._spoilt = self._spoilt or self._length > MAX_BODY_BYTES
            case b"transfer-encoding":
                self._chunked = True
                self._spoilt = self._spoilt or value.strip().lower() != b"chunked"
            case b"content-type":
                self._type = value
            case b"x-rejected":
                self._rejected = value.strip() == b"1"
            case b"x-load-report":
                self._report = parse_load_report(value)

    def on_headers_complete(self) -> None:
        if not self._complete:
            self._status, self._in_body = self._parser.get_status_code(), True

    def on_body(self, body: bytes) -> None:
        if self._complete or self._spoilt:
            return
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            self._spoilt = True
        elif self._status == 200 or self._size <= MAX_BUFFERED_BYTES:  # of a long error nothing more is used
            self._body.append(body)
            self._held += len(body)
            self._pool.memory.used_bytes += len(body)

    def on_message_complete(self) -> None:
        if self._complete:
            return
        if 100 <= self._status < 200:  # an interim answer: the real one follows
            self._in_body, self._rejected, self._report, self._length = False, False, None, None
            self._head = 0
            return
        self._complete, self._keep = True, self._parser.should_keep_alive()


class Upstream:
    """All connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        room: Callable[[], int],
        make_room: Callable[[], bool],
        written: Callable[[], None],
        memory: Memory,
    ) -> None:
        self.loop, self._room, self._make_room = loop, room, make_room
        self.written, self.memory = written, memory
        self.buffer = memoryview(bytearray(CHUNK_BYTES))
        self.configure_timeouts(connect_timeout_ms, keepalive_ms)
        self._trust_ms: dict[int, float] = {}  # less than that, for servers that closed earlier
        self._idle: dict[int, list[ServerConnection]] = {}
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._reuse_delay_until_ms = -math.inf
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def spoke_unasked(self) -> None:
        """Bytes came that nobody asked for: connections have to rest for a while."""
        self._reuse_delay_until_ms = now_ms() + REUSE_DELAY_PERIOD_MS

    def configure_timeouts(self, connect_timeout_ms: float, keepalive_ms: float) -> None:
        """Take what the settings say of connections."""
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._idle_limit_ms = keepalive_ms * IDLE_LIMIT_FRACTION

    def count(self) -> int:
        """Sockets in use, those that are being opened too."""
        return len(self._open) + len(self._connecting)

    def send(
        self,
        server: int,
        address: Address,
        head: bytes,
        body: Body,
        chunked: bool,
        timeout_ms: float,
        owner: AttemptOwner,
        within_ms: float = math.inf,
    ) -> Attempt:
        """Start an attempt; it may end before this returns. Time runs once its body is whole.

        What is not out whole `within_ms` from now never goes out.
        """
        attempt = Attempt(head, body, chunked, owner)
        if within_ms < math.inf:
            attempt.expire_after(self.loop, within_ms)
        if body.complete:
            self.limit(attempt, timeout_ms)
        idle = self._idle.get(server, [])
        while (rested := self._rested(idle)) is not None:
            connection = idle.pop(rested)
            idled_ms = now_ms() - connection.idle_since
            if not connection.is_usable():
                if idled_ms > CLOSE_AFTER_RESPONSE_MS:
                    self.closed_early(server, idled_ms)
            elif connection.address == address and idled_ms <= self._trusted(server):
                connection.carry(attempt)
                return attempt
            connection.close()
        if self._room() <= 0 and not self._make_room():
            attempt.end(Result.UNREACHABLE)
            return attempt
        dial = self.loop.create_task(self._dial(attempt, server, address))
        self._connecting.add(dial)
        dial.add_done_callback(self._connecting.discard)
        attempt.carried_by(dial.cancel)
        return attempt

    def _rested(self, idle: list[ServerConnection]) -> int | None:
        """Which of a server's idle connections to use: the last used, so that the others can grow old and go.

        While servers send twice, not at once: a second answer would be taken for that to the next request.
        """
        now = now_ms()
        before = now - REUSE_DELAY_MS if now < self._reuse_delay_until_ms else now
        for n in reversed(range(len(idle))):
            if idle[n].fresh or idle[n].idle_since <= before:
                return n
        return None

    def limit(self, attempt: Attempt, timeout_ms: float) -> None:
        """Give an attempt up after so long, unless its answer is being passed on by then."""
        if not attempt.finished and not attempt.streaming:
            attempt.give_up_after(self.loop.call_later(max(0.0, timeout_ms) / 1000.0, attempt.timed_out))

    async def _dial(self, attempt: Attempt, server: int, address: Address) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await self.loop.create_connection(
                    lambda: ServerConnection(self, server, address), *address
                )
        except (OSError, TimeoutError):
            return attempt.end(Result.UNREACHABLE)
        if not connection.is_usable():  # came up and broke at once
            return attempt.end(Result.UNREACHABLE)
        self._open.add(connection)
        # Connecting took time: the request may have ended, its server may have been called off.
        if attempt.finished or attempt.expired() or not attempt.owner.may_send():
            self.put_back(connection)
            attempt.end(Result.NOT_SENT)
        else:
            connection.carry(attempt)

    def closed_early(self, server: int, idled_ms: float) -> None:
        """Trust a server's idle connections for less: it ended one after so long.

        The stated limit is the latest. Servers, and what lies between, also close sooner; a request
        written meanwhile ends as a reset that may have run, which costs far more than a handshake.
        """
        self._trust_ms[server] = max(
            MIN_IDLE_LIMIT_MS, min(self._trusted(server), IDLE_LIMIT_FRACTION * idled_ms)
        )

    def _trusted(self, server: int) -> float:
        return self._trust_ms.get(server, self._idle_limit_ms)

    def put_back(self, connection: ServerConnection) -> None:
        """Keep a connection that carries nothing for the next attempt."""
        connection.idle_since = now_ms()
        self._idle.setdefault(connection.server, []).append(connection)

    def forget(self, connection: ServerConnection) -> None:
        """Count a connection out."""
        self._open.discard(connection)
        idle = self._idle.get(connection.server)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle(self, server: int) -> None:
        """Close what carries nothing to a server."""
        for connection in self._idle.pop(server, []):
            connection.close()

    def forget_server(self, server: int) -> None:
        """Keep nothing of a server that is gone: what it closed when it ended tells nothing of the next."""
        self.close_idle(server)
        self._trust_ms.pop(server, None)

    def close_oldest_idle(self) -> bool:
        """Give back a socket, if one carries nothing."""
        oldest = min((idle[0] for idle in self._idle.values() if idle), key=_age, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = now_ms()
        for connection in list(self._open):
            connection.stalled(now)
        grown = {server: trust_ms * IDLE_LIMIT_GROWTH for server, trust_ms in self._trust_ms.items()}
        self._trust_ms = {server: ms for server, ms in grown.items() if ms < self._idle_limit_ms}
        for server, idle in list(self._idle.items()):
            before = now_ms() - self._trusted(server)
            while idle and idle[0].idle_since < before:
                idle[0].close()
            if not idle:
                del self._idle[server]


def _age(connection: ServerConnection) -> float:
    return connection.idle_since
