"""The operators' admin endpoint: an HTTP/1.1 listener of its own, with one call per connection.

A caller that is silent or slow, or sends invalid HTTP, gets an error or a close, and delays no other caller.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, cast

import httptools

from dunlinloft.node.addresses import Address
from dunlinloft.node.admin_reply import AdminReply, error_reply

MAX_CALLERS = 24  # at once; beyond that the longest-waiting caller is timed out
REQUEST_TIMEOUT_S = 2.0  # for a complete call
RESPONSE_TIMEOUT_S = 1.0  # for a caller to read its response
MAX_REQUEST_BYTES = 16 * 1024  # of a call, its body included
LISTEN_BACKLOG = 128  # connections

Handler = Callable[[], AdminReply]
QueryHandler = Callable[[str], AdminReply]
"""Takes the query string, without its question mark."""


class _Route(NamedTuple):
    """The method and the handler of a path."""

    method: str
    handler: QueryHandler


class _Caller(asyncio.Protocol):
    """The connection of one caller, which is answered once."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._size = 0
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the request timeout (asyncio's callback)."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass of it
        self._timer = self._endpoint.loop.call_later(REQUEST_TIMEOUT_S, self.time_out)
        self._endpoint.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection (asyncio's callback)."""
        if self._timer is not None:
            self._timer.cancel()
        self._endpoint.on_disconnected(self)
        del self._parser  # it refers to this object: the cycle would live until a full garbage collection

    def data_received(self, data: bytes) -> None:
        """Parse received bytes (asyncio's callback)."""
        if self._answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._answer(error_reply(400, "upgrades are not supported"))
        except httptools.HttpParserError:
            self._answer(error_reply(400, "malformed HTTP"))
        if self._size > MAX_REQUEST_BYTES:
            self._answer(error_reply(413, "the call is too long"))

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target (the parser's callback)."""
        self._url += url

    def on_message_complete(self) -> None:
        """Handle the call (the parser's callback)."""
        path, _, query = self._url.decode("latin-1").partition("?")
        self._answer(self._endpoint.call(self._parser.get_method().decode("ascii"), path, query))

    def time_out(self) -> None:
        """Time out a caller that has not sent a complete call."""
        self._answer(error_reply(408, "the call is incomplete"))

    def _answer(self, reply: AdminReply) -> None:
        if self._answered:
            return
        self._answered = True
        body = json.dumps(reply.content, separators=(",", ":")).encode()
        head = (
            f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._endpoint.loop.call_later(RESPONSE_TIMEOUT_S, self._transport.abort)


class AdminEndpoint:
    """The listener of the admin endpoint, with the routes of its calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._routes: dict[str, _Route] = {}  # by path
        self._callers: dict[_Caller, None] = {}  # in the order in which they connected
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to listen; return the address, with the actual port for port 0."""
        self._server = await self.loop.create_server(lambda: _Caller(self), *address, backlog=LISTEN_BACKLOG)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def add(self, path: str, method: str, handler: Handler) -> None:
        """Add a route."""
        self._routes[path] = _Route(method, lambda _: handler())

    def add_query(self, path: str, method: str, handler: QueryHandler) -> None:
        """Add a route whose handler is given the query string."""
        self._routes[path] = _Route(method, handler)

    def count(self) -> int:
        """Return the number of sockets in use, the listener's included."""
        return len(self._callers) + (self._server is not None)

    def call(self, method: str, path: str, query: str = "") -> AdminReply:
        """Handle a call."""
        route = self._routes.get(path)
        if route is None:
            return error_reply(404, "no such path")
        if method != route.method:
            return error_reply(405, f"{path} takes {route.method}")
        return route.handler(query)

    def on_connected(self, caller: _Caller) -> None:
        """Register a caller; beyond `MAX_CALLERS` the longest-waiting one is timed out."""
        self._callers[caller] = None
        if len(self._callers) > MAX_CALLERS:
            next(iter(self._callers)).time_out()

    def on_disconnected(self, caller: _Caller) -> None:
        """Remove a caller."""
        self._callers.pop(caller, None)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
