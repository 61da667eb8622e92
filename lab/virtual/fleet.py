"""Hundreds of members in virtual time: membership cores and simulated links, without requests.

At every change of any view an oracle checks that precedence keys only increase, so that no stale update
revives a member. It counts false deaths: members declared dead although they are healthy and reachable.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import MetadataValue
from lab.lines import LinkFault, Links
from lab.names import Names
from lab.scenario import Network, Nodes, Scenario
from lab.virtual.meeting import MembershipNetwork, Process
from lab.virtual.scene import InvariantViolation

WALL_MS = 1_700_000_000_000  # wall clock time at the start of a run
CORE: type[Membership] = Membership


class Fleet(MembershipNetwork):
    """Simulated members, the links between them, and the oracle."""

    def __init__(
        self, size: int, seed: int, core: type[Membership] = Membership, zones: int = 3, seeds: int = 3,
        network: Network | None = None, at_once: bool = False,
    ) -> None:  # fmt: skip
        self.rng, self.seed = random.Random(seed), seed
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()
        network = network or Network()
        network.zones = network.zones[:zones]
        names = Names(Scenario("fleet", nodes=Nodes(count=size), network=network))
        self.names = list(names.nodes)
        self.zones = names.nodes
        super().__init__(self.rng, Links(names, 0.2, 10.0, network.jitter, self, seed))
        self._core = core
        self._seeds = [f"addr:{name}" for name in self.names[:seeds]]
        self.processes: dict[str, Process] = {}
        self.false_deaths: list[tuple[float, str, str]] = []
        self.flaps = Counter[str]()
        self.watch: Callable[[Process, api.MemberChanged], None] = lambda process, change: None
        self.wall_error: dict[str, float] = {}
        for n, name in enumerate(self.names):
            self.after(0.0 if at_once else 20.0 * n, self.launch, name)

    # Clock

    def now(self) -> float:
        return self._now

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (self._now + delay_ms, next(self._sequence), do, args))

    def run(self, for_ms: float, until: Callable[[], bool] | None = None, every_ms: float = 50.0) -> float:
        """Run for a time, or until `until` returns True; returns the time that passed."""
        start, end, next_check_ms = self._now, self._now + for_ms, self._now
        while self._heap and self._heap[0][0] <= end:
            if until is not None and self._heap[0][0] >= next_check_ms:
                self._now = max(self._now, next_check_ms)
                if until():
                    return self._now - start
                next_check_ms = self._now + every_ms
            self._now, _, do, args = heapq.heappop(self._heap)
            do(*args)
        self._now = end
        return for_ms

    # Processes

    def launch(self, name: str) -> None:
        """Start a process; usable as a timer callback."""
        self.start(name)

    def start(self, name: str, address: str = "", core: type[Membership] | None = None) -> Process:
        """Start a process without previous state."""
        own_address = address or f"addr:{name}"
        wall = int(WALL_MS + self._now + self.wall_error.get(name, 0.0))
        facts: dict[str, MetadataValue] = {"zone": self.zones.get(name, ""), "tier": 0.0, "program": "1"}
        core_instance = (core or self._core)(
            name, own_address, self._seeds, (wall << 16) | self.rng.getrandbits(16), wall,
            random.Random(self.rng.getrandbits(64)), facts,
        )  # fmt: skip
        process = Process(self, name, core_instance)
        self.by_address[own_address] = process
        self.processes[address or name] = process
        self.give(process, api.Started())
        return process

    def kill(self, name: str) -> None:
        """Kill a process without notice to others."""
        self.processes[name].alive = False

    def leave(self, name: str) -> None:
        """Let a process announce its departure and end."""
        process = self.processes[name]
        self.give(process, api.LeaveRequested())
        process.alive = False

    def stop(self, name: str) -> None:
        """Suspend a process, as SIGSTOP does."""
        self.processes[name].stopped = True

    def cont(self, name: str) -> None:
        """Resume a process, as SIGCONT does; it handles what arrived in the meantime."""
        self.wake(self.processes[name])

    def living(self) -> list[Process]:
        """Return the running processes."""
        return [process for process in self.processes.values() if process.alive and not process.stopped]

    # The oracle

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        member = process.core.view.members[change.name]
        key, previous_key = member.precedence(), process.keys.get(change.name)
        if previous_key is not None and key < previous_key:
            what = f"{process.name} goes back on {change.name}, {previous_key} to {key}"
            raise InvariantViolation(f"seed {self.seed} at {self._now:.0f} ms: {what}")
        process.keys[change.name] = key
        self.flaps[change.change] += 1
        if (
            change.change is api.MemberChange.DEAD
            and self.healthy(change.name, member.incarnation)
            and self.can_reach(process.name, change.name)
        ):
            self.false_deaths.append((self._now, process.name, change.name))
        self.watch(process, change)

    def healthy(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation is running and is not starved of CPU time."""
        process = self.processes.get(name)
        return (
            process is not None and process.alive and not process.stopped and not process.starved
            and process.core.incarnation == incarnation
        )  # fmt: skip

    def can_reach(self, a: str, b: str) -> bool:
        """Return whether the links between two processes are not cut."""
        return not (self.lines.between(a, b).cut or self.lines.between(b, a).cut)

    def agreed(self) -> bool:
        """Return whether all running processes have the same view and it matches the running processes."""
        living = self.living()
        expected = {process.name: process.core.incarnation for process in living}
        digests = {process.core.digest() for process in living}
        return len(digests) == 1 and all(
            {m.name: m.incarnation for m in self.alive_members(process)}
            | {process.name: process.core.incarnation}
            == expected
            for process in living[:1]
        )

    def alive_members(self, process: Process) -> Iterator[Any]:
        """Return the members that a process considers alive."""
        return (member for member in process.core.view.members.values() if member.is_alive())

    def knows_gone(self, name: str, incarnation: int) -> bool:
        """Return whether all running processes consider this incarnation gone."""
        for process in self.living():
            member = process.core.view.get(name)
            if member is not None and (
                member.incarnation < incarnation or (member.incarnation == incarnation and member.is_alive())
            ):
                return False
        return True

    def split(self, *parts: list[str], one_way: bool = False) -> LinkFault:
        """Partition the network into parts; `lines.remove_fault` ends it."""
        pairs = {
            (a, b)
            for i, one in enumerate(parts)
            for j, other in enumerate(parts)
            if (i < j if one_way else i != j)
            for a in one
            for b in other
        }
        link_fault = LinkFault(frozenset(pairs), cut=True)
        self.lines.add_fault(link_fault)
        return link_fault

    def lose(
        self, share: float, duplicate: float = 0.0, reorder: float = 0.0, jitter_ms: float = 0.0
    ) -> LinkFault:
        """Add packet loss, and optionally duplication, reordering and jitter, to all links."""
        pairs = frozenset((a, b) for a in self.names for b in self.names if a != b)
        link_fault = LinkFault(pairs, loss=share, jitter_ms=jitter_ms, duplicate=duplicate, reorder=reorder)
        self.lines.add_fault(link_fault)
        return link_fault
