"""The environment of simulated processes: event loop, network, file system and disk."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from lab.simulation.disk import SimulatedDisk
from lab.simulation.event_loop import ProcessFailure, SimulatedEventLoop
from lab.simulation.files import SimulatedFiles
from lab.simulation.network import Network
from lab.simulation.process import SimulatedProcess, SteadyClock

FILE = Path("/data/log")
OTHER = Path("/data/other")


class _TwoHosts:
    """Two hosts with one process each."""

    def __init__(self, seed: int = 1, rate: float = 1.0) -> None:
        self.loop = SimulatedEventLoop()  # type: ignore[abstract]
        self.network = Network(self.loop, random.Random(seed))
        self.server = SimulatedProcess("server", "s", SteadyClock())
        self.client = SimulatedProcess("client", "c", SteadyClock(1_000.0, rate))
        self.log: list[Any] = []
        for host in ("s", "c"):
            self.network.power_on(host)

    def start(self, process: SimulatedProcess, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.loop.start_in(process, coroutine)

    async def serve(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while line := await reader.readline():
                    self.log.append(line)
                    writer.write(line)

        await asyncio.start_server(echo, "s", 7)

    async def send(self, count: int, gap_s: float = 0.0) -> None:
        reader, writer = await asyncio.open_connection("s", 7)
        for number in range(count):
            writer.write(b"%d\n" % number)
            await asyncio.sleep(gap_s)
        try:
            while line := await reader.readline():
                self.log.append(("back", line))
        except OSError as error:
            self.log.append(type(error))
        else:
            self.log.append("closed")

    def end(self, process: SimulatedProcess, power_lost: bool) -> None:
        process.alive = False
        self.network.end_process(process, power_lost)


# The event loop.


def test_a_killed_process_does_nothing_more() -> None:
    hosts = _TwoHosts()

    async def work() -> None:
        try:
            while True:
                await asyncio.sleep(0.1)
                hosts.log.append(hosts.loop.now_s)
        finally:
            hosts.log.append("cleaned up")

    hosts.start(hosts.client, work())
    hosts.loop.run_until(0.35)
    hosts.client.alive = False
    hosts.loop.run_until(2.0)
    assert len(hosts.log) == 3


def test_a_frozen_process_resumes_where_it_was() -> None:
    hosts = _TwoHosts()

    async def work() -> None:
        for number in range(3):
            await asyncio.sleep(0.1)
            hosts.log.append((number, round(hosts.loop.now_s, 2)))

    hosts.start(hosts.client, work())
    hosts.loop.run_until(0.15)
    hosts.client.frozen = True
    hosts.loop.run_until(1.0)
    assert hosts.log == [(0, 0.1)]
    hosts.loop.thaw(hosts.client)
    hosts.loop.run_until(2.0)
    assert hosts.log == [(0, 0.1), (1, 1.0), (2, 1.1)]


@pytest.mark.parametrize("rate", [0.96, 1.0, 1.04])
def test_timers_run_by_the_process_clock(rate: float) -> None:
    hosts = _TwoHosts(rate=rate)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await asyncio.sleep(1.0)
        hosts.log.append((loop.time() - started_s, hosts.loop.now_s))

    hosts.start(hosts.client, work())
    hosts.loop.run_until(3.0)
    ((local_s, simulated_s),) = hosts.log
    assert local_s == pytest.approx(1.0)
    assert simulated_s == pytest.approx(1.0 / rate)


def test_an_endless_loop_is_reported() -> None:
    hosts = _TwoHosts()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    hosts.start(hosts.client, spin())
    with pytest.raises(ProcessFailure, match="no time passes"):
        hosts.loop.run_until(1.0)


def test_an_unhandled_error_ends_the_simulation() -> None:
    hosts = _TwoHosts()
    hosts.loop.after(0.5, lambda: 1 // 0)
    with pytest.raises(ProcessFailure, match="ZeroDivisionError"):
        hosts.loop.run_until(1.0)


# The network.


def test_data_arrives_in_order() -> None:
    hosts = _TwoHosts()
    hosts.start(hosts.server, hosts.serve())
    hosts.start(hosts.client, hosts.send(50, 0.000_1))
    hosts.loop.run_until(1.0)
    assert [line for line in hosts.log if isinstance(line, bytes)] == [b"%d\n" % n for n in range(50)]
    assert len(hosts.log) == 100


def test_a_blocked_link_queues_data_until_the_sender_times_out() -> None:
    for blocked_s, arrives in ((0.5, True), (3.0, False)):
        hosts = _TwoHosts()
        hosts.start(hosts.server, hosts.serve())
        hosts.start(hosts.client, hosts.send(3, 0.2))
        hosts.loop.run_until(0.1)
        hosts.network.block("c", "s")
        hosts.loop.run_until(0.1 + blocked_s)
        assert hosts.log.count(b"0\n") == 1
        assert b"1\n" not in hosts.log
        hosts.network.unblock("c", "s")
        hosts.loop.run_until(5.0)
        assert (b"1\n" in hosts.log) == arrives
        assert (TimeoutError in hosts.log) != arrives


@pytest.mark.parametrize("seed", range(4))
def test_a_killed_process_closes_its_connections_but_a_power_loss_sends_nothing(seed: int) -> None:
    hosts = _TwoHosts(seed)
    hosts.start(hosts.server, hosts.serve())
    hosts.start(hosts.client, hosts.send(1))
    hosts.loop.run_until(0.5)
    hosts.end(hosts.server, power_lost=False)
    hosts.loop.run_until(1.0)
    assert hosts.log[-1] in ("closed", ConnectionResetError)
    unpowered = _TwoHosts(seed)
    unpowered.start(unpowered.server, unpowered.serve())
    unpowered.start(unpowered.client, unpowered.send(1))
    unpowered.loop.run_until(0.5)
    unpowered.end(unpowered.server, power_lost=True)
    unpowered.loop.run_until(5.0)
    assert unpowered.log[-1] == ("back", b"0\n")


@pytest.mark.parametrize(("powered", "error"), [(True, ConnectionRefusedError), (False, TimeoutError)])
def test_connect_without_a_listener_fails(powered: bool, error: type[Exception]) -> None:
    hosts = _TwoHosts()
    if not powered:
        hosts.end(hosts.server, power_lost=True)

    async def connect() -> None:
        try:
            async with asyncio.timeout(0.4):
                await asyncio.open_connection("s", 7)
        except OSError as failure:
            hosts.log.append(type(failure))

    hosts.start(hosts.client, connect())
    hosts.loop.run_until(1.0)
    assert hosts.log == [error]


def test_damaged_writes_arrive_halved_or_changed_and_never_as_they_were() -> None:
    halved = changed = 0
    for seed in range(40):
        hosts = _TwoHosts(seed)
        hosts.start(hosts.server, hosts.serve())
        hosts.network.damage("c", 1.0)
        hosts.start(hosts.client, hosts.send(1))
        hosts.loop.run_until(1.0)
        lines = [line for line in hosts.log if isinstance(line, bytes)]
        assert b"0\n" not in lines
        changed += bool(lines)
        halved += not lines
    assert halved > 5
    assert changed > 5


# Files and disks.


def _write(files: SimulatedFiles, path: Path, data: bytes, offset: int, sync: bool) -> None:
    file = files.open(path)
    while data:
        written = files.write(file, memoryview(data), offset)
        data = data[written:]
        offset += written
    if sync:
        files.sync_data(file)
    files.close(file)


def test_power_loss_keeps_synced_data_and_keeps_drops_or_tears_each_other_write() -> None:
    seen: set[bytes | None] = set()
    for seed in range(300):
        files = SimulatedFiles(random.Random(seed))
        _write(files, FILE, b"synced", 0, sync=True)
        files.sync_directory(FILE.parent)
        _write(files, FILE, b"AAAA", 6, sync=False)
        _write(files, FILE, b"BBBB", 10, sync=False)
        files.lose_power()
        content = files.read(FILE)
        assert content is not None
        assert content.startswith(b"synced")
        seen.add(content[6:])
    assert {b"", b"AAAABBBB", b"AAAA", b"\0\0\0\0BBBB"} <= seen
    assert any(rest and rest.startswith(b"AA") and len(rest) < 4 for rest in seen)


def test_power_loss_keeps_or_drops_each_unsynced_directory_entry() -> None:
    found = set()
    for seed in range(60):
        files = SimulatedFiles(random.Random(seed))
        for path in (FILE, OTHER):
            _write(files, path, b"x", 0, sync=True)
        files.lose_power()
        found.add((files.read(FILE), files.read(OTHER)))
    assert found == {(None, None), (b"x", None), (None, b"x"), (b"x", b"x")}


def test_a_full_disk_refuses_writes_and_new_files() -> None:
    files = SimulatedFiles(random.Random(1))
    _write(files, FILE, b"x", 0, sync=True)
    files.full = True
    for path in (FILE, OTHER):
        with pytest.raises(OSError, match="no space left"):
            _write(files, path, b"y", 1, sync=True)
    assert files.read(FILE) == b"x"


def _content_after_crash(seed: int, crash: Callable[[SimulatedDisk], None]) -> bytes | None:
    """Return the file's content after a crash during a call with three writes."""
    loop = SimulatedEventLoop()  # type: ignore[abstract]
    disk = SimulatedDisk(loop, random.Random(seed))
    disk.files.sync_directory(FILE.parent)

    def call() -> None:
        for number in range(3):
            _write(disk.files, FILE, b"%d" % number, number, sync=True)

    disk.submit(SimulatedProcess("p", "h", SteadyClock()), call)
    loop.run_until(0.000_5)
    crash(disk)
    loop.run_until(1.0)
    return disk.files.read(FILE)


def test_a_crash_during_a_call_leaves_a_prefix_of_it() -> None:
    killed = {_content_after_crash(seed, lambda disk: disk.crash(power_lost=False)) for seed in range(60)}
    assert {None, b"", b"0", b"01", b"012"} >= killed
    assert len(killed) >= 4
    assert _content_after_crash(1, lambda _: None) == b"012"


def test_a_stalled_disk_finishes_no_call_until_it_resumes() -> None:
    loop = SimulatedEventLoop()  # type: ignore[abstract]
    disk = SimulatedDisk(loop, random.Random(1))
    process = SimulatedProcess("p", "h", SteadyClock())
    futures = [disk.submit(process, lambda: None) for _ in range(2)]
    loop.run_until(0.000_05)
    disk.stalled = True
    loop.run_until(5.0)
    assert not any(future.done() for future in futures)
    disk.stalled = False
    loop.run_until(6.0)
    assert all(future.done() for future in futures)
