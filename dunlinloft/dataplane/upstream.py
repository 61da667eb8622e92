"""The connections to one service's servers, and sending a single attempt over them; never retries."""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.http_headers import ATTEMPT_ID_HEADER
from dunlinloft.dataplane.server_connector import ServerConnector
from dunlinloft.dataplane.server_response import head_failure
from dunlinloft.dataplane.verdict import AttemptFailure, verdict_of_broken_attempt

CONNECT_TIMEOUT_S = 0.3
READ_BUFFER_BYTES = 2**16
MAX_RESPONSE_HEADER_BYTES = 32_768  # limit for one header line of a server

# Idle timeout of pooled connections. Its maximum is the default until a server advertises its own timeout in
# `Keep-Alive`, then the advertised value minus a margin for data in transit. The timeout is multiplied by the
# decrease factor after each loss of a reused connection, and by the increase factor after each response.
DEFAULT_IDLE_TIMEOUT_S = 4.0
IDLE_TIMEOUT_MARGIN_S = 2.0
MIN_IDLE_TIMEOUT_S = 0.5
IDLE_TIMEOUT_DECREASE = 0.5
IDLE_TIMEOUT_INCREASE = 1.03

# Header fields that aiohttp must not add if the client did not send them.
_NO_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True)
class AttemptTrace:
    """The progress of an attempt; updated while it is in flight."""

    connected: bool = False
    reused: bool = False  # sent on a pooled connection


async def _on_connected(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: aiohttp.TraceConnectionCreateEndParams
) -> None:
    context.trace_request_ctx.connected = True


async def _on_reused(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: aiohttp.TraceConnectionReuseconnParams
) -> None:
    context.trace_request_ctx.connected = True
    context.trace_request_ctx.reused = True


def advertised_idle_timeout_s(keep_alive: str) -> float | None:
    """The idle timeout advertised by a `Keep-Alive` header; None if there is none."""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return float(value)
    return None


class Upstream:
    """The connection pool of one service; owned by `ServiceContexts`, used by every attempt."""

    def __init__(self, max_in_flight: int) -> None:
        self.max_in_flight = max_in_flight  # requests per server; enforced by `AttemptSequence`
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_on_connected)
        trace.on_connection_reuseconn.append(_on_reused)
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._max_idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._connector = ServerConnector(DEFAULT_IDLE_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            read_bufsize=READ_BUFFER_BYTES,
            trace_configs=[trace],
            max_line_size=MAX_RESPONSE_HEADER_BYTES,
            max_field_size=MAX_RESPONSE_HEADER_BYTES,
        )
        # By default aiohttp retries idempotent methods such as GET and PUT when a pooled connection is lost.
        self._session._retry_connection = False

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        trace: AttemptTrace,
    ) -> aiohttp.ClientResponse | AttemptFailure:
        """Send a request and wait for the head of its response; cancellation closes the connection."""
        url = URL(f"http://{address}{target}", encoded=True)
        try:
            response = await self._session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                skip_auto_headers=_NO_AUTOMATIC_HEADERS,
                allow_redirects=False,
                trace_request_ctx=trace,
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if trace.reused:
                self._decrease_idle_timeout()
            return AttemptFailure(
                verdict_of_broken_attempt(trace.connected), Cause.BROKEN, f"{type(error).__name__}: {error}"
            )
        self._increase_idle_timeout(response.headers.get("Keep-Alive", ""))
        failure = head_failure(response, headers.get(ATTEMPT_ID_HEADER))
        if failure is not None:
            response.close()
            return failure
        return response

    def _decrease_idle_timeout(self) -> None:
        """Shorten the idle timeout: a pooled connection was lost, which the server may have closed."""
        self._idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, self._idle_timeout_s * IDLE_TIMEOUT_DECREASE)
        self._connector.set_idle_timeout(self._idle_timeout_s)

    def _increase_idle_timeout(self, keep_alive: str) -> None:
        advertised_s = advertised_idle_timeout_s(keep_alive)
        if advertised_s is not None:
            self._max_idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, advertised_s - IDLE_TIMEOUT_MARGIN_S)
        idle_timeout_s = min(self._max_idle_timeout_s, self._idle_timeout_s * IDLE_TIMEOUT_INCREASE)
        if idle_timeout_s != self._idle_timeout_s:
            self._idle_timeout_s = idle_timeout_s
            self._connector.set_idle_timeout(idle_timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
