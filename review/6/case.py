"""Case 6: a server crashes in the middle of an event, and the client's stream ends as if it were complete."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.fleet import Fleet, run_case  # noqa: E402
from rig2.http import ask  # noqa: E402
from rig2.processes import ServerProcess, kill_first_waiting  # noqa: E402

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


async def case(fleet: Fleet, trouble: bool) -> bool:
    """One stream on a route that may be resumed, and one on a route that may not; kill the server of each."""
    names = {"once": False, "again": True}
    arguments = (str(EVENTS), str(CRASH_IN if trouble else 0))
    script = FOLDER / "server.py"
    servers = {
        name: [ServerProcess(fleet, f"pool-{name}", script, *arguments) for _ in range(SERVERS)]
        for name in names
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
        await kill_first_waiting(servers)
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
