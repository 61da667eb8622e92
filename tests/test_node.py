"""A node with scripted peers: retries, discovery, clients that disconnect, deadlines, signals and limits."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.node import discovery
from dunlinloft.node.__main__ import reload
from dunlinloft.node.addresses import parse_address
from dunlinloft.node.http import frontend
from dunlinloft.node.http.frontend import ClientConnection
from dunlinloft.node.http.upstream import Attempt
from dunlinloft.node.node import DISCOVERY_RETRY_S, OpenRequest
from dunlinloft.node.server_list import server_id
from tests.peers import (
    CLOSE,
    RESET,
    WAIT_TIMEOUT_S,
    NodeHarness,
    Registry,
    Server,
    answer,
    node_harness,
    request,
    run,
    settings,
    wait_until,
)
from tests.test_wire import ROOT

MAX_RETRY_MS = 1.5 * DISCOVERY_RETRY_S * 1000.0  # with the largest jitter
WATCH_WAIT_MS, WATCH_GRACE_MS, CALL_TIMEOUT_MS = (
    discovery.WATCH_WAIT_MS,
    discovery.WATCH_GRACE_MS,
    discovery.CALL_TIMEOUT_MS,
)


@pytest.fixture(autouse=True)
def long_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent watches from timing out on a slow machine: peers respond only when a test makes them."""
    monkeypatch.setattr(discovery, "WATCH_WAIT_MS", 60_000)


def test_keyed_request_that_may_have_run_is_retried_within_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [Server(default_response=answer(500), name=f"s{n}", group=n % 2) for n in range(4)]
        async with node_harness(tmp_path, *servers) as harness:
            answers = await asyncio.gather(*(harness.ask(f"{n}", "save") for n in range(8)))
            assert {seen.status for seen in answers} == {502}
        groups: dict[str, list[int]] = {}
        for server in servers:
            for seen in server.seen:
                groups.setdefault(seen.id, []).append(server.group)
        assert all(len(set(sent)) == 1 for sent in groups.values())
        assert max(map(len, groups.values())) > 1  # some requests were retried

    run(test())


def test_keyed_request_is_not_retried_after_its_dedup_window(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(default_response=answer(500))
        classes: list[dict[str, Any]] = changed_classes(window_ms=20.0)
        async with node_harness(tmp_path, server, classes=classes) as harness:
            assert (await harness.ask("a", "save")).status == 502
            assert len(server.seen) == 1

    run(test())


def changed_classes(**changes: Any) -> list[dict[str, Any]]:
    return [cls | changes for cls in settings()["classes"]]


def test_draining_or_terminated_server_gets_no_requests(tmp_path: Path) -> None:
    async def test() -> None:
        leaving, left, in_service = (Server(name=name) for name in ("leaving", "left", "stays"))
        async with node_harness(tmp_path, leaving, left, in_service) as harness:
            for n in range(6):
                await harness.ask(f"before-{n}")
            assert leaving.seen and left.seen
            harness.registry.publish(leaving.entry(status="leaving"), left.entry(status="left"))
            await wait_until(lambda: len(harness.registry.seen) == 2)
            # The next watch has begun, so the update was read; idle connections to a server that left close.
            await wait_until(lambda: left.lost == left.connections)
            counts = len(leaving.seen), len(left.seen)
            for n in range(6):
                await harness.ask(f"after-{n}")
            assert (len(leaving.seen), len(left.seen)) == counts

    run(test())


def test_drain_published_while_connecting_prevents_the_send(tmp_path: Path) -> None:
    """A server may begin to drain after it was selected but before its connection is established."""

    async def test() -> None:
        in_service = Server(name="stays")
        with socket.socket() as slow, socket.socket() as filler:
            slow.bind(("127.0.0.1", 0))
            slow.listen(0)  # one connection fills the backlog: the next handshake hangs until it is accepted
            await asyncio.to_thread(filler.connect, slow.getsockname())
            await in_service.start()
            entry = in_service.entry(name="slow", address=f"127.0.0.1:{slow.getsockname()[1]}")
            async with node_harness(tmp_path, known=False) as harness:
                harness.registry.publish(entry, snapshot=True)
                await wait_until(lambda: len(harness.registry.seen) == 2)
                answered = asyncio.ensure_future(harness.ask("a", "pay"))
                assert harness.node is not None
                await wait_until(lambda: upstream_connections(harness) == 1)
                harness.registry.publish(entry | {"status": "leaving"}, in_service.entry())
                await wait_until(lambda: len(harness.registry.seen) == 3)
                accepted, _ = await asyncio.to_thread(slow.accept)
                second, _ = await asyncio.to_thread(slow.accept)
                assert (await answered).body == b"done"
                assert [seen.id for seen in in_service.seen] == ["a"]
                second.setblocking(False)
                with pytest.raises(BlockingIOError):
                    second.recv(1)
                accepted.close()
                second.close()
        await in_service.stop()

    run(test())


def upstream_connections(harness: NodeHarness) -> int:
    assert harness.node is not None
    return harness.node._upstream.count()


def test_stale_connection_is_replaced_without_sending_twice(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(*[answer() + CLOSE] * 3)
        async with node_harness(tmp_path, server) as harness:
            for id in "abc":
                assert (await harness.ask(id, "pay")).status == 200
                await wait_until(lambda: server.lost == server.connections)
            assert [seen.id for seen in server.seen] == list("abc")

    run(test())


@pytest.mark.parametrize(
    "invalid",
    [CLOSE, answer(503), answer(200, b"{"), answer(200, b"[]"), answer(200, b'{"index":2}'), b"\x00\r\n\r\n",
     answer(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"x","status":"active"}]}'),
     answer(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","status":"odd"}]}'),
     answer(200, b"[" * 100_000)],
)  # fmt: skip
def test_failed_watch_is_repeated_and_keeps_the_list(invalid: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(name="old"), Server(name="new")
        await other.start()
        async with node_harness(tmp_path, server) as harness:
            assert (await harness.ask("a")).status == 200
            harness.registry.updates.put_nowait(invalid)
            await wait_until(lambda: len(harness.registry.seen) >= 2)
            assert (await harness.ask("b")).status == 200
            harness.registry.publish(other.entry(), snapshot=True)
            await wait_until(lambda: len(harness.registry.seen) >= 3)
            assert (await harness.ask("c")).status == 200
            assert [seen.id for seen in other.seen] == ["c"]
        await other.stop()

    run(test())


def test_silent_watch_times_out_before_its_update_counts_as_published(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a timeout of watches, nodes whose watches got no response missed a release for 21.5 s."""
    assert WATCH_GRACE_MS + MAX_RETRY_MS < 2_000.0 and CALL_TIMEOUT_MS + MAX_RETRY_MS < 4_000.0
    # Servers drain for a few seconds, then exit.
    assert WATCH_WAIT_MS + WATCH_GRACE_MS + MAX_RETRY_MS < 4_000.0
    monkeypatch.setattr(discovery, "WATCH_WAIT_MS", 0)
    monkeypatch.setattr(discovery, "WATCH_GRACE_MS", 50)

    async def test() -> None:
        server, other = Server(name="old"), Server(name="new")
        await other.start()
        async with node_harness(tmp_path, server) as harness:
            await wait_until(lambda: len(harness.registry.seen) >= 2)  # the first watch is never answered
            monkeypatch.setattr(discovery, "WATCH_GRACE_MS", 60_000)
            assert all("index=1&" in seen.target for seen in harness.registry.seen)
            for _ in harness.registry.seen:  # timed-out watches wait for updates too
                harness.registry.publish(server.entry(status="left"), other.entry(), index=2)
            await wait_until(lambda: any("index=2&" in seen.target for seen in harness.registry.seen))
            assert (await harness.ask("a")).status == 200
            assert [seen.id for seen in other.seen] == ["a"]
        await other.stop()

    run(test())


def test_retry_delays_after_simultaneous_failures_are_spread(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path) as harness:
            assert harness.node is not None
            waits = [harness.node.retry_delay_s() for _ in range(100)]
            assert len(set(waits)) > 90
            assert all(0.5 * DISCOVERY_RETRY_S <= s <= 1.5 * DISCOVERY_RETRY_S for s in waits)

    run(test())


def test_changes_older_than_the_list_request_the_full_list(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            harness.registry.publish(index=0)
            await wait_until(lambda: len(harness.registry.seen) == 3)
            assert [seen.target.partition("&")[0] for seen in harness.registry.seen] == [
                "/api/targets?index=1", "/api/targets", "/api/targets?index=0",
            ]  # fmt: skip

    run(test())


def test_older_full_list_is_accepted_only_the_second_time(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await old.start()
        async with node_harness(tmp_path, new) as harness:
            harness.registry.publish(index=7)
            await wait_until(lambda: len(harness.registry.seen) == 2)
            harness.registry.publish(old.entry(), index=3, snapshot=True)
            await wait_until(lambda: len(harness.registry.seen) == 3)  # after a delay, from the current list
            assert "index=7&" in harness.registry.seen[2].target
            assert (await harness.ask("a")).status == 200
            assert [seen.id for seen in new.seen] == ["a"]
            harness.registry.publish(old.entry(), index=3, snapshot=True)  # discovery has restarted
            await wait_until(lambda: len(harness.registry.seen) == 4)
            assert "index=3&" in harness.registry.seen[3].target
            assert (await harness.ask("b")).status == 200
            assert [seen.id for seen in old.seen] == ["b"]
        await old.stop()

    run(test())


def test_next_watch_continues_from_the_last_index_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            for _ in range(3):
                harness.registry.publish(server.entry())
            await wait_until(lambda: len(harness.registry.seen) == 4)
            assert [seen.target.partition("&")[0][-1] for seen in harness.registry.seen] == list("1234")
            assert harness.registry.connections == 1

    run(test())


def test_server_id_depends_on_the_name_only() -> None:
    """Nodes divide servers by these numbers, which must be equal in all processes and versions."""
    assert server_id("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({server_id(f"s-{n}") for n in range(1000)}) == 1000


def test_node_is_ready_only_once_a_server_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        probe = b"GET /-/ready HTTP/1.1\r\n\r\n"
        async with node_harness(tmp_path, server, known=False) as harness:
            caller = await harness.caller()
            caller.write(probe)
            assert (await caller.read()).status == 500
            harness.registry.publish(server.entry(), snapshot=True)
            await wait_until(lambda: len(harness.registry.seen) == 2)
            caller.write(probe)
            assert (await caller.read()).status == 200

    run(test())


def test_client_disconnect_ends_the_request_and_its_attempt_still_reports(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(500))
        server.gate.clear()
        async with node_harness(tmp_path, server) as harness:
            caller = await harness.caller()
            caller.write(request("a"))
            await wait_until(lambda: len(server.seen) == 1)
            caller.writer.close()
            assert harness.node is not None
            await wait_until(lambda: not harness.node or not harness.node._open_requests)
            server.gate.set()
            assert (await harness.ask("a")).status == 200  # its id can be reused
            assert [seen.id for seen in server.seen] == ["a", "a"]  # it was not retried
            assert harness.node._balancer.in_flight == 0

    run(test())


def test_request_that_the_balancer_never_ends_fails_at_its_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A fault in the balancer, which ignores an event or raises, must not leave a request unanswered."""
    handle = Balancer.handle

    def broken(self: Balancer, event: api.Event, now_ms: float) -> list[api.Action]:
        if isinstance(event, api.Request) and event.id == "lost":
            return []
        if isinstance(event, api.Request) and event.id == "raises":
            raise RuntimeError("a fault")
        return handle(self, event, now_ms)

    monkeypatch.setattr(Balancer, "handle", broken)

    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            with caplog.at_level(logging.CRITICAL):
                for id in ("lost", "raises"):
                    loop = asyncio.get_running_loop()
                    began = loop.time()
                    assert (await harness.ask(id, budget="0.3")).status == 504
                    assert loop.time() - began >= 0.29  # never early
            assert (await harness.ask("a")).status == 200

    run(test())


def test_request_without_time_for_an_attempt_is_refused_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            reply = await harness.ask("a", "pay", budget="0.001")  # no time left for an attempt
            assert reply.status == 503 and not server.seen
            assert 0.0 < float(reply.headers["retry-after"]) <= 0.5  # T1, see `retry_policy`

    run(test())


BAD = {
    "no HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    "bad version": (b"GET /read HTTP/9\r\n\r\n", 400),
    "no id": (b"GET /read HTTP/1.1\r\nX-Budget: 1\r\n\r\n", 400),
    "no budget": (b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n\r\n", 400),
    "bad budget": (request("q", budget="soon"), 400),
    "no number": (request("q", budget="nan"), 400),
    "endless budget": (request("q", budget="inf"), 400),
    "negative budget": (request("q", budget="-1"), 400),
    "unknown class": (request("q", "nonsense"), 400),
    "no class": (request("q", ""), 400),
    "keyed without a key": (b"POST /save HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "method": (b"PUT /read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 405),
    "own path": (b"GET /-/nonsense HTTP/1.1\r\n\r\n", 404),
    "announced body": (b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 65537\r\n\r\n", 400),
    "announced beyond all": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\nContent-Length: 33554433\r\n\r\n", 413
    ),
    "other coding": (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    "other expectation": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\nExpect: tea\r\nContent-Length: 9\r\n\r\n", 417
    ),
    "chunked body": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537,
        400,
    ),
    "negative length": (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
    "two lengths": (b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
    "length and chunks": (
        b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400
    ),
    "one huge header": (b"GET /read HTTP/1.1\r\nX-Pad: " + b"x" * 100_000, 431),
    "many headers": (b"GET /read HTTP/1.1\r\n" + b"X-Pad: 1\r\n" * 10_000, 431),
    "huge target": (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n", 431),
}  # fmt: skip


@pytest.mark.parametrize(("data", "status"), BAD.values(), ids=BAD.keys())
def test_invalid_input_is_rejected_without_effect_on_other_clients(
    data: bytes, status: int, tmp_path: Path
) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server) as harness:
            other, bad = await harness.caller(), await harness.caller()
            other.write(request("other"))
            await wait_until(lambda: len(server.seen) == 1)
            bad.write(data)
            assert (await bad.read()).status == status
            server.gate.set()
            assert (await other.read()).status == 200
            assert [seen.id for seen in server.seen] == ["other"]

    run(test())


@pytest.mark.parametrize("sent", [b"", b"GET /re", request("x", "pay", body=b"abc")[:-1], b"\r\n"])
def test_client_that_never_completes_a_request_is_disconnected(
    sent: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It must get an error or a close within 3 s of connecting, whenever it began to send."""
    clock = [1000.0]
    monkeypatch.setattr(frontend, "now_ms", lambda: clock[0])

    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            assert harness.node is not None
            good, bad = await harness.caller(), await harness.caller()
            assert (await good.ask("before")).status == 200
            await wait_until(lambda: harness.node is not None and harness.node.frontend.count() == 2)
            clock[0] += 2600.0
            bad.write(sent)
            await good.ask("between")  # by now the node has read what was written before
            clock[0] += 300.0
            ending = await asyncio.wait_for(bad.reader.read(), WAIT_TIMEOUT_S)
            assert ending == b"" or ending.startswith(b"HTTP/1.1 408")
            assert (await good.ask("after")).status == 200  # a pause between requests is allowed
            assert [seen.id for seen in server.seen] == ["before", "between", "after"]
            clock[0] += 61_000.0
            assert await good.closed()

    run(test())


def test_duplicate_id_is_rejected_without_effect_on_the_open_request(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server) as harness:
            owner, other = await harness.caller(), await harness.caller()
            owner.write(request("a"))
            await wait_until(lambda: len(server.seen) == 1)
            assert (await other.ask("a")).status == 400
            other.writer.close()
            server.gate.set()
            assert (await owner.read()).status == 200

    run(test())


def test_pipelined_requests_and_invalid_bytes_are_answered_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(200, b"1"), answer(200, b"2"))
        async with node_harness(tmp_path, server) as harness:
            caller = await harness.caller()
            caller.write(request("a") + request("b") + b"noise\r\n\r\n")
            replies = [await caller.read() for _ in range(3)]
            assert [(seen.status, seen.body) for seen in replies[:2]] == [(200, b"1"), (200, b"2")]
            assert replies[2].status == 400 and replies[2].headers["connection"] == "close"
            assert await caller.closed()

    run(test())


def test_request_in_pieces_is_served_and_connection_close_is_honoured(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            caller = await harness.caller()
            for byte in request("a", "pay", body=b"body"):
                caller.write(bytes([byte]))
                await caller.writer.drain()
                await asyncio.sleep(0)
            assert (await caller.read()).status == 200
            assert server.seen[0].body == b"body"
            reply = await caller.ask("b", extra="Connection: close\r\n")
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await caller.closed()

    run(test())


def test_sockets_stay_within_their_limit_by_closing_idle_ones(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server, sockets=24 + 5) as harness:
            for n in range(16):  # after 20 responses the attempt timeout is 8 times a delay of zero
                assert (await harness.ask(f"{n}")).status == 200
                assert harness.node is not None
                assert harness.node.frontend.count() + harness.node._upstream.count() <= 7

    run(test())


def test_idle_clients_are_closed_while_sockets_are_short(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If idle clients hold all sockets, every attempt must open a new connection (case2060)."""
    clock = [1000.0]
    monkeypatch.setattr(frontend, "now_ms", lambda: clock[0])

    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server, sockets=48) as harness:
            callers = [await harness.caller() for _ in range(15)]  # 18 responses: see the test above
            for n, caller in enumerate(callers):
                assert (await caller.ask(f"{n}")).status == 200
            clock[0] += 1900.0
            assert (await callers[0].ask("later")).status == 200
            clock[0] += 200.0
            for caller in callers[1:]:
                assert await caller.closed()
            await wait_until(lambda: harness.node is not None and harness.node.frontend.count() == 1)
            assert (await callers[0].ask("again")).status == 200  # it was idle for less than 2 s
            clock[0] += 50_000.0  # and sockets are ample now
            await asyncio.sleep(3 * frontend.SWEEP_INTERVAL_S)
            assert (await callers[0].ask("last")).status == 200
            assert server.connections == 1

    run(test())


def test_finished_requests_and_connections_are_freed_without_garbage_collection(tmp_path: Path) -> None:
    """Reference cycles kept 1,400 closed client connections alive until a rare full garbage collection.

    (Seen in case2060.)
    """

    async def test() -> None:
        server = Server(*[answer() + CLOSE] * 4, RESET)
        async with node_harness(tmp_path, server) as harness:
            gc.collect()
            gc.disable()
            for n in range(5):
                caller = await harness.caller()
                await caller.ask(f"{n}", "pay")
                caller.writer.close()
            await wait_until(lambda: harness.node is not None and not harness.node.frontend.count())
            await wait_until(lambda: server.lost == server.connections)
            kept = [
                type(o).__name__
                for o in gc.get_objects()
                if isinstance(o, ClientConnection | OpenRequest | Attempt)
            ]
            assert len(kept) <= 3, kept  # the event loop may still hold the last request's

    try:
        run(test())
    finally:
        gc.enable()


class Program:
    """The node's program in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, harness: NodeHarness) -> None:
        self.process, self.harness = process, harness

    @classmethod
    async def start(cls, harness: NodeHarness) -> Program:
        program = cls(await spawn(harness.path), harness)
        assert program.process.stderr is not None
        while True:
            line = await asyncio.wait_for(program.process.stderr.readline(), WAIT_TIMEOUT_S)
            assert line, "ended before it was ready"
            if b"started" in line:
                harness.address = parse_address(line.decode().split()[-1])
                return program

    async def logs(self, words: bytes) -> None:
        """Wait for a log line that contains these bytes."""
        assert self.process.stderr is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while words not in await self.process.stderr.readline():
                assert not self.process.stderr.at_eof(), "ended without the line"

    async def refuses(self) -> None:
        """Wait until the listener is closed."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                try:
                    (await asyncio.open_connection(*self.harness.address))[1].close()
                except ConnectionRefusedError:
                    return
                except ConnectionError:  # the listener was closed during the handshake
                    pass
                await asyncio.sleep(0.02)


async def spawn(path: Path | None) -> asyncio.subprocess.Process:
    env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dunlinloft.node", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env=env | ({"NODE_CONFIG": str(path)} if path else {}),
    )  # fmt: skip


def test_sighup_changes_the_discovery_address_without_disturbing_requests(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        old.gate.clear()
        registry = Registry()
        for peer in (registry, new):
            await peer.start()
        registry.index, registry.full_list = 7, [new.entry()]
        async with node_harness(tmp_path, old, start=False) as harness:
            program = await Program.start(harness)
            held = asyncio.ensure_future(harness.ask("held"))
            await wait_until(lambda: len(old.seen) == 1)
            harness.path.write_text("{")  # invalid: the current configuration is kept
            program.process.send_signal(signal.SIGHUP)
            await program.logs(b"invalid configuration, current one kept")
            harness.path.write_text(json.dumps(harness.config | {"discovery": registry.address}))
            program.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(registry.seen) == 2)  # the full list, and a watch
            assert "index=7" in registry.seen[1].target
            assert (await harness.ask("after")).status == 200
            assert [seen.id for seen in new.seen] == ["after"]
            old.gate.set()
            assert (await held).status == 200
            program.process.terminate()
            assert await program.process.wait() == 0
        for peer in (registry, new):
            await peer.stop()

    run(test())


def test_sigterm_finishes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server, start=False) as harness:
            program = await Program.start(harness)
            idle, held = await harness.caller(), await harness.caller()
            held.write(request("held", "pay"))
            await wait_until(lambda: len(server.seen) == 1)
            program.process.send_signal(signal.SIGTERM)
            await program.refuses()
            assert await idle.closed()
            assert program.process.returncode is None
            server.gate.set()
            reply = await held.read()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT_S) == 0

    run(test())


@pytest.mark.parametrize(
    ("text", "words"),
    [(None, "NODE_CONFIG"), ("", "No such file"), ("{", "not JSON"), ("[]", "object"),
     ("{}", "'name' is missing"),
     ('{"name":"n","listen":"nowhere"}', "nowhere"),
     ('{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"zz"}', "seed")],
)  # fmt: skip
def test_invalid_configuration_exits_with_2_and_one_line(
    text: str | None, words: str, tmp_path: Path
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text:
            path.write_text(text)
        process = await spawn(None if text is None else path)
        _, errors = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        [line] = errors.decode().splitlines()
        assert process.returncode == 2 and words in line

    run(test())


def test_address_in_use_exits_with_2_and_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path, start=False) as harness:
            harness.path.write_text(json.dumps(harness.config | {"listen": harness.registry.address}))
            process = await spawn(harness.path)
            _, errors = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            [line] = errors.decode().splitlines()
            assert process.returncode == 2 and "in use" in line

    run(test())


def test_sighup_applies_a_valid_file_or_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            node = harness.node
            assert node is not None
            server.gate.clear()
            held = await harness.caller()
            held.write(request("held", "read"))
            await wait_until(lambda: len(server.seen) == 1)
            good = harness.config["settings"]
            broken: list[str] = ["", json.dumps(harness.config)[:-40]]
            invalid: tuple[dict[str, Any], ...] = (
                {"permissions": {**good["permissions"], "max_attempts": 0}},
                {"permissions": {n: v for n, v in good["permissions"].items() if n != "may_cancel"}},
                {"classes": [{**cls, "give_up_ms": 0} for cls in good["classes"]]},
                {"classes": [{**cls, "give_up_ms": "long"} for cls in good["classes"]]},
                {"classes": []},
            )
            for changes in invalid:
                config = harness.config | {"discovery": "127.0.0.1:1", "settings": good | changes}
                broken.append(json.dumps(config))
            broken.append(json.dumps({n: v for n, v in harness.config.items() if n != "limits"}))
            for text in broken:
                harness.path.write_text(text)
                reload(node, str(harness.path))
            assert (node.metrics.reconfig_ok, node.metrics.reconfig_failed) == (0, len(broken))
            assert f"{node.config.discovery[0]}:{node.config.discovery[1]}" == harness.registry.address

            _, pay, save = good["classes"]
            new = pay | {"name": "new"}
            harness.path.write_text(
                json.dumps(harness.config | {"settings": good | {"classes": [new, save]}})
            )
            reload(node, str(harness.path))
            assert (node.metrics.reconfig_ok, node.metrics.reconfig_failed) == (1, len(broken))
            server.gate.set()
            assert (await held.read()).status == 200, "its class has vanished, but it came before"
            assert (await harness.ask("a", "new")).status == 200
            assert (await harness.ask("b", "read")).status == 400
            calls = node.metrics.to_json()["calls"]
            assert (calls["read"]["success"], calls["new"]["success"]) == (1, 1)

    run(test())


def test_beyond_the_socket_limit_only_new_connections_are_closed(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server, sockets=40) as harness:
            assert harness.node is not None
            first = await harness.caller()
            first.write(request("first", "pay"))
            await wait_until(lambda: len(server.seen) == 1)
            for n in range(40):
                with contextlib.suppress(ConnectionError):
                    (await harness.caller()).write(request(f"{n}"))
            await asyncio.sleep(0.2)
            assert harness.node.frontend.count() <= 16 + frontend.MAX_EXCESS_CONNECTIONS
            server.gate.set()
            assert (await first.read()).status == 200

    run(test())
