"""Tests of how a server's response, close or silence decides whether a request may be retried."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from dunlinloft.balancer.interface import Result
from dunlinloft.node.addresses import Address
from dunlinloft.node.http import upstream
from dunlinloft.node.http.bodies import Body, Memory
from dunlinloft.node.http.upstream import (
    FlowControl,
    ServerConnection,
    ServerResponse,
    Upstream,
    parse_load_report,
)
from tests.peers import (
    CLOSE,
    HANG,
    RESET,
    WAIT_TIMEOUT_S,
    Server,
    answer,
    node_harness,
    request,
    run,
    wait_until,
)

GARBAGE = b"\x00\xff not HTTP at all\r\n\r\n"
MAY_HAVE_RUN = {
    "500": answer(500),
    "404": answer(404),
    "503 without X-Rejected": answer(503),
    "504 with X-Rejected: 0": answer(504, headers="X-Rejected: 0\r\n"),
    "500 with X-Rejected: 1": answer(500, headers="X-Rejected: 1\r\n"),
    "reset": RESET,
    "close": CLOSE,
    "garbage": GARBAGE,
    "incomplete head": b"HTTP/1.1 200 OK\r\nContent-Le" + CLOSE,
    "incomplete body": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive!" + CLOSE,
    "bad length": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabcde",
    "huge length": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    "long head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 100_000,
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}  # fmt: skip
NEVER_RAN = {
    "503 with X-Rejected: 1": answer(503, headers="X-Rejected: 1\r\n"),
    "504 with X-Rejected: 1": answer(504, headers="X-Rejected: 1\r\n"),
}


@pytest.mark.parametrize("response", MAY_HAVE_RUN.values(), ids=MAY_HAVE_RUN.keys())
def test_unsafe_request_that_may_have_run_fails_and_is_not_retried(response: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(response)
        async with node_harness(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay")).status == 502
            # No leftover input of the first exchange is taken for the second response.
            assert (await scene.ask("b", "pay")).body == b"done"
            assert [seen.id for seen in server.seen] == ["a", "b"]

    run(test())


@pytest.mark.parametrize("rejection", NEVER_RAN.values(), ids=NEVER_RAN.keys())
def test_unsafe_request_that_the_server_rejected_is_retried(rejection: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(rejection)
        async with node_harness(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay")).body == b"done"
            assert [seen.id for seen in server.seen] == ["a", "a"]

    run(test())


def test_request_whose_connection_was_refused_is_retried(tmp_path: Path) -> None:
    async def test() -> None:
        down, up = Server(name="down"), Server(name="up")
        async with node_harness(tmp_path, down, up) as scene:
            await down.stop()
            for n in range(6):  # enough requests to select the server that is down
                assert (await scene.ask(f"{n}", "pay")).body == b"done"
            assert sorted(seen.id for seen in up.seen) == [f"{n}" for n in range(6)]

    run(test())


def test_server_that_does_not_respond_times_out_and_loses_its_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(HANG)
        async with node_harness(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay", budget="0.3")).status == 502
            await wait_until(lambda: server.lost == 1)
            assert len(server.seen) == 1

    run(test())


def test_response_with_excess_data_is_served_and_its_connection_closed(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(200, b"one") + answer(200, b"two"), answer(200, b"three") + GARBAGE)
        async with node_harness(tmp_path, server) as scene:
            assert [(await scene.ask(id)).body for id in "abc"] == [b"one", b"three", b"done"]
            assert [seen.connection for seen in server.seen] == [1, 2, 3]

    run(test())


def test_interim_and_chunked_responses_are_parsed_and_the_body_is_forwarded_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        body = bytes(range(256)) * 256
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        server = Server(b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" + answer(200, body), chunked)
        async with node_harness(tmp_path, server) as scene:
            assert (await scene.ask("a")).body == body
            assert (await scene.ask("b")).body == b"abcde"
            assert [seen.connection for seen in server.seen] == [1, 1]

    run(test())


def test_request_line_body_and_idempotency_key_are_forwarded_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as scene:
            await scene.ask("a", "save", body=b"x" * 65536, query="?obj=7f&z=%2F", extra="X-Other: 1\r\n")
            [seen] = server.seen
            assert seen.start_line == "POST /save?obj=7f&z=%2F HTTP/1.1"
            assert (seen.id, seen.headers["idempotency-key"]) == ("a", "key-a")
            assert seen.body == b"x" * 65536
            assert 0.0 < float(seen.headers["x-budget"]) < 20.0

    run(test())


class RecordingOwner:
    """Records the results of its attempts."""

    def __init__(self, results: list[Result], may_send_flag: list[bool] | None) -> None:
        self._results, self._may_send_flag = results, may_send_flag

    def may_send(self) -> bool:
        return self._may_send_flag is None or self._may_send_flag[0]

    def response_started(self, answer: ServerResponse, flow: FlowControl) -> None:
        raise AssertionError("nothing here is large")

    def forward_body(self, data: bytes) -> None:
        raise AssertionError("nothing here is large")

    def attempt_ended(self, result: Result, answer: ServerResponse | None) -> None:
        self._results.append(result)


class UpstreamHarness:
    """Sends attempts through an `Upstream` of its own, without a node."""

    def __init__(self, address: str, **changes: float) -> None:
        timeouts = {"connect_timeout_ms": 5000.0, "keepalive_ms": 60_000.0} | changes
        loop = asyncio.get_running_loop()
        self.memory = Memory(192)
        self.upstream = Upstream(
            loop,
            timeouts["connect_timeout_ms"],
            timeouts["keepalive_ms"],
            lambda: 100,
            lambda: False,
            lambda: None,
            self.memory,
        )
        host, port = address.split(":")
        self.address: Address = (host, int(port))
        self.results: list[Result] = []

    def send(self, id: str, may_send_flag: list[bool] | None = None, server: int = 1) -> None:
        body = Body(self.memory, 0)
        body.finish()
        self.upstream.send(
            server,
            self.address,
            request(id),
            body,
            False,
            20_000.0,
            RecordingOwner(self.results, may_send_flag),
        )

    async def result(self, count: int) -> Result:
        await wait_until(lambda: len(self.results) == count)
        return self.results[-1]


class ThreadedServer:
    """A server in a thread of its own, which can act while the event loop is blocked."""

    def __init__(self, *, reset: bool) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(WAIT_TIMEOUT_S)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.received: list[bytes] = []
        self._reset, self._close_requested = reset, threading.Event()
        # A daemon thread, so that a failed test does not hang.
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._socket.accept()
        self.received.append(connection.recv(65536))
        connection.sendall(answer())
        self._close_requested.wait(WAIT_TIMEOUT_S)
        if self._reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        connection, _ = self._socket.accept()
        self.received.append(connection.recv(65536))
        connection.sendall(answer())
        connection.close()
        self._socket.close()

    def end_connection(self) -> None:
        """End the connection, and block the caller until that is done."""
        self._close_requested.set()
        time.sleep(0.05)


@pytest.mark.parametrize("reset", [True, False], ids=["reset", "end"])
def test_connection_that_closed_unnoticed_by_the_event_loop_is_not_reused(reset: bool) -> None:
    """A request written to it would end with a reset and might have run, so an unsafe one would be lost."""

    async def test() -> None:
        server = ThreadedServer(reset=reset)
        harness = UpstreamHarness(server.address)
        harness.send("a")
        assert await harness.result(1) is Result.SERVED
        server.end_connection()
        harness.send("b")
        assert await harness.result(2) is Result.SERVED
        assert [b"X-Call-Id: b" in received for received in server.received] == [False, True]

    run(test())


def test_failed_write_counts_as_unreachable(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte was not sent, so a request of any class may be retried."""
    monkeypatch.setattr(ServerConnection, "is_usable", lambda self: not self._lost)

    async def test() -> None:
        server = ThreadedServer(reset=True)
        harness = UpstreamHarness(server.address)
        harness.send("a")
        assert await harness.result(1) is Result.SERVED
        server.end_connection()
        harness.send("b")
        assert await harness.result(2) is Result.UNREACHABLE
        harness.send("c")
        assert await harness.result(3) is Result.SERVED

    run(test())


def test_request_that_ended_during_its_connect_is_not_sent() -> None:
    """The server drains, or the request ends, between the selection and the end of the connect."""

    async def test() -> None:
        server = Server()
        await server.start()
        harness, may_send_flag = UpstreamHarness(server.address), [True]
        harness.send("a", may_send_flag)
        may_send_flag[0] = False
        assert await harness.result(1) is Result.NOT_SENT
        harness.send("b")  # the connection itself is good and is reused
        assert await harness.result(2) is Result.SERVED
        assert [seen.id for seen in server.seen] == ["b"]
        assert server.connections == 1
        await server.stop()

    run(test())


def test_idle_connections_are_closed_well_before_the_servers_idle_limit() -> None:
    async def test() -> None:
        server = Server()
        await server.start()
        harness = UpstreamHarness(server.address, keepalive_ms=400.0)
        harness.send("a")
        assert await harness.result(1) is Result.SERVED
        await wait_until(lambda: server.lost == 1)
        assert harness.upstream.count() == 0
        await server.stop()

    run(test())


@pytest.mark.parametrize("closes", [True, False], ids=["closed", "reset"])
def test_idle_limit_adapts_to_when_a_server_really_closes_connections(
    closes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The configured limit is 60 s, but after 2 s the server closes, or resets a later write."""
    clock = [1000.0]
    monkeypatch.setattr(upstream, "now_ms", lambda: clock[0])
    monkeypatch.setattr(upstream, "SWEEP_INTERVAL_S", 3600.0)

    async def test() -> None:
        server = Server(answer(), *([] if closes else [RESET]))
        await server.start()
        harness = UpstreamHarness(server.address)
        connections: list[int] = []

        async def ask(idle_ms: float) -> Result:
            clock[0] += idle_ms
            harness.send(f"{len(harness.results)}")
            result = await harness.result(len(harness.results) + 1)
            connections.append(server.seen[-1].connection)
            return result

        assert await ask(0.0) is Result.SERVED
        if closes:
            clock[0] += 2000.0
            server.close_connections()
            await wait_until(lambda: not harness.upstream.count())
        else:
            assert await ask(2000.0) is Result.RESET
        connections.clear()
        for idle_ms in (0.0, 900.0, 1100.0, 900.0):  # the limit is now half of 2 s
            assert await ask(idle_ms) is Result.SERVED
        assert connections == [2, 2, 3, 3]
        for _ in range(80):
            harness.upstream._sweep()
        await ask(20_000.0)  # without further early closes the limit has recovered
        assert connections[-1] == 3
        await server.stop()

    run(test())


def test_close_right_after_a_response_does_not_lower_the_idle_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """case2060: 3 % of the responses were followed by a close, and all other requests had to reconnect."""
    clock = [1000.0]
    monkeypatch.setattr(upstream, "now_ms", lambda: clock[0])

    async def test() -> None:
        server = Server(answer() + CLOSE)
        await server.start()
        harness = UpstreamHarness(server.address)
        harness.send("a")
        await harness.result(1)
        await wait_until(lambda: not harness.upstream.count())
        for n in (2, 3):
            clock[0] += 5000.0
            harness.send(f"{n}")
            await harness.result(n)
        assert [seen.connection for seen in server.seen] == [1, 2, 2]
        await server.stop()

    run(test())


def test_idle_limit_lowered_by_a_server_that_ends_does_not_affect_others_or_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """case2060: during a release of the servers, each one that ended caused reconnects to all of them."""
    clock = [1000.0]
    monkeypatch.setattr(upstream, "now_ms", lambda: clock[0])
    monkeypatch.setattr(upstream, "SWEEP_INTERVAL_S", 3600.0)

    async def test() -> None:
        server = Server()
        await server.start()
        harness = UpstreamHarness(server.address)
        harness.send("a", server=1)
        await harness.result(1)
        clock[0] += 100.0
        server.close_connections()
        await wait_until(lambda: not harness.upstream.count())
        connections = {}
        for n, key in enumerate((2, 2, 1, 1, 3, 3)):
            if n == 4:
                harness.upstream.forget_server(1)
            server_id = 1 if key == 3 else key
            clock[0] += 5000.0
            harness.send(f"{n}", server=server_id)
            await harness.result(n + 2)
            connections[key, n % 2] = server.seen[-1].connection
        assert connections[2, 0] == connections[2, 1]  # another server
        assert connections[1, 0] != connections[1, 1]  # the server that ended
        assert connections[3, 0] == connections[3, 1]  # its successor, after it was listed as terminated
        await server.stop()

    run(test())


def test_most_recently_used_connection_is_reused_first_and_idle_ones_can_be_closed() -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        await server.start()
        harness = UpstreamHarness(server.address)
        harness.send("a")
        harness.send("b")
        await wait_until(lambda: len(server.seen) == 2)
        server.gate.set()
        await harness.result(2)
        for n in range(3, 6):
            harness.send(f"{n}")
            await harness.result(n)
        assert len({seen.connection for seen in server.seen[2:]}) == 1
        harness.upstream.close_idle(1)
        await wait_until(lambda: server.lost == 2)
        await server.stop()

    run(test())


def test_malformed_load_report_is_ignored() -> None:
    assert parse_load_report(b"inflight=7,queue=-2, util=0.61") == {
        "inflight": 7.0,
        "queue": 0.0,
        "util": 0.61,
    }
    for text in (b"", b"queue", b"queue=1=2", b"queue=x", b"queue=nan", b"queue=inf", b"\xff=1"):
        assert parse_load_report(text) is None
