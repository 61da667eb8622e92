"""Tests of cells in virtual time: splits, merges, and faults of members, links and the directory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.directory import WARM_UP_MS
from dunlinloft.fleet.cells.partition import CellPartition, name_path
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS
from dunlinloft.fleet.membership.core import Membership
from lab.virtual.cell_oracle import (
    BudgetWatch,
    budgets_are_settled,
    cell_problems,
    cells,
    directory_is_correct,
    run_until_stable,
    sums,
)
from lab.virtual.cells import CellFleet

HOUR_MS = 3_600_000.0


def settled_fleet(sizes: dict[str, int], seed: int, **options: Any) -> CellFleet:
    """Return a fleet that is quiet, and whose directory totals and shares are correct."""
    fleet = CellFleet(sizes, seed, **options)
    run_until_stable(fleet)
    run_until(
        fleet,
        lambda: directory_is_correct(fleet) and ("file" in options or budgets_are_settled(fleet)),
        120_000.0,
    )
    assert fleet.false_deaths == []
    return fleet


def run_until(fleet: CellFleet, condition: Callable[[], bool], limit_ms: float) -> float:
    elapsed_ms = fleet.run(limit_ms, condition, every_ms=250.0)
    assert condition(), f"condition not met after {limit_ms:.0f} ms, seed {fleet.seed}"
    return elapsed_ms


def run_until_consistent(fleet: CellFleet, limit_ms: float = 120_000.0) -> None:
    """Run until the fleet is quiet, and the directory's totals and the shares are correct."""
    run_until_stable(fleet, limit_ms)
    run_until(fleet, lambda: directory_is_correct(fleet) and budgets_are_settled(fleet), limit_ms)


def cell_of(fleet: CellFleet, name: str) -> list[str]:
    """Return the members of a member's cell, according to the oracle."""
    member, partition = fleet.at(name), fleet.partition_of(name)
    return sorted(m.name for m in cells(fleet)[member.service, member.region, partition])


def reporter(fleet: CellFleet, name: str) -> str:
    """Return the only reporter of a member's cell."""
    reporters = [
        other for other in cell_of(fleet, name)
        if isinstance(core := fleet.at(other).core, CellMembership) and core.is_reporter()
    ]  # fmt: skip
    assert len(reporters) == 1
    return reporters[0]


# Splits and merges


@pytest.mark.parametrize("seed", range(3))
def test_a_cell_splits_and_merges_while_members_join_and_die(seed: int) -> None:
    fleet = settled_fleet({"web": 7}, seed, file=40)
    watch = BudgetWatch(fleet)
    assert len(cells(fleet)) == 1
    for n in range(33):
        fleet.start(fleet.add("web", "east"))
        fleet.run(700.0)
        if n % 4 == 3:
            fleet.kill(fleet.rng.choice(fleet.members()).name)
    run_until_stable(fleet)
    run_until(fleet, lambda: directory_is_correct(fleet), 120_000.0)
    assert len(cells(fleet)) >= 4
    assert watch.most["web"] <= 1.0 + 1e-9
    while len(fleet.members()) > 3:
        fleet.leave(fleet.rng.choice(fleet.members()).name)
        fleet.run(500.0)
    run_until_stable(fleet, 300_000.0)
    run_until(fleet, lambda: len(cells(fleet)) == 1, 300_000.0)
    run_until_stable(fleet, 30_000.0)
    assert watch.most["web"] <= 1.0 + 1e-9
    assert fleet.false_deaths == []


def test_a_service_that_starts_all_at_once_splits_without_delay() -> None:
    fleet = CellFleet({"web": 64}, 23)
    assert fleet.run(6_000.0, lambda: len(cells(fleet)) >= 8, every_ms=250.0) < 6_000.0
    run_until_stable(fleet, 20_000.0)
    assert fleet.false_deaths == []


def test_two_sides_of_a_network_partition_disagree_on_the_split_and_agree_again() -> None:
    fleet = CellFleet({"web": 8}, 5, directory=0)
    run_until_stable(fleet)
    sides = fleet.names[:6], fleet.names[6:]
    fault = fleet.split(*sides)
    fleet.run(15_000.0)
    for _ in range(4):
        name = fleet.add("web", "east")
        fleet.groups[name] = fleet.groups[sides[0][0]]
        fleet.start(name)
    fleet.run(30_000.0)
    assert fleet.partition_of(sides[0][0]).depth == 1
    assert fleet.partition_of(sides[1][0]).depth == 0
    fleet.lines.remove_fault(fault)
    run_until_stable(fleet)
    assert fleet.partition_of(sides[1][0]).depth >= 1
    assert fleet.false_deaths == []


@pytest.mark.parametrize("seed", range(4))
def test_members_with_conflicting_partitions_converge(seed: int) -> None:
    fleet = settled_fleet({"web": 7}, seed)
    partitions = [
        CellPartition(4, 0, 0),
        CellPartition(4, 1, 0),
        CellPartition(4, 1, 1),
        CellPartition(5, 2, 1),
        CellPartition(5, 1, 1),
        CellPartition(6, 0, 0),
    ]
    for name in fleet.names:
        core = fleet.at(name).core
        partition = fleet.rng.choice(
            [partition for partition in partitions if partition.includes_path(name_path(name))]
        )
        assert isinstance(core, CellMembership)
        core.actions = []
        core._adopt_partition(partition, fleet.now())
    fleet.run(1_000.0)
    run_until_stable(fleet, 90_000.0)
    assert fleet.false_deaths == []


def test_new_members_count_in_all_cells_within_16_seconds() -> None:
    fleet = settled_fleet({"web": 24}, 21, most=8)
    for _ in range(3):
        fleet.start(fleet.add("web", "east"))
    run_until(fleet, lambda: all(m.census.position()[1] == 27 for m in fleet.members()), 16_000.0)
    fleet.run(20_000.0)
    assert sorted(m.census.position()[0] for m in fleet.members()) == list(range(27))


def test_an_idle_cell_sends_pings_views_and_lookups_and_no_updates() -> None:
    fleet = settled_fleet({"web": 24}, 25)
    fleet.run(30_000.0)
    fleet.kinds.clear()
    fleet.run(20_000.0)
    assert set(fleet.kinds) == {
        "Ping",
        "Ack",
        "State",
        "LookupRequest",
        "LookupResponse",
        "SummaryReport",
        "PullRequest",
        "PullResponse",
    }


# Small cells, and members in wrong cells


def test_tiny_cells_are_known_to_the_directory_and_reduce_no_share_permanently() -> None:
    fleet = settled_fleet({"solo": 1, "duo": 2, "web": 4}, 6)
    watch = BudgetWatch(fleet)
    fleet.kill("duo-east-1")
    fleet.kill("solo-east-0")
    fleet.run(60_000.0)
    assert fleet.at("duo-east-0").part() == 0.5  # the other may be alive beyond a partition
    fleet.start("duo-east-1")
    fleet.start("solo-east-0")
    run_until_consistent(fleet)
    assert fleet.at("solo-east-0").part() == 1.0
    fleet.leave("duo-east-0")
    fleet.run(1_000.0)
    fleet.leave("duo-east-1")
    fleet.run(MAX_REPORT_AGE_MS + 5_000.0)
    assert all("duo" not in process.directory.index.services for process in fleet.directory())
    fleet.start("duo-east-0")
    fleet.start("duo-east-1")
    run_until_consistent(fleet)
    assert all(most <= 1.0 + 1e-9 for most in watch.most.values())
    assert fleet.false_deaths == []


def test_a_member_in_the_wrong_cell_finds_its_own_with_the_directory_and_without() -> None:
    for directory in (3, 0):
        fleet = CellFleet({"web": 24}, 7, directory=directory)
        run_until_stable(fleet)
        fleet.run(60_000.0)
        for n, epoch in ((3, 0), (8, 1), (13, 9)):
            name, core = fleet.names[n], fleet.at(fleet.names[n]).core
            assert isinstance(core, CellMembership)
            right_partition = core.partition
            wrong_partition = CellPartition(
                right_partition.epoch if epoch == 1 else epoch,
                right_partition.depth,
                right_partition.bits ^ 1,
            )
            core.actions = []
            core._adopt_partition(wrong_partition, fleet.now())
            fleet.run(2_000.0)
            assert (
                not fleet.partition_of(name).includes_path(name_path(name))
                or fleet.partition_of(name) == right_partition
            )
        run_until_stable(fleet, 150_000.0)
        assert fleet.false_deaths == []


def test_a_member_stopped_while_its_cell_split_twice_and_merged_finds_its_cell() -> None:
    fleet = settled_fleet({"web": 6}, 8, file=40)
    fleet.stop("web-east-2")
    for _ in range(24):
        fleet.start(fleet.add("web", "east"))
    fleet.run(30_000.0)
    assert len(cells(fleet)) >= 4
    fleet.cont("web-east-2")
    run_until_stable(fleet, 30_000.0)
    fleet.stop("web-east-2")
    for name in [member.name for member in fleet.members()][3:]:
        fleet.leave(name)
        fleet.run(400.0)
    run_until(fleet, lambda: len(cells(fleet)) == 1, 300_000.0)
    fleet.cont("web-east-2")
    run_until_stable(fleet, 30_000.0)
    assert len(cells(fleet)) == 1
    assert fleet.false_deaths == []


def add_members_in_half(fleet: CellFleet, bit: int, count: int) -> list[str]:
    """Add members whose paths begin with this bit; return their names."""
    found: list[str] = []
    while len(found) < count:
        name = fleet.add("web", "east")
        if name_path(name) >> 31 == bit:
            found.append(name)
    return found


def test_a_resumed_member_whose_peers_are_all_in_the_other_half_does_no_harm() -> None:
    fleet = CellFleet({"web": 0}, 19, directory=0)
    returning, other_half = add_members_in_half(fleet, 0, 1), add_members_in_half(fleet, 1, 6)
    for name in (*returning, *other_half):
        fleet.start(name)
    run_until_stable(fleet)
    fleet.stop(returning[0])
    fleet.run(10_000.0)
    for name in add_members_in_half(fleet, 1, 4):
        fleet.start(name)
    fleet.run(20_000.0)
    assert fleet.partition_of(other_half[0]).depth >= 1
    fleet.cont(returning[0])
    run_until_stable(fleet)
    assert fleet.partition_of(returning[0]).depth >= 1
    assert fleet.false_deaths == []


def test_new_members_find_cells_without_seeds_or_directory() -> None:
    fleet = CellFleet({"web": 24}, 20, most=4, directory=0)
    run_until_stable(fleet)
    fleet.run(60_000.0)
    seed_partitions = {fleet.partition_of(name) for name in fleet.names[:3]}
    new_members = [fleet.add("web", "east") for _ in range(8)]
    for name in new_members:
        fleet.start(name)
    run_until_stable(fleet, 150_000.0)
    assert {fleet.partition_of(name) for name in new_members} - seed_partitions
    assert fleet.false_deaths == []


def test_two_new_members_that_know_only_each_other_find_their_cell_without_a_directory() -> None:
    fleet = CellFleet({"web": 24}, 22, most=4, directory=0)
    run_until_stable(fleet)
    seeds, others = fleet.names[:3], fleet.names[3:]
    seed_partitions = [fleet.partition_of(name) for name in seeds]
    target = next(
        partition for partition in map(fleet.partition_of, others) if partition not in seed_partitions
    )
    new_members: list[str] = []
    while len(new_members) < 2:
        name = fleet.add("web", "east")
        if target.includes_path(name_path(name)):
            new_members.append(name)
    fault = fleet.split(new_members, others)
    for name in new_members:
        fleet.start(name)
    fleet.run(3_000.0)
    first, second = (fleet.at(name) for name in new_members)
    fleet._exchange(first, second.core.address, first.core.state())
    fleet.run(60_000.0)
    assert [m.name for m in fleet.alive_members(first)] == [second.name]
    fleet.lines.remove_fault(fault)
    run_until_stable(fleet, 200_000.0)
    assert fleet.false_deaths == []


def test_a_member_of_another_service_or_region_is_rejected_by_a_cell() -> None:
    fleet = settled_fleet({"web": 6, "db": 2}, 9, regions=("east", "west"))
    foreign_member = fleet.at("db-west-0")
    foreign_member.core._seeds = ["addr:web-west-0", "addr:web-east-0"]
    fleet.kill("db-east-0")
    fleet.run(30_000.0)
    assert fleet.refused["foreign"] > 0
    assert cell_problems(fleet) == ""


# The reporter


@pytest.mark.parametrize("fault", ["kill", "stop"])
def test_another_member_reports_for_the_cell_when_its_reporter_dies_or_is_stopped(fault: str) -> None:
    fleet = settled_fleet({"web": 14}, 10, most=8)
    for _ in range(3):
        name = reporter(fleet, fleet.names[0])
        other_member = next(other for other in cell_of(fleet, name) if other != name)
        getattr(fleet, fault)(name)
        for _ in range(60):
            fleet.run(1_000.0)
            oldest = max(sums(fleet, process, other_member).age_ms for process in fleet.directory())
            assert oldest <= MAX_REPORT_AGE_MS, f"{oldest:.0f} ms, at {fleet.now():.0f} ms"
        assert reporter(fleet, other_member) != name
        if fault == "stop":
            fleet.cont(name)
        else:
            fleet.start(name)
        run_until_stable(fleet)
    run_until_consistent(fleet)
    assert fleet.false_deaths == []


# The directory


def test_cells_work_without_a_directory_for_an_hour_and_admit_new_members_by_seeds() -> None:
    fleet = settled_fleet({"web": 3}, 11, most=3, file=6)
    watch = BudgetWatch(fleet)
    for process in fleet.directory_names:
        fleet.kill(process)
    fleet.run(MAX_REPORT_AGE_MS + 15_000.0)
    assert all(member.fallback() for member in fleet.members())
    for _ in range(3):
        fleet.start(fleet.add("web", "east"))
        fleet.run(10_000.0)
    run_until_stable(fleet)
    assert len(cells(fleet)) >= 2
    fleet.kill("web-east-1")
    fleet.run(30 * 60_000.0)
    assert cell_problems(fleet) == ""
    fleet.start("web-east-1")
    fleet.run(HOUR_MS - fleet.now())
    assert cell_problems(fleet) == ""
    assert {member.census.position()[1] for member in fleet.members()} == {6}
    for process in fleet.directory_names:
        fleet.start(process)
    run_until_consistent(fleet)
    assert watch.most["web"] <= 1.0 + 1e-9
    assert fleet.false_deaths == []


def test_a_third_of_the_directory_lost_leaves_all_answers_within_their_bound() -> None:
    fleet = settled_fleet({"web": 20, "db": 3}, 12, directory=6)
    for process in fleet.directory_names[::3]:
        fleet.kill(process)
    for _ in range(60):
        fleet.run(1_000.0)
        assert not [m.name for m in fleet.members() if m.fallback()]
        assert max(m.totals_age_ms() for m in fleet.members()) <= MAX_REPORT_AGE_MS
    run_until_consistent(fleet)
    for process in fleet.directory_names[::3]:
        fleet.start(process)
    fleet.run(1_000.0)
    assert not any(sums(fleet, process, "web-east-0").is_reliable for process in fleet.directory()[::3])
    run_until_consistent(fleet)
    assert fleet.false_deaths == []


def test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells() -> None:
    fleet = settled_fleet({"web": 8}, 18, regions=("east", "west", "south"), directory=1)
    watch = BudgetWatch(fleet)
    west = [name for name in fleet.names if "west" in name]
    fault = fleet.split([name for name in fleet.groups if name not in west], west)
    for process in fleet.directory_names:
        fleet.kill(process)
        fleet.start(process)
    fleet.run(WARM_UP_MS - 11_000.0)
    fleet.lines.remove_fault(fault)
    run_until_consistent(fleet)
    assert watch.most["web"] <= 1.0 + 1e-9


def test_a_new_member_takes_no_greater_share_than_the_others_without_a_directory() -> None:
    fleet = settled_fleet({"web": 24}, 24, file=8)
    for process in fleet.directory_names:
        fleet.kill(process)
    former_reporters = {reporter(fleet, name) for name in fleet.names}
    fleet.run(5_000.0)
    for name in former_reporters:
        fleet.kill(name)  # the claim outlives the members that made it
    fleet.run(20_000.0)
    new_members = [fleet.add("web", "east") for _ in range(4)]
    for name in new_members:
        fleet.start(name)
    run_until_stable(fleet)
    fleet.run(5_000.0)
    assert all(
        fleet.at(name).census.position()[1] >= 24 and fleet.at(name).fallback() for name in new_members
    )


# Partitions between regions, and loss of a zone


def test_regions_partitioned_for_an_hour_and_back_keep_their_shares() -> None:
    fleet = settled_fleet({"web": 5}, 13, regions=("east", "west"), directory=2)
    watch = BudgetWatch(fleet)
    sides = [[name for name in fleet.groups if region in fleet.groups[name]] for region in ("east", "west")]
    fault = fleet.split(*sides)
    fleet.run(HOUR_MS)
    assert {member.census.position()[1] for member in fleet.members()} == {5}
    assert all(member.fallback() for member in fleet.members())
    fleet.lines.remove_fault(fault)
    run_until_consistent(fleet, 60_000.0)
    assert watch.most["web"] <= 1.0 + 1e-9
    assert fleet.false_deaths == []


def test_a_zone_that_crashes_and_restarts_at_once_rejoins_its_cells() -> None:
    fleet = settled_fleet({"web": 30, "db": 6}, 14)
    watch = BudgetWatch(fleet)
    zone = [member.name for member in fleet.members() if fleet.groups[member.name].endswith("-a")]
    for name in zone:
        fleet.kill(name)
    fleet.kill(fleet.directory_names[0])
    fleet.run(40_000.0)
    for name in [*zone, fleet.directory_names[0]]:
        fleet.start(name)
    run_until_consistent(fleet)
    assert all(most < 1.5 for most in watch.most.values())
    assert fleet.false_deaths == []


def test_members_use_and_report_the_fallback_while_summaries_are_too_old() -> None:
    fleet = settled_fleet({"web": 6}, 15, regions=("east", "west"), directory=1, file=4)
    assert {member.census.position()[1] for member in fleet.members()} == {6}
    west = [name for name in fleet.names if "west" in name]
    rest = [name for name in fleet.groups if name not in west]
    fault = fleet.split(rest, west)
    fleet.run(MAX_REPORT_AGE_MS - 12_000.0)
    assert not any(fleet.at(name).fallback() for name in rest if name in fleet.names)
    fleet.run(30_000.0)
    assert all(member.fallback() for member in fleet.members())
    fleet.kill("web-east-0")
    fleet.run(3.0 * MISSING_MEMBER_GRACE_MS)
    assert {member.census.position()[1] for member in fleet.members()} == {6}  # no share grows
    fleet.lines.remove_fault(fault)
    run_until(fleet, lambda: not any(m.fallback() for m in fleet.members()), 60_000.0)
    run_until(fleet, lambda: {m.census.position()[1] for m in fleet.members()} == {5}, 60_000.0)


# Versions


def test_members_with_and_without_cells_reject_each_other_and_do_no_harm() -> None:
    fleet = CellFleet({"web": 12}, 16, most=8, file=12)
    fleet.run(1_000.0)
    flat = fleet.names[:6]
    for name in flat:
        fleet.kill(name)
        fleet.start(name, core=Membership)
    fleet.run(60_000.0)
    assert fleet.refused["version"] > 0
    assert set(fleet.refused) == {"version"}
    assert fleet.false_deaths == []
    celled = [fleet.at(name) for name in fleet.names[6:]]
    for member in celled:
        there = {m.name for m in fleet.alive_members(member)}
        assert there <= {other.name for other in celled}
        assert member.census.position()[1] >= 12
    flat_views = [{m.name for m in fleet.alive_members(fleet.at(name))} | {name} for name in flat]
    assert all(view == set(flat) for view in flat_views)
    for name in flat:
        fleet.kill(name)
        fleet.start(name)
        fleet.run(500.0)
    run_until_consistent(fleet)
    assert fleet.false_deaths == []


# Packet loss


def test_with_packet_loss_and_starved_members_none_is_declared_dead_and_cells_split() -> None:
    fleet = settled_fleet({"web": 20}, 17)
    fault = fleet.lose(0.2)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = True
    for _ in range(8):
        fleet.start(fleet.add("web", "east"))
    fleet.run(60_000.0)
    assert fleet.false_deaths == []
    fleet.lines.remove_fault(fault)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = False
    run_until_stable(fleet)
