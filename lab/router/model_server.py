"""A fake model server with the protocol of real ones and configurable faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

HEARTBEAT_INTERVAL_S = 0.3
EVENT_INTERVAL_S = 0.01


@dataclass
class Behaviour:
    """How the next requests are handled."""

    status: int = 200
    refuse: int = 0  # number of requests to reject as not executed
    reset_after: int | None = None  # number of events of a stream after which the connection is reset
    reset_limit: int = 1_000_000  # number of streams to reset
    silent: bool = False  # requests are accepted and never answered
    wrong_id: bool = False  # responses have the attempt id of another request
    unsigned: bool = False
    slow_s: float = 0.0  # delay before the response begins
    events: int = 5  # per stream
    event_s: float = EVENT_INTERVAL_S  # between events
    draining: bool = False


@dataclass
class ReceivedRequests:
    """Requests that arrived at the server."""

    executed: Counter[str] = field(default_factory=Counter)  # executed requests by attempt id
    refused: int = 0
    headers: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    paths: list[str] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)  # set with each request


class ModelServer:
    """One server of a service, at one address."""

    _numbers = itertools.count(1)

    def __init__(self, host: str, service: str, capacity: int = 8) -> None:
        self.host = host
        self.service = service
        self.capacity = capacity
        self.id = f"i-{next(self._numbers)}"
        self.behaviour = Behaviour()
        self.received = ReceivedRequests()
        self.address = ""
        self._sequence = 0
        self._runner: web.ServerRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, control: list[str]) -> None:
        """Start listening and sending heartbeats to the control plane."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{self.host}:{port}"
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats(control))

    async def _send_heartbeats(self, control: list[str]) -> None:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            for address in itertools.cycle(control):
                self._sequence += 1
                body = {
                    "service": self.service,
                    "address": self.address,
                    "zone": "a",
                    "version": "v1",
                    "capacity": self.capacity,
                    "state": "draining" if self.behaviour.draining else "ready",
                    "warmup_remaining_ms": 0,
                    "sequence": self._sequence,
                }
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with session.post(f"http://{address}/instances/{self.id}/heartbeat", json=body):
                        await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def wait_executed(self, requests: int) -> None:
        """Wait until the server has executed this number of requests."""
        while sum(self.received.executed.values()) < requests:
            self.received.arrived.clear()
            await self.received.arrived.wait()

    async def stop(self) -> None:
        """Stop without deregistration."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("X-Target-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        body = await request.read()
        attempt = request.headers.get("X-Attempt-Id", "")
        echo = {"X-Attempt-Id": "another" if self.behaviour.wrong_id else attempt}
        if self.behaviour.refuse > 0:
            self.behaviour.refuse -= 1
            self.received.refused += 1
            return web.Response(status=503, headers={**echo, "X-Not-Executed": "1"})
        self.received.executed[attempt] += 1
        self.received.headers.append(dict(request.headers))
        self.received.bodies.append(body)
        self.received.paths.append(request.raw_path)
        self.received.arrived.set()
        if self.behaviour.silent:
            await asyncio.sleep(3_600.0)
        await asyncio.sleep(self.behaviour.slow_s)
        if not self.behaviour.unsigned:
            echo["X-Server-Signature"] = f"signed by {self.id}"
        if self.behaviour.status == 200 and request.path.startswith("/stream"):
            answer = web.StreamResponse(headers={**echo, "Content-Type": "text/event-stream"})
            with contextlib.suppress(ConnectionError):  # the client disconnected
                await self._stream(request, answer)
            return answer
        return web.Response(status=self.behaviour.status, headers=echo, body=b"answer to " + body)

    async def _stream(self, request: web.BaseRequest, answer: web.StreamResponse) -> None:
        await answer.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        reset_after = self.behaviour.reset_after if self.behaviour.reset_limit > 0 else None
        for number in range(first, self.behaviour.events + 1):
            if reset_after is not None and number - first >= reset_after:
                self.behaviour.reset_limit -= 1
                await answer.write(b"id: 99\ndata: half an ev")
                assert request.transport is not None
                request.transport.abort()
                return
            await answer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(self.behaviour.event_s)
        await answer.write_eof()
