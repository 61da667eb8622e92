"""Tests of upgrades, in which two processes share a listening socket and serve as one node."""

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
from dunlinloft.node.http.handover import Siblings, inherited_socket
from tests.helpers import Node
from tests.peers import WAIT_TIMEOUT_S, NodeHarness, Server, node_harness, request, run, wait_until
from tests.test_wire import ROOT


def test_processes_detect_each_other_by_held_locks_and_ignore_stale_files(tmp_path: Path) -> None:
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


def test_unwritable_directory_hides_other_processes_without_an_error(tmp_path: Path) -> None:
    siblings = Siblings(tmp_path / "absent")
    siblings.publish_socket_count(3)
    assert siblings.others() == []


def test_processes_together_stay_within_the_socket_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "SHORT_KEEPALIVE_TIMEOUT_MS", 60_000.0)

    async def test() -> None:
        async with node_harness(tmp_path, Server(), sockets=80) as scene:
            node = scene.node
            assert node is not None
            clients = [await scene.caller() for _ in range(40)]
            for n, client in enumerate(clients):
                assert (await client.ask(f"{n}")).status == 200
            assert node.frontend.count() == 40 and node._available_sockets() > 0
            node.share_sockets([24])  # another process has started
            assert node._available_sockets() == 40 - 24 - 40 - node._upstream.count()
            await wait_until(lambda: node._available_sockets() >= 0)
            assert node.sockets() + 24 <= 80 and node.frontend.count() > 0
            node.share_sockets([70])  # it uses more than its half
            assert node._socket_limit == 10
            node.share_sockets([])
            assert node._socket_limit == 80

    run(test())


def test_shutdown_rejects_partially_received_requests_with_503(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with node_harness(tmp_path, server) as scene:
            node = scene.node
            assert node is not None
            pending, head, small, large = [await scene.caller() for _ in range(4)]
            pending.write(request("pending", "pay"))
            head.write(request("head", "pay")[:20])
            small.write(request("small", "pay", body=b"x" * 100)[:-1])
            large.write(request("large", "pay", body=b"x" * 300_000)[:-1])
            await wait_until(lambda: bool(server.seen) and len(node._attempts) == 2)
            shutdown = asyncio.ensure_future(node.stop())
            for client in (head, small, large):
                assert (await client.read()).status == 503
                client.writer.close()
            assert not shutdown.done()
            server.gate.set()
            assert (await pending.read()).status == 200
            await shutdown
            assert [seen.id for seen in server.seen] == ["pending"] and node.memory.used_bytes == 0

    run(test())


@pytest.mark.parametrize("value", ["x", "987654"])
def test_error_for_a_descriptor_that_is_not_a_socket_names_it(value: str) -> None:
    assert inherited_socket(None) is None
    with pytest.raises(OSError, match=value):
        inherited_socket(value)


def test_processes_of_a_node_split_the_slow_start_and_retry_budgets() -> None:
    node = Node(retry_budget_ratio=0.0, retry_budget_floor=4.0, retry_budget_window_ms=10_000.0)
    node.handle(api.ProcessCount(4))
    for n in range(3):
        node.request(f"{n}")
        node.complete(f"{n}", api.Result.ERROR)
    for _, action in list(node.action_log):
        if isinstance(action, api.SetTimer):
            node.handle(api.TimerFired(action.token), 1_000.0)
    assert sum(len(sent) - 1 for sent in node.sent.values()) == 1, (
        "one of the four retries belongs to this process"
    )

    def cold_sends(processes: int) -> int:
        node = Node(servers=2)
        node.serve(200, gap_ms=0.0, delay_ms=5.0)
        node.handle(api.ProcessCount(processes))
        node.update_servers(api.ServerEntry(9, "z", "k", 1, started_ms=node.now))
        return node.serve(200, gap_ms=0.0, delay_ms=5.0).count(9)

    assert 0 < cold_sends(4) < cold_sends(1)


class NodeProcess:
    """The node program with an inherited listening socket."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, path: Path, listener: socket.socket, lock_directory: Path) -> NodeProcess:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "dunlinloft.node", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                pass_fds=(listener.fileno(),),
                env=os.environ | {
                    "NODE_CONFIG": str(path), "NODE_ACCEPT_FD": str(listener.fileno()),
                    "TMPDIR": str(lock_directory),
                },
            )
        )  # fmt: skip

    async def wait_for_log(self, text: bytes) -> None:
        assert self.process.stderr is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while text not in await self.process.stderr.readline():
                assert not self.process.stderr.at_eof(), "the process ended without the log line"


def create_listener(scene: NodeHarness) -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    scene.address = listener.getsockname()[:2]
    return listener


def test_upgrade_loses_no_request_and_the_old_process_closes_its_connections(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server, start=False) as scene:
            listener = create_listener(scene)
            old = await NodeProcess.start(scene.path, listener, tmp_path)
            await old.wait_for_log(b"started, accepting")
            idle, pending, keep_alive = [await scene.caller() for _ in range(3)]
            for n, client in enumerate((idle, pending, keep_alive)):
                assert "connection" not in (await client.ask(f"{n}")).headers
            server.gate.clear()
            pending.write(request("pending", "pay"))
            await wait_until(lambda: len(server.seen) == 4)
            new = await NodeProcess.start(scene.path, listener, tmp_path)
            await new.wait_for_log(b"started, accepting")
            await old.wait_for_log(b"2 processes")
            old.process.send_signal(signal.SIGTERM)
            await old.wait_for_log(b"stopping, 1 others")
            keep_alive.write(request("keep-alive"))
            await wait_until(lambda: len(server.seen) == 5)
            server.gate.set()
            for client in (pending, keep_alive):
                response = await client.read()
                assert (response.status, response.headers["connection"]) == (200, "close")
            assert await idle.closed()
            assert (await scene.ask("after")).status == 200
            assert await asyncio.wait_for(old.process.wait(), WAIT_TIMEOUT_S) == 0
            await new.wait_for_log(b"1 processes")
            assert (await scene.ask("later")).status == 200, "the shared socket must keep listening"
            new.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.process.wait(), WAIT_TIMEOUT_S) == 0
            listener.close()

    run(test())


def test_failed_start_of_a_new_process_does_not_affect_the_old_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path, Server(), start=False) as scene:
            listener = create_listener(scene)
            old = await NodeProcess.start(scene.path, listener, tmp_path)
            await old.wait_for_log(b"started, accepting")
            broken = tmp_path / "broken.json"
            broken.write_text("{")
            failed = await NodeProcess.start(broken, listener, tmp_path)
            assert await asyncio.wait_for(failed.process.wait(), WAIT_TIMEOUT_S) == 2
            unready = tmp_path / "unready.json"  # without a known server the process must not accept
            known = {"index": 0, "snapshot": True, "endpoints": []}
            unready.write_text(json.dumps(scene.config | {"known": known, "discovery": "127.0.0.1:1"}))
            second = await NodeProcess.start(unready, listener, tmp_path)
            await old.wait_for_log(b"2 processes")
            for n in range(20):
                assert (await scene.ask(f"{n}")).status == 200
            second.process.kill()
            await old.wait_for_log(b"1 processes")
            assert (await scene.ask("after")).status == 200
            old.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.process.wait(), WAIT_TIMEOUT_S) == 0
            listener.close()

    run(test())
