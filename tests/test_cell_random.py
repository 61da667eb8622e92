"""Cells through random faults: members come and go, stop, links and the directory fail, in any order."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from dunlinloft.fleet import interface as api
from lab.lines import LinkFault
from lab.virtual.cell_oracle import BudgetWatch, by_service, run_until_stable, sums
from lab.virtual.cells import CellFleet
from lab.virtual.meeting import Process

FILE = 60  # members of a service, by its file: more than there ever are
AFTER_MS = 5_000.0  # so long after a cut link is whole, or a process goes on, deaths told may be old news
SPANS_MS = (300.0, 2_000.0, 8_000.0, 30_000.0, 70_000.0)


class Excusing(CellFleet):
    """What is said to be dead beyond a cut link, or just after, is no false death."""

    excused_ms = 0.0
    cut_now = False

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        before = len(self.false_deaths)
        super().changed(process, change)
        if self.cut_now or self.now() < self.excused_ms:
            del self.false_deaths[before:]


class Day:
    """A fleet of a random shape, and what befalls it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.regions = ("east", "west", "south")[: self.rng.choice((1, 1, 2, 3))]
        sizes = {"web": self.rng.randrange(4, 30), "db": self.rng.randrange(1, 6)}
        self.fleet = Excusing(
            sizes, seed, regions=self.regions, most=self.rng.choice((4, 6, 8)),
            directory=self.rng.choice((0, 1, 3, 6)), file=FILE,
        )  # fmt: skip
        self.watch = BudgetWatch(self.fleet)
        self.ills: list[LinkFault] = []
        self.gone: list[str] = []
        self.was_split = False

    def happen(self) -> None:
        """One thing."""
        fleet, rng = self.fleet, self.rng
        living = [member.name for member in fleet.members()]
        kinds: list[Callable[[list[str]], None]] = [
            self.kill, self.kill, self.leave, self.shrink, self.join, self.join, self.join, self.start,
            self.stop, self.cont, self.region, self.split, self.loss, self.heal, self.guide,
        ]  # fmt: skip
        if len(living) > 3:
            rng.choice(kinds)(living)
        fleet.run(rng.choice(SPANS_MS))

    def kill(self, living: list[str]) -> None:
        self.gone.append(self.rng.choice(living))
        self.fleet.kill(self.gone[-1])

    def leave(self, living: list[str]) -> None:
        self.gone.append(self.rng.choice(living))
        self.fleet.leave(self.gone[-1])

    def shrink(self, living: list[str]) -> None:
        for name in self.rng.sample(living, len(living) // 3):
            self.fleet.leave(name)
            self.gone.append(name)

    def join(self, living: list[str]) -> None:
        for _ in range(self.rng.randrange(1, 4)):
            self.fleet.start(self.fleet.add(self.rng.choice(("web", "db")), self.rng.choice(self.regions)))

    def start(self, living: list[str]) -> None:
        if self.gone:
            self.fleet.start(self.gone.pop(self.rng.randrange(len(self.gone))))

    def stop(self, living: list[str]) -> None:
        self.fleet.stop(self.rng.choice(living))

    def cont(self, living: list[str]) -> None:
        self.fleet.excused_ms = self.fleet.now() + AFTER_MS
        for name, process in self.fleet.processes.items():
            if process.stopped and process.alive:
                self.fleet.cont(name)

    def guide(self, living: list[str]) -> None:
        for name in self.fleet.directory_names:
            if not self.fleet.processes[name].alive:
                self.fleet.start(name)
                return
        if self.fleet.directory_names:
            self.fleet.kill(self.rng.choice(self.fleet.directory_names))

    def region(self, living: list[str]) -> None:
        groups = self.fleet.groups
        far = [name for name in groups if groups[name].startswith(self.regions[0])]
        self._cut(far, [name for name in groups if name not in far])

    def split(self, living: list[str]) -> None:
        names = self.rng.sample(list(self.fleet.groups), len(self.fleet.groups))
        at = self.rng.randrange(1, len(names))
        self._cut(names[:at], names[at:])

    def _cut(self, some: list[str], others: list[str]) -> None:
        if not self.ills and some and others:
            self.ills = [self.fleet.split(some, others)]
            self.was_split = self.fleet.cut_now = True

    def loss(self, living: list[str]) -> None:
        if not self.ills:
            self.ills = [self.fleet.lose(0.2)]

    def heal(self, living: list[str]) -> None:
        for ill in self.ills:
            self.fleet.lines.remove_fault(ill)
        self.ills, self.fleet.cut_now = [], False
        self.fleet.excused_ms = self.fleet.now() + AFTER_MS

    def mend(self) -> None:
        """All links are whole, all that was stopped goes on, the directory is there, or the seeds are."""
        self.heal([])
        self.cont([])
        for name in self.fleet.directory_names or [
            name for name in self.gone if name.endswith(("-0", "-1", "-2"))
        ]:
            if not self.fleet.processes[name].alive:
                self.fleet.start(name)


def play(seed: int) -> None:
    day = Day(seed)
    fleet = day.fleet
    fleet.run(day.rng.choice((3_000.0, 40_000.0)))
    for _ in range(day.rng.randrange(5, 20)):
        day.happen()
    day.mend()
    run_until_stable(fleet, 200_000.0)
    assert fleet.false_deaths == []
    # Other cells hear of newcomers a dozen seconds late: until then the parts of these come on top.
    bound = 1.5 if day.was_split else 1.0 + 1e-9
    assert all(old <= bound for old in day.watch.old.values()), dict(day.watch.old)
    assert all(most < 1.5 for most in day.watch.most.values()), dict(day.watch.most)
    fleet.run(60_000.0)
    run_until_stable(fleet, 1_000.0)
    for guide in fleet.directory():
        for members in by_service(fleet).values():
            assert sums(fleet, guide, members[0].name).service_members >= len(members)


@pytest.mark.parametrize("seed", range(1, 8))
def test_after_random_faults_all_are_in_their_cells_and_no_live_member_was_declared_dead(seed: int) -> None:
    play(seed)
