"""Simulated servers on sockets, which check requests strictly against the published protocol."""

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


def request_target(order: Order) -> bytes:
    """Return the path and query of a request; the first path segment is its class."""
    return f"/{order.name}/{order.id[-6:]}?of=day".encode()


def request_body(order: Order, method: bytes) -> bytes:
    """Return the body of a request."""
    return b"" if method == b"GET" else f'{{"slot":"{order.id}"}}'.encode()


def answer_body(server: str, id: str) -> bytes:
    """Return the body of an answer, which names the server and the request."""
    return f"{server} made this for {id}".encode()


def answering_server(data: bytes, id: str) -> str:
    """Return the server that made a body; "" if it is not an answer to this request."""
    server, _, rest = data.decode("latin-1").partition(" made this for ")
    return server if rest == id else ""


class Connection(asyncio.Protocol):
    """A connection from a node to a server."""

    def __init__(
        self, host: ProcessHost, node: str, server: Server, forward: DirectedLink, backward: DirectedLink
    ) -> None:
        self._host, self._node, self._server = host, node, server
        self._inbound, self._outbound = Pipe(forward, self._receive), Pipe(backward, self._write)
        self._transport: asyncio.Transport | None = None
        self._began = -1.0  # when the first byte of the current request was sent
        self._is_new, self._is_closed = True, False
        self._job: Job | None = None
        self._counted = False
        self._reset_parser()

    def _reset_parser(self) -> None:
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
        self._inbound.push(data)

    def eof_received(self) -> bool:
        self._inbound.push(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._inbound.push(None)
        if self._counted:
            self._counted = False
            self._host.connections[self._server.name].discard(self)
            self._server.connections = max(0, self._server.connections - 1)

    def abort(self) -> None:
        """Reset the connection."""
        self._inbound.drop()
        self._outbound.drop()
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self._transport.abort()

    # At the server, after the link's delay

    def _receive(self, data: bytes | None) -> None:
        if data is None:
            return self._on_closed()
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

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        id = self._headers.get(b"x-call-id", b"").decode("latin-1")
        order, began = self._host.orders.get(id), self._began
        self._began = -1.0
        if order is None:
            if id:
                self._host.broke(self._node, f"to {self._server.name}: unknown request id: {id!r}")
            return self._answer(400 if id else 404, b"no such call", b"")
        self._check(order)
        self._host.tell(records.Arrived(self._host.now(), id, self._node, self._server.name, began))
        job = self._job = self._host.job(order, self._server, self._node, self._is_new, self._done)
        if self._is_new:
            self._is_new = False
            rtts = 1.0 + self._server.tier.handshake_rtts
            rtt = self._host.lines.rtt_ms(self._node, self._server.name)
            self._host.after(rtts * rtt, self._submit, job, self._server.life)
        else:
            self._submit(job, self._server.life)

    def _submit(self, job: Job, life: int) -> None:
        if job is self._job and self._server.up and life == self._server.life:
            self._server.submit(job)

    def _check(self, order: Order) -> None:
        """Check the parts of a request that must be forwarded unchanged."""
        method = METHODS[self._host.scenario.classes[order.cls].effect]
        expected_parts = {
            "method": (self._parser.get_method(), method),
            "target": (self._url, request_target(order)),
            "body": (self._body, request_body(order, method)),
            "Idempotency-Key": (self._headers.get(b"idempotency-key", b""), order.key.encode()),
        }
        for name, (received, sent) in expected_parts.items():
            if received != sent:
                self._host.broke(
                    self._node, f"{order.id}: {name} {received[:60]!r}, and {sent[:60]!r} was sent"
                )

    def _done(self, job: Job, outcome: str) -> None:
        self._host.tell(records.Ended(self._host.now(), job.id, self._server.name, outcome))
        if job is not self._job:
            return
        self._job = None
        if outcome == "dropped":
            return
        report = b""
        if self._server.tier.reports:
            figures = ",".join(f"{name}={value:g}" for name, value in self._server.report().items())
            report = f"X-Load-Report: {figures}\r\n".encode()
        if outcome == "served":
            self._answer(200, answer_body(self._server.name, job.id), report)
        elif outcome == "turned":
            self._answer(503, b"queue full", b"X-Rejected: 1\r\n" + report)
        else:
            self._answer(500, b"error", report)

    def _answer(self, status: int, content: bytes, headers: bytes) -> None:
        self._reset_parser()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nContent-Length: {len(content)}\r\n"
        self._outbound.push(head.encode() + headers + b"\r\n" + content)

    def _write(self, data: bytes | None) -> None:
        if self._transport is not None and not self._transport.is_closing() and data:
            self._transport.write(data)

    def _on_closed(self) -> None:
        """Handle the closing of the connection by the node."""
        if self._is_closed:
            return
        self._is_closed = True
        job, self._job = self._job, None
        if job is not None:
            self._server.cancel(job)
        self._outbound.drop()
        if self._transport is not None:
            self._transport.close()


def acceptor(host: ProcessHost, node: str, server: Server) -> Callable[[socket.socket], None]:
    """Return the callback that serves the connections accepted by a gate."""

    def accepted(sock: socket.socket) -> None:
        forward, backward = host.lines.between(node, server.name), host.lines.between(server.name, node)
        host.spawn(
            host.loop.connect_accepted_socket(lambda: Connection(host, node, server, forward, backward), sock)
        )

    return accepted
