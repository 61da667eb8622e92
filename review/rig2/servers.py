"""A stand-in for a server of a service: it registers, sends heartbeats, and answers as its handler says."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import Awaitable, Callable

from rig2.fleet import Fleet
from rig2.http import Request, ask, read_request

HEARTBEAT_INTERVAL_S = 1.2
READ_AHEAD_BYTES = 2**16  # of a request, beyond what the server has asked for
QUEUE_LENGTH = 1  # requests that wait at a server for a place; it declines any more

# Answers one request on its connection; returns whether the connection is kept.
Handler = Callable[["ModelServer", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class ModelServer:
    """One server; `ran` holds the attempt ids of the requests that it began to work on."""

    _numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, service: str, handler: Handler, capacity: int = 8) -> None:
        self._fleet = fleet
        self.service = service
        self._handler = handler
        self.capacity = capacity
        self.id = f"i-{next(self._numbers):04x}"
        self.state = "ready"
        self.ran: list[str] = []
        self.address = ""
        self.sequence = 0
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._places = asyncio.Semaphore(capacity)
        self._queued = 0

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._listener = await asyncio.start_server(
            self._serve, self._fleet.server_host, 0, limit=READ_AHEAD_BYTES
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._beats = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """End without a word."""
        self.stop_beats()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def release_address(self) -> None:
        """Listen no more, so that another process can serve at the address; heartbeats go on."""
        assert self._listener is not None
        self._listener.close()
        await self._listener.wait_closed()

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat(self) -> bool:
        """Send one heartbeat, to the next control plane too if one doesn't acknowledge it."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "a",
                "version": "v1",
                "capacity": self.capacity,
                "state": self.state,
                "warmup_remaining_ms": 0,
                "sequence": self.sequence,
            }
        ).encode()
        return await self.tell(f"/instances/{self.id}/heartbeat", body)

    async def tell(self, path: str, body: bytes = b"{}") -> bool:
        """Send a call to the control planes in turn until one acknowledges it."""
        headers = {"Content-Type": "application/json"}
        for address in self._fleet.control_addresses():
            if (await ask(address, "POST", path, headers, body, 1.0)).status == 200:
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _admit(self) -> bool:
        """Wait for a place; False if the queue is full."""
        if self._places.locked() and self._queued >= QUEUE_LENGTH:
            return False
        self._queued += 1
        try:
            await self._places.acquire()
        finally:
            self._queued -= 1
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.headers.get("x-target-instance", self.id) != self.id:
                    writer.write(declined(request, "421 Misdirected"))
                    continue
                if not await self._admit():
                    self._fleet.record.note(f"server {self.id} declines {request.attempt}")
                    writer.write(declined(request, "503 Full"))
                    continue
                try:
                    self.ran.append(request.attempt)
                    self._fleet.record.note(
                        f"server {self.id} runs {request.attempt} {request.method} {request.target}"
                    )
                    if not await self._handler(self, request, reader, writer):
                        return
                finally:
                    self._places.release()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


def declined(request: Request, status: str) -> bytes:
    """An answer which says that the request was not run."""
    fields = f"X-Attempt-Id: {request.attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0"
    return f"HTTP/1.1 {status}\r\n{fields}\r\n\r\n".encode()


def signed_head(server: ModelServer, request: Request, *more: str, status: str = "200 OK") -> bytes:
    """The head of an answer with the server's stamp, and with these fields besides."""
    fields = [
        f"X-Attempt-Id: {request.attempt}",
        f"X-Server-Signature: stamp.{server.id}",
        *more,
    ]
    return f"HTTP/1.1 {status}\r\n".encode() + "\r\n".join(fields).encode() + b"\r\n\r\n"
