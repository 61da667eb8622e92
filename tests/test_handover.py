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

from nickelbridge import interface as api
from orchidferry.handover import Siblings, handed_socket
from tests.helpers import Node
from tests.peers import LIMIT_S, Server, World, request, run, until, world
from tests.test_wire import ROOT


def test_processes_see_each_other_by_their_locks(tmp_path: Path) -> None:
    (tmp_path / "orchidferry.0.lock").write_text("left behind by a process that was killed")
    old = Siblings(tmp_path)
    assert old.others() == 0
    new = Siblings(tmp_path)
    assert (old.others(), new.others()) == (1, 1)
    third = Siblings(tmp_path)
    assert (old.others(), new.others(), third.others()) == (2, 2, 2)
    third.leave()
    old.leave()
    assert new.others() == 0


def test_a_folder_that_cannot_be_written_hides_the_others_and_does_no_harm(tmp_path: Path) -> None:
    assert Siblings(tmp_path / "absent").others() == 0


@pytest.mark.parametrize("value", ["x", "987654"])
def test_a_descriptor_that_is_no_socket_is_named(value: str) -> None:
    assert handed_socket(None) is None
    with pytest.raises(OSError, match=value):
        handed_socket(value)


def test_processes_of_one_node_split_the_budgets_of_cold_servers_and_repeats() -> None:
    node = Node(repeat_ratio=0.0, extra_floor=4.0, resend_span_ms=10_000.0)
    node.do(api.Sharing(4))
    for n in range(3):
        node.ask(f"{n}")
        node.end(f"{n}", api.Result.ERROR)
    for _, action in list(node.log):
        if isinstance(action, api.SetTimer):
            node.do(api.TimerFired(action.token), 1_000.0)
    assert sum(len(sent) - 1 for sent in node.sent.values()) == 1, "of four repeats one is this process's"

    def cold_sends(processes: int) -> int:
        node = Node(servers=2)
        node.serve(200, gap_ms=0.0, delay_ms=5.0)
        node.do(api.Sharing(processes))
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
                sys.executable, "-m", "orchidferry", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                pass_fds=(listener.fileno(),),
                env=os.environ | {
                    "NODE_CONFIG": str(path), "NODE_ACCEPT_FD": str(listener.fileno()), "TMPDIR": str(folder)
                },
            )
        )  # fmt: skip

    async def logs(self, words: bytes) -> None:
        assert self.process.stderr is not None
        async with asyncio.timeout(LIMIT_S):
            while words not in await self.process.stderr.readline():
                assert not self.process.stderr.at_eof(), "ended without the line"


def listener_of(scene: World) -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    scene.address = listener.getsockname()[:2]
    return listener


def test_an_upgrade_loses_no_request_and_the_old_process_parts_with_its_callers(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server, start=False) as scene:
            listener = listener_of(scene)
            old = await Process.start(scene.path, listener, tmp_path)
            await old.logs(b"started, accepting")
            idle, held, kept = [await scene.caller() for _ in range(3)]
            for n, caller in enumerate((idle, held, kept)):
                assert "connection" not in (await caller.ask(f"{n}")).headers
            server.gate.clear()
            held.write(request("held", "pay"))
            await until(lambda: len(server.seen) == 4)
            new = await Process.start(scene.path, listener, tmp_path)
            await new.logs(b"started, accepting")
            await old.logs(b"2 processes")
            old.process.send_signal(signal.SIGTERM)
            await old.logs(b"stopping, 1 others")
            kept.write(request("kept"))
            await until(lambda: len(server.seen) == 5)
            server.gate.set()
            for caller in (held, kept):
                reply = await caller.read()
                assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await idle.closed()
            assert (await scene.ask("after")).status == 200
            assert await asyncio.wait_for(old.process.wait(), LIMIT_S) == 0
            await new.logs(b"1 processes")
            assert (await scene.ask("later")).status == 200, "the shared socket must go on listening"
            new.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.process.wait(), LIMIT_S) == 0
            listener.close()

    run(test())


def test_a_start_that_fails_leaves_the_old_process_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            listener = listener_of(scene)
            old = await Process.start(scene.path, listener, tmp_path)
            await old.logs(b"started, accepting")
            broken = tmp_path / "broken.json"
            broken.write_text("{")
            failed = await Process.start(broken, listener, tmp_path)
            assert await asyncio.wait_for(failed.process.wait(), LIMIT_S) == 2
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
            assert await asyncio.wait_for(old.process.wait(), LIMIT_S) == 0
            listener.close()

    run(test())
