"""The HTTP API for servers and the operator.

=========================================  ==================================================
POST /instances/{server id}/heartbeat      a server's heartbeat
POST /instances/{server id}/deregister     a server shuts down
POST /configuration/replace, .../update    a configuration change based on version `X-Base-Version`
GET /configuration/describe                the committed configuration
=========================================  ==================================================
"""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from dunlinloft.configuration import MAX_NUMBER
from dunlinloft.controlplane.exceptions import BodyTooLargeError, InvalidJsonError
from dunlinloft.controlplane.json_input import check_nesting, decode_document, is_encodable
from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.stream import ServerRecord

MAX_CONFIGURATION_BYTES = 32 * 1024 * 1024
MAX_HEARTBEAT_BYTES = 256 * 1024
READ_CHUNK_BYTES = 65_536

BASE_VERSION_HEADER = "X-Base-Version"
MAX_VERSION_DIGITS = 30


# A number that this program and the nodes compute with.
_BOUNDED = msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)


class Heartbeat(msgspec.Struct):
    """The body of a heartbeat request; unknown fields are ignored."""

    service: str
    address: str
    zone: str = ""
    capacity: Annotated[int, _BOUNDED] = 1
    state: str = "ready"
    warmup_remaining_ms: Annotated[float, _BOUNDED] = 0.0
    sequence: int = 0
    phase: str = ""
    model_list: list[object] = []


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


class HttpApi:
    """Decodes requests, dispatches them to the replica or the registrar, and encodes the responses.

    Parameters
    ----------
    call:
        Performs an operator request, a read if the change is None (`ReplicaHost.call`).
    heartbeat, deregister:
        Handle a server's request; return True if it may be acknowledged (`ServerRegistrar`).
    """

    def __init__(
        self,
        call: Callable[[ConfigurationChange | None], Awaitable[Reply]],
        heartbeat: Callable[[ServerRecord], Awaitable[bool]],
        deregister: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._call = call
        self._heartbeat = heartbeat
        self._deregister = deregister

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Handle one HTTP request."""
        try:
            return await self._route(request)
        except BodyTooLargeError:
            return json_response(413, "request body too large")

    async def _route(self, request: BaseRequest) -> StreamResponse:
        segments = request.path.strip("/").split("/")
        match (request.method, segments):
            case ("POST", ["instances", server_id, _]) if not is_encodable(server_id):
                return json_response(400, "server id is not valid UTF-8")
            case ("POST", ["instances", server_id, "heartbeat"]):
                return await self._on_heartbeat(server_id, await read_body(request, MAX_HEARTBEAT_BYTES))
            case ("POST", ["instances", server_id, "deregister"]):
                await read_body(request, MAX_HEARTBEAT_BYTES)
                return _acknowledgement(await self._deregister(server_id))
            case ("POST", ["configuration", ("replace" | "update") as kind]):
                return await self._on_change(request, kind)
            case ("GET", ["configuration", "describe"]):
                return await self._on_describe()
        return json_response(404, "no such endpoint")

    async def _on_heartbeat(self, server_id: str, body: bytes) -> StreamResponse:
        try:
            heartbeat = _heartbeat_decoder.decode(body)
            check_nesting(heartbeat.model_list)
        except (msgspec.DecodeError, ValueError, RecursionError, InvalidJsonError) as error:
            return json_response(400, f"invalid heartbeat: {error}")
        record = ServerRecord(
            server_id,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.capacity,
            heartbeat.state,
            heartbeat.sequence,
            heartbeat.warmup_remaining_ms,
            heartbeat.phase,
            tuple(heartbeat.model_list),
        )
        return _acknowledgement(await self._heartbeat(record))

    async def _on_change(self, request: BaseRequest, kind: str) -> StreamResponse:
        data = await read_body(request, MAX_CONFIGURATION_BYTES)
        base = parse_base_version(request.headers.get(BASE_VERSION_HEADER, ""))
        if base is None:
            return json_response(400, f"{BASE_VERSION_HEADER} header must be a non-negative integer")
        try:
            document = decode_document(data)
        except InvalidJsonError as error:
            return json_response(400, f"request body is {error}")
        # The digest covers the raw request bytes, so that a retry with the same bytes is the same change.
        digest = hashlib.blake2b(f"{kind}/{base}/".encode() + data, digest_size=16).hexdigest()
        reply = await self._call(ConfigurationChange(kind, base, digest, document))
        return json_response(reply.status, reply.reason)

    async def _on_describe(self) -> StreamResponse:
        reply = await self._call(None)
        if reply.status != 200:
            return json_response(reply.status, reply.reason)
        if not reply.version:
            return json_response(404, "no configuration has been committed yet")
        body = msgspec.json.encode(reply.document)
        return Response(status=200, body=body, content_type="application/json")


async def read_body(request: BaseRequest, limit_bytes: int) -> bytes:
    """Read a request's body up to a limit. Raises `BodyTooLargeError`."""
    chunks: list[bytes] = []
    length = 0
    async for chunk in request.content.iter_chunked(READ_CHUNK_BYTES):
        length += len(chunk)
        if length > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        chunks.append(chunk)
    return b"".join(chunks)


def parse_base_version(text: str) -> int | None:
    """Parse the base version of a change; None if the text is not a non-negative integer."""
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if valid else None


def json_response(status: int, reason: str = "") -> Response:
    """Build a JSON response whose body contains the reason, if there is one."""
    body = msgspec.json.encode({"reason": reason} if reason else {})
    return Response(status=status, body=body, content_type="application/json")


def _acknowledgement(acknowledged: bool) -> Response:
    """The response to a server; on 503 the server retries at another control plane."""
    if acknowledged:
        return json_response(200)
    return json_response(503, "not confirmed by a majority of control planes")
