"""What servers and the operator call over HTTP."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.calls import Invalid
from dunlinloft.coordination.messages import Document, Order
from dunlinloft.coordination.stream import ServerRecord

MOST_BODY = 32 * 1024 * 1024  # bytes of a configuration
MOST_BEAT = 256 * 1024  # bytes of a heartbeat
CHUNK = 65_536

BASE_HEADER = "X-Base-Version"


class Heartbeat(msgspec.Struct):
    """The body of a heartbeat; what isn't named here is ignored."""

    service: str
    address: str
    zone: str = ""
    capacity: int = 1
    state: str = "ready"
    warmup_remaining_ms: float = 0.0
    sequence: int = 0
    phase: str = ""
    model_list: list[object] = []


_heartbeat = msgspec.json.Decoder(Heartbeat)


class TooLarge(Exception):
    """A body over the limit."""


async def read_whole(request: BaseRequest, most: int) -> bytes:
    """A request's body. Raises `TooLarge`."""
    parts: list[bytes] = []
    length = 0
    async for part in request.content.iter_chunked(CHUNK):
        length += len(part)
        if length > most:
            raise TooLarge
        parts.append(part)
    return b"".join(parts)


def answer(status: int, text: str = "") -> Response:
    """An answer whose reason stands in its body."""
    body = msgspec.json.encode({"reason": text} if text else {})
    return Response(status=status, body=body, content_type="application/json")


class Api:
    """Takes calls apart and hands them on."""

    def __init__(
        self,
        call: Callable[[Order | None], Awaitable[Reply]],
        beat: Callable[[ServerRecord], Awaitable[bool]],
        leave: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._call = call
        self._beat = beat
        self._leave = leave

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one call."""
        try:
            return await self._route(request)
        except TooLarge:
            return answer(413, "the body is too large")

    async def _route(self, request: BaseRequest) -> StreamResponse:
        steps = request.path.strip("/").split("/")
        match (request.method, steps):
            case ("POST", ["instances", server_id, "heartbeat"]):
                return await self._on_beat(server_id, await read_whole(request, MOST_BEAT))
            case ("POST", ["instances", server_id, "deregister"]):
                await read_whole(request, MOST_BEAT)
                return _acknowledgement(await self._leave(server_id))
            case ("POST", ["configuration", ("replace" | "update") as kind]):
                return await self._on_order(request, kind)
            case ("GET", ["configuration", "describe"]):
                return await self._on_describe()
        return answer(404, "no such call")

    async def _on_beat(self, server_id: str, body: bytes) -> StreamResponse:
        try:
            beat = _heartbeat.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return answer(400, f"heartbeat: {error}")
        record = ServerRecord(
            server_id,
            beat.service,
            beat.address,
            beat.zone,
            beat.capacity,
            beat.state,
            beat.sequence,
            beat.warmup_remaining_ms,
            beat.phase,
            tuple(beat.model_list),
        )
        return _acknowledgement(await self._beat(record))

    async def _on_order(self, request: BaseRequest, kind: str) -> StreamResponse:
        data = await read_whole(request, MOST_BODY)
        base = request.headers.get(BASE_HEADER, "")
        if not base.isdecimal():
            return answer(400, f"{BASE_HEADER}: a whole number expected")
        body = read_body(data)
        if isinstance(body, Invalid):
            return answer(400, body.reason)
        digest = hashlib.blake2b(f"{kind}/{int(base)}/".encode() + data, digest_size=16).hexdigest()
        reply = await self._call(Order(kind, int(base), digest, body))
        return answer(reply.status, reply.reason)

    async def _on_describe(self) -> StreamResponse:
        reply = await self._call(None)
        if reply.status != 200:
            return answer(reply.status, reply.reason)
        if not reply.document:
            return answer(404, "no configuration has been taken yet")
        body = msgspec.json.encode(reply.document)
        return Response(status=200, body=body, content_type="application/json")


def _acknowledgement(taken: bool) -> Response:
    """The answer to a server: one that can't be acknowledged here asks another control plane."""
    return answer(200) if taken else answer(503, "this control plane can't pass it on now")


def read_body(data: bytes) -> Document | Invalid:
    """A body as an object."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return Invalid("the body is not JSON that can be read whole")
    if not isinstance(body, dict):
        return Invalid("the body: an object expected")
    return body
