"""The operators' admin endpoint: a listener of its own, HTTP/1.1, one call to a connection.

Whoever stays silent, is slow or sends rubbish gets an error or a close and delays nobody else.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

import httptools

from dunlinloft.node.config import Address

MOST_CALLERS = 24  # at once; beyond that the one that has waited longest has to go
WAIT_S = 2.0  # for a call to come whole
LINGER_S = 1.0  # for a caller to take its answer
MOST_BYTES = 16 * 1024  # of a call, its body too
BACKLOG = 128

Call = Callable[[], tuple[int, dict[str, Any]]]
Ask = Callable[[str], tuple[int, dict[str, Any]]]


class _Visitor(asyncio.Protocol):
    """One caller; it is answered once."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._size = 0
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._timer = self._endpoint.loop.call_later(WAIT_S, self.too_long)
        self._endpoint.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._endpoint.left(self)
        del self._parser  # it knows its visitor: a circle would wait for a full collection

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._answer(400, {"error": "upgrades are not supported"})
        except httptools.HttpParserError:
            self._answer(400, {"error": "malformed HTTP"})
        if self._size > MOST_BYTES:
            self._answer(413, {"error": "the call is too long"})

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        path, _, query = self._url.decode("latin-1").partition("?")
        self._answer(*self._endpoint.call(self._parser.get_method().decode("ascii"), path, query))

    def too_long(self) -> None:
        """Part with a caller that has not sent its call."""
        self._answer(408, {"error": "the call is not whole"})

    def _answer(self, status: int, content: dict[str, Any]) -> None:
        if self._answered:
            return
        self._answered = True
        body = json.dumps(content, separators=(",", ":")).encode()
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._endpoint.loop.call_later(LINGER_S, self._transport.abort)


class AdminEndpoint:
    """The listener and the calls that it knows, by path and method."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: dict[str, tuple[str, Call]]) -> None:
        self.loop, self._calls = loop, calls
        self._asks: dict[str, tuple[str, Ask]] = {}
        self._visitors: dict[_Visitor, None] = {}  # in the order they came
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Answer calls from now on; the address, with the port that port 0 stands for."""
        self._server = await self.loop.create_server(lambda: _Visitor(self), *address, backlog=BACKLOG)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def add(self, path: str, method: str, call: Call) -> None:
        """Know one more call."""
        self._calls[path] = method, call

    def add_ask(self, path: str, method: str, ask: Ask) -> None:
        """Know one more call, which is told what stands behind the question mark."""
        self._asks[path] = method, ask

    def count(self) -> int:
        """Sockets in use, the listener too."""
        return len(self._visitors) + (self._server is not None)

    def call(self, method: str, path: str, query: str = "") -> tuple[int, dict[str, Any]]:
        """Answer a call."""
        if path in self._asks:
            wanted, ask = self._asks[path]
            return ask(query) if method == wanted else (405, {"error": f"{path} takes {wanted}"})
        if path not in self._calls:
            return 404, {"error": "no such path"}
        wanted, do = self._calls[path]
        if method != wanted:
            return 405, {"error": f"{path} takes {wanted}"}
        return do()

    def came(self, visitor: _Visitor) -> None:
        """Count a caller in; with too many the one that has waited longest has to go."""
        self._visitors[visitor] = None
        if len(self._visitors) > MOST_CALLERS:
            next(iter(self._visitors)).too_long()

    def left(self, visitor: _Visitor) -> None:
        """Count a caller out."""
        self._visitors.pop(visitor, None)

    def close(self) -> None:
        """Take no more calls."""
        if self._server is not None:
            self._server.close()
            self._server = None
