"""Case 4: a machine that gets SIGTERM holds requests until it exits, and never answers them."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.fleet import Fleet, run_case  # noqa: E402
from rig2.http import Answer, Request, ask  # noqa: E402
from rig2.servers import ModelServer, signed_head  # noqa: E402

DEADLINE_MS = 15_000
LONG_S = 9.5  # of the requests that take all places; they end after the grace period
SHORT_S = 0.3
LOSS_TOLERANCE_S = 0.2
# When the clients ask, in seconds after SIGTERM. The platform still hands out connections then: it polls
# once a second, and takes a machine out that misses twice.
ASK_AT_S = (0.2, 0.5, 0.8, 1.1, 1.4)
ROUTE = {
    "name": "booking",
    "hostname": "h.example",
    "path_prefix": "/booking/",
    "type": "unsafe",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 150,
    "service": "pool",
    "max_attempts": 2,
}


async def work(
    server: ModelServer, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Work for as long as the path says, and answer."""
    await asyncio.sleep(float(request.target.split("/")[2]))
    writer.write(signed_head(server, request, "Content-Length: 4") + b"done")
    await writer.drain()
    return True


class Clients:
    """Clients of a route; `lost` holds the tries whose connection closed without a complete answer."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.lost: list[str] = []

    async def attempt(self, name: str, node: int, seconds: float, deadline_ms: float) -> Answer:
        """Send one try on a new connection."""
        self._fleet.record.note(f"client sends {name} to node-{node + 1}, X-Deadline-Ms {deadline_ms:.0f}")
        headers = {
            "X-Attempt-Id": name,
            "X-Deadline-Ms": f"{deadline_ms:.0f}",
        }
        sent = time.monotonic()
        target = f"/booking/{seconds}/x"
        answer = await ask(self._fleet.frontend(node), "POST", target, headers, b"hello", deadline_ms / 1e3)
        took = time.monotonic() - sent
        self._fleet.record.note(
            f"client got for {name} after {took:.2f} s: status {answer.status}, complete {answer.complete}, "
            f"{answer.error}"
        )
        closed = not answer.complete and not answer.error.startswith("TimeoutError")
        if closed and took > LOSS_TOLERANCE_S:
            self.lost.append(name)
        return answer

    async def request(self, name: str, seconds: float) -> None:
        """Ask at node 2, and if that is refused at node 1 after the stated wait, as retries do."""
        started = time.monotonic()
        answer = await self.attempt(f"{name}-1", 1, seconds, DEADLINE_MS)
        if answer.status in (429, 503):
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
            left_ms = DEADLINE_MS - 1_000.0 * (time.monotonic() - started)
            await self.attempt(f"{name}-2", 0, seconds, left_ms)


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Fill all places by way of node 2, stop node 1, and have retries reach it while they still may."""
    servers = [ModelServer(fleet, "pool", work, capacity=2) for _ in range(2)]
    for server in servers:
        await server.start()
    document = {"version": 1, "routes": [ROUTE], "services": [{"name": "pool", "max_connections": 180}]}
    await fleet.configure(document, 0)
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    clients = Clients(fleet)
    await clients.attempt("before", 0, SHORT_S, DEADLINE_MS)
    others = Clients(fleet)
    fill = []
    for number in range(6):  # two run and one waits at each server
        fill.append(asyncio.create_task(others.attempt(f"long-{number}", 1, LONG_S, DEADLINE_MS)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.3)
    if trouble:
        fleet.nodes[0].send(signal.SIGTERM)
    stopped = time.monotonic()
    asked = []
    for number, at_s in enumerate(ASK_AT_S):
        await asyncio.sleep(max(0.0, stopped + at_s - time.monotonic()))
        asked.append(asyncio.create_task(clients.request(f"ask-{number}", SHORT_S)))
    await asyncio.gather(*asked)
    fleet.record.note(
        f"node-1 alive: {fleet.nodes[0].alive}, {time.monotonic() - stopped:.2f} s after SIGTERM"
    )
    for task in fill:
        task.cancel()
    ran = {attempt for server in servers for attempt in server.ran}
    # A request that a server still works on in the second half of the grace period is excused: leave out all
    # that any server ran.
    lost = [name for name in clients.lost if name not in ran]
    fleet.record.note(f"closed without an answer, never passed to a server: {lost}")
    for server in servers:
        await server.stop()
    return not lost


if __name__ == "__main__":
    run_case(FOLDER, case, nodes=3)
