"""Callers on sockets: keep-alive connections to each node, with one request at a time on each."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from lab.callers import Done, Order
from lab.names import CALLERS
from lab.processes.pipe import Pipe
from lab.processes.standin import METHODS, answering_server, request_body, request_target
from lab.records import CLOSED, SILENT, UNREACHED
from lab.world import CALLER_CONNECT_TIMEOUT_MS

if TYPE_CHECKING:
    from lab.processes.host import ProcessHost

IDLE_TIMEOUT_MS = 5_000.0  # callers close connections that are idle for longer


class PendingRequest:
    """A pending request on the caller's side."""

    __slots__ = ("connection", "done", "node", "order", "over", "resent")

    def __init__(self, node: str, order: Order, done: Done) -> None:
        self.node, self.order, self.done = node, order, done
        self.connection: CallerConnection | None = None
        self.over = self.resent = False

    def end(self, status: int, made_by: str = "", advice_ms: float = 0.0) -> None:
        """Report the outcome to the caller, once."""
        if not self.over:
            self.over = True
            self.done(status, made_by, advice_ms)


class CallerConnection(asyncio.Protocol):
    """A connection from the callers of a node, or from the server that the node runs beside."""

    def __init__(self, pool: Pool) -> None:
        self._pool, self._host = pool, pool.host
        self.request: PendingRequest | None = None
        self._used = False  # whether it has carried a complete answer
        self.idle_ms = 0.0
        self._transport: asyncio.Transport | None = None
        outbound, inbound = (
            pool.host.lines.between(pool.origin, pool.node),
            pool.host.lines.between(pool.node, pool.origin),
        )
        direct = pool.origin != CALLERS  # a server and its node share a machine
        self._outbound = None if direct else Pipe(outbound, self._write)
        self._inbound = None if direct else Pipe(inbound, self._receive)
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._advice_ms, self._answer_started = b"", 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: PendingRequest) -> None:
        """Send a request."""
        self.request, request.connection = request, self
        order = request.order
        method = METHODS[self._host.scenario.classes[order.cls].effect]
        content = request_body(order, method)
        lines = [
            method + b" " + request_target(order) + b" HTTP/1.1",
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
        if self._outbound is not None:
            self._outbound.push(data)
        else:
            self._write(data)

    def _write(self, data: bytes | None) -> None:
        if self._transport is not None and not self._transport.is_closing() and data:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self._inbound is not None:
            self._inbound.push(data)
        else:
            self._receive(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._inbound is not None:
            self._inbound.push(None)
        else:
            self._receive(None)

    def _receive(self, data: bytes | None) -> None:
        if data is None:
            return self._lost()
        if self.request is None:
            self._host.broke(self._pool.node, f"bytes without a pending request: {data[:60]!r}")
            return self.close()
        self._answer_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._host.broke(self._pool.node, f"to {self.request.order.id}: {problem}: {data[:60]!r}")
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
        request, self.request = self.request, None
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        made_by = (
            answering_server(self._body, request.order.id) if request is not None and status == 200 else ""
        )
        advice_ms = self._advice_ms
        self._used = True
        self._reset_parser()
        if keep and self._transport is not None and not self._transport.is_closing():
            self._pool.keep(self)
        else:
            self.close()
        if request is not None:
            request.end(status, made_by, advice_ms)

    def _lost(self) -> None:
        self._pool.drop(self)
        request, self.request = self.request, None
        if request is None or request.over:
            return
        # The node may close the connection before reading the request: resend once, on a new connection.
        if self._used and not self._answer_started and not request.resent:
            request.resent = True
            self._pool.dial(request)
        else:
            request.end(CLOSED)

    def close(self) -> None:
        """Close the connection."""
        self._pool.drop(self)
        self.request = None
        if self._transport is not None:
            self._transport.close()


class Pool:
    """The connections from one origin to one node."""

    def __init__(self, host: ProcessHost, origin: str, node: str) -> None:
        self.host, self.origin, self.node = host, origin, node
        self._idle: deque[CallerConnection] = deque()
        self._all: set[CallerConnection] = set()

    def send(self, request: PendingRequest) -> None:
        """Send a request on an idle connection, or on a new one."""
        now = self.host.now()
        while self._idle and now - self._idle[0].idle_ms > IDLE_TIMEOUT_MS:
            self._idle[0].close()
        if self._idle:
            self._idle.pop().send(request)
        else:
            self.dial(request)

    def dial(self, request: PendingRequest) -> None:
        """Send a request on a new connection."""
        link = self.host.lines.between(self.origin, self.node)
        if self.origin == CALLERS and (link.refuse or link.cut):
            wait = CALLER_CONNECT_TIMEOUT_MS if link.cut else 0.0
            return self.host.after(wait, request.end, UNREACHED)
        self.host.spawn(self._dial(request))

    async def _dial(self, request: PendingRequest) -> None:
        address = self.host.block.node(self.host.places[self.node])
        try:
            async with asyncio.timeout(request.order.budget_ms / 1000.0):
                _, connection = await self.host.loop.create_connection(
                    lambda: CallerConnection(self), *address
                )
        except (OSError, TimeoutError):
            return request.end(UNREACHED)
        self._all.add(connection)
        if request.over:
            connection.close()
        else:
            connection.send(request)

    def keep(self, connection: CallerConnection) -> None:
        """Add a connection to the idle ones."""
        connection.idle_ms = self.host.now()
        self._idle.append(connection)

    def drop(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.close()


def expire(request: PendingRequest) -> None:
    """Close the connection of a request that has timed out and report that there was no answer."""
    if not request.over:
        if request.connection is not None:
            request.connection.close()
        request.end(SILENT)
