"""Invariants of cells, checked by an oracle that sees all members, partitions and budget shares."""

from __future__ import annotations

from collections import defaultdict

from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.index import ServiceSums
from dunlinloft.fleet.cells.messages import LookupRequest
from dunlinloft.fleet.cells.partition import CellPartition, name_path
from lab.virtual.cell_processes import DirectoryProcess, Member
from lab.virtual.cells import CellFleet

SAMPLE_INTERVAL_MS = 250.0


class BudgetWatch:
    """Samples a fleet and records the largest sum of budget shares by service."""

    def __init__(self, fleet: CellFleet) -> None:
        self._fleet = fleet
        self.most: dict[str, float] = defaultdict(float)
        self.old: dict[str, float] = defaultdict(float)  # only processes present at construction
        self._initial_processes = dict(fleet.processes)
        self._sample()

    def _sample(self) -> None:
        for service, members in by_service(self._fleet).items():
            self.most[service] = max(self.most[service], sum(member.part() for member in members))
            old = sum(
                member.part() for member in members if self._initial_processes.get(member.name) is member
            )
            self.old[service] = max(self.old[service], old)
        self._fleet.after(SAMPLE_INTERVAL_MS, self._sample)

    def reset(self) -> None:
        """Discard the maxima recorded so far."""
        self.most.clear()


def by_service(fleet: CellFleet) -> dict[str, list[Member]]:
    """Return the running members by service."""
    members_by_key: dict[str, list[Member]] = defaultdict(list)
    for member in fleet.members():
        members_by_key[member.service].append(member)
    return members_by_key


def cells(fleet: CellFleet) -> dict[tuple[str, str, CellPartition], list[Member]]:
    """Return the running members by service, region and cell partition, epoch included."""
    members_by_key: dict[tuple[str, str, CellPartition], list[Member]] = defaultdict(list)
    for member in fleet.members():
        core = member.core
        assert isinstance(core, CellMembership)
        members_by_key[member.service, member.region, core.partition].append(member)
    return members_by_key


def cell_problems(fleet: CellFleet, bounded: bool = True) -> str:
    """Describe the first violation in a fleet that should be stable; "" if there is none.

    Cells of a service in a region must be disjoint and contain the members that belong to them, each member's
    view must equal its cell, and no cell may exceed the size limit.
    """
    members_by_key = cells(fleet)
    for (service, region, cut), members in members_by_key.items():
        cell_name = f"{service}@{region} {cut.text()}/{cut.epoch}"
        for member in members:
            if not cut.includes_path(name_path(member.name)):
                return f"{member.name} is in {cell_name}, where it does not belong"
        for other_service, other_region, other in members_by_key:
            if (other_service, other_region) != (service, region) or other == cut:
                continue
            if other.contains(cut) or cut.contains(other):
                return f"{cell_name} overlaps {other.text()}/{other.epoch}"
        if bounded and len(members) > fleet.most:
            return f"{cell_name} has {len(members)} members"
        expected = {member.name: member.core.incarnation for member in members}
        for member in members:
            seen = {m.name: m.incarnation for m in fleet.alive_members(member)} | {
                member.name: member.core.incarnation
            }
            if seen != expected:
                return f"{member.name} of {cell_name} sees {sorted(seen)}, and there are {sorted(expected)}"
    return ""


def run_until_stable(fleet: CellFleet, limit_ms: float = 60_000.0, bounded: bool = True) -> float:
    """Runs until `cell_problems` finds nothing; returns the time that passed."""
    passed_ms = fleet.run(limit_ms, lambda: not cell_problems(fleet, bounded), every_ms=250.0)
    assert not cell_problems(fleet, bounded), (
        f"seed {fleet.seed} at {fleet.now():.0f} ms: {cell_problems(fleet, bounded)}"
    )
    return passed_ms


def sums(fleet: CellFleet, directory_process: DirectoryProcess, name: str) -> ServiceSums:
    """Return the totals that a directory process would send to a member."""
    member = fleet.at(name)
    cut = fleet.partition_of(name)
    lookup = LookupRequest(1, name, member.service, member.region, cut.epoch, cut.depth, cut.bits)
    totals = directory_process.directory.index.sums_for(lookup, fleet.now())
    totals.is_reliable = totals.is_reliable and directory_process.directory.is_ready(fleet.now())
    return totals


def directory_is_correct(fleet: CellFleet) -> bool:
    """Return whether every directory process reports correct totals as reliable."""
    for members in by_service(fleet).values():
        for directory_process in fleet.directory():
            totals = sums(fleet, directory_process, members[0].name)
            if not totals.is_reliable or totals.service_members != len(members):
                return False
    return True


def budgets_are_settled(fleet: CellFleet) -> bool:
    """Return whether each member's budget share is final and based on the directory's totals."""
    return all(
        member.census.position()[1] == len(members) and not member.fallback()
        for members in by_service(fleet).values()
        for member in members
    )
