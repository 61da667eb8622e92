"""Case 8: configurations that are acknowledged end the control planes, again at each start."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.fleet import CannotRun, Fleet, run_case  # noqa: E402
from rig2.http import Request  # noqa: E402
from rig2.servers import ModelServer, signed_head  # noqa: E402

CHANGES = 3
GAP_S = 1.0
WATCHED_S = 20.0  # from the first change
RESTART_DELAY_S = 0.5
ENDS = 3  # of a process, which break the rule where half of the core has them
TOKENS = 872_000
TOO_MANY_TOKENS = 10**309  # JSON and valid by the pages; one digit more than a float can hold


def document(version: int, tokens: int) -> dict[str, Any]:
    """A configuration like that of PROTOCOL.md, with this memory of a server."""
    route = {
        "name": "booking",
        "hostname": "h.example",
        "path_prefix": "/booking/",
        "type": "unsafe",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "service": "pool",
    }
    runtime = {"capacity": 8, "kv_cache_tokens": tokens, "kv_bytes": 131072, "model_list": [{"name": "m"}]}
    service = {"name": "pool", "max_connections": 180, "runtime": runtime}
    return {"version": version, "routes": [route], "services": [service]}


async def answer_at_once(
    server: ModelServer, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Answer a request."""
    writer.write(signed_head(server, request, "Content-Length: 4") + b"done")
    await writer.drain()
    return True


class Platform:
    """Restarts processes that end, after a short delay, and counts their ends."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.ends = {process.name: 0 for process in fleet.controls}
        self.broken = asyncio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for process in self._fleet.controls:
                if not process.alive:
                    self.ends[process.name] += 1
                    self._fleet.record.note(f"{process.name} ended by itself with {process.exit_code}")
                    if self.rule_broken:
                        self.broken.set()
                    await asyncio.sleep(RESTART_DELAY_S)
                    process.start()
            await asyncio.sleep(0.1)

    @property
    def rule_broken(self) -> bool:
        """Whether half of the core has ended by itself three times."""
        return 2 * sum(count >= ENDS for count in self.ends.values()) >= len(self.ends)


async def send(fleet: Fleet, version: int, base: int, tokens: int, until: float) -> bool:
    """Send one change to machine after machine until it has a clear answer; whether it was taken."""
    while time.monotonic() < until:
        for address in fleet.control_addresses():
            answer = await fleet.call(address, "/configuration/replace", document(version, tokens), base)
            fleet.record.note(
                f"version {version} at {address[0]}: {answer.status} {answer.body[:60]!r} {answer.error}"
            )
            if answer.status == 200 or 400 <= answer.status < 500:
                return answer.status == 200
        await asyncio.sleep(0.3)
    return False


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Send three configurations a second apart, and restart control planes that end."""
    servers = [ModelServer(fleet, "pool", answer_at_once) for _ in range(2)]
    for server in servers:
        await server.start()
    await fleet.configure(document(1, TOKENS), 0)
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    platform = Platform(fleet)
    watch = asyncio.create_task(platform.run())
    until = time.monotonic() + WATCHED_S
    version = taken = 1
    for _ in range(CHANGES):
        version += 1
        tokens = TOO_MANY_TOKENS if trouble else version * TOKENS
        if await send(fleet, version, taken, tokens, until):
            taken = version
        await asyncio.sleep(GAP_S)
    if not trouble and taken != 1 + CHANGES:
        raise CannotRun("a usual configuration was not acknowledged")
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, until - time.monotonic())):
            await platform.broken.wait()
    watch.cancel()
    fleet.record.note(f"acknowledged up to version {taken}; ends by itself: {platform.ends}")
    for process in fleet.controls:
        lines = [line for line in process.log.splitlines() if "Error:" in line]
        fleet.record.note(f"{process.name} wrote {lines[-1:]}")
    for server in servers:
        await server.stop()
    return not platform.rule_broken


if __name__ == "__main__":
    run_case(FOLDER, case, nodes=1)
