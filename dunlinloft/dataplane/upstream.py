"""Connections to servers, and one attempt over them. Nothing here repeats an attempt."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from dunlinloft.dataplane.verdict import Failure, Verdict, verdict_of_answer, verdict_of_break

CONNECT_S = 0.3
IDLE_S = 4.0  # connections that rested longer aren't used again
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


def _socket(info: Any) -> socket.socket:
    family, kind, protocol, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
    return sock


async def _on_connected(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.connected = True


class Upstream:
    """The connections to one service's servers."""

    def __init__(self, per_server: int) -> None:
        self.per_server = per_server
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_on_connected)
        trace.on_connection_reuseconn.append(_on_connected)
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=0, keepalive_timeout=IDLE_S, use_dns_cache=False, socket_factory=_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
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
            return Failure(verdict_of_break(attempt.connected), f"{type(error).__name__}: {error}")
        except TimeoutError:
            return Failure(verdict_of_break(attempt.connected), "connecting took too long")
        problem = _problem(response, headers.get(ATTEMPT_HEADER))
        if problem is not None:
            response.close()
            return problem
        return response

    async def close(self) -> None:
        """End all connections."""
        await self._session.close()


def _problem(response: aiohttp.ClientResponse, attempt_id: str | None) -> Failure | None:
    """Why an answer's head may not be passed on; None where it may."""
    echoes = attempt_id is None or response.headers.get(ATTEMPT_HEADER) == attempt_id
    verdict = verdict_of_answer(response.status, response.headers, echoes)
    if verdict is Verdict.NOT_EXECUTED:
        return Failure(verdict, f"the server answered {response.status}")
    if not echoes:
        return Failure(verdict, "an answer to another request")
    if response.status < 200:
        return Failure(Verdict.MAY_HAVE_EXECUTED, f"the server answered {response.status}")
    if response.status < 300:
        if SIGNATURE_HEADER not in response.headers:
            return Failure(Verdict.MAY_HAVE_EXECUTED, "an answer without the server's stamp")
        if "Content-Encoding" in response.headers:
            return Failure(Verdict.MAY_HAVE_EXECUTED, "an answer with an encoding")
    return None


async def next_bytes(response: aiohttp.ClientResponse) -> bytes | Failure:
    """What comes next of an answer's body; empty at its proper end."""
    try:
        return await response.content.readany()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Failure(Verdict.MAY_HAVE_EXECUTED, f"{type(error).__name__}: {error}")


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
    return Failure(verdict_of_break(attempt.connected), "no answer in time")
