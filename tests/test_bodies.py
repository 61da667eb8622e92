"""Tests of streamed request and response bodies: framings, back pressure and bounded memory."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.node.addresses import Address
from dunlinloft.node.http import frontend
from dunlinloft.node.http.bodies import CHUNK_BYTES, MAX_BUFFERED_BYTES, Body, Memory
from dunlinloft.node.http.upstream import Attempt, Upstream
from tests.helpers import Node, final_answers, sends, timers
from tests.peers import (
    WAIT_TIMEOUT_S,
    Caller,
    NodeHarness,
    Server,
    answer,
    node_harness,
    request,
    run,
    wait_until,
)

LARGE_BODY = bytes(range(256)) * 4096  # 1 MiB
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer(Server):
    """A server whose connections are handled by a function of the test."""

    def __init__(self, serve: ConnectionHandler, **changes: Any) -> None:
        super().__init__(**changes)
        self._handler = serve

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self._handler(reader, writer)
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            pass  # the test has ended, or the node has closed the connection
        finally:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return {"": lines[0]} | {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


async def read_body(reader: asyncio.StreamReader, head: dict[str, str]) -> bytes:
    if head.get("transfer-encoding") == "chunked":
        return await read_chunked(reader)
    if "content-length" in head:
        return await reader.readexactly(int(head["content-length"]))
    return await reader.read()


async def read_response(caller: Caller) -> tuple[str, bytes]:
    """Read a response in any framing; return its status line and body."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        head = await read_head(caller.reader)
        return head[""], await read_body(caller.reader, head)


def encode_chunked(*pieces: bytes, trailer: bytes = b"") -> bytes:
    return b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n" + trailer + b"\r\n"


def chunked_request_head(id: str, cls: str = "pay", extra: str = "") -> bytes:
    head = request(id, cls, extra=extra).decode()
    return head.replace("Content-Length: 0", "Transfer-Encoding: chunked").encode()


def buffered_bytes(scene: NodeHarness) -> int:
    assert scene.node is not None
    return scene.node.memory.used_bytes


@contextlib.asynccontextmanager
async def recording_server(
    path: Path, **changes: Any
) -> AsyncIterator[tuple[NodeHarness, list[dict[str, str]], list[bytes]]]:
    """Run a node with a server that records request heads and bodies and responds with `OK`."""
    heads: list[dict[str, str]] = []
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            heads.append(await read_head(reader))
            bodies.append(await read_body(reader, heads[-1]))
            writer.write(answer(200, b"OK"))

    async with node_harness(path, RawServer(serve), **changes) as scene:
        yield scene, heads, bodies


def test_large_request_reaches_its_server_unchanged_in_either_framing(tmp_path: Path) -> None:
    async def test() -> None:
        async with recording_server(tmp_path) as (scene, heads, bodies):
            caller = await scene.caller()
            caller.write(request("a", "pay", body=LARGE_BODY))
            assert (await read_response(caller))[1] == b"OK"
            caller.write(
                chunked_request_head("b")
                + encode_chunked(LARGE_BODY[:70_000], LARGE_BODY[70_000:], trailer=b"X-T: 1\r\n")
            )
            assert (await read_response(caller))[1] == b"OK"
            caller.write(chunked_request_head("c") + encode_chunked(b"small", b"one"))
            assert (await read_response(caller))[1] == b"OK"
            assert bodies == [LARGE_BODY, LARGE_BODY, b"smallone"]
            assert heads[0]["content-length"] == str(len(LARGE_BODY)) and "transfer-encoding" not in heads[0]
            assert heads[1]["transfer-encoding"] == "chunked" and "content-length" not in heads[1]
            assert heads[2]["content-length"] == "8", "a complete body needs no chunks"
            assert buffered_bytes(scene) == 0

    run(test())


def test_large_request_is_streamed_and_its_budget_starts_at_its_end(tmp_path: Path) -> None:
    async def test() -> None:
        received_bytes = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received_bytes
            await read_head(reader)
            while data := await reader.read(CHUNK_BYTES):
                received_bytes += len(data)
                if received_bytes == len(LARGE_BODY):
                    writer.write(answer(200, b"OK"))

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            assert scene.node is not None
            caller = await scene.caller()
            message = request("a", "pay", budget="0.2", body=LARGE_BODY)
            caller.write(message[:-1000])
            await wait_until(lambda: received_bytes > 500_000)
            assert scene.node.metrics.to_json()["inflight"] == 0
            await asyncio.sleep(0.3)  # longer than the budget, which starts at the end of the request
            caller.write(message[-1000:])
            status_line, body = await read_response(caller)
            assert ("200" in status_line, body) == (True, b"OK")
            assert scene.node.metrics.to_json()["calls"]["pay"]["success"] == 1

    run(test())


def test_server_that_reads_nothing_causes_back_pressure_on_the_client(tmp_path: Path) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await read_body(reader, await read_head(reader))
            writer.write(answer(200, b"OK"))

        server = RawServer(serve)
        async with node_harness(tmp_path, server) as scene:
            caller = await scene.caller()
            body = LARGE_BODY * 24
            caller.write(request("a", "pay", body=body))
            await wait_until(lambda: server.connections == 1)
            await asyncio.sleep(0.3)
            assert buffered_bytes(scene) <= MAX_BUFFERED_BYTES + CHUNK_BYTES
            assert caller.writer.transport.get_write_buffer_size() > len(body) // 4, "no back pressure"
            gate.set()
            assert (await read_response(caller))[1] == b"OK"
            assert buffered_bytes(scene) == 0

    run(test())


FRAMINGS = {
    "length": answer(200, LARGE_BODY),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + encode_chunked(LARGE_BODY[:9], LARGE_BODY[9:]),
    "close": b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY,
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer(200, LARGE_BODY),
    "small close": b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY[:100],
    "small chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(b"a", b"b"),
}


@pytest.mark.parametrize("sent", FRAMINGS.values(), ids=FRAMINGS.keys())
def test_response_is_forwarded_unchanged_in_any_framing(sent: bytes, tmp_path: Path) -> None:
    expected = (
        b"ab" if sent.endswith(b"b\r\n0\r\n\r\n") else LARGE_BODY[:100] if len(sent) < 1000 else LARGE_BODY
    )

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_head(reader)
                writer.write(sent)
                if b"Length" not in sent and b"chunked" not in sent:
                    return

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            caller = await scene.caller()
            for id in ("a", "b"):
                caller.write(request(id))
                status_line, body = await read_response(caller)
                assert "200" in status_line and body == expected
            assert scene.node is not None and buffered_bytes(scene) == 0
            assert scene.node.metrics.to_json()["calls"]["read"]["success"] == 2
            assert scene.node.metrics.to_json()["inflight"] == 0

    run(test())


def test_response_is_streamed_before_it_is_complete_and_beyond_its_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await read_head(reader)
            if "a" in head["x-call-id"]:  # large by its Content-Length: streamed at once
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:10]
                )
                await gate.wait()
                writer.write(LARGE_BODY[10:])
            else:  # of unknown length: streamed after a short buffering timeout
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
                await gate.wait()
                writer.write(b"1\r\ny\r\n0\r\n\r\n")

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            a, b = await scene.caller(), await scene.caller()
            a.write(request("a", budget="0.3"))
            b.write(request("b", budget="0.3"))
            await read_head(a.reader)
            await read_head(b.reader)
            assert await a.reader.readexactly(10) == LARGE_BODY[:10]
            await asyncio.sleep(0.4)  # past the deadline, which does not apply to a streamed response
            gate.set()
            assert await a.reader.readexactly(len(LARGE_BODY) - 10) == LARGE_BODY[10:]
            assert await read_chunked(b.reader) == b"xy"

    run(test())


@pytest.mark.parametrize("length", [True, False])
def test_response_cut_off_by_the_server_is_seen_as_incomplete_by_the_client(
    length: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        request_count = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal request_count
            request_count += 1
            await read_head(reader)
            if length:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:100_000]
                )
            else:
                start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(start + b"%x\r\n" % len(LARGE_BODY) + LARGE_BODY[:100_000])

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await read_response(caller)
            assert scene.node is not None and buffered_bytes(scene) == 0
            assert scene.node.metrics.to_json()["calls"]["read"] == {"success": 0, "busy": 0, "failure": 1}
            assert request_count == 1, "a request whose response has started must not be retried"

    run(test())


def test_client_that_reads_nothing_causes_back_pressure_on_the_server(tmp_path: Path) -> None:
    async def test() -> None:
        body = LARGE_BODY * 24
        servers: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            servers.append(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await asyncio.Event().wait()

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            head = await read_head(caller.reader)
            await asyncio.sleep(0.3)
            assert scene.node is not None
            [connection] = scene.node.frontend._connections
            assert connection._transport.get_write_buffer_size() <= 4 * CHUNK_BYTES
            assert servers[0].transport.get_write_buffer_size() > len(body) // 4, "no back pressure"
            assert await read_body(caller.reader, head) == body

    run(test())


def test_request_with_a_released_body_is_not_retried_and_fails_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        request_count = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal request_count
            request_count += 1
            await read_head(reader)
            await reader.readexactly(MAX_BUFFERED_BYTES * 2)
            writer.transport.abort()

        async with node_harness(tmp_path, RawServer(serve, name="s"), RawServer(serve, name="t")) as scene:
            caller = await scene.caller()
            caller.write(
                request("a", "pay", body=LARGE_BODY)[: MAX_BUFFERED_BYTES * 3]
            )  # the rest is never sent
            status_line, _ = await read_response(caller)
            assert "503" in status_line, "the client can safely retry a request that was never complete"
            assert request_count == 1 and buffered_bytes(scene) == 0

    run(test())


def test_large_request_is_retried_on_another_server_after_a_failed_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tried: list[Address] = []
    send = Upstream.send

    def recording_send(self: Upstream, server: int, address: Address, *args: Any) -> Attempt:
        tried.append(address)
        return send(self, server, address, *args)

    monkeypatch.setattr(Upstream, "send", recording_send)

    async def test() -> None:
        async with recording_server(tmp_path) as (scene, _, bodies):
            dead = scene.servers[0].entry(name="dead", address="127.0.0.1:1", weight=50.0)
            scene.registry.publish(dead)
            await wait_until(lambda: scene.node is not None and len(scene.node._addresses) == 2)
            caller = await scene.caller()
            caller.write(request("a", "pay", body=LARGE_BODY))
            assert (await read_response(caller))[1] == b"OK"
            assert bodies == [LARGE_BODY] and tried[0] == ("127.0.0.1", 1) != tried[1]

    run(test())


def test_client_disconnect_in_the_middle_of_a_body_cancels_its_attempt(tmp_path: Path) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            with contextlib.suppress(ConnectionError):
                while await reader.read(CHUNK_BYTES):
                    pass
            ended.set()

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a", "pay", body=LARGE_BODY)[:-1])
            await wait_until(lambda: scene.node is not None and bool(scene.node._attempts))
            caller.writer.close()
            await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)
            await wait_until(lambda: scene.node is not None and not scene.node._attempts)
            assert buffered_bytes(scene) == 0

    run(test())


def test_client_that_expects_100_continue_gets_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with recording_server(tmp_path) as (scene, _, bodies):
            caller = await scene.caller()
            for id, body in (("a", b"tiny"), ("b", LARGE_BODY)):
                message = request(id, "pay", body=body, extra="Expect: 100-continue\r\n")
                caller.write(message[: -len(body)])
                assert (await read_head(caller.reader))[""] == "HTTP/1.1 100 Continue"
                caller.write(body)
                assert (await read_response(caller))[1] == b"OK"
            assert bodies == [b"tiny", LARGE_BODY]

    run(test())


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        async with recording_server(tmp_path) as (scene, heads, bodies):
            caller = await scene.caller()
            sent_bodies = [LARGE_BODY if n % 10 == 3 else b"%d" % n for n in range(40)]
            caller.write(b"".join(request(f"{n}", "pay", body=body) for n, body in enumerate(sent_bodies)))
            for _ in sent_bodies:
                assert (await read_response(caller))[1] == b"OK"
            assert [head["x-call-id"] for head in heads] == [f"{n}" for n in range(40)]
            assert bodies == sent_bodies and buffered_bytes(scene) == 0

    run(test())


def test_slow_body_is_accepted_and_a_stalled_one_times_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = [1000.0]
    monkeypatch.setattr(frontend, "now_ms", lambda: clock[0])

    async def test() -> None:
        async with recording_server(tmp_path) as (scene, _, bodies):
            assert scene.node is not None
            slow, stopped = await scene.caller(), await scene.caller()
            message = request("a", "pay", body=b"x" * 60_000)
            stopped.write(message.replace(b"X-Call-Id: a", b"X-Call-Id: b")[:-1])
            at = len(message) - 60_000
            slow.write(message[:at])
            for start in range(at, len(message), 10_000):
                slow.write(message[start : start + 10_000])
                await asyncio.sleep(0.15)  # for the sweep to check timeouts
                clock[0] += 900.0
            assert (await read_response(slow))[1] == b"OK"
            assert "408" in (await read_response(stopped))[0]
            assert bodies == [b"x" * 60_000]

    run(test())


def test_small_bodies_are_streamed_while_memory_is_exhausted() -> None:
    memory = Memory(32)
    body = Body(memory, 1000)
    body.feed(b"x" * 100)
    assert not body.streaming and body.is_replayable() and not body.is_full()
    large_body = Body(memory, None)
    large_body.feed(b"x" * memory.budget_bytes)
    body.feed(b"x" * 100)
    assert body.streaming and body.data_from(0) == b"x" * 200
    body.on_forwarded()
    assert not body.is_replayable() and memory.used_bytes == memory.budget_bytes
    large_body.close()
    body.close()
    assert memory.used_bytes == 0


def test_memory_budget_follows_the_limit_and_has_a_minimum() -> None:
    memory = Memory(192)
    initial_budget = memory.budget_bytes
    memory.set_limit(64)
    assert 0 < memory.budget_bytes < initial_budget
    memory.set_limit(8)
    assert memory.budget_bytes == 1024 * 1024


def test_incomplete_request_is_not_in_flight_and_its_ttl_starts_at_its_end() -> None:
    node = Node(servers=1)
    [send] = sends(node.handle(api.Request("a", "safe", 1000.0, complete=False)))
    assert node.balancer.in_flight == 0 and send.timeout_ms <= 1000.0
    node.now += 60_000.0  # however long the client takes to send it
    node.handle(api.RequestComplete("a"))
    assert node.balancer.in_flight == 1
    retry = node.complete("a", api.Result.ERROR, 300.0)
    assert timers(retry), "most of its budget is left"
    assert node.balancer.in_flight == 0


def test_request_that_is_not_replayable_is_rejected_at_once() -> None:
    node = Node(servers=3)
    node.handle(api.Request("a", "safe", 3000.0, complete=False))
    sent = node.sent["a"][0]
    event = api.AttemptCompleted("a", 0, sent, api.Result.UNREACHABLE, 0.0, False, None, False)
    [end] = final_answers(node.handle(event))
    assert isinstance(end, api.Reject)
    assert node.balancer.in_flight == 0


def test_streamed_response_is_measured_at_its_start_and_no_longer_in_flight() -> None:
    node = Node(servers=1)
    node.serve(30, delay_ms=50.0)
    usual = node.balancer._baseline.usual_share
    node.request("a")
    assert node.balancer.in_flight == 1
    node.handle(api.StreamStarted("a", 0, node.sent["a"][0], 50.0), 50.0)
    assert node.balancer.in_flight == 0
    node.complete("a", api.Result.SERVED, 30_000.0)
    assert node.balancer.in_flight == 0
    assert node.balancer._baseline.usual_share == pytest.approx(usual, rel=0.2), (
        "the time that the client takes to read must not count as server latency"
    )


def test_response_may_be_streamed_before_its_request_is_complete(tmp_path: Path) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:10])
            await read_body(reader, head)
            await asyncio.sleep(0.3)  # past the deadline, which does not apply to a streamed response
            writer.write(LARGE_BODY[10:])

        async with node_harness(tmp_path, RawServer(serve)) as scene:
            caller = await scene.caller()
            message = request("a", "pay", budget="0.2", body=LARGE_BODY)
            caller.write(message[:-1000])
            head = await read_head(caller.reader)
            assert (head["connection"], head["content-length"]) == ("close", str(len(LARGE_BODY)))
            caller.write(message[-1000:])
            assert await read_body(caller.reader, head) == LARGE_BODY
            assert scene.node is not None
            assert scene.node.metrics.to_json()["calls"]["pay"] == {"success": 1, "busy": 0, "failure": 0}

    run(test())


def test_request_that_completes_after_its_response_started_is_not_in_flight() -> None:
    node = Node(servers=1)
    node.handle(api.Request("a", "safe", 1000.0, complete=False))
    node.handle(api.StreamStarted("a", 0, node.sent["a"][0], 0.0))
    node.handle(api.RequestComplete("a"))
    assert node.balancer.in_flight == 0
    node.complete("a", api.Result.SERVED)
    assert node.balancer.in_flight == 0
    assert not node.balancer.server_set.servers[0].outstanding


def test_target_in_absolute_form_is_forwarded_as_its_path(tmp_path: Path) -> None:
    async def test() -> None:
        async with recording_server(tmp_path) as (scene, heads, _):
            caller = await scene.caller()
            caller.write(request("a", "pay").replace(b"POST /pay", b"POST http://api.internal/pay?x=1"))
            assert (await read_response(caller))[1] == b"OK"
            assert heads[0][""] == "POST /pay?x=1 HTTP/1.1"

    run(test())
