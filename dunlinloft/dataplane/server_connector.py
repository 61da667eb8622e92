"""aiohttp's connector and connections, adapted to the data plane.

It depends on private names of the library (`_payload`, `_factory`, `_keepalive_timeout`); the tests of raw
servers notice when those change.
"""

from __future__ import annotations

import asyncio
import functools
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

TCP_USER_TIMEOUT_MS = 1_000  # bytes unacknowledged for this long end a connection


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """A socket on which an unreachable peer is noticed soon."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock


class ServerConnection(ResponseHandler):
    """One connection to a server."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is reset while its body is read to the end of the connection.

        The library takes such a body, which has no length, to be complete.
        """
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(f"reset on the way: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Whether the connection may carry another request: not after bytes that belong to none."""
        return super().is_connected() and not self.should_close


class ServerConnector(aiohttp.TCPConnector):
    """A connection pool whose idle timeout may change."""

    def __init__(self, idle_timeout_s: float) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=idle_timeout_s,
            use_dns_cache=False,
            socket_factory=_create_socket,
        )
        handler: type[ResponseHandler] = ServerConnection
        self._factory = functools.partial(handler, loop=asyncio.get_running_loop())

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long a connection may be idle and be used again; the library reads it at each use."""
        self._keepalive_timeout = seconds
