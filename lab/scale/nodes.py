"""Real nodes under load next to hollow members: the process host with servers and callers, without relay."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from lab import records
from lab.plan import Plan as DayPlan
from lab.processes.admin import call
from lab.processes.host import ProcessHost
from lab.scenario import Scenario, parse

DAY = """
name = "scale"
[day]
length_s = {length_s}
[nodes]
count = {nodes}
fleet = {fleet}
[[tiers]]
servers = 6
[arrivals]
rate_per_s = {rate_per_s}
"""


def day(nodes: int, rate_per_s: float, length_s: float, fleet: bool) -> Scenario:
    """Return a scenario without faults, with a request rate per node and arrivals drawn from the seed."""
    return parse(
        DAY.format(nodes=nodes, rate_per_s=nodes * rate_per_s, length_s=length_s, fleet=str(fleet).lower())
    )


class RealNodes(ProcessHost):
    """Nodes that advertise their own addresses to their peers."""

    def __init__(
        self, plan: DayPlan, loop: asyncio.AbstractEventLoop, folder: Path,
        fleet: Callable[[str, str, int], dict[str, Any]] | None,
    ) -> None:  # fmt: skip
        super().__init__(plan, [self._see], loop, folder, None)
        self._relay = None
        self._fleet = fleet
        self._closed: list[records.Closed] = []
        self._late: list[records.Late] = []
        self.started = asyncio.Event()

    def _fleet_section(self, place: int) -> dict[str, Any] | None:
        name = list(self.names.nodes)[place]
        host, port = self.block.peer(place)
        return self._fleet(name, f"{host}:{port}", place) if self._fleet is not None else None

    def begin(self) -> None:
        super().begin()
        self.started.set()

    def _see(self, record: records.Record) -> None:
        if isinstance(record, records.Closed):
            self._closed.append(record)
        elif isinstance(record, records.Late):
            self._late.append(record)

    def usage(self) -> dict[str, dict[str, float]]:
        """Return the memory usage and CPU time of each node."""
        return {name: children[-1].usage() for name, children in self._children.items() if children}

    def pids(self) -> list[int]:
        """Return the pids of all running processes."""
        return [child.pid for children in self._children.values() for child in children if child.alive()]

    async def views(self) -> dict[str, dict[str, Any]]:
        """Return each node's view of its fleet, without nodes that don't answer."""
        children = {name: children[-1] for name, children in self._children.items() if children}
        answers = await asyncio.gather(
            *(call(self._admins[child.pid], "GET", "/admin/fleet") for child in children.values())
        )
        return {
            name: content
            for name, (status, content) in zip(children, answers, strict=True)
            if status == 200 and isinstance(content, dict)
        }

    def served(self, from_ms: float, to_ms: float) -> tuple[dict[str, float], dict[str, int]]:
        """Return the latency of requests served in an interval, and the outcomes of all requests."""
        closed = [record for record in self._closed if from_ms <= record.at < to_ms]
        outcomes = Counter(record.outcome for record in closed)
        delays = [record.delay_ms for record in closed if record.outcome in ("in_time", "late")]
        if not delays:
            return {}, dict(outcomes)
        p50, p99 = (float(np.percentile(delays, of, method="higher")) for of in (50.0, 99.0))
        return {"node_p50_ms": p50, "node_p99_ms": p99}, dict(outcomes)

    def late_ms(self, from_ms: float, to_ms: float) -> float:
        """Return the maximum scheduling delay of the lab in an interval; delays above 20 ms are recorded."""
        return max((r.late_ms for r in self._late if r.who == "lab" and from_ms <= r.at < to_ms), default=0.0)
