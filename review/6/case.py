"""Case 6: a server crashes in the middle of an event, and the client's stream ends as if it were complete."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.fleet import CannotRun, Fleet, run_case  # noqa: E402
from rig2.http import Request, ask  # noqa: E402
from rig2.servers import ModelServer  # noqa: E402

DEADLINE_MS = 15_000
EVENTS = 6
CRASH_IN = 4  # the event of which half was sent when the server is killed
SERVERS = 6  # of each service; one is killed


def route(name: str, resumable: bool) -> dict[str, Any]:
    """One streaming route with its own service."""
    return {
        "name": name,
        "hostname": "h.example",
        "path_prefix": f"/{name}/",
        "type": "streaming",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 150,
        "service": f"pool-{name}",
        "max_attempts": 2,
        "resumable": resumable,
    }


class ServerProcess:
    """A server in a process of its own; its registration and heartbeats are sent from here."""

    def __init__(self, fleet: Fleet, service: str, crash_in: int) -> None:
        self._fleet = fleet
        self._crash_in = crash_in
        self._process: asyncio.subprocess.Process | None = None
        self.registration = ModelServer(fleet, service, _unused)

    async def start(self) -> None:
        """Start it and register it."""
        await self.registration.start()
        host, port = self.registration.address.split(":")
        await self.registration.release_address()
        arguments = (host, port, self.registration.id, str(EVENTS), str(self._crash_in))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(FOLDER / "server.py"), *arguments, stdout=asyncio.subprocess.PIPE
        )
        if await self._read() != "listening":
            raise CannotRun("a server didn't start")

    async def _read(self) -> str:
        assert self._process is not None
        assert self._process.stdout is not None
        return (await self._process.stdout.readline()).decode().strip()

    async def kill_when_waiting(self) -> None:
        """Kill it in the middle of an event."""
        assert self._process is not None
        while (line := await self._read()) != "waiting":
            if not line:
                raise CannotRun("the server ended by itself")
            self._fleet.record.note(f"server {self.registration.id} {line}")
        self._fleet.record.note(f"SIGKILL to server {self.registration.id}, half of event {CRASH_IN} sent")
        self.registration.stop_beats()
        self._process.kill()

    async def stop(self) -> None:
        """End it."""
        await self.registration.stop()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()


async def _unused(
    server: ModelServer, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    raise CannotRun("the address belongs to the server's process")


async def case(fleet: Fleet, trouble: bool) -> bool:
    """One stream on a route that may be resumed, and one on a route that may not; kill the server of each."""
    names = {"once": False, "again": True}
    crash_in = CRASH_IN if trouble else 0
    servers = {
        name: [ServerProcess(fleet, f"pool-{name}", crash_in) for _ in range(SERVERS)] for name in names
    }
    try:
        for server in (*servers["once"], *servers["again"]):
            await server.start()
        document = {
            "version": 1,
            "routes": [route(name, resumable) for name, resumable in names.items()],
            "services": [{"name": f"pool-{name}", "max_connections": 180} for name in names],
        }
        await fleet.configure(document, 0)
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        held = True
        for name in names:
            held = await _one_stream(fleet, name, servers[name], trouble) and held
        return held
    finally:
        for server in (*servers["once"], *servers["again"]):
            await server.stop()


async def _one_stream(fleet: Fleet, name: str, servers: list[ServerProcess], trouble: bool) -> bool:
    """Whether a stream that ended as complete had all its events."""
    headers = {
        "X-Attempt-Id": f"stream-{name}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model-Name": "m",
        "X-Token-Usage": "100,50",
        "X-Prompt-Prefix": "aa:60,bb:40",
    }
    fleet.record.note(f"client sends stream-{name}")
    asked = asyncio.create_task(ask(fleet.frontend(), "POST", f"/{name}/x", headers, b"hello"))
    if trouble:
        kills = [asyncio.create_task(server.kill_when_waiting()) for server in servers]
        await asyncio.wait(kills, return_when=asyncio.FIRST_COMPLETED)
        for kill in kills:
            kill.cancel()
    answer = await asked
    events = answer.body.split(b"\n\n")
    whole, rest = len(events) - 1, events[-1]
    fleet.record.note(
        f"client got for stream-{name}: status {answer.status}, ended as complete: {answer.complete}, "
        f"{whole} whole events of {EVENTS}, then {rest!r}"
    )
    return not (answer.complete and (whole < EVENTS or rest))


if __name__ == "__main__":
    run_case(FOLDER, case, nodes=1)
