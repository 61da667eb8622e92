"""aiohttp's connector and connection classes, adapted to the data plane.

The module depends on private names of aiohttp (`_payload`, `_factory`, `_keepalive_timeout`); the tests with
raw servers fail if those change.
"""

from __future__ import annotations

import asyncio
import functools
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

TCP_USER_TIMEOUT_MS = 1_000  # maximum time that sent bytes may stay unacknowledged


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """A socket that detects an unreachable peer within `TCP_USER_TIMEOUT_MS`."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock


class ServerConnection(ResponseHandler):
    """One connection to a server."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response whose connection is reset while a body without a length is being read.

        aiohttp would take such a body for complete.
        """
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(f"reset on the way: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Whether the connection may be reused; not after it received bytes that belong to no response."""
        return super().is_connected() and not self.should_close


class ServerConnector(aiohttp.TCPConnector):
    """A connection pool with a variable idle timeout."""

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
        """Set how long a connection may be idle before reuse; aiohttp reads the value at each use."""
        self._keepalive_timeout = seconds
