"""What must hold of cells, by an oracle that sees all members, cuts and parts of budgets."""

from __future__ import annotations

from collections import defaultdict

from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.index import ServiceSums
from dunlinloft.fleet.cells.messages import LookupRequest
from dunlinloft.fleet.cells.partition import CellPartition, name_path
from lab.virtual.cell_processes import Guide, Member
from lab.virtual.cells import CellFleet

SAMPLE_MS = 250.0


class Watch:
    """Looks at a fleet all the time: the most that parts of budgets added up to, by service."""

    def __init__(self, fleet: CellFleet) -> None:
        self._fleet = fleet
        self.most: dict[str, float] = defaultdict(float)
        self.old: dict[str, float] = defaultdict(float)  # of those alone that were there when this began
        self._first = dict(fleet.processes)
        self._look()

    def _look(self) -> None:
        for service, members in by_service(self._fleet).items():
            self.most[service] = max(self.most[service], sum(member.part() for member in members))
            old = sum(member.part() for member in members if self._first.get(member.name) is member)
            self.old[service] = max(self.old[service], old)
        self._fleet.after(SAMPLE_MS, self._look)

    def anew(self) -> None:
        """Forget what was until now."""
        self.most.clear()


def by_service(fleet: CellFleet) -> dict[str, list[Member]]:
    """Members that run."""
    found: dict[str, list[Member]] = defaultdict(list)
    for member in fleet.members():
        found[member.service].append(member)
    return found


def cells(fleet: CellFleet) -> dict[tuple[str, str, CellPartition], list[Member]]:
    """Members that run by service, region and cut, with its epoch."""
    found: dict[tuple[str, str, CellPartition], list[Member]] = defaultdict(list)
    for member in fleet.members():
        core = member.core
        assert isinstance(core, CellMembership)
        found[member.service, member.region, core.partition].append(member)
    return found


def cell_problems(fleet: CellFleet, bounded: bool = True) -> str:
    """What is not as it must be once all is quiet; "" where nothing is.

    Cells of a service in a region are apart and hold whom they must, each member's view is its cell, and
    none is above the bound.
    """
    found = cells(fleet)
    for (service, region, cut), members in found.items():
        where = f"{service}@{region} {cut.text()}/{cut.epoch}"
        for member in members:
            if not cut.includes_path(name_path(member.name)):
                return f"{member.name} is in {where}, where it does not belong"
        for other_service, other_region, other in found:
            if (other_service, other_region) != (service, region) or other == cut:
                continue
            if other.contains(cut) or cut.contains(other):
                return f"{where} overlaps {other.text()}/{other.epoch}"
        if bounded and len(members) > fleet.most:
            return f"{where} has {len(members)} members"
        truth = {member.name: member.core.incarnation for member in members}
        for member in members:
            there = {m.name: m.incarnation for m in fleet.there(member)} | {
                member.name: member.core.incarnation
            }
            if there != truth:
                return f"{member.name} of {where} sees {sorted(there)}, and there are {sorted(truth)}"
    return ""


def quiet(fleet: CellFleet, limit_ms: float = 60_000.0, bounded: bool = True) -> float:
    """Runs until `cell_problems` finds nothing; returns the time that passed."""
    took = fleet.run(limit_ms, lambda: not cell_problems(fleet, bounded), every_ms=250.0)
    assert not cell_problems(fleet, bounded), (
        f"seed {fleet.seed} at {fleet.now():.0f} ms: {cell_problems(fleet, bounded)}"
    )
    return took


def sums(fleet: CellFleet, guide: Guide, name: str) -> ServiceSums:
    """What a process of the directory would tell a member."""
    member = fleet.at(name)
    cut = fleet.cut_of(name)
    find = LookupRequest(1, name, member.service, member.region, cut.epoch, cut.depth, cut.bits)
    told = guide.directory.index.sums_for(find, fleet.now())
    told.is_reliable = told.is_reliable and guide.directory.is_ready(fleet.now())
    return told


def told_right(fleet: CellFleet) -> bool:
    """Whether each process of the directory is sure of the true sums."""
    for members in by_service(fleet).values():
        for guide in fleet.directory():
            told = sums(fleet, guide, members[0].name)
            if not told.is_reliable or told.service_members != len(members):
                return False
    return True


def parted(fleet: CellFleet) -> bool:
    """Whether each member's part is what it should be in the end, and rests on what the directory says."""
    return all(
        member.census.position()[1] == len(members) and not member.fallback()
        for members in by_service(fleet).values()
        for member in members
    )
