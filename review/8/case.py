"""Case 8: a stream that is resumed at another server is cut at the length that the first one stated."""

from __future__ import annotations

import asyncio
import re
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.fleet import Fleet, run_case  # noqa: E402
from rig2.http import ask  # noqa: E402
from rig2.processes import ServerProcess, kill_first_waiting  # noqa: E402

DEADLINE_MS = 15_000
EVENTS = 9
CRASH_AFTER = 3  # events of the first run
SERVERS = 6  # of the service; one is killed
ROUTE = {
    "name": "chat",
    "hostname": "h.example",
    "path_prefix": "/chat/",
    "type": "streaming",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 150,
    "service": "pool",
    "max_attempts": 2,
    "resumable": True,
}


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Kill the server of one stream after three events; the others can continue it."""
    arguments = (str(EVENTS), str(CRASH_AFTER if trouble else 0))
    servers = [ServerProcess(fleet, "pool", FOLDER / "server.py", *arguments) for _ in range(SERVERS)]
    try:
        for server in servers:
            await server.start()
        document = {"version": 1, "routes": [ROUTE], "services": [{"name": "pool", "max_connections": 180}]}
        await fleet.configure(document, 0)
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        return await _one_stream(fleet, servers, trouble)
    finally:
        for server in servers:
            await server.stop()


async def _one_stream(fleet: Fleet, servers: list[ServerProcess], trouble: bool) -> bool:
    """Whether a stream that ended as complete had all its events."""
    headers = {
        "X-Attempt-Id": "stream",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model-Name": "m",
        "X-Token-Usage": "100,50",
        "X-Prompt-Prefix": "aa:60,bb:40",
    }
    fleet.record.note("client sends stream")
    asked = asyncio.create_task(ask(fleet.frontend(), "POST", "/chat/x", headers, b"hello"))
    if trouble:
        await kill_first_waiting(servers)
    answer = await asked
    ids = [int(number) for number in re.findall(rb"^id: (\d+)$", answer.body, re.MULTILINE)]
    fleet.record.note(
        f"client got for stream: status {answer.status}, Content-Length "
        f"{answer.headers.get('content-length')}, ended as complete: {answer.complete}, events {ids} of "
        f"{EVENTS}, last bytes {answer.body[-40:]!r}"
    )
    return not answer.complete or ids == list(range(1, EVENTS + 1))


if __name__ == "__main__":
    run_case(FOLDER, case, nodes=1)
