"""The HTTP API refuses what it could not pass on unchanged to the disk, replicas and nodes."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

import msgspec
import pytest
from aiohttp.web_server import Server
from hypothesis import given
from hypothesis import strategies as st

from dunlinloft.controlplane.exceptions import InvalidJsonError
from dunlinloft.controlplane.http_api import HttpApi
from dunlinloft.controlplane.json_input import MAX_NESTING_DEPTH, decode_document
from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.stream import ServerHeartbeats, ServerRecord

HEARTBEAT = {"service": "pool", "address": "10.0.0.1:80", "sequence": 1}


@dataclass
class _Received:
    """What the API has passed on."""

    changes: list[ConfigurationChange] = field(default_factory=list)
    records: list[ServerRecord] = field(default_factory=list)
    deregistered: list[str] = field(default_factory=list)

    async def call(self, change: ConfigurationChange | None) -> Reply:
        assert change is not None
        self.changes.append(change)
        return Reply("token", 200, "taken", 1, None)

    async def heartbeat(self, record: ServerRecord) -> bool:
        self.records.append(record)
        return True

    async def deregister(self, server_id: str) -> bool:
        self.deregistered.append(server_id)
        return True


@dataclass(frozen=True)
class _Response:
    status: int
    body: bytes


def _post(path: bytes, body: bytes, headers: bytes = b"") -> tuple[_Response, _Received]:
    """Send one request to an API over a socket; return the response and what the API passed on."""
    received = _Received()

    async def scenario() -> _Response:
        api = HttpApi(received.call, received.heartbeat, received.deregister)
        server = Server(api.handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        async with listener:
            host, port = listener.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(host, port)
            length = b"Content-Length: %d\r\n" % len(body)
            head = b"POST " + path + b" HTTP/1.1\r\nHost: control\r\nConnection: close\r\n" + length
            writer.write(head + headers + b"\r\n" + body)
            answer = await reader.read()
            writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return _Response(int(head.split()[1]), content)

    return asyncio.run(scenario()), received


def _nested(levels: int) -> bytes:
    return b"[" * levels + b"]" * levels


@pytest.mark.parametrize(
    "value",
    [
        b"NaN",
        b"-Infinity",
        b"1e400",
        b'"\\ud83d"',
        b'"\xed\xa0\xbd"',
        b"9" * 5_000,
        _nested(MAX_NESTING_DEPTH),
        _nested(900),
    ],
    ids=[
        "NaN",
        "Infinity",
        "1e400",
        "lone surrogate",
        "encoded surrogate",
        "digits",
        "nested",
        "nested deep",
    ],
)
def test_a_document_that_replicas_could_not_decode_equally_is_refused(value: bytes) -> None:
    """`NaN` was acknowledged and written as `null`: no later change came into force (review/3)."""
    response, received = _post(
        b"/configuration/replace", b'{"version":1,"x":' + value + b"}", b"X-Base-Version: 0\r\n"
    )
    assert response.status == 400
    assert json.loads(response.body)["reason"].startswith("request body is ")
    assert not received.changes


@pytest.mark.parametrize("base", [b"", b"-1", b"1.0", "٣".encode(), b"9" * 5_000], ids=len)
def test_an_invalid_base_version_is_refused(base: bytes) -> None:
    response, received = _post(
        b"/configuration/update", b'{"version":2}', b"X-Base-Version: " + base + b"\r\n"
    )
    assert response.status == 400
    assert not received.changes


def test_a_valid_document_is_passed_on_as_sent() -> None:
    body = '{"version": 18446744073709551616, "x": [1.5, -0.0, "\\ud83d\\ude00", "ü", null, true]}'
    response, received = _post(
        b"/configuration/replace", b"\xef\xbb\xbf" + body.encode(), b"X-Base-Version: 007\r\n"
    )
    assert response.status == 200
    [change] = received.changes
    assert change.base_version == 7
    assert change.body == json.loads(body)


@pytest.mark.parametrize("verb", [b"heartbeat", b"deregister"])
@pytest.mark.parametrize("server_id", [b"i-\xff", b"i-\xed\xa0\xbd", b"i-%FF\xff"])
def test_a_server_id_that_can_not_be_encoded_is_refused(verb: bytes, server_id: bytes) -> None:
    """Relaying such an id to the other replicas would end the loop, and with it the process."""
    path = b"/instances/" + server_id + b"/" + verb
    response, received = _post(path, json.dumps(HEARTBEAT).encode())
    assert response.status == 400
    assert not received.records
    assert not received.deregistered


@pytest.mark.parametrize(
    "field_json",
    [
        b'"model_list":[' + _nested(900) + b"]",
        b'"model_list":[NaN]',
        b'"warmup_remaining_ms":1e400',
        b'"zone":"\\ud83d"',
    ],
    ids=["nested", "NaN", "1e400", "lone surrogate"],
)
def test_a_heartbeat_that_can_not_be_relayed_is_refused(field_json: bytes) -> None:
    body = json.dumps(HEARTBEAT).encode()[:-1] + b"," + field_json + b"}"
    response, received = _post(b"/instances/i-1/heartbeat", body)
    assert response.status == 400
    assert not received.records


@pytest.mark.parametrize("name", ["capacity", "warmup_remaining_ms"])
@pytest.mark.parametrize("number", ["1" + 400 * "0", "-1" + 400 * "0", str(2**54)], ids=len)
def test_a_heartbeat_with_a_number_that_nodes_can_not_compute_with_is_refused(name: str, number: str) -> None:
    """A node answered each request to the service of a server with such a capacity with 500."""
    body = json.dumps(HEARTBEAT).encode()[:-1] + f',"{name}":{number}}}'.encode()
    response, received = _post(b"/instances/i-1/heartbeat", body)
    assert response.status == 400
    assert name in json.loads(response.body)["reason"]
    assert not received.records


def test_a_heartbeat_is_passed_on_as_sent() -> None:
    models = [{"name": "m", "version": 1, "loras": []}]
    response, received = _post(
        b"/instances/i-1/heartbeat", json.dumps({**HEARTBEAT, "model_list": models}).encode()
    )
    assert response.status == 200
    [record] = received.records
    assert (record.id, record.service, record.model_list) == ("i-1", "pool", tuple(models))
    message = ServerHeartbeats((record,), ())
    assert msgspec.json.decode(msgspec.json.encode(message), type=ServerHeartbeats) == message


_numbers = st.integers() | st.integers(-(2**70), 2**70) | st.floats()
_texts = st.text(st.characters(exclude_categories=())) | st.sampled_from(["", "\ud83d", "\x00"])
_values = st.recursive(
    st.none() | st.booleans() | _numbers | _texts,
    lambda children: st.lists(children) | st.dictionaries(_texts, children),
)


@given(document=st.dictionaries(_texts, _values), ascii_only=st.booleans())
def test_an_accepted_document_is_the_same_wherever_it_is_decoded(
    document: dict[str, object], ascii_only: bool
) -> None:
    """A document is refused, or equals what a replica decodes and what a client reads back."""
    data = json.dumps(document, ensure_ascii=ascii_only).encode(errors="surrogatepass")
    try:
        accepted = decode_document(data)
    except InvalidJsonError:
        return
    encoded = msgspec.json.encode(accepted)
    assert msgspec.json.decode(encoded) == accepted
    assert json.loads(encoded) == json.loads(data) == document
