"""What a scale run plays, and what it writes down."""

from __future__ import annotations

import os
import platform
import sys
from pathlib import Path
from typing import Any

from msgspec import Struct

from lab.scale.fit import Line, fit
from lab.scale.talk import Death

SEEDS = (
    3  # members whose addresses the others are given, each in a process of its own where there are so many
)
CELLS_APART_S = 2.0  # between processes whose members join cells: a large one is cut after 3 s


class Plan(Struct):
    """What is asked for; times in seconds."""

    sizes: list[int]  # members in all, the nodes among them
    virtual_sizes: list[int]
    seeds: list[int]
    nodes: int = 3
    rate_per_s: float = 30.0  # requests a second and node
    per_process: int = 25  # hollow members
    victims: int = 4  # members that are ended without a word, one after another
    settle_s: float = 15.0  # once views agree: until the news of the join has died away
    seconds: float = 30.0  # how long the quiet state is measured
    virtual_settle_s: float = 12.0
    virtual_seconds: float = 30.0
    target: float = 26_000.0  # members that slopes are drawn out to
    minutes: float = 30.0  # the run may last at most
    fleet_keys: dict[str, Any] = {}  # more of each member's `fleet` object; see `member_keys`
    parts: bool = False  # views may be of parts of the fleet, each of which has to agree
    cells: int = 0  # members of a cell at most; 0: one flat fleet
    directory: int = 3  # its processes, where there are cells

    def hollow(self, size: int) -> int:
        """How many of a fleet are hollow."""
        return size - self.nodes

    def seen(self, size: int) -> int:
        """How many members one sees at most."""
        return min(size, self.cells) if self.cells else size

    def hosts(self, size: int) -> list[int]:
        """How many members each hollow process has: as even as can be."""
        hollow = self.hollow(size)
        count = -(-hollow // self.per_process)
        return [hollow // count + (n < hollow % count) for n in range(count)]

    def chosen_victims(self, size: int) -> int:
        """How many there are at this size: never a seed, and never most of the fleet."""
        return min(self.victims, (self.hollow(size) - len(self.seed_places(size))) // 2)

    def seed_places(self, size: int) -> list[int]:
        """Which hollow members are seeds: the first of the first processes."""
        hosts = self.hosts(size)
        firsts = [sum(hosts[:n]) for n in range(len(hosts))][:SEEDS]
        return firsts if len(firsts) == SEEDS else list(range(min(SEEDS, max(1, self.hollow(size) // 3))))


def member_keys(value: Any, name: str, place: int) -> Any:
    """A template's value for one member: `{name}` and `{place}` in its strings are those of the member."""
    if isinstance(value, str):
        return value.replace("{name}", name).replace("{place}", str(place))
    if isinstance(value, list):
        return [member_keys(item, name, place) for item in value]
    if isinstance(value, dict):
        return {key: member_keys(item, name, place) for key, item in value.items()}
    return value


class Machine(Struct):
    """Where it is played."""

    cores: int
    memory_mb: float
    descriptors: int  # that a process may have
    python: str = ""

    @classmethod
    def here(cls) -> Machine:
        """This one, as it is; nothing about it is changed."""
        import resource

        memory = next(
            int(line.split()[1]) / 1024.0
            for line in Path("/proc/meminfo").read_text().splitlines()
            if line.startswith("MemTotal:")
        )
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(len(os.sched_getaffinity(0)), memory, soft, f"{platform.python_version()} {sys.platform}")


class Sample(Struct):
    """One size with one seed; `why` says why its figures don't count, where they don't."""

    kind: str  # `sockets`, `alone` (the nodes without a fleet) or `virtual`
    size: int
    seed: int
    figures: dict[str, float]
    why: list[str] = []
    raw: dict[str, Any] = {}  # what the figures are made from, process by process
    false_deaths: list[Death] = []

    def counted(self) -> bool:
        """Whether its figures say something of the members."""
        return not self.why


class Results(Struct):
    """All of a run."""

    version: str
    command: list[str]
    machine: Machine
    plan: Plan
    samples: list[Sample] = []
    fits: dict[str, dict[str, Line]] = {}  # by kind and figure
    took_s: float = 0.0

    def counted(self, kind: str) -> list[Sample]:
        """Samples of a kind whose figures count."""
        return [sample for sample in self.samples if sample.kind == kind and sample.counted()]

    def fit_all(self) -> None:
        """Draw a line through each figure."""
        for kind in ("sockets", "virtual"):
            samples = self.counted(kind)
            names = list(dict.fromkeys(name for sample in samples for name in sample.figures))
            lines = {name: self._line(name, samples) for name in names}
            self.fits[kind] = {name: line for name, line in lines.items() if line is not None}

    def _line(self, name: str, samples: list[Sample]) -> Line | None:
        having = [sample for sample in samples if name in sample.figures]
        return fit([s.size for s in having], [s.figures[name] for s in having], self.plan.target)
