"""Callers on sockets: kept connections to each node, one request at a time on each."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from lab.callers import Done, Order
from lab.names import CALLERS
from lab.processes.pipe import Pipe
from lab.processes.standin import METHODS, body, maker, target
from lab.records import CLOSED, SILENT, UNREACHED
from lab.world import CALLER_CONNECT_TIMEOUT_MS

if TYPE_CHECKING:
    from lab.processes.host import ProcessHost

IDLE_MS = 5_000.0  # a caller closes what it has not used for so long


class Errand:
    """A request on its way, from the caller's side."""

    __slots__ = ("connection", "done", "node", "order", "over", "resent")

    def __init__(self, node: str, order: Order, done: Done) -> None:
        self.node, self.order, self.done = node, order, done
        self.connection: CallerConnection | None = None
        self.over = self.resent = False

    def end(self, status: int, made_by: str = "", advice_ms: float = 0.0) -> None:
        """Tell the caller, once."""
        if not self.over:
            self.over = True
            self.done(status, made_by, advice_ms)


class CallerConnection(asyncio.Protocol):
    """A connection from the callers of one node, or from the server whose node it is."""

    def __init__(self, pool: Pool) -> None:
        self._pool, self._host = pool, pool.host
        self.errand: Errand | None = None
        self._used = False  # it has carried a whole answer
        self.idle_ms = 0.0
        self._transport: asyncio.Transport | None = None
        there, back = (
            pool.host.lines.between(pool.origin, pool.node),
            pool.host.lines.between(pool.node, pool.origin),
        )
        direct = pool.origin != CALLERS  # a server's node is on its own machine
        self._out = None if direct else Pipe(there, self._goes)
        self._in = None if direct else Pipe(back, self._came)
        self._renew()

    def _renew(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._advice_ms, self._begun = b"", 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, errand: Errand) -> None:
        """Write a request."""
        self.errand, errand.connection = errand, self
        order = errand.order
        method = METHODS[self._host.scenario.classes[order.cls].effect]
        content = body(order, method)
        lines = [
            method + b" " + target(order) + b" HTTP/1.1",
            b"Host: api.internal",
            b"X-Call-Id: " + order.id.encode(),
            f"X-Budget: {order.budget_ms / 1000.0:.3f}".encode(),
        ]
        if order.tenant:
            lines.append(b"X-Caller: " + order.tenant.encode())
        if order.key:
            lines.append(b"Idempotency-Key: " + order.key.encode())
        if method != b"GET":
            lines += [b"Content-Type: application/json", f"Content-Length: {len(content)}".encode()]
        data = b"\r\n".join(lines) + b"\r\n\r\n" + content
        if self._out is not None:
            self._out.push(data)
        else:
            self._goes(data)

    def _goes(self, data: bytes | None) -> None:
        if self._transport is not None and not self._transport.is_closing() and data:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self._in is not None:
            self._in.push(data)
        else:
            self._came(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._in is not None:
            self._in.push(None)
        else:
            self._came(None)

    def _came(self, data: bytes | None) -> None:
        if data is None:
            return self._lost()
        if self.errand is None:
            self._host.broke(self._pool.node, f"bytes that nobody asked for: {data[:60]!r}")
            return self.close()
        self._begun = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._host.broke(self._pool.node, f"to {self.errand.order.id}: {problem}: {data[:60]!r}")
            self._lost()
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self._advice_ms = 1000.0 * float(value)
            except ValueError:
                self._host.broke(self._pool.node, f"Retry-After: {value!r}")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        errand, self.errand = self.errand, None
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        made_by = maker(self._body, errand.order.id) if errand is not None and status == 200 else ""
        advice_ms = self._advice_ms
        self._used = True
        self._renew()
        if keep and self._transport is not None and not self._transport.is_closing():
            self._pool.keep(self)
        else:
            self.close()
        if errand is not None:
            errand.end(status, made_by, advice_ms)

    def _lost(self) -> None:
        self._pool.drop(self)
        errand, self.errand = self.errand, None
        if errand is None or errand.over:
            return
        # A close may cross a request that the node has not read: it is sent once more, on a new connection.
        if self._used and not self._begun and not errand.resent:
            errand.resent = True
            self._pool.dial(errand)
        else:
            errand.end(CLOSED)

    def close(self) -> None:
        """End it from this side."""
        self._pool.drop(self)
        self.errand = None
        if self._transport is not None:
            self._transport.close()


class Pool:
    """The connections from one place to one node."""

    def __init__(self, host: ProcessHost, origin: str, node: str) -> None:
        self.host, self.origin, self.node = host, origin, node
        self._idle: deque[CallerConnection] = deque()
        self._all: set[CallerConnection] = set()

    def send(self, errand: Errand) -> None:
        """On a connection that idles, else on a new one."""
        now = self.host.now()
        while self._idle and now - self._idle[0].idle_ms > IDLE_MS:
            self._idle[0].close()
        if self._idle:
            self._idle.pop().send(errand)
        else:
            self.dial(errand)

    def dial(self, errand: Errand) -> None:
        """On a new connection."""
        line = self.host.lines.between(self.origin, self.node)
        if self.origin == CALLERS and (line.refuse or line.cut):
            wait = CALLER_CONNECT_TIMEOUT_MS if line.cut else 0.0
            return self.host.after(wait, errand.end, UNREACHED)
        self.host.spawn(self._dial(errand))

    async def _dial(self, errand: Errand) -> None:
        address = self.host.block.node(self.host.places[self.node])
        try:
            async with asyncio.timeout(errand.order.budget_ms / 1000.0):
                _, connection = await self.host.loop.create_connection(
                    lambda: CallerConnection(self), *address
                )
        except (OSError, TimeoutError):
            return errand.end(UNREACHED)
        self._all.add(connection)
        if errand.over:
            connection.close()
        else:
            connection.send(errand)

    def keep(self, connection: CallerConnection) -> None:
        """It idles now."""
        connection.idle_ms = self.host.now()
        self._idle.append(connection)

    def drop(self, connection: CallerConnection) -> None:
        """It is of no further use."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """The day is over."""
        for connection in list(self._all):
            connection.close()


def expire(errand: Errand) -> None:
    """No answer came: whoever waits goes."""
    if not errand.over:
        if errand.connection is not None:
            errand.connection.close()
        errand.end(SILENT)
