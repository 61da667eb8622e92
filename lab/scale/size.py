"""Runs one size on sockets: joins, waits for a steady state, measures, and crashes a few members."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import numpy as np

from lab.plan import Plan as DayPlan
from lab.processes.block import text
from lab.scale import talk
from lab.scale.directory import REGION, SERVICE, DirectoryProcesses
from lab.scale.judge import agreed, judge
from lab.scale.limits import MEMORY_SHARE
from lab.scale.nodes import RealNodes, day
from lab.scale.plan import CELL_JOIN_INTERVAL_S, Machine, Plan, Sample, member_keys
from lab.scale.worker import Worker, WorkerDied
from lab.settings import settings

AGREEMENT_TIMEOUT_S, CRASH_TIMEOUT_S, READY_TIMEOUT_S = (
    120.0,
    30.0,
    60.0,
)  # timeouts: agreement of views, crash detection, start
POLL_INTERVAL_S = 0.2  # interval of checking whether views agree
CRASH_INTERVAL_S = 1.0  # between crashes
MAX_LATE_MS = 150.0  # with longer scheduling delays the figures are not valid
TRAFFIC_COUNTS = ("sent", "sent_bytes", "received", "received_bytes", "stream_bytes", "streams")


class TooMuchMemory(Exception):
    """The run's processes use more memory than allowed."""


class SizeRun:
    """One size with one seed; `close` stops everything."""

    def __init__(self, plan: Plan, size: int, seed: int, folder: Path, machine: Machine) -> None:
        self._plan, self._size, self._seed, self._machine = plan, size, seed, machine
        self._loop, self._folder = asyncio.get_running_loop(), folder
        self._random = random.Random(f"{seed}scale{size}")
        length_s = (
            READY_TIMEOUT_S
            + AGREEMENT_TIMEOUT_S
            + plan.settle_s
            + plan.seconds
            + CRASH_TIMEOUT_S * (1 + plan.victims)
        )
        scenario = day(plan.nodes, plan.rate_per_s, length_s, bool(size))
        self._day = DayPlan(scenario, seed)
        self.nodes = RealNodes(self._day, self._loop, folder, self._fleet if size else None)
        self._directory: DirectoryProcesses | None = None
        if plan.cells and size:
            self._directory = DirectoryProcesses(plan, self.nodes.block, self._loop, folder)
        self._playing: asyncio.Task[None] | None = None
        self.workers: list[Worker] = []
        self._worker_by_member: dict[str, Worker] = {}
        self._deaths: list[talk.Death] = []
        self.sample = Sample("sockets" if size else "alone", size, seed, {})

    # Member configuration

    def _name(self) -> str:
        return f"scale-{self._seed}-{self._size}"

    def _fleet(self, name: str, bind: str, place: int) -> dict[str, Any]:
        """Return a member's `fleet` object."""
        seeds = [text(self.nodes.block.hollow(n)) for n in self._plan.seed_places(self._size)]
        fleet: dict[str, Any] = {"name": self._name(), "bind": bind, "seeds": seeds}
        if self._directory is not None:
            fleet["cells"] = {
                "service": SERVICE, "region": REGION, "most": self._plan.cells,
                "directory": self._directory.addresses(),
            }  # fmt: skip
        return fleet | {key: member_keys(value, name, place) for key, value in self._plan.fleet_keys.items()}

    def _config(self, place: int) -> dict[str, Any]:
        """Return a hollow member's configuration, in its own tier so that the nodes keep their budgets."""
        name, node = f"h{place + 1}", next(iter(self._day.names.nodes))
        zones = self._day.names.zones
        node_settings = settings(self._day, node) | {
            "tier": 1, "stages": ["slot-front", "hollow"], "locality": zones[place % len(zones)],
            "siblings": self._plan.hollow(self._size), "my_number": place,
        }  # fmt: skip
        return {
            "name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": f"{self._seed:08x}{self._size:06x}{place:06x}", "settings": node_settings,
            "fleet": self._fleet(name, text(self.nodes.block.hollow(place)), place + self._plan.nodes),
        }  # fmt: skip

    # Processes

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        if self._directory is not None:
            await self._directory.start(self._name())
        self._playing = self._loop.create_task(self.nodes.run(lambda share: None))
        if self._size:
            self._start_hosts()
            await asyncio.gather(*(self._hold(*args) for args in self._shares()))
        started = self._loop.create_task(self.nodes.started.wait())
        await asyncio.wait(
            {started, self._playing}, timeout=READY_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not started.done():
            started.cancel()
            if self._playing.done():
                self._playing.result()
            raise WorkerDied(f"size {self._size}: the nodes were not ready within {READY_TIMEOUT_S:g} s")

    def _start_hosts(self) -> None:
        for n in range(len(self._plan.hosts(self._size))):
            name = f"hollow-{self._size}-{self._seed}-{n}"
            self.workers.append(Worker(self._loop, "lab.scale.hollow", name, self._folder))

    def _shares(self) -> Iterable[tuple[Worker, range]]:
        first = 0
        for worker, count in zip(self.workers, self._plan.hosts(self._size), strict=True):
            yield worker, range(first, first + count)
            first += count

    async def _hold(self, worker: Worker, places: range) -> None:
        configs = [self._config(place) for place in places]
        base = await worker.look(talk.Hold(configs), READY_TIMEOUT_S)
        self.sample.raw.setdefault("base_mb", {})[worker.name] = base.memory_mb
        for config in configs:
            self._worker_by_member[config["name"]] = worker

    def close(self) -> None:
        """Stop everything, in any state."""
        if self._playing is not None:
            self._playing.cancel()
        for worker in self.workers:
            worker.close()
        if self._directory is not None:
            self._directory.close()
        self.nodes.close()

    # Observation

    async def _look(self, command: talk.Command | None = None) -> dict[str, talk.Seen]:
        seen = await asyncio.gather(*(self._look_at(worker, command) for worker in self.workers))
        return {worker.name: state for worker, state in zip(self.workers, seen, strict=True)}

    async def _look_at(self, worker: Worker, command: talk.Command | None = None) -> talk.Seen:
        seen = await worker.look(command)
        self._deaths += seen.deaths  # each is reported once
        return seen

    async def _agreed(self) -> bool:
        seen, nodes = await asyncio.gather(self._look(), self.nodes.views())
        views = [view for state in seen.values() for view in state.views]
        views += [(node["self"]["digest"], node["members_alive"]) for node in nodes.values()]
        self._check_memory()
        return len(views) == self._size and agreed(views, self._plan.parts or self._plan.cells > 0)

    def _check_memory(self) -> None:
        used = [worker.child.usage().get("memory_mb", 0.0) for worker in self.workers]
        used += [usage.get("memory_mb", 0.0) for usage in self.nodes.usage().values()]
        allowed_mb = MEMORY_SHARE * self._machine.memory_mb
        if sum(used) > allowed_mb:
            raise TooMuchMemory(
                f"size {self._size}: {sum(used):.0f} MB are in use, and {allowed_mb:.0f} are allowed"
            )

    async def _pause(self, seconds: float) -> None:
        until = self._loop.time() + seconds
        while (remaining := until - self._loop.time()) > 0.0:
            await asyncio.sleep(min(1.0, remaining))
            self._check_memory()

    async def _until(self, done: Callable[[], Any], limit_s: float) -> float | None:
        """Wait until `done` returns True; returns the time taken, or None on timeout."""
        began = self._loop.time()
        while not await done():
            if self._loop.time() - began > limit_s:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)
        return self._loop.time() - began

    # Phases

    async def play(self, say: Callable[[str], None]) -> Sample:
        """Run all phases and return the sample."""
        say("starting")
        await self.start()
        sample = self.sample
        if self._size:
            say("joining")
            await self._go()
            took = await self._until(self._agreed, AGREEMENT_TIMEOUT_S)
            if took is None:
                sample.why.append(f"views did not agree within {AGREEMENT_TIMEOUT_S:g} s")
                return sample
            sample.figures["agreed_s"] = took
        say("settling")
        await self._pause(self._plan.settle_s)
        say("quiet")
        await self._quiet()
        if self._size:
            say("crashes")
            await self._crashes()
        return sample

    async def _go(self) -> None:
        """Let all members join: at once or, with cells, one process after another.

        Otherwise the first cell would contain all members before it is split, and memory use would stay at
        its peak.
        """
        if not self._plan.cells:
            await self._look(talk.Go())
            return
        for worker in self.workers:
            await self._look_at(worker, talk.Go())
            await self._pause(CELL_JOIN_INTERVAL_S)

    async def _quiet(self) -> None:
        """Measure the steady state."""
        directory_before = await self._directory.look() if self._directory is not None else []
        before, nodes_before, from_ms = await self._look(), self.nodes.usage(), self.nodes.now()
        began = time.monotonic()
        await self._pause(self._plan.seconds)
        after, nodes_after, to_ms = await self._look(), self.nodes.usage(), self.nodes.now()
        passed = time.monotonic() - began
        self._record_node_figures(nodes_before, nodes_after, passed, from_ms, to_ms)
        if self._directory is not None:
            directory_after = await self._directory.look()
            self.sample.raw["directory"] = {"before": directory_before, "after": directory_after}
            self.sample.figures |= self._directory.figures(directory_before, directory_after, passed)
        late_ms = [self.nodes.late_ms(from_ms, to_ms)]
        if after:
            self._record_hollow_figures(before, after)
            late_ms += [seen.late_ms for seen in after.values()]
            if not await self._agreed():
                self.sample.why.append("views did not agree after the quiet time")
        self.sample.figures["late_ms"] = max(late_ms)
        if max(late_ms) > MAX_LATE_MS:
            self.sample.why.append(f"a process was late by {max(late_ms):.0f} ms, above {MAX_LATE_MS:g}")

    def _record_node_figures(
        self, before: dict[str, dict[str, float]], after: dict[str, dict[str, float]], passed: float,
        from_ms: float, to_ms: float,
    ) -> None:  # fmt: skip
        """Compute the nodes' resource usage and latency."""
        cpu = [1000.0 * (after[name]["cpu_s"] - before[name]["cpu_s"]) / passed for name in after]
        memory = [usage["memory_mb"] for usage in after.values()]
        served, outcomes = self.nodes.served(from_ms, to_ms)
        self.sample.figures |= served | {
            "node_requests_s": sum(outcomes.values()) / passed / self._plan.nodes,
            "node_cpu_ms_s": float(np.mean(cpu)), "node_memory_mb": float(np.mean(memory)),
        }  # fmt: skip
        self.sample.raw["nodes"] = {
            "before": before, "after": after, "passed_s": passed, "outcomes": outcomes,
        }  # fmt: skip

    def _record_hollow_figures(self, before: dict[str, talk.Seen], after: dict[str, talk.Seen]) -> None:
        """Compute the resource usage and traffic per hollow member."""
        shares: dict[str, list[float]] = {name: [] for name in (*TRAFFIC_COUNTS, "cpu")}
        for name, seen in after.items():
            first, passed = before[name], seen.at_s - before[name].at_s
            for what in TRAFFIC_COUNTS:
                shares[what].append((seen.counts[what] - first.counts[what]) / passed)
            shares["cpu"].append(1000.0 * (seen.cpu_s - first.cpu_s) / passed)
        members = sum(seen.members for seen in after.values())
        per_member = {what: sum(values) / members for what, values in shares.items()}
        base_mb = sum(self.sample.raw["base_mb"].values())
        memory_mb = (sum(seen.memory_mb for seen in after.values()) - base_mb) / members
        self.sample.figures |= {
            "messages_s": per_member["sent"], "bytes_s": per_member["sent_bytes"],
            "stream_bytes_s": per_member["stream_bytes"], "streams_s": per_member["streams"],
            "cpu_ms_s": per_member["cpu"], "memory_mb": memory_mb,
        }  # fmt: skip
        rejected = sum(seen.counts["errors"] + seen.counts["refused"] for seen in after.values())
        self.sample.figures["refused"] = float(rejected)
        self.sample.raw["hollow"] = {
            name: [_result_fields(before[name]), _result_fields(seen)] for name, seen in after.items()
        }  # fmt: skip

    async def _crashes(self) -> None:
        """Crash a few members and measure when the others detect it."""
        buried = {name: view["buried"] for name, view in (await self.nodes.views()).items()}
        ended: dict[str, float] = {}
        observers, unknown = 0, 0
        for name in self._victims():
            worker = self._worker_by_member[name]
            ended[name] = time.monotonic()
            await self._look_at(worker, talk.Drop(name))
            observers += await self._holders(name)
            if await self._until(partial(self._is_forgotten, name), CRASH_TIMEOUT_S) is None:
                unknown += await self._holders(name)
            await self._pause(CRASH_INTERVAL_S)
        await self._look()
        false, known = judge(self._deaths, ended)
        self.sample.false_deaths = false
        took = [took_s for times in known.values() for took_s in times]
        self.sample.raw |= {"known_s": known, "observers": observers, "nodes_buried": buried}
        figures = self.sample.figures
        figures |= {"false_deaths": float(len(false) + sum(buried.values())), "unknown": float(unknown)}
        if took:
            p50, p99 = (float(np.percentile(took, of, method="higher")) for of in (50.0, 99.0))
            figures |= {"known_p50_s": p50, "known_p99_s": p99, "known_max_s": max(took)}

    def _victims(self) -> list[str]:
        seeds = self._plan.seed_places(self._size)
        others = [f"h{place + 1}" for place in range(self._plan.hollow(self._size)) if place not in seeds]
        return self._random.sample(others, self._plan.chosen_victims(self._size))

    async def _holders(self, name: str) -> int:
        answers = await asyncio.gather(*(worker.ask(talk.Holders(name)) for worker in self.workers))
        return sum(answer.count for answer in answers if isinstance(answer, talk.Holding))

    async def _is_forgotten(self, name: str) -> bool:
        return await self._holders(name) == 0


def _result_fields(seen: talk.Seen) -> dict[str, Any]:
    """Return the fields that are kept in the results."""
    return {
        "at_s": seen.at_s, "members": seen.members, "cpu_s": seen.cpu_s, "memory_mb": seen.memory_mb,
        "late_ms": seen.late_ms, "counts": seen.counts,
    }  # fmt: skip
