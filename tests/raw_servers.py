"""A test harness of one node, two raw servers and a client, shared by the tests with raw servers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import uvloop
from aiohttp.client import ClientSession

from lab.router.bare_node import SERVICE, BareNode
from lab.router.raw_server import Arrival, RawServer, Script, answer, events

HOST = "fleet.example"
DEADLINE_MS = 700
ROUTE_KINDS = ("unsafe", "safe", "once", "resumable")  # `once` is a stream that can't be resumed
IDEMPOTENT_KINDS = ("safe", "resumable")
METHODS = ("POST", "GET", "PUT")
MAX_ATTEMPTS = 2


def _route(kind: str) -> dict[str, Any]:
    return {
        "name": kind,
        "hostname": HOST,
        "path_prefix": f"/{kind}/",
        "type": "streaming" if kind in ("once", "resumable") else kind,
        "resumable": kind == "resumable",
        "timeout_ms": 2_000,
        "target_latency_ms": 100,
        "service": SERVICE,
        "max_attempts": MAX_ATTEMPTS,
    }


class ClientResult:
    """What the client received for one attempt."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.status = 0  # 0 if the connection ended without a complete response
        self.body = b""

    @property
    def complete(self) -> bool:
        """Whether this is a successful response that belongs to the attempt."""
        return self.status == 200 and self.attempt.encode() in self.body


class Harness:
    """A node, its servers and a client."""

    def __init__(self, node: BareNode, servers: list[RawServer], session: ClientSession) -> None:
        self.node = node
        self.servers = servers
        self.session = session
        self._ids = itertools.count(1)

    async def send(
        self, kind: str, method: str = "POST", body: bytes = b"question", deadline_ms: int = DEADLINE_MS
    ) -> ClientResult:
        """Send one request; attempt ids are numbered from try-1."""
        result = ClientResult(f"try-{next(self._ids)}")
        headers = {"Host": HOST, "X-Attempt-Id": result.attempt, "X-Deadline-Ms": str(deadline_ms)}
        data = None if method == "GET" else body
        try:
            url = f"{self.node.url}/{kind}/a"
            async with self.session.request(method, url, data=data, headers=headers) as response:
                result.body = await response.read()
                result.status = response.status
        except (aiohttp.ClientError, ConnectionError):
            result.status = 0
        return result

    def executions(self, result: ClientResult) -> int:
        """How often a request was executed, summed over all servers."""
        return sum(server.runs[result.attempt] for server in self.servers)


def run_scenario(script: Script, scenario: Callable[[Harness], Awaitable[None]], **options: Any) -> None:
    """Run a scenario against two servers that run `script`; `options` are those of `RawServer`."""

    async def main() -> None:
        servers = [RawServer(script, **options) for _ in range(2)]
        for server in servers:
            await server.start()
        node = BareNode([_route(kind) for kind in ROUTE_KINDS], [server.address for server in servers])
        await node.start()
        try:
            async with aiohttp.ClientSession() as session, asyncio.timeout(20.0):
                await scenario(Harness(node, servers, session))
        finally:
            for server in servers:
                server.stop()
            await node.stop()

    uvloop.run(main())  # the event loop that the programs use


def valid_response(arrival: Arrival) -> bytes:
    """A valid response, whose body contains the id of its attempt."""
    body = b"for " + arrival.attempt.encode()
    if arrival.head.split(b" ")[1].startswith((b"/once", b"/resumable")):
        return answer(arrival, events(1, 3) + b"data: " + body + b"\n\n", stream=True)
    return answer(arrival, body)
