"""Servers on sockets: the model's requests and answers as the published protocol has them, strictly."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import httptools

from lab import records
from lab.callers import Order
from lab.lines import DirectedLink
from lab.processes.pipe import Pipe
from lab.servers import Job, Server

if TYPE_CHECKING:
    from lab.processes.host import ProcessHost

METHODS = {"safe": b"GET", "keyed": b"POST", "unsafe": b"POST"}


def target(order: Order) -> bytes:
    """The path and query of a request; the first part of the path is its class."""
    return f"/{order.name}/{order.id[-6:]}?of=day".encode()


def body(order: Order, method: bytes) -> bytes:
    """The body of a request."""
    return b"" if method == b"GET" else f'{{"slot":"{order.id}"}}'.encode()


def mark(server: str, id: str) -> bytes:
    """The body of an answer: who made it, and for which request."""
    return f"{server} made this for {id}".encode()


def maker(data: bytes, id: str) -> str:
    """Who made a body; "" where it is no server's answer to this request."""
    server, _, rest = data.decode("latin-1").partition(" made this for ")
    return server if rest == id else ""


class Connection(asyncio.Protocol):
    """One connection from a node to a server."""

    def __init__(
        self, host: ProcessHost, node: str, server: Server, there: DirectedLink, back: DirectedLink
    ) -> None:
        self._host, self._node, self._server = host, node, server
        self._in, self._out = Pipe(there, self._came), Pipe(back, self._goes)
        self._transport: asyncio.Transport | None = None
        self._began = -1.0  # when the first byte of the request that is coming was sent
        self._fresh, self._ended = True, False
        self._job: Job | None = None
        self._counted = False
        self._renew()

    def _renew(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._body, self._headers = b"", b"", dict[bytes, bytes]()

    # From the socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._host.connections[self._server.name].add(self)
        self._counted = True
        self._server.connections += 1
        if self._server.connections > self._server.tier.connections:
            self.abort()

    def data_received(self, data: bytes) -> None:
        if self._began < 0.0:
            self._began = self._host.now()
        self._in.push(data)

    def eof_received(self) -> bool:
        self._in.push(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._in.push(None)
        if self._counted:
            self._counted = False
            self._host.connections[self._server.name].discard(self)
            self._server.connections = max(0, self._server.connections - 1)

    def abort(self) -> None:
        """Break it, with a reset."""
        self._in.drop()
        self._out.drop()
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self._transport.abort()

    # At the server, once it has come over the link

    def _came(self, data: bytes | None) -> None:
        if data is None:
            return self._over()
        if not self._server.up:
            return
        if self._job is not None:
            self._host.broke(self._node, f"bytes to {self._server.name} before its answer: {data[:60]!r}")
            return self.abort()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._host.broke(self._node, f"to {self._server.name}: {problem}: {data[:60]!r}")
            self.abort()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        id = self._headers.get(b"x-call-id", b"").decode("latin-1")
        order, began = self._host.orders.get(id), self._began
        self._began = -1.0
        if order is None:
            if id:
                self._host.broke(self._node, f"to {self._server.name}: an id that nobody sent: {id!r}")
            return self._answer(400 if id else 404, b"no such call", b"")
        self._check(order)
        self._host.tell(records.Arrived(self._host.now(), id, self._node, self._server.name, began))
        job = self._job = self._host.job(order, self._server, self._node, self._fresh, self._done)
        if self._fresh:
            self._fresh = False
            rtts = 1.0 + self._server.tier.handshake_rtts
            rtt = self._host.lines.rtt_ms(self._node, self._server.name)
            self._host.after(rtts * rtt, self._submit, job, self._server.life)
        else:
            self._submit(job, self._server.life)

    def _submit(self, job: Job, life: int) -> None:
        if job is self._job and self._server.up and life == self._server.life:
            self._server.submit(job)

    def _check(self, order: Order) -> None:
        """What has to be passed on unchanged."""
        method = METHODS[self._host.scenario.classes[order.cls].effect]
        wanted = {
            "method": (self._parser.get_method(), method),
            "target": (self._url, target(order)),
            "body": (self._body, body(order, method)),
            "Idempotency-Key": (self._headers.get(b"idempotency-key", b""), order.key.encode()),
        }
        for name, (got, sent) in wanted.items():
            if got != sent:
                self._host.broke(self._node, f"{order.id}: {name} {got[:60]!r}, and {sent[:60]!r} was sent")

    def _done(self, job: Job, how: str) -> None:
        self._host.tell(records.Ended(self._host.now(), job.id, self._server.name, how))
        if job is not self._job:
            return
        self._job = None
        if how == "dropped":
            return
        report = b""
        if self._server.tier.reports:
            figures = ",".join(f"{name}={value:g}" for name, value in self._server.report().items())
            report = f"X-Load-Report: {figures}\r\n".encode()
        if how == "served":
            self._answer(200, mark(self._server.name, job.id), report)
        elif how == "turned":
            self._answer(503, b"queue full", b"X-Rejected: 1\r\n" + report)
        else:
            self._answer(500, b"error", report)

    def _answer(self, status: int, content: bytes, headers: bytes) -> None:
        self._renew()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nContent-Length: {len(content)}\r\n"
        self._out.push(head.encode() + headers + b"\r\n" + content)

    def _goes(self, data: bytes | None) -> None:
        if self._transport is not None and not self._transport.is_closing() and data:
            self._transport.write(data)

    def _over(self) -> None:
        """The node has closed its side."""
        if self._ended:
            return
        self._ended = True
        job, self._job = self._job, None
        if job is not None:
            self._server.cancel(job)
        self._out.drop()
        if self._transport is not None:
            self._transport.close()


def acceptor(host: ProcessHost, node: str, server: Server) -> Callable[[socket.socket], None]:
    """What a gate does with each connection."""

    def accepted(sock: socket.socket) -> None:
        there, back = host.lines.between(node, server.name), host.lines.between(server.name, node)
        host.spawn(
            host.loop.connect_accepted_socket(lambda: Connection(host, node, server, there, back), sock)
        )

    return accepted
