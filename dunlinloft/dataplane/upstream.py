"""Connections to servers, and one attempt over them. Nothing here repeats an attempt."""

from __future__ import annotations

import asyncio
import functools
import socket
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.verdict import Failure, Verdict, verdict_of_answer, verdict_of_break

CONNECT_S = 0.3
IDLE_S = 4.0  # connections that rested longer aren't used again, as long as servers state nothing
IDLE_MARGIN_S = 2.0  # of what they state, for what is on its way
IDLE_LEAST_S, IDLE_CUT, IDLE_GROWTH = 0.5, 0.5, 1.03  # after a loss on a kept connection; with each answer
SILENT_MS = 1_000  # bytes unacknowledged for so long end a connection
READ_MOST = 2**16

HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
ATTEMPT_HEADER = "X-Attempt-Id"
SIGNATURE_HEADER = "X-Server-Signature"
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True)
class Attempt:
    """What is known of an attempt under way."""

    connected: bool = False
    reused: bool = False  # on a connection that had been used before


def _socket(info: Any) -> socket.socket:
    family, kind, protocol, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
    return sock


async def _on_connected(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.connected = True


async def _on_reused(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.connected = True
    context.trace_request_ctx.reused = True


class _Connection(ResponseHandler):
    """One connection. It leans on names of the library; tests/test_raw_servers.py would see them change."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """An answer without a length that is reset on the way isn't whole, as the library takes it to be."""
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(f"reset on the way: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Whether it may be used for another request: not where bytes came that belong to none."""
        return super().is_connected() and not self.should_close


class _Connector(aiohttp.TCPConnector):
    """Connections whose time to rest may change."""

    def __init__(self, **more: Any) -> None:
        super().__init__(**more)
        handler: type[ResponseHandler] = _Connection
        self._factory = functools.partial(handler, loop=asyncio.get_running_loop())

    def set_idle(self, seconds: float) -> None:
        """How long a connection may rest and be used again; read by the library at each use."""
        self._keepalive_timeout = seconds


def stated_idle_s(keep_alive: str) -> float | None:
    """The time that a server keeps an idle connection, as its `Keep-Alive` states; None where it doesn't."""
    for part in keep_alive.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return float(value)
    return None


class Upstream:
    """The connections to one service's servers."""

    def __init__(self, per_server: int) -> None:
        self.per_server = per_server
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_on_connected)
        trace.on_connection_reuseconn.append(_on_reused)
        self._idle_s = self._idle_most_s = IDLE_S
        self._connector = _Connector(
            limit=0, limit_per_host=0, keepalive_timeout=IDLE_S, use_dns_cache=False, socket_factory=_socket
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
            read_bufsize=READ_MOST,
            trace_configs=[trace],
            max_line_size=32_768,
            max_field_size=32_768,
        )
        # The session would send GET, PUT and the like again by itself where a kept connection was lost.
        self._session._retry_connection = False

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        attempt: Attempt,
    ) -> aiohttp.ClientResponse | Failure:
        """Send a request and wait for the head of its answer. Cancelled, the connection is given up."""
        url = URL(f"http://{address}{target}", encoded=True)
        try:
            response = await self._session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
                trace_request_ctx=attempt,
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if attempt.reused:
                self._trust_less()
            return Failure(
                verdict_of_break(attempt.connected), Cause.BROKEN, f"{type(error).__name__}: {error}"
            )
        except TimeoutError:
            return Failure(verdict_of_break(attempt.connected), Cause.UNREACHED, "connecting took too long")
        self._trust_more(response.headers.get("Keep-Alive", ""))
        problem = _problem(response, headers.get(ATTEMPT_HEADER))
        if problem is not None:
            response.close()
            return problem
        return response

    def _trust_less(self) -> None:
        """A kept connection was lost: it may have been closed while it rested."""
        self._idle_s = max(IDLE_LEAST_S, self._idle_s * IDLE_CUT)
        self._connector.set_idle(self._idle_s)

    def _trust_more(self, keep_alive: str) -> None:
        stated_s = stated_idle_s(keep_alive)
        if stated_s is not None:
            self._idle_most_s = max(IDLE_LEAST_S, stated_s - IDLE_MARGIN_S)
        idle_s = min(self._idle_most_s, self._idle_s * IDLE_GROWTH)
        if idle_s != self._idle_s:
            self._idle_s = idle_s
            self._connector.set_idle(idle_s)

    async def close(self) -> None:
        """End all connections."""
        await self._session.close()


def _problem(response: aiohttp.ClientResponse, attempt_id: str | None) -> Failure | None:
    """Why an answer's head may not be passed on; None where it may."""
    echoes = attempt_id is None or response.headers.get(ATTEMPT_HEADER) == attempt_id
    verdict = verdict_of_answer(response.status, response.headers, echoes)
    if verdict is Verdict.NOT_EXECUTED:
        return Failure(verdict, Cause.DECLINED, f"the server answered {response.status}")
    if not echoes:
        return Failure(verdict, Cause.FOREIGN, "an answer to another request")
    if response.status < 200:
        return Failure(Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, f"the server answered {response.status}")
    if response.status < 300:
        if SIGNATURE_HEADER not in response.headers:
            return Failure(Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, "an answer without the server's stamp")
        if "Content-Encoding" in response.headers:
            return Failure(Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, "an answer with an encoding")
    return None


async def next_bytes(response: aiohttp.ClientResponse) -> bytes | Failure:
    """What comes next of an answer's body; empty at its proper end."""
    try:
        return await response.content.readany()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Failure(Verdict.MAY_HAVE_EXECUTED, Cause.BROKEN, f"{type(error).__name__}: {error}")


async def whole_body(response: aiohttp.ClientResponse) -> bytes | Failure:
    """The whole body of an answer."""
    parts: list[bytes] = []
    while True:
        part = await next_bytes(response)
        if isinstance(part, Failure):
            return part
        if not part:
            return b"".join(parts)
        parts.append(part)


def passed_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Headers without those that concern one connection only."""
    named = {name.strip().lower() for value in headers.getall("Connection", []) for name in value.split(",")}
    dropped = HOP_HEADERS | named
    return CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)


def cancelled_verdict(attempt: Attempt) -> Failure:
    """What is known of an attempt that was given up on."""
    return Failure(verdict_of_break(attempt.connected), Cause.LATE, "no answer in time")
