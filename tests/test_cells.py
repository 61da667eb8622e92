"""Cells in virtual time: the hard cases, each with what must hold in it."""

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


def settled(sizes: dict[str, int], seed: int, **more: Any) -> CellFleet:
    """A fleet in which all is quiet, known to the directory, and parted by what that says."""
    fleet = CellFleet(sizes, seed, **more)
    run_until_stable(fleet)
    until(
        fleet,
        lambda: directory_is_correct(fleet) and ("file" in more or budgets_are_settled(fleet)),
        120_000.0,
    )
    assert fleet.false_deaths == []
    return fleet


def until(fleet: CellFleet, holds: Callable[[], bool], limit_ms: float) -> float:
    took = fleet.run(limit_ms, holds, every_ms=250.0)
    assert holds(), f"not so after {limit_ms:.0f} ms, seed {fleet.seed}"
    return took


def right(fleet: CellFleet, limit_ms: float = 120_000.0) -> None:
    """All is quiet again, and the directory says the truth to all."""
    run_until_stable(fleet, limit_ms)
    until(fleet, lambda: directory_is_correct(fleet) and budgets_are_settled(fleet), limit_ms)


def cell_of(fleet: CellFleet, name: str) -> list[str]:
    """Who is in one's cell, by the oracle."""
    member, cut = fleet.at(name), fleet.partition_of(name)
    return sorted(m.name for m in cells(fleet)[member.service, member.region, cut])


def reporter(fleet: CellFleet, name: str) -> str:
    """Who speaks for one's cell."""
    on_application_message = [
        other for other in cell_of(fleet, name)
        if isinstance(core := fleet.at(other).core, CellMembership) and core.is_reporter()
    ]  # fmt: skip
    assert len(on_application_message) == 1
    return on_application_message[0]


# Cutting and merging


@pytest.mark.parametrize("seed", range(3))
def test_a_cell_splits_and_merges_while_members_join_and_die(seed: int) -> None:
    fleet = settled({"web": 7}, seed, file=40)
    watch = BudgetWatch(fleet)
    assert len(cells(fleet)) == 1
    for n in range(33):
        fleet.start(fleet.add("web", "east"))
        fleet.run(700.0)
        if n % 4 == 3:
            fleet.kill(fleet.rng.choice(fleet.members()).name)
    run_until_stable(fleet)
    until(fleet, lambda: directory_is_correct(fleet), 120_000.0)
    assert len(cells(fleet)) >= 4
    assert watch.most["web"] <= 1.0 + 1e-9
    while len(fleet.members()) > 3:
        fleet.leave(fleet.rng.choice(fleet.members()).name)
        fleet.run(500.0)
    run_until_stable(fleet, 300_000.0)
    until(fleet, lambda: len(cells(fleet)) == 1, 300_000.0)
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
    ill = fleet.split(*sides)
    fleet.run(15_000.0)
    for _ in range(4):
        name = fleet.add("web", "east")
        fleet.groups[name] = fleet.groups[sides[0][0]]
        fleet.start(name)
    fleet.run(30_000.0)
    assert fleet.partition_of(sides[0][0]).depth == 1
    assert fleet.partition_of(sides[1][0]).depth == 0
    fleet.lines.remove_fault(ill)
    run_until_stable(fleet)
    assert fleet.partition_of(sides[1][0]).depth >= 1
    assert fleet.false_deaths == []


@pytest.mark.parametrize("seed", range(4))
def test_members_with_different_partitions_follow_one_in_the_end(seed: int) -> None:
    fleet = settled({"web": 7}, seed)
    cuts = [
        CellPartition(4, 0, 0),
        CellPartition(4, 1, 0),
        CellPartition(4, 1, 1),
        CellPartition(5, 2, 1),
        CellPartition(5, 1, 1),
        CellPartition(6, 0, 0),
    ]
    for name in fleet.names:
        core = fleet.at(name).core
        cut = fleet.rng.choice([cut for cut in cuts if cut.includes_path(name_path(name))])
        assert isinstance(core, CellMembership)
        core.actions = []
        core._adopt_partition(cut, fleet.now())
    fleet.run(1_000.0)
    run_until_stable(fleet, 90_000.0)
    assert fleet.false_deaths == []


def test_newcomers_count_in_all_cells_after_a_dozen_seconds() -> None:
    fleet = settled({"web": 24}, 21, most=8)
    for _ in range(3):
        fleet.start(fleet.add("web", "east"))
    until(fleet, lambda: all(m.census.position()[1] == 27 for m in fleet.members()), 16_000.0)
    fleet.run(20_000.0)
    assert sorted(m.census.position()[0] for m in fleet.members()) == list(range(27))


def test_an_idle_cell_costs_pings_views_and_lookups_and_no_updates() -> None:
    fleet = settled({"web": 24}, 25)
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


# Small cells, and strays


def test_cells_of_one_and_two_are_known_and_shrink_no_share_for_good() -> None:
    fleet = settled({"solo": 1, "duo": 2, "web": 4}, 6)
    watch = BudgetWatch(fleet)
    fleet.kill("duo-east-1")
    fleet.kill("solo-east-0")
    fleet.run(60_000.0)
    assert fleet.at("duo-east-0").part() == 0.5  # the other may be there, beyond a cut
    fleet.start("duo-east-1")
    fleet.start("solo-east-0")
    right(fleet)
    assert fleet.at("solo-east-0").part() == 1.0
    fleet.leave("duo-east-0")
    fleet.run(1_000.0)
    fleet.leave("duo-east-1")
    fleet.run(MAX_REPORT_AGE_MS + 5_000.0)
    assert all("duo" not in guide.directory.index.services for guide in fleet.directory())
    fleet.start("duo-east-0")
    fleet.start("duo-east-1")
    right(fleet)
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
            right_cut = core.partition
            wrong = CellPartition(
                right_cut.epoch if epoch == 1 else epoch, right_cut.depth, right_cut.bits ^ 1
            )
            core.actions = []
            core._adopt_partition(wrong, fleet.now())
            fleet.run(2_000.0)
            assert (
                not fleet.partition_of(name).includes_path(name_path(name))
                or fleet.partition_of(name) == right_cut
            )
        run_until_stable(fleet, 150_000.0)
        assert fleet.false_deaths == []


def test_a_member_stopped_while_its_cell_split_twice_and_merged_finds_its_cell() -> None:
    fleet = settled({"web": 6}, 8, file=40)
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
    until(fleet, lambda: len(cells(fleet)) == 1, 300_000.0)
    fleet.cont("web-east-2")
    run_until_stable(fleet, 30_000.0)
    assert len(cells(fleet)) == 1
    assert fleet.false_deaths == []


def half(fleet: CellFleet, bit: int, count: int) -> list[str]:
    """Names of so many more members whose paths begin with this bit."""
    found: list[str] = []
    while len(found) < count:
        name = fleet.add("web", "east")
        if name_path(name) >> 31 == bit:
            found.append(name)
    return found


def test_a_member_that_returns_when_all_others_are_in_the_other_half_does_no_harm() -> None:
    fleet = CellFleet({"web": 0}, 19, directory=0)
    one, few = half(fleet, 0, 1), half(fleet, 1, 6)
    for name in (*one, *few):
        fleet.start(name)
    run_until_stable(fleet)
    fleet.stop(one[0])
    fleet.run(10_000.0)
    for name in half(fleet, 1, 4):
        fleet.start(name)
    fleet.run(20_000.0)
    assert fleet.partition_of(few[0]).depth >= 1
    fleet.cont(one[0])
    run_until_stable(fleet)
    assert fleet.partition_of(one[0]).depth >= 1
    assert fleet.false_deaths == []


def test_newcomers_find_cells_in_which_no_seed_is_without_a_directory() -> None:
    fleet = CellFleet({"web": 24}, 20, most=4, directory=0)
    run_until_stable(fleet)
    fleet.run(60_000.0)
    seeded = {fleet.partition_of(name) for name in fleet.names[:3]}
    news = [fleet.add("web", "east") for _ in range(8)]
    for name in news:
        fleet.start(name)
    run_until_stable(fleet, 150_000.0)
    assert {fleet.partition_of(name) for name in news} - seeded
    assert fleet.false_deaths == []


def test_two_that_found_only_each_other_find_their_cell_without_a_directory() -> None:
    fleet = CellFleet({"web": 24}, 22, most=4, directory=0)
    run_until_stable(fleet)
    seeds, others = fleet.names[:3], fleet.names[3:]
    seeded = [fleet.partition_of(name) for name in seeds]
    far = next(cut for cut in map(fleet.partition_of, others) if cut not in seeded)
    news: list[str] = []
    while len(news) < 2:
        name = fleet.add("web", "east")
        if far.includes_path(name_path(name)):
            news.append(name)
    ill = fleet.split(news, others)
    for name in news:
        fleet.start(name)
    fleet.run(3_000.0)
    first, second = (fleet.at(name) for name in news)
    fleet._exchange(first, second.core.address, first.core.state())
    fleet.run(60_000.0)
    assert [m.name for m in fleet.alive_members(first)] == [second.name]
    fleet.lines.remove_fault(ill)
    run_until_stable(fleet, 200_000.0)
    assert fleet.false_deaths == []


def test_one_of_another_service_or_region_that_is_sent_to_a_cell_is_refused_there() -> None:
    fleet = settled({"web": 6, "db": 2}, 9, regions=("east", "west"))
    stray = fleet.at("db-west-0")
    stray.core._seeds = ["addr:web-west-0", "addr:web-east-0"]
    fleet.kill("db-east-0")
    fleet.run(30_000.0)
    assert fleet.refused["foreign"] > 0
    assert cell_problems(fleet) == ""


# The reporter


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_another_member_reports_for_the_cell_when_its_reporter_dies_or_is_stopped(how: str) -> None:
    fleet = settled({"web": 14}, 10, most=8)
    for _ in range(3):
        name = reporter(fleet, fleet.names[0])
        rest = next(other for other in cell_of(fleet, name) if other != name)
        getattr(fleet, how)(name)
        for _ in range(60):
            fleet.run(1_000.0)
            oldest = max(sums(fleet, guide, rest).age_ms for guide in fleet.directory())
            assert oldest <= MAX_REPORT_AGE_MS, f"{oldest:.0f} ms, at {fleet.now():.0f} ms"
        assert reporter(fleet, rest) != name
        if how == "stop":
            fleet.cont(name)
        else:
            fleet.start(name)
        run_until_stable(fleet)
    right(fleet)
    assert fleet.false_deaths == []


# The directory


def test_cells_go_on_without_a_directory_for_an_hour_and_newcomers_find_them_by_seeds() -> None:
    fleet = settled({"web": 3}, 11, most=3, file=6)
    watch = BudgetWatch(fleet)
    for guide in fleet.directory_names:
        fleet.kill(guide)
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
    for guide in fleet.directory_names:
        fleet.start(guide)
    right(fleet)
    assert watch.most["web"] <= 1.0 + 1e-9
    assert fleet.false_deaths == []


def test_a_third_of_the_directory_lost_leaves_all_answers_within_their_bound() -> None:
    fleet = settled({"web": 20, "db": 3}, 12, directory=6)
    for guide in fleet.directory_names[::3]:
        fleet.kill(guide)
    for _ in range(60):
        fleet.run(1_000.0)
        assert not [m.name for m in fleet.members() if m.fallback()]
        assert max(m.totals_age_ms() for m in fleet.members()) <= MAX_REPORT_AGE_MS
    right(fleet)
    for guide in fleet.directory_names[::3]:
        fleet.start(guide)
    fleet.run(1_000.0)
    assert not any(sums(fleet, guide, "web-east-0").is_reliable for guide in fleet.directory()[::3])
    right(fleet)
    assert fleet.false_deaths == []


def test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells() -> None:
    fleet = settled({"web": 8}, 18, regions=("east", "west", "south"), directory=1)
    watch = BudgetWatch(fleet)
    west = [name for name in fleet.names if "west" in name]
    ill = fleet.split([name for name in fleet.groups if name not in west], west)
    for guide in fleet.directory_names:
        fleet.kill(guide)
        fleet.start(guide)
    fleet.run(WARM_UP_MS - 11_000.0)
    fleet.lines.remove_fault(ill)
    right(fleet)
    assert watch.most["web"] <= 1.0 + 1e-9


def test_a_newcomer_takes_no_greater_share_than_the_others_without_a_directory() -> None:
    fleet = settled({"web": 24}, 24, file=8)
    for guide in fleet.directory_names:
        fleet.kill(guide)
    spoke = {reporter(fleet, name) for name in fleet.names}
    fleet.run(5_000.0)
    for name in spoke:
        fleet.kill(name)  # the word outlives who spoke it
    fleet.run(20_000.0)
    news = [fleet.add("web", "east") for _ in range(4)]
    for name in news:
        fleet.start(name)
    run_until_stable(fleet)
    fleet.run(5_000.0)
    assert all(fleet.at(name).census.position()[1] >= 24 and fleet.at(name).fallback() for name in news)


# Cuts between regions and zones


def test_regions_partitioned_for_an_hour_and_back_keep_their_shares() -> None:
    fleet = settled({"web": 5}, 13, regions=("east", "west"), directory=2)
    watch = BudgetWatch(fleet)
    sides = [[name for name in fleet.groups if region in fleet.groups[name]] for region in ("east", "west")]
    ill = fleet.split(*sides)
    fleet.run(HOUR_MS)
    assert {member.census.position()[1] for member in fleet.members()} == {5}
    assert all(member.fallback() for member in fleet.members())
    fleet.lines.remove_fault(ill)
    right(fleet, 60_000.0)
    assert watch.most["web"] <= 1.0 + 1e-9
    assert fleet.false_deaths == []


def test_a_zone_lost_and_back_at_once_is_in_its_cells_again() -> None:
    fleet = settled({"web": 30, "db": 6}, 14)
    watch = BudgetWatch(fleet)
    zone = [member.name for member in fleet.members() if fleet.groups[member.name].endswith("-a")]
    for name in zone:
        fleet.kill(name)
    fleet.kill(fleet.directory_names[0])
    fleet.run(40_000.0)
    for name in [*zone, fleet.directory_names[0]]:
        fleet.start(name)
    right(fleet)
    assert all(most < 1.5 for most in watch.most.values())
    assert fleet.false_deaths == []


def test_summaries_beyond_their_bound_use_the_fallback_and_say_so() -> None:
    fleet = settled({"web": 6}, 15, regions=("east", "west"), directory=1, file=4)
    assert {member.census.position()[1] for member in fleet.members()} == {6}
    west = [name for name in fleet.names if "west" in name]
    rest = [name for name in fleet.groups if name not in west]
    ill = fleet.split(rest, west)
    fleet.run(MAX_REPORT_AGE_MS - 12_000.0)
    assert not any(fleet.at(name).fallback() for name in rest if name in fleet.names)
    fleet.run(30_000.0)
    assert all(member.fallback() for member in fleet.members())
    fleet.kill("web-east-0")
    fleet.run(3.0 * MISSING_MEMBER_GRACE_MS)
    assert {member.census.position()[1] for member in fleet.members()} == {6}  # nothing grows
    fleet.lines.remove_fault(ill)
    until(fleet, lambda: not any(m.fallback() for m in fleet.members()), 60_000.0)
    until(fleet, lambda: {m.census.position()[1] for m in fleet.members()} == {5}, 60_000.0)


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
    right(fleet)
    assert fleet.false_deaths == []


# Loss


def test_with_a_fifth_lost_and_a_fifth_starved_nobody_is_declared_dead_and_cells_split() -> None:
    fleet = settled({"web": 20}, 17)
    ill = fleet.lose(0.2)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = True
    for _ in range(8):
        fleet.start(fleet.add("web", "east"))
    fleet.run(60_000.0)
    assert fleet.false_deaths == []
    fleet.lines.remove_fault(ill)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = False
    run_until_stable(fleet)
