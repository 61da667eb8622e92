"""The data plane against servers down to the socket: how often requests run, and whose bytes clients get."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest
import uvloop
from aiohttp.client import ClientSession

from dunlinloft.dataplane.closing import END_MS, NOTICE_MS, Closing
from dunlinloft.dataplane.upstream import Upstream
from lab.router.bare_node import SERVICE, BareNode
from lab.router.raw_server import Arrival, Connection, RawServer, Script, answer, events

HOST = "fleet.example"
DEADLINE_MS = 700
KINDS = ("unsafe", "safe", "once", "resumable")
IDEMPOTENT = ("safe", "resumable")
METHODS = ("POST", "GET", "PUT")
MOST_ATTEMPTS = 2
LONG_BODY = b"0123456789abcdef" * 65_536  # 1 MiB


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
        "max_attempts": MOST_ATTEMPTS,
    }


class Answered:
    """What a client got."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.status = 0  # 0: the connection ended without a whole answer
        self.body = b""


class Scene:
    """A node, its servers and a client."""

    def __init__(self, node: BareNode, servers: list[RawServer], session: ClientSession) -> None:
        self.node = node
        self.servers = servers
        self.session = session
        self._ids = itertools.count(1)

    async def ask(
        self, kind: str, method: str = "POST", body: bytes = b"question", deadline_ms: int = DEADLINE_MS
    ) -> Answered:
        """One request of a client."""
        got = Answered(f"try-{next(self._ids)}")
        headers = {"Host": HOST, "X-Attempt-Id": got.attempt, "X-Deadline-Ms": str(deadline_ms)}
        data = None if method == "GET" else body
        try:
            url = f"{self.node.url}/{kind}/a"
            async with self.session.request(method, url, data=data, headers=headers) as response:
                got.body = await response.read()
                got.status = response.status
        except (aiohttp.ClientError, ConnectionError):
            got.status = 0
        return got

    def runs(self, got: Answered) -> int:
        """How often a request ran, over all servers."""
        return sum(server.runs[got.attempt] for server in self.servers)


def _play(script: Script, scene: Callable[[Scene], Awaitable[None]], **more: Any) -> None:
    async def main() -> None:
        servers = [RawServer(script, **more) for _ in range(2)]
        for server in servers:
            await server.start()
        node = BareNode([_route(kind) for kind in KINDS], [server.address for server in servers])
        await node.start()
        try:
            async with aiohttp.ClientSession() as session, asyncio.timeout(20.0):
                await scene(Scene(node, servers, session))
        finally:
            for server in servers:
                server.stop()
            await node.stop()

    uvloop.run(main())  # the loop that the programs run on


def _whole(arrival: Arrival) -> bytes:
    """A good answer, whose body names the request that it belongs to."""
    body = b"for " + arrival.attempt.encode()
    if arrival.head.split(b" ")[1].startswith((b"/once", b"/resumable")):
        return answer(arrival, events(1, 3) + b"data: " + body + b"\n\n", stream=True)
    return answer(arrival, body)


def _is_whole(got: Answered) -> bool:
    return got.status == 200 and got.attempt.encode() in got.body


# No response, or a reset: a call that may not be repeated is sent once.


async def _mute(connection: Connection, _: Arrival) -> None:
    await connection.closed()


async def _reset_before(connection: Connection, _: Arrival) -> None:
    connection.reset()


async def _reset_within_head(connection: Connection, arrival: Arrival) -> None:
    connection.send(_whole(arrival)[:30])
    await connection.writer.drain()
    connection.reset()


async def _reset_after_head(connection: Connection, arrival: Arrival) -> None:
    whole = _whole(arrival)
    connection.send(whole[: whole.index(b"\r\n\r\n") + 4])
    await connection.writer.drain()
    connection.reset()


async def _close_before(connection: Connection, _: Arrival) -> None:
    connection.writer.close()


BREAKS = {
    "mute": _mute,
    "reset before": _reset_before,
    "reset within head": _reset_within_head,
    "reset after head": _reset_after_head,
    "close before": _close_before,
}


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("how", BREAKS)
def test_what_may_have_run_is_sent_again_only_where_it_may_be_repeated(
    how: str, kind: str, method: str
) -> None:
    async def scene(scene: Scene) -> None:
        got = await scene.ask(kind, method)
        most = MOST_ATTEMPTS if kind in IDEMPOTENT else 1
        assert 1 <= scene.runs(got) <= most
        assert scene.runs(got) == 1 or how != "mute"
        # No promise that it has not run, and no success.
        assert got.status in (0, 502, 504)

    _play(BREAKS[how], scene)


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", KINDS)
def test_a_kept_connection_that_ends_under_a_request_does_not_repeat_it(kind: str, method: str) -> None:
    """The library would send GET, PUT and the like again by itself."""

    async def once(connection: Connection, arrival: Arrival) -> None:
        if arrival.place:
            connection.reset()
            return
        connection.send(_whole(arrival))

    async def scene(scene: Scene) -> None:
        first = [await scene.ask(kind, method) for _ in range(2)]  # one connection to each server
        assert all(_is_whole(got) for got in first)
        got = await scene.ask(kind, method)
        most = MOST_ATTEMPTS if kind in IDEMPOTENT else 1
        assert 1 <= scene.runs(got) <= most
        assert got.status in (0, 200, 502)
        assert got.status != 200 or kind in IDEMPOTENT

    _play(once, scene)


def test_without_the_guard_the_library_repeats_a_request_by_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted fault of the test above: it sees the library's own retry."""
    begin = Upstream.__init__

    def repeating(self: Upstream, per_server: int) -> None:
        begin(self, per_server)
        self._session._retry_connection = True

    monkeypatch.setattr(Upstream, "__init__", repeating)
    with pytest.raises(AssertionError):
        test_a_kept_connection_that_ends_under_a_request_does_not_repeat_it("unsafe", "PUT")


# Late answers, answers too many: nobody gets another's bytes.


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_too_many_reaches_nobody(kind: str) -> None:
    async def twice(connection: Connection, arrival: Arrival) -> None:
        connection.send(_whole(arrival) + _whole(arrival))

    async def scene(scene: Scene) -> None:
        for got in [await scene.ask(kind) for _ in range(12)]:
            assert scene.runs(got) <= (MOST_ATTEMPTS if kind in IDEMPOTENT else 1)
            assert _is_whole(got) or got.status in (0, 502)

    _play(twice, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_that_comes_after_its_request_was_given_up_reaches_nobody(kind: str) -> None:
    async def late(connection: Connection, arrival: Arrival) -> None:
        if connection.requests == 1 and arrival.attempt == "try-1":
            await asyncio.sleep(0.4)
        connection.send(_whole(arrival))

    async def scene(scene: Scene) -> None:
        first = await scene.ask(kind, deadline_ms=150)
        assert first.status in (0, 502, 504)
        for got in [await scene.ask(kind) for _ in range(10)]:
            assert _is_whole(got)
            assert scene.runs(got) == 1

    _play(late, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_to_another_request_reaches_nobody(kind: str) -> None:
    async def wrong(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), stream=True, attempt="somebody-elses"))

    async def scene(scene: Scene) -> None:
        got = await scene.ask(kind)
        assert got.status in (0, 502)
        assert scene.runs(got) <= (MOST_ATTEMPTS if kind in IDEMPOTENT else 1)

    _play(wrong, scene)


# Answers that end early.


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_without_a_length_that_is_reset_is_not_whole(kind: str) -> None:
    async def unframed(connection: Connection, arrival: Arrival) -> None:
        connection.send(answer(arrival, events(1, 2), length=False, stream=True))
        await connection.writer.drain()
        await asyncio.sleep(0.02)
        connection.reset()

    async def scene(scene: Scene) -> None:
        got = await scene.ask(kind)
        assert got.status in (0, 502)
        assert scene.runs(got) <= (MOST_ATTEMPTS if kind in IDEMPOTENT else 1)

    _play(unframed, scene)


def test_a_stream_that_breaks_off_goes_on_elsewhere_only_where_it_may_without_a_gap() -> None:
    async def breaking(connection: Connection, arrival: Arrival) -> None:
        after = [line for line in arrival.head.split(b"\r\n") if line.lower().startswith(b"last-event-id: ")]
        if after:
            first = int(after[0].split(b": ")[1]) + 1
            connection.send(answer(arrival, events(first, 6), stream=True))
            return
        whole = answer(arrival, events(1, 6), stream=True)
        connection.send(whole[: whole.index(b"id: 4") + 9])  # in the middle of an event
        await connection.writer.drain()
        connection.reset()

    async def scene(scene: Scene) -> None:
        resumed = await scene.ask("resumable")
        assert resumed.status == 0 or resumed.body == events(1, 6)
        assert scene.runs(resumed) == 2
        broken = await scene.ask("once")
        assert broken.status == 0, "it must not look complete"
        assert scene.runs(broken) == 1

    _play(breaking, scene)


# Early answers, while a long body is still coming.


@pytest.mark.parametrize("keeps", [True, False])
@pytest.mark.parametrize("kind", ["unsafe", "safe"])
def test_after_an_early_answer_the_rest_of_a_body_is_that_body(kind: str, keeps: bool) -> None:
    async def early(connection: Connection, head: bytes) -> None:
        attempt = next(
            line.split(b": ")[1].decode()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-attempt-id")
        )
        refused = Arrival(attempt, head, b"", 0)
        connection.send(answer(refused, b"for " + attempt.encode()))
        if not keeps:
            await connection.writer.drain()
            connection.writer.close()

    async def nothing(_: Connection, __: Arrival) -> None:
        """It has answered already."""

    async def scene(scene: Scene) -> None:
        for _ in range(6):
            got = await scene.ask(kind, body=LONG_BODY, deadline_ms=2_000)
            assert _is_whole(got) or got.status in (0, 502)
        for server in scene.servers:
            for arrival in server.arrivals:
                assert arrival.body == LONG_BODY

    _play(nothing, scene, early=early)


# A client that leaves.


@pytest.mark.parametrize("kind", KINDS)
def test_a_client_that_leaves_ends_its_attempt_and_nothing_follows(kind: str) -> None:
    left = asyncio.Event()

    async def slow(connection: Connection, arrival: Arrival) -> None:
        if arrival.attempt == "try-1":
            left.set()
            await connection.closed()
            return
        connection.send(_whole(arrival))

    async def scene(scene: Scene) -> None:
        asked = asyncio.create_task(scene.ask(kind, deadline_ms=10_000))
        await left.wait()
        asked.cancel()
        async with asyncio.timeout(2.0):
            while not all(c.reader.at_eof() for s in scene.servers for c in s.connections):
                await asyncio.sleep(0.01)
        assert sum(server.runs["try-1"] for server in scene.servers) == 1
        assert _is_whole(await scene.ask(kind))
        assert sum(server.runs["try-1"] for server in scene.servers) == 1

    _play(slow, scene)


# The end of a node.


def test_a_node_that_ends_refuses_what_it_would_cut() -> None:
    closing = Closing(8_000.0)
    assert not closing.refuses(1e9, 0.0)
    closing.begin(1_000.0)
    assert closing.ends_ms == 9_000.0 - END_MS
    assert not closing.refuses(1e9, 1_000.0 + NOTICE_MS - 1.0), "the platform may not have noticed yet"
    assert closing.refuses(closing.ends_ms + 1.0, 1_000.0 + NOTICE_MS)
    assert not closing.refuses(closing.ends_ms, 1_000.0 + NOTICE_MS)


def test_a_short_grace_leaves_time_for_answers() -> None:
    closing = Closing(4_000.0)
    assert closing.notice_ms == (4_000.0 - END_MS) / 2.0


def test_resting_connections_are_given_back_and_busy_ones_after_their_answer() -> None:
    begun, go_on = asyncio.Event(), asyncio.Event()

    async def waiting(connection: Connection, arrival: Arrival) -> None:
        if arrival.attempt == "try-2":
            begun.set()
            await go_on.wait()
        connection.send(_whole(arrival))

    async def open_one(scene: Scene, attempt: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = scene.node.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /unsafe/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        return reader, writer

    async def scene(scene: Scene) -> None:
        resting, resting_writer = await open_one(scene, "try-1")
        assert b"200 OK" in await resting.readuntil(b"for try-1")
        busy, busy_writer = await open_one(scene, "try-2")
        await begun.wait()
        scene.node.closing.begin(asyncio.get_running_loop().time() * 1_000.0)
        scene.node.frontend.give_back(scene.node.server.connections)
        assert await resting.read() == b"", "it is closed at once"
        go_on.set()
        assert (await busy.read()).endswith(b"for try-2"), "it has its answer, and is closed"
        resting_writer.close()
        busy_writer.close()

    _play(waiting, scene)


def test_a_request_on_a_kept_connection_after_sigterm_is_promised_not_to_run() -> None:
    async def whole(connection: Connection, arrival: Arrival) -> None:
        connection.send(_whole(arrival))

    async def scene(scene: Scene) -> None:
        assert _is_whole(await scene.ask("once"))
        scene.node.closing.began_ms = asyncio.get_running_loop().time() * 1_000.0 - 7_000.0
        got = await scene.ask("once", deadline_ms=15_000)
        assert got.status == 503
        assert scene.runs(got) == 0

    _play(whole, scene)
