"""Bodies that flow: both ways, in all framings, with back pressure and bounded memory."""

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
from tests.helpers import Node, ends, sends, timers
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

BIG = bytes(range(256)) * 4096  # a megabyte
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Raw(Server):
    """A server whose connections a test speaks for itself."""

    def __init__(self, serve: Serve, **changes: Any) -> None:
        super().__init__(**changes)
        self._raw = serve

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self._raw(reader, writer)
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            pass  # the test is over, or the node has closed
        finally:
            writer.close()


async def head_of(reader: asyncio.StreamReader) -> dict[str, str]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return {"": lines[0]} | {name.lower(): value.strip() for name, _, value in pairs}


async def unchunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


async def body_of(reader: asyncio.StreamReader, head: dict[str, str]) -> bytes:
    if head.get("transfer-encoding") == "chunked":
        return await unchunked(reader)
    if "content-length" in head:
        return await reader.readexactly(int(head["content-length"]))
    return await reader.read()


async def got(caller: Caller) -> tuple[str, bytes]:
    """An answer in whatever framing: its first line and body."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        head = await head_of(caller.reader)
        return head[""], await body_of(caller.reader, head)


def chunked(*pieces: bytes, trailer: bytes = b"") -> bytes:
    return b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n" + trailer + b"\r\n"


def chunked_request(id: str, cls: str = "pay", extra: str = "") -> bytes:
    head = request(id, cls, extra=extra).decode()
    return head.replace("Content-Length: 0", "Transfer-Encoding: chunked").encode()


def held(scene: NodeHarness) -> int:
    assert scene.node is not None
    return scene.node.memory.used_bytes


@contextlib.asynccontextmanager
async def echo(
    path: Path, **changes: Any
) -> AsyncIterator[tuple[NodeHarness, list[dict[str, str]], list[bytes]]]:
    """A node before a server that notes what it is sent, and answers with `OK`."""
    heads: list[dict[str, str]] = []
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            heads.append(await head_of(reader))
            bodies.append(await body_of(reader, heads[-1]))
            writer.write(answer(200, b"OK"))

    async with node_harness(path, Raw(serve), **changes) as scene:
        yield scene, heads, bodies


def test_a_large_request_reaches_its_server_unchanged_in_either_framing(tmp_path: Path) -> None:
    async def test() -> None:
        async with echo(tmp_path) as (scene, heads, bodies):
            caller = await scene.caller()
            caller.write(request("a", "pay", body=BIG))
            assert (await got(caller))[1] == b"OK"
            caller.write(chunked_request("b") + chunked(BIG[:70_000], BIG[70_000:], trailer=b"X-T: 1\r\n"))
            assert (await got(caller))[1] == b"OK"
            caller.write(chunked_request("c") + chunked(b"small", b"one"))
            assert (await got(caller))[1] == b"OK"
            assert bodies == [BIG, BIG, b"smallone"]
            assert heads[0]["content-length"] == str(len(BIG)) and "transfer-encoding" not in heads[0]
            assert heads[1]["transfer-encoding"] == "chunked" and "content-length" not in heads[1]
            assert heads[2]["content-length"] == "8", "a whole one needs no chunks"
            assert held(scene) == 0

    run(test())


def test_a_large_request_is_sent_on_while_it_comes_and_its_time_runs_from_its_end(tmp_path: Path) -> None:
    async def test() -> None:
        arrived = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal arrived
            await head_of(reader)
            while data := await reader.read(CHUNK_BYTES):
                arrived += len(data)
                if arrived == len(BIG):
                    writer.write(answer(200, b"OK"))

        async with node_harness(tmp_path, Raw(serve)) as scene:
            assert scene.node is not None
            caller = await scene.caller()
            message = request("a", "pay", budget="0.2", body=BIG)
            caller.write(message[:-1000])
            await wait_until(lambda: arrived > 500_000)
            assert scene.node.metrics.to_json()["inflight"] == 0
            await asyncio.sleep(0.3)  # longer than it will wait once it is whole
            caller.write(message[-1000:])
            first, body = await got(caller)
            assert ("200" in first, body) == (True, b"OK")
            assert scene.node.metrics.to_json()["calls"]["pay"]["success"] == 1

    run(test())


def test_a_server_that_reads_nothing_holds_its_caller_up_and_not_memory(tmp_path: Path) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await body_of(reader, await head_of(reader))
            writer.write(answer(200, b"OK"))

        server = Raw(serve)
        async with node_harness(tmp_path, server) as scene:
            caller = await scene.caller()
            body = BIG * 24
            caller.write(request("a", "pay", body=body))
            await wait_until(lambda: server.connections == 1)
            await asyncio.sleep(0.3)
            assert held(scene) <= MAX_BUFFERED_BYTES + CHUNK_BYTES
            assert caller.writer.transport.get_write_buffer_size() > len(body) // 4, "it was read on and on"
            gate.set()
            assert (await got(caller))[1] == b"OK"
            assert held(scene) == 0

    run(test())


FRAMES = {
    "length": answer(200, BIG),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(BIG[:9], BIG[9:]),
    "close": b"HTTP/1.1 200 OK\r\n\r\n" + BIG,
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer(200, BIG),
    "small close": b"HTTP/1.1 200 OK\r\n\r\n" + BIG[:100],
    "small chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(b"a", b"b"),
}


@pytest.mark.parametrize("sent", FRAMES.values(), ids=FRAMES.keys())
def test_an_answer_comes_unchanged_in_any_framing(sent: bytes, tmp_path: Path) -> None:
    expected = b"ab" if sent.endswith(b"b\r\n0\r\n\r\n") else BIG[:100] if len(sent) < 1000 else BIG

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await head_of(reader)
                writer.write(sent)
                if b"Length" not in sent and b"chunked" not in sent:
                    return

        async with node_harness(tmp_path, Raw(serve)) as scene:
            caller = await scene.caller()
            for id in ("a", "b"):
                caller.write(request(id))
                first, body = await got(caller)
                assert "200" in first and body == expected
            assert scene.node is not None and held(scene) == 0
            assert scene.node.metrics.to_json()["calls"]["read"]["success"] == 2
            assert scene.node.metrics.to_json()["inflight"] == 0

    run(test())


def test_an_answer_flows_before_it_is_whole_whatever_its_time(tmp_path: Path) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await head_of(reader)
            if "a" in head["x-call-id"]:  # known to be large
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG[:10])
                await gate.wait()
                writer.write(BIG[10:])
            else:  # of unknown length: it is held for a moment only
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
                await gate.wait()
                writer.write(b"1\r\ny\r\n0\r\n\r\n")

        async with node_harness(tmp_path, Raw(serve)) as scene:
            a, b = await scene.caller(), await scene.caller()
            a.write(request("a", budget="0.3"))
            b.write(request("b", budget="0.3"))
            await head_of(a.reader)
            await head_of(b.reader)
            assert await a.reader.readexactly(10) == BIG[:10]
            await asyncio.sleep(0.4)  # its deadline passes, but it has begun
            gate.set()
            assert await a.reader.readexactly(len(BIG) - 10) == BIG[10:]
            assert await unchunked(b.reader) == b"xy"

    run(test())


@pytest.mark.parametrize("length", [True, False])
def test_an_answer_that_breaks_on_the_way_shows_as_broken(length: bool, tmp_path: Path) -> None:
    async def test() -> None:
        served = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal served
            served += 1
            await head_of(reader)
            if length:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG[:100_000])
            else:
                start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(start + b"%x\r\n" % len(BIG) + BIG[:100_000])

        async with node_harness(tmp_path, Raw(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await got(caller)
            assert scene.node is not None and held(scene) == 0
            assert scene.node.metrics.to_json()["calls"]["read"] == {"success": 0, "busy": 0, "failure": 1}
            assert served == 1, "an answer that has begun binds its request"

    run(test())


def test_a_caller_that_reads_nothing_holds_its_server_up_and_not_memory(tmp_path: Path) -> None:
    async def test() -> None:
        body = BIG * 24
        servers: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            servers.append(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await asyncio.Event().wait()

        async with node_harness(tmp_path, Raw(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            head = await head_of(caller.reader)
            await asyncio.sleep(0.3)
            assert scene.node is not None
            [mine] = scene.node.frontend._callers
            assert mine._transport.get_write_buffer_size() <= 4 * CHUNK_BYTES
            assert servers[0].transport.get_write_buffer_size() > len(body) // 4, "it was read on and on"
            assert await body_of(caller.reader, head) == body

    run(test())


def test_what_has_flowed_away_is_not_sent_again_and_the_caller_hears_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        seen = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal seen
            seen += 1
            await head_of(reader)
            await reader.readexactly(MAX_BUFFERED_BYTES * 2)
            writer.transport.abort()

        async with node_harness(tmp_path, Raw(serve, name="s"), Raw(serve, name="t")) as scene:
            caller = await scene.caller()
            caller.write(request("a", "pay", body=BIG)[: MAX_BUFFERED_BYTES * 3])  # its end never comes
            first, _ = await got(caller)
            assert "503" in first, "a request that never ran whole can safely be sent again"
            assert seen == 1 and held(scene) == 0

    run(test())


def test_a_large_request_whose_connection_never_came_up_goes_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tried: list[Address] = []
    send = Upstream.send

    def noted(self: Upstream, server: int, address: Address, *args: Any) -> Attempt:
        tried.append(address)
        return send(self, server, address, *args)

    monkeypatch.setattr(Upstream, "send", noted)

    async def test() -> None:
        async with echo(tmp_path) as (scene, _, bodies):
            dead = scene.servers[0].entry(name="dead", address="127.0.0.1:1", weight=50.0)
            scene.registry.publish(dead)
            await wait_until(lambda: scene.node is not None and len(scene.node._addresses) == 2)
            caller = await scene.caller()
            caller.write(request("a", "pay", body=BIG))
            assert (await got(caller))[1] == b"OK"
            assert bodies == [BIG] and tried[0] == ("127.0.0.1", 1) != tried[1]

    run(test())


def test_a_caller_that_leaves_in_the_middle_ends_its_attempt(tmp_path: Path) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            with contextlib.suppress(ConnectionError):
                while await reader.read(CHUNK_BYTES):
                    pass
            ended.set()

        async with node_harness(tmp_path, Raw(serve)) as scene:
            caller = await scene.caller()
            caller.write(request("a", "pay", body=BIG)[:-1])
            await wait_until(lambda: scene.node is not None and bool(scene.node._attempts))
            caller.writer.close()
            await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)
            await wait_until(lambda: scene.node is not None and not scene.node._attempts)
            assert held(scene) == 0

    run(test())


def test_a_caller_that_waits_for_the_word_to_go_on_gets_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with echo(tmp_path) as (scene, _, bodies):
            caller = await scene.caller()
            for id, body in (("a", b"tiny"), ("b", BIG)):
                message = request(id, "pay", body=body, extra="Expect: 100-continue\r\n")
                caller.write(message[: -len(body)])
                assert (await head_of(caller.reader))[""] == "HTTP/1.1 100 Continue"
                caller.write(body)
                assert (await got(caller))[1] == b"OK"
            assert bodies == [b"tiny", BIG]

    run(test())


def test_many_requests_sent_ahead_wait_unread_and_are_answered_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        async with echo(tmp_path) as (scene, heads, bodies):
            caller = await scene.caller()
            mixed = [BIG if n % 10 == 3 else b"%d" % n for n in range(40)]
            caller.write(b"".join(request(f"{n}", "pay", body=body) for n, body in enumerate(mixed)))
            for _ in mixed:
                assert (await got(caller))[1] == b"OK"
            assert [head["x-call-id"] for head in heads] == [f"{n}" for n in range(40)]
            assert bodies == mixed and held(scene) == 0

    run(test())


def test_a_slow_body_may_go_on_and_one_that_stops_may_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = [1000.0]
    monkeypatch.setattr(frontend, "now_ms", lambda: clock[0])

    async def test() -> None:
        async with echo(tmp_path) as (scene, _, bodies):
            assert scene.node is not None
            slow, stopped = await scene.caller(), await scene.caller()
            message = request("a", "pay", body=b"x" * 60_000)
            stopped.write(message.replace(b"X-Call-Id: a", b"X-Call-Id: b")[:-1])
            at = len(message) - 60_000
            slow.write(message[:at])
            for start in range(at, len(message), 10_000):
                slow.write(message[start : start + 10_000])
                await asyncio.sleep(0.15)  # for the sweep to look
                clock[0] += 900.0
            assert (await got(slow))[1] == b"OK"
            assert "408" in (await got(stopped))[0]
            assert bodies == [b"x" * 60_000]

    run(test())


def test_while_memory_is_short_smaller_bodies_flow_too() -> None:
    memory = Memory(32)
    body = Body(memory, 1000)
    body.feed(b"x" * 100)
    assert not body.streaming and body.is_replayable() and not body.is_full()
    hog = Body(memory, None)
    hog.feed(b"x" * memory.budget_bytes)
    body.feed(b"x" * 100)
    assert body.streaming and body.data_from(0) == b"x" * 200
    body.on_forwarded()
    assert not body.is_replayable() and memory.used_bytes == memory.budget_bytes
    hog.close()
    body.close()
    assert memory.used_bytes == 0


def test_a_budget_is_split_among_processes_and_never_nothing() -> None:
    memory = Memory(192)
    whole = memory.budget_bytes
    memory.set_limit(64)
    assert 0 < memory.budget_bytes < whole
    memory.set_limit(8)
    assert memory.budget_bytes == 1024 * 1024


def test_a_request_still_coming_loads_no_server_and_its_time_runs_from_its_end() -> None:
    node = Node(servers=1)
    [send] = sends(node.do(api.Request("a", "safe", 1000.0, complete=False)))
    assert node.balancer.in_flight == 0 and send.timeout_ms <= 1000.0
    node.now += 60_000.0  # however long it takes to come
    node.do(api.RequestComplete("a"))
    assert node.balancer.in_flight == 1
    retry = node.complete("a", api.Result.ERROR, 300.0)
    assert timers(retry), "most of its time is left"
    assert node.balancer.in_flight == 0


def test_what_can_not_be_sent_again_is_given_up_at_once() -> None:
    node = Node(servers=3)
    node.do(api.Request("a", "safe", 3000.0, complete=False))
    sent = node.sent["a"][0]
    event = api.AttemptCompleted("a", 0, sent, api.Result.UNREACHABLE, 0.0, False, None, False)
    [end] = ends(node.do(event))
    assert isinstance(end, api.Reject)
    assert node.balancer.in_flight == 0


def test_an_answer_that_flows_counts_when_it_begins_and_frees_its_server() -> None:
    node = Node(servers=1)
    node.serve(30, delay_ms=50.0)
    usual = node.balancer._baseline.usual_share
    node.request("a")
    assert node.balancer.in_flight == 1
    node.do(api.StreamStarted("a", 0, node.sent["a"][0], 50.0), 50.0)
    assert node.balancer.in_flight == 0
    node.complete("a", api.Result.SERVED, 30_000.0)
    assert node.balancer.in_flight == 0
    assert node.balancer._baseline.usual_share == pytest.approx(usual, rel=0.2), (
        "the caller's pace is none of the tier's"
    )


def test_an_answer_may_flow_before_its_request_is_whole(tmp_path: Path) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await head_of(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG[:10])
            await body_of(reader, head)
            await asyncio.sleep(0.3)  # over its time, which an answer that flows has not
            writer.write(BIG[10:])

        async with node_harness(tmp_path, Raw(serve)) as scene:
            caller = await scene.caller()
            message = request("a", "pay", budget="0.2", body=BIG)
            caller.write(message[:-1000])
            head = await head_of(caller.reader)
            assert (head["connection"], head["content-length"]) == ("close", str(len(BIG)))
            caller.write(message[-1000:])
            assert await body_of(caller.reader, head) == BIG
            assert scene.node is not None
            assert scene.node.metrics.to_json()["calls"]["pay"] == {"success": 1, "busy": 0, "failure": 0}

    run(test())


def test_a_call_bound_before_it_is_whole_loads_no_server_later() -> None:
    node = Node(servers=1)
    node.do(api.Request("a", "safe", 1000.0, complete=False))
    node.do(api.StreamStarted("a", 0, node.sent["a"][0], 0.0))
    node.do(api.RequestComplete("a"))
    assert node.balancer.in_flight == 0
    node.complete("a", api.Result.SERVED)
    assert node.balancer.in_flight == 0
    assert not node.balancer.server_set.servers[0].outstanding


def test_a_target_in_absolute_form_goes_on_as_its_path(tmp_path: Path) -> None:
    async def test() -> None:
        async with echo(tmp_path) as (scene, heads, _):
            caller = await scene.caller()
            caller.write(request("a", "pay").replace(b"POST /pay", b"POST http://api.internal/pay?x=1"))
            assert (await got(caller))[1] == b"OK"
            assert heads[0][""] == "POST /pay?x=1 HTTP/1.1"

    run(test())
