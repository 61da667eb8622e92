"""Upgrades: two processes at one listening socket serve as one node."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.node.http import frontend
from dunlinloft.node.http.handover import Siblings, handed_socket
from tests.helpers import Node
from tests.peers import WAIT_TIMEOUT_S, NodeHarness, Server, node_harness, request, run, wait_until
from tests.test_wire import ROOT


def test_processes_see_each_other_by_their_locks(tmp_path: Path) -> None:
    (tmp_path / "orchidferry.0.lock").write_text("left behind by a process that was killed")
    old = Siblings(tmp_path)
    assert old.others() == []
    old.publish_socket_count(7)
    new = Siblings(tmp_path)
    assert (old.others(), new.others()) == ([0], [7])
    new.publish_socket_count(123)
    third = Siblings(tmp_path)
    assert (old.others(), new.others(), third.others()) == ([123, 0], [7, 0], [7, 123])
    third.leave()
    old.leave()
    assert new.others() == []


def test_a_folder_that_cannot_be_written_hides_the_others_and_does_no_harm(tmp_path: Path) -> None:
    siblings = Siblings(tmp_path / "absent")
    siblings.publish_socket_count(3)
    assert siblings.others() == []


def test_both_processes_keep_to_the_limit_of_sockets_together(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "SHORT_IDLE_MS", 60_000.0)

    async def test() -> None:
        async with node_harness(tmp_path, Server(), sockets=80) as scene:
            node = scene.node
            assert node is not None
            callers = [await scene.caller() for _ in range(40)]
            for n, caller in enumerate(callers):
                assert (await caller.ask(f"{n}")).status == 200
            assert node.frontend.count() == 40 and node._available_sockets() > 0
            node.share_sockets([24])  # another one has begun
            assert node._available_sockets() == 40 - 24 - 40 - node._upstream.count()
            await wait_until(lambda: node._available_sockets() >= 0)
            assert node.sockets() + 24 <= 80 and node.frontend.count() > 0
            node.share_sockets([70])  # holds more than its half
            assert node._socket_limit == 10
            node.share_sockets([])
            assert node._socket_limit == 80

    run(test())


def test_what_comes_too_late_for_a_process_that_ends_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server) as scene:
            node = scene.node
            assert node is not None
            held, head, small, large = [await scene.caller() for _ in range(4)]
            held.write(request("held", "pay"))
            head.write(request("head", "pay")[:20])
            small.write(request("small", "pay", body=b"x" * 100)[:-1])
            large.write(request("large", "pay", body=b"x" * 300_000)[:-1])
            await wait_until(lambda: bool(server.seen) and len(node._attempts) == 2)
            ending = asyncio.ensure_future(node.stop())
            for caller in (head, small, large):
                assert (await caller.read()).status == 503
                caller.writer.close()
            assert not ending.done()
            server.gate.set()
            assert (await held.read()).status == 200
            await ending
            assert [seen.id for seen in server.seen] == ["held"] and node.memory.used_bytes == 0

    run(test())


@pytest.mark.parametrize("value", ["x", "987654"])
def test_a_descriptor_that_is_no_socket_is_named(value: str) -> None:
    assert handed_socket(None) is None
    with pytest.raises(OSError, match=value):
        handed_socket(value)


def test_processes_of_one_node_split_the_budgets_of_cold_servers_and_repeats() -> None:
    node = Node(retry_budget_ratio=0.0, retry_budget_floor=4.0, retry_budget_window_ms=10_000.0)
    node.do(api.ProcessCount(4))
    for n in range(3):
        node.request(f"{n}")
        node.complete(f"{n}", api.Result.ERROR)
    for _, action in list(node.log):
        if isinstance(action, api.SetTimer):
            node.do(api.TimerFired(action.token), 1_000.0)
    assert sum(len(sent) - 1 for sent in node.sent.values()) == 1, "of four repeats one is this process's"

    def cold_sends(processes: int) -> int:
        node = Node(servers=2)
        node.serve(200, gap_ms=0.0, delay_ms=5.0)
        node.do(api.ProcessCount(processes))
        node.change(api.ServerEntry(9, "z", "k", 1, started_ms=node.now))
        return node.serve(200, gap_ms=0.0, delay_ms=5.0).count(9)

    assert 0 < cold_sends(4) < cold_sends(1)


class Process:
    """The program with a listening socket handed in."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, path: Path, listener: socket.socket, folder: Path) -> Process:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "dunlinloft.node", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                pass_fds=(listener.fileno(),),
                env=os.environ | {
                    "NODE_CONFIG": str(path), "NODE_ACCEPT_FD": str(listener.fileno()), "TMPDIR": str(folder)
                },
            )
        )  # fmt: skip

    async def logs(self, words: bytes) -> None:
        assert self.process.stderr is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while words not in await self.process.stderr.readline():
                assert not self.process.stderr.at_eof(), "ended without the line"


def listener_of(scene: NodeHarness) -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    scene.address = listener.getsockname()[:2]
    return listener


def test_an_upgrade_loses_no_request_and_the_old_process_parts_with_its_callers(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server, start=False) as scene:
            listener = listener_of(scene)
            old = await Process.start(scene.path, listener, tmp_path)
            await old.logs(b"started, accepting")
            idle, held, kept = [await scene.caller() for _ in range(3)]
            for n, caller in enumerate((idle, held, kept)):
                assert "connection" not in (await caller.ask(f"{n}")).headers
            server.gate.clear()
            held.write(request("held", "pay"))
            await wait_until(lambda: len(server.seen) == 4)
            new = await Process.start(scene.path, listener, tmp_path)
            await new.logs(b"started, accepting")
            await old.logs(b"2 processes")
            old.process.send_signal(signal.SIGTERM)
            await old.logs(b"stopping, 1 others")
            kept.write(request("kept"))
            await wait_until(lambda: len(server.seen) == 5)
            server.gate.set()
            for caller in (held, kept):
                reply = await caller.read()
                assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await idle.closed()
            assert (await scene.ask("after")).status == 200
            assert await asyncio.wait_for(old.process.wait(), WAIT_TIMEOUT_S) == 0
            await new.logs(b"1 processes")
            assert (await scene.ask("later")).status == 200, "the shared socket must go on listening"
            new.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.process.wait(), WAIT_TIMEOUT_S) == 0
            listener.close()

    run(test())


def test_a_start_that_fails_leaves_the_old_process_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path, Server(), start=False) as scene:
            listener = listener_of(scene)
            old = await Process.start(scene.path, listener, tmp_path)
            await old.logs(b"started, accepting")
            broken = tmp_path / "broken.json"
            broken.write_text("{")
            failed = await Process.start(broken, listener, tmp_path)
            assert await asyncio.wait_for(failed.process.wait(), WAIT_TIMEOUT_S) == 2
            unready = tmp_path / "unready.json"  # knows no server: it must not accept
            known = {"index": 0, "snapshot": True, "endpoints": []}
            unready.write_text(json.dumps(scene.config | {"known": known, "discovery": "127.0.0.1:1"}))
            second = await Process.start(unready, listener, tmp_path)
            await old.logs(b"2 processes")
            for n in range(20):
                assert (await scene.ask(f"{n}")).status == 200
            second.process.kill()
            await old.logs(b"1 processes")
            assert (await scene.ask("after")).status == 200
            old.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.process.wait(), WAIT_TIMEOUT_S) == 0
            listener.close()

    run(test())
