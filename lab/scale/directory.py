"""Real directory processes of a scale run with cells, each with an admin endpoint."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import numpy as np

from lab.processes.admin import call
from lab.processes.block import Block, text
from lab.processes.child import Child, environment
from lab.scale.plan import Plan

READY_TIMEOUT_S, POLL_INTERVAL_S = 30.0, 0.1
SERVICE, REGION = "scale", "one"
TRAFFIC_FIGURES = {"sent": "directory_messages_s", "sent_bytes": "directory_bytes_s"}


class DirectoryProcesses:
    """The processes of `python -m dunlinloft.node.fleet.directory`."""

    def __init__(self, plan: Plan, block: Block, loop: asyncio.AbstractEventLoop, folder: Path) -> None:
        self._loop, self._folder = loop, folder
        self._places = [block.directory(n) for n in range(plan.directory)]
        self._admins = [(host, port + 1) for host, port in self._places]
        self._children: list[Child] = []

    def addresses(self) -> list[str]:
        """Return the addresses for members' lookups."""
        return [text(place) for place in self._places]

    async def start(self, fleet: str) -> None:
        """Start all processes; raises `TimeoutError` if one does not answer within `READY_TIMEOUT_S`."""
        for n, address in enumerate(self.addresses()):
            config = {
                "name": f"d{n + 1}", "seed": f"{n:08x}", "management": text(self._admins[n]),
                "fleet": {"name": fleet, "bind": address, "seeds": self.addresses()[:3]},
            }  # fmt: skip
            path = self._folder / f"directory-{n}.json"
            path.write_text(json.dumps(config))
            child_environment = environment(self._folder, NODE_CONFIG=str(path))
            command = [sys.executable, "-B", "-m", "dunlinloft.node.fleet.directory"]
            log = self._folder / f"directory-{n}.log"
            self._children.append(Child(self._loop, command, child_environment, log, ()))
        async with asyncio.timeout(READY_TIMEOUT_S):
            for admin in self._admins:
                while (await call(admin, "GET", "/admin/health"))[0] != 200:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def look(self) -> list[dict[str, float]]:
        """Return each process's message counts and resource usage so far."""
        answers = await asyncio.gather(*(call(admin, "GET", "/admin/fleet") for admin in self._admins))
        counts = [content["counts"] if status == 200 else {} for status, content in answers]
        return [child.usage() | count for child, count in zip(self._children, counts, strict=True)]

    def figures(
        self, before: list[dict[str, float]], after: list[dict[str, float]], passed_s: float
    ) -> dict[str, float]:
        """Return the mean traffic and resource usage per directory process."""

        def rate(what: str) -> float:
            return float(
                np.mean([b.get(what, 0) - a.get(what, 0) for a, b in zip(before, after, strict=True)])
            )

        found = {name: rate(what) / passed_s for what, name in TRAFFIC_FIGURES.items()}
        memory = float(np.mean([usage.get("memory_mb", 0.0) for usage in after]))
        cpu = 1000.0 * rate("cpu_s") / passed_s
        return found | {"directory_cpu_ms_s": cpu, "directory_memory_mb": memory}

    def close(self) -> None:
        """Kill the processes."""
        for child in self._children:
            child.close()
