"""Hundreds of members in virtual time: the membership cores, the lab's links, and nothing of requests.

An oracle that sees everything checks, at every change of any view, that keys only rise and that nobody
comes back by old news; deaths of members that live and can be reached are counted.
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

WALL_MS = 1_700_000_000_000  # what clocks say when a run begins
CORE: type[Membership] = Membership


class Fleet(MembershipNetwork):
    """Members, links between them, and the oracle."""

    def __init__(
        self, size: int, seed: int, core: type[Membership] = Membership, zones: int = 3, seeds: int = 3,
        network: Network | None = None, at_once: bool = False,
    ) -> None:  # fmt: skip
        self.rng, self.seed = random.Random(seed), seed
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = count()
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
        heapq.heappush(self._heap, (self._now + delay_ms, next(self._number), do, args))

    def run(self, for_ms: float, until: Callable[[], bool] | None = None, every_ms: float = 50.0) -> float:
        """Let time pass; ends early once `until` holds. The time that passed."""
        start, end, look = self._now, self._now + for_ms, self._now
        while self._heap and self._heap[0][0] <= end:
            if until is not None and self._heap[0][0] >= look:
                self._now = max(self._now, look)
                if until():
                    return self._now - start
                look = self._now + every_ms
            self._now, _, do, args = heapq.heappop(self._heap)
            do(*args)
        self._now = end
        return for_ms

    # Processes

    def launch(self, name: str) -> None:
        """As `start`."""
        self.start(name)

    def start(self, name: str, address: str = "", core: type[Membership] | None = None) -> Process:
        """A process starts from nothing."""
        at = address or f"addr:{name}"
        wall = int(WALL_MS + self._now + self.wall_error.get(name, 0.0))
        facts: dict[str, MetadataValue] = {"zone": self.zones.get(name, ""), "tier": 0.0, "program": "1"}
        made = (core or self._core)(
            name, at, self._seeds, (wall << 16) | self.rng.getrandbits(16), wall,
            random.Random(self.rng.getrandbits(64)), facts,
        )  # fmt: skip
        process = Process(self, name, made)
        self.by_address[at] = process
        self.processes[address or name] = process
        self.give(process, api.Started())
        return process

    def kill(self, name: str) -> None:
        """A process dies without a word."""
        self.processes[name].alive = False

    def leave(self, name: str) -> None:
        """A process says that it goes, and goes."""
        process = self.processes[name]
        self.give(process, api.LeaveRequested())
        process.alive = False

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.processes[name].stopped = True

    def cont(self, name: str) -> None:
        """SIGCONT: what has come meanwhile is worked off."""
        self.wake(self.processes[name])

    def living(self) -> list[Process]:
        """Those that run."""
        return [process for process in self.processes.values() if process.alive and not process.stopped]

    # The oracle

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        member = process.core.view.members[change.name]
        key, before = member.precedence(), process.keys.get(change.name)
        if before is not None and key < before:
            what = f"{process.name} goes back on {change.name}, {before} to {key}"
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

    def healthy(self, name: str, life: int) -> bool:
        """Whether this life runs and gets its turns."""
        process = self.processes.get(name)
        return (
            process is not None and process.alive and not process.stopped and not process.starved
            and process.core.incarnation == life
        )  # fmt: skip

    def can_reach(self, a: str, b: str) -> bool:
        """Whether no cut is between them."""
        return not (self.lines.between(a, b).cut or self.lines.between(b, a).cut)

    def agreed(self) -> bool:
        """Whether all that run hold the same members to be there, and these are those that run."""
        living = self.living()
        truth = {process.name: process.core.incarnation for process in living}
        digests = {process.core.digest() for process in living}
        return len(digests) == 1 and all(
            {m.name: m.incarnation for m in self.alive_members(process)}
            | {process.name: process.core.incarnation}
            == truth
            for process in living[:1]
        )

    def alive_members(self, process: Process) -> Iterator[Any]:
        """Whom a process holds to be there."""
        return (member for member in process.core.view.members.values() if member.is_alive())

    def knows_gone(self, name: str, life: int) -> bool:
        """Whether all that run hold this life to be gone."""
        for process in self.living():
            member = process.core.view.get(name)
            if member is not None and (
                member.incarnation < life or (member.incarnation == life and member.is_alive())
            ):
                return False
        return True

    def split(self, *parts: list[str], one_way: bool = False) -> LinkFault:
        """Cut parts off from each other; `lines.remove_fault` ends it."""
        pairs = {
            (a, b)
            for i, one in enumerate(parts)
            for j, other in enumerate(parts)
            if (i < j if one_way else i != j)
            for a in one
            for b in other
        }
        ill = LinkFault(frozenset(pairs), cut=True)
        self.lines.add_fault(ill)
        return ill

    def lose(
        self, share: float, duplicate: float = 0.0, reorder: float = 0.0, jitter_ms: float = 0.0
    ) -> LinkFault:
        """All links lose so much, and may do worse."""
        pairs = frozenset((a, b) for a in self.names for b in self.names if a != b)
        ill = LinkFault(pairs, loss=share, jitter_ms=jitter_ms, duplicate=duplicate, reorder=reorder)
        self.lines.add_fault(ill)
        return ill
