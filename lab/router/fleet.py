"""Processes of both programs, each on its own loopback address, as if on separate machines."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

ROOT = Path(__file__).parent.parent.parent
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, INTERNAL_PORT = 8_662, 8_663, 8_665, 7_680
START_TIMEOUT_S = 15.0  # also of calls that are retried until they succeed


@dataclass
class Process:
    """One process and its settings."""

    name: str
    program: str  # "dataplane" or "controlplane"
    host: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    source: Path = ROOT  # source tree of its program; differs where two versions run side by side

    def start(self) -> None:
        """Start or restart the process."""
        environment = {**os.environ, "PYTHONPATH": str(self.source), "DUNLINLOFT_CONFIG": str(self.settings)}
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", f"dunlinloft.{self.program}"]
            self.process = subprocess.Popen(command, cwd=self.source, env=environment, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> int:
        """Kill the process, wait for its exit and return the exit code."""
        assert self.process is not None
        self.process.kill()
        return self.process.wait(10.0)

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None


@dataclass
class RouterFleet:
    """Control planes and data planes. `network` is the second byte of their addresses, 127.N.0.x."""

    folder: Path
    network: int
    controls: int = 3
    nodes: int = 2
    grace_s: float = 4.0
    sources: dict[str, Path] = field(default_factory=dict)  # source tree by process name, if not this one
    control: list[Process] = field(default_factory=list)
    data: list[Process] = field(default_factory=list)

    def start(self) -> None:
        """Start all processes."""
        hosts = [f"127.{self.network}.0.{n}" for n in range(1, self.controls + 1)]
        for number, host in enumerate(hosts):
            self.control.append(self._process(f"control-{number}", "controlplane", host, hosts, True))
        for number in range(self.nodes):
            host = f"127.{self.network}.1.{number + 1}"
            self.data.append(self._process(f"node-{number}", "dataplane", host, hosts, False))
        for process in (*self.control, *self.data):
            process.start()

    def _process(self, name: str, program: str, host: str, seeds: list[str], counts: bool) -> Process:
        settings = self.folder / f"{name}.toml"
        log = self.folder / f"{name}.log"
        process = Process(name, program, host, settings, log, source=self.sources.get(name, ROOT))
        self.write_settings(process, seeds, counts, bootstrap=True)
        return process

    def write_settings(self, process: Process, seeds: list[str], counts: bool, bootstrap: bool) -> None:
        """Write a process's settings file."""
        data = self.folder / process.name / "data"
        data.parent.mkdir(exist_ok=True)
        names = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds)
        process.settings.write_text(
            f'''node_name = "{process.name}"
ip_address = "{process.host}"
zone = "a"
internal_port_range = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]
seed_nodes = [{names}]
bootstrap = {str(bootstrap).lower()}
counts_for_quorum = {str(counts).lower()}
data_directory = "{data if counts else ""}"
heartbeat_interval_ms = 300
[listeners_config]
frontend = "{process.host}:{FRONTEND_PORT}"
readiness = "{process.host}:{READINESS_PORT}"
control_plane = "{process.host}:{CONTROL_PORT}"
[fault_tolerance]
hosts_lost = {(self.controls - 1) // 2}
[timing_bounds]
grace_period_s = {self.grace_s}
'''
        )

    def wipe(self, process: Process) -> None:
        """Erase a machine's disk; its process starts without state, and not with the initial view."""
        shutil.rmtree(self.folder / process.name / "data", ignore_errors=True)
        seeds = [other.host for other in self.control]
        self.write_settings(process, seeds, True, bootstrap=False)

    def control_addresses(self) -> list[str]:
        """Return the addresses that servers and operators call."""
        return [f"{process.host}:{CONTROL_PORT}" for process in self.control]

    def frontend_url(self, node: int = 0) -> str:
        """Return the URL at which clients call a node."""
        return f"http://{self.data[node].host}:{FRONTEND_PORT}"

    def stop(self) -> None:
        """Kill all processes."""
        for process in (*self.control, *self.data):
            if process.alive:
                process.end()

    async def ready(self, session: aiohttp.ClientSession, node: int) -> bool:
        """Return whether a node reports that it is ready."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(f"http://{self.data[node].host}:{READINESS_PORT}/readyz") as answer:
                return answer.status == 200
        return False

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until all nodes are ready. Raises `TimeoutError`."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in range(self.nodes):
                while not await self.ready(session, node):
                    await asyncio.sleep(0.05)

    async def put(
        self, session: aiohttp.ClientSession, body: dict[str, Any], base: int, kind: str = "replace"
    ) -> int:
        """Submit a configuration as an operator does until the result is definite; return the HTTP status."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for address in self.control_addresses():
                    status = await self._put_once(session, address, body, base, kind)
                    if status is not None:
                        return status
                await asyncio.sleep(0.1)

    async def _put_once(
        self, session: aiohttp.ClientSession, address: str, body: dict[str, Any], base: int, kind: str
    ) -> int | None:
        url = f"http://{address}/configuration/{kind}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        headers = {"X-Base-Version": str(base)}
        try:
            async with session.post(url, json=body, headers=headers, timeout=timeout) as answer:
                return None if answer.status >= 500 else answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def read_configuration(self, session: aiohttp.ClientSession) -> dict[str, Any]:
        """Read the current configuration from a control plane. Raises `TimeoutError`."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for address in self.control_addresses():
                    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                        async with session.get(f"http://{address}/configuration/describe") as answer:
                            if answer.status == 200:
                                found: dict[str, Any] = await answer.json()
                                return found
                await asyncio.sleep(0.1)
