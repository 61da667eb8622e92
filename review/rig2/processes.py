"""A server in a process of its own, so that it can be killed; its heartbeats are sent from the case."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from rig2.fleet import CannotRun, Fleet
from rig2.http import Request
from rig2.servers import ModelServer


class ServerProcess:
    """One server; its script gets host, port and id, and then `arguments`.

    The script prints `listening`, what it runs, and `waiting` where it is to be killed.
    """

    def __init__(self, fleet: Fleet, service: str, script: Path, *arguments: str) -> None:
        self._fleet = fleet
        self._script = script
        self._arguments = arguments
        self._process: asyncio.subprocess.Process | None = None
        self.registration = ModelServer(fleet, service, _unused)

    async def start(self) -> None:
        """Start it and register it."""
        await self.registration.start()
        host, port = self.registration.address.split(":")
        await self.registration.release_address()
        command = (sys.executable, "-B", str(self._script), host, port, self.registration.id)
        self._process = await asyncio.create_subprocess_exec(
            *command, *self._arguments, stdout=asyncio.subprocess.PIPE
        )
        if await self._read() != "listening":
            raise CannotRun("a server didn't start")

    async def _read(self) -> str:
        assert self._process is not None
        assert self._process.stdout is not None
        return (await self._process.stdout.readline()).decode().strip()

    async def kill_when_waiting(self) -> None:
        """Note what it prints, and kill it when it says that it is waiting."""
        assert self._process is not None
        while (line := await self._read()) != "waiting":
            if not line:
                raise CannotRun("the server ended by itself")
            self._fleet.record.note(f"server {self.registration.id} {line}")
        self._fleet.record.note(f"SIGKILL to server {self.registration.id}")
        self.registration.stop_beats()
        self._process.kill()

    async def stop(self) -> None:
        """End it."""
        await self.registration.stop()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()


async def kill_first_waiting(servers: list[ServerProcess]) -> None:
    """Kill the first server that says that it is waiting, and none of the others."""
    kills = [asyncio.create_task(server.kill_when_waiting()) for server in servers]
    await asyncio.wait(kills, return_when=asyncio.FIRST_COMPLETED)
    for kill in kills:
        kill.cancel()


async def _unused(
    server: ModelServer, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    raise CannotRun("the address belongs to the server's process")
