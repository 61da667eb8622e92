"""The host with real processes: a kill, cleanup at the end, and the relay between processes."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lab.day import play_virtual
from lab.lines import LinkFault, Links
from lab.names import Names
from lab.plan import Plan
from lab.processes import host
from lab.processes.block import Address, Block
from lab.processes.day import play_processes, unsupported_reason
from lab.processes.relay import Relay
from lab.scenario import load, parse
from tests.peers import run, wait_until
from tests.test_wire import ROOT

DAY = """
name = "real"
[day]
length_s = 7
[nodes]
count = 3
[[tiers]]
servers = 4
[arrivals]
rate_per_s = 40
[[faults]]
kind = "kill"
at_s = 2
nodes = ["n2"]
back_s = 1
[[faults]]
kind = "server"
at_s = 3
for_s = 2
servers = ["a1"]
drain = true
"""


def test_real_processes_with_a_kill_violate_no_rule(tmp_path: Path) -> None:
    """Safety rules hold strictly; the limits on served requests are wide enough for a busy machine."""
    with (tmp_path / "log").open("wb") as log:
        result = play_processes(parse(DAY), 1, lambda share: None, log, tmp_path)
    assert result.broken == {}
    assert result.figures["requests"] == play_virtual(parse(DAY), 1).figures["requests"]
    assert result.figures["goodput"] > 0.5
    assert result.figures["attempts"] > 0.5
    log_text = (tmp_path / "log").read_text()
    assert log_text.count('"what":"started"') == 4
    assert '"what":"kill"' in log_text
    assert {"n1", "n2", "n3"} == set(result.series.beliefs)


PLANTED = """
import sys
import dunlinloft.node.node as node
old = node.request_head
node.request_head = lambda *args: old(*args).replace({what})
from dunlinloft.node.__main__ import main
sys.exit(main())
"""


@pytest.mark.parametrize(
    ("what", "seen"),
    [
        ('b"X-Call-Id", b"X Call Id"', "nvalid"),
        ('b"of=day", b"of=night"', "target"),
        ('b"GET ", b"PUT "', "method"),
    ],
)
def test_protocol_violations_are_reported_with_the_violated_part(
    what: str, seen: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    command = [sys.executable, "-c", PLANTED.format(what=what)]
    monkeypatch.setattr(host, "node_command", lambda: command)
    day = (
        DAY[: DAY.index("[[faults]]")]
        .replace("length_s = 7", "length_s = 1")
        .replace("count = 3", "count = 1")
    )
    result = play_processes(parse(day), 1, lambda share: None, None, None)
    assert "wire" in result.broken
    assert any(seen in broken.what for broken in result.breaks if broken.rule == "wire")


def children(parent: int) -> list[int]:
    found = subprocess.run(["ps", "-o", "pid=", "--ppid", str(parent)], capture_output=True, text=True)
    return [int(pid) for pid in found.stdout.split()]


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_a_signal_to_the_lab_leaves_no_process_and_no_folder(number: int, tmp_path: Path) -> None:
    file = tmp_path / "day.toml"
    file.write_text(DAY.replace("length_s = 7", "length_s = 60"))
    folder = tmp_path / "tmp"
    folder.mkdir()
    lab = subprocess.Popen(
        [sys.executable, "-m", "dunlinloft", "lab", "run", str(file), "--host", "processes"],
        cwd=ROOT, env=os.environ | {"TMPDIR": str(folder)}, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
    )  # fmt: skip
    try:
        limit = time.monotonic() + 60.0
        while len(nodes := children(lab.pid)) < 3:
            assert time.monotonic() < limit, "the nodes were not started"
            time.sleep(0.05)
        lab.send_signal(number)
        lab.wait(30.0)
    finally:
        lab.kill()
        lab.wait()
        assert lab.stdout is not None
        lab.stdout.close()
    limit = time.monotonic() + 30.0
    while any(alive(pid) for pid in nodes):
        assert time.monotonic() < limit, "a node outlives the lab"
        time.sleep(0.05)
    if number == signal.SIGINT:
        assert lab.returncode == 1
        assert list(folder.iterdir()) == []


def test_concurrent_runs_use_different_addresses() -> None:
    first, second = Block(), Block()
    try:
        assert first.number != second.number
        freed = first.number
    finally:
        first.release()
        second.release()
    again = Block()
    again.release()
    assert again.number <= freed


def test_only_clock_faults_are_unsupported_with_processes() -> None:
    clock = 'name = "x"\n[[faults]]\nkind = "clock"\nat_s = 1\nnodes = ["n1"]\nwall_ms = 5'
    assert "virtual host only" in (unsupported_reason(parse(clock)) or "")
    assert unsupported_reason(load("herd")) is None


class LoopClock:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time() * 1000.0

    def after(self, delay_ms: float, do: object, *args: object) -> None:
        assert callable(do)
        self._loop.call_later(delay_ms / 1000.0, do, *args)


def test_the_relay_applies_links_and_shows_aliases() -> None:
    async def test() -> None:
        loop, block = asyncio.get_running_loop(), Block()
        plan = Plan(parse('name = "x"\n[nodes]\ncount = 2'), 1)
        clock = LoopClock(loop)
        lines = Links(Names(plan.scenario), 0.2, 4.0, 0.0, clock, 1)
        relay = Relay(loop, clock, lines, block, {"n1": 0, "n2": 1})
        await relay.start()
        got: list[tuple[bytes, Address]] = []

        class Peer(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: Address) -> None:
                got.append((data, address))

        one, _ = await loop.create_datagram_endpoint(Peer, local_addr=block.peer(0))
        two, _ = await loop.create_datagram_endpoint(Peer, local_addr=block.peer(1))
        heard: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                heard.append(data)
                writer.write(data.upper())
            writer.close()

        server = await asyncio.start_server(serve, *block.peer(1))
        try:
            one.sendto(b"there", block.alias(1))
            await wait_until(lambda: got == [(b"there", block.alias(0))])
            two.sendto(b"back", block.alias(0))
            await wait_until(lambda: got[1:] == [(b"back", block.alias(1))])
            local = (block.peer(0)[0], 0)
            reader, writer = await asyncio.open_connection(*block.alias(1), local_addr=local)
            writer.write(b"a")
            assert await reader.read(1) == b"A"
            cut = LinkFault(frozenset({("n1", "n2")}), cut=True)
            lines.add_fault(cut)
            one.sendto(b"lost", block.alias(1))
            writer.write(b"b")
            two.sendto(b"still", block.alias(0))  # only one direction is cut
            await wait_until(lambda: got[2:] == [(b"still", block.alias(1))])
            assert heard == [b"a"]
            lines.remove_fault(cut)
            assert await reader.read(1) == b"B"
            assert len(got) == 3
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"x", block.alias(1))
            await wait_until(lambda: relay.unknown_senders == 1)
            writer.close()
        finally:
            one.close()
            two.close()
            server.close()
            relay.close()
            block.release()

    run(test())
