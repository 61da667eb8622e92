"""The plan of a scale run, and its results."""

from __future__ import annotations

import os
import platform
import sys
from pathlib import Path
from typing import Any

from msgspec import Struct

from lab.scale.fit import FittedLine, fit
from lab.scale.talk import Death

SEEDS = 3  # seed members, in different processes if there are enough
CELL_JOIN_INTERVAL_S = (
    2.0  # between the joins of processes' members to cells; a large cell is split after 3 s
)


class Plan(Struct):
    """The parameters of a run; times are in seconds."""

    sizes: list[int]  # total members, including the nodes
    virtual_sizes: list[int]
    seeds: list[int]
    nodes: int = 3
    rate_per_s: float = 30.0  # requests per second and node
    per_process: int = 25  # hollow members per process
    victims: int = 4  # members that crash, one after another
    settle_s: float = 15.0  # once views agree: until the join updates are no longer disseminated
    seconds: float = 30.0  # measurement time of the steady state
    virtual_settle_s: float = 12.0
    virtual_seconds: float = 30.0
    target: float = 26_000.0  # members to which fits are extrapolated
    minutes: float = 30.0  # maximum duration of the run
    fleet_keys: dict[str, Any] = {}  # additional keys of each member's `fleet` object; see `member_keys`
    parts: bool = False  # views may cover parts of the fleet, each of which has to agree
    cells: int = 0  # maximum members per cell; 0: one flat fleet
    directory: int = 3  # directory processes, if there are cells

    def hollow(self, size: int) -> int:
        """Return the number of hollow members."""
        return size - self.nodes

    def seen(self, size: int) -> int:
        """Return the maximum number of members in a view."""
        return min(size, self.cells) if self.cells else size

    def hosts(self, size: int) -> list[int]:
        """Return the number of members of each hollow process, as even as possible."""
        hollow = self.hollow(size)
        count = -(-hollow // self.per_process)
        return [hollow // count + (n < hollow % count) for n in range(count)]

    def chosen_victims(self, size: int) -> int:
        """Return the number of victims at this size: no seeds, and at most half of the other members."""
        return min(self.victims, (self.hollow(size) - len(self.seed_places(size))) // 2)

    def seed_places(self, size: int) -> list[int]:
        """Return the hollow members that are seeds: the first ones of the first processes."""
        hosts = self.hosts(size)
        firsts = [sum(hosts[:n]) for n in range(len(hosts))][:SEEDS]
        return firsts if len(firsts) == SEEDS else list(range(min(SEEDS, max(1, self.hollow(size) // 3))))


def member_keys(value: Any, name: str, place: int) -> Any:
    """Fill in a template for one member: replaces `{name}` and `{place}` in its strings."""
    if isinstance(value, str):
        return value.replace("{name}", name).replace("{place}", str(place))
    if isinstance(value, list):
        return [member_keys(item, name, place) for item in value]
    if isinstance(value, dict):
        return {key: member_keys(item, name, place) for key, item in value.items()}
    return value


class Machine(Struct):
    """The machine on which a run takes place."""

    cores: int
    memory_mb: float
    descriptors: int  # limit per process
    python: str = ""

    @classmethod
    def here(cls) -> Machine:
        """Return the properties of this machine; changes nothing."""
        import resource

        memory = next(
            int(line.split()[1]) / 1024.0
            for line in Path("/proc/meminfo").read_text().splitlines()
            if line.startswith("MemTotal:")
        )
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(len(os.sched_getaffinity(0)), memory, soft, f"{platform.python_version()} {sys.platform}")


class Sample(Struct):
    """One size with one seed; `why` lists the reasons for which its figures are not valid, if any."""

    kind: str  # `sockets`, `alone` (the nodes without a fleet) or `virtual`
    size: int
    seed: int
    figures: dict[str, float]
    why: list[str] = []
    raw: dict[str, Any] = {}  # raw data of the figures, by process
    false_deaths: list[Death] = []

    def counted(self) -> bool:
        """Return whether the figures are valid."""
        return not self.why


class Results(Struct):
    """All results of a run."""

    version: str
    command: list[str]
    machine: Machine
    plan: Plan
    samples: list[Sample] = []
    fits: dict[str, dict[str, FittedLine]] = {}  # by kind and figure
    took_s: float = 0.0

    def counted(self, kind: str) -> list[Sample]:
        """Return the valid samples of a kind."""
        return [sample for sample in self.samples if sample.kind == kind and sample.counted()]

    def fit_all(self) -> None:
        """Fit a line to each figure."""
        for kind in ("sockets", "virtual"):
            samples = self.counted(kind)
            names = list(dict.fromkeys(name for sample in samples for name in sample.figures))
            lines = {name: self._fit_figure(name, samples) for name in names}
            self.fits[kind] = {name: line for name, line in lines.items() if line is not None}

    def _fit_figure(self, name: str, samples: list[Sample]) -> FittedLine | None:
        with_figure = [sample for sample in samples if name in sample.figures]
        return fit([s.size for s in with_figure], [s.figures[name] for s in with_figure], self.plan.target)
