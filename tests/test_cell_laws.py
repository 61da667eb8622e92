"""Properties of partitions, sums and shares that hold for any order of messages."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet.cells import index as index_module
from dunlinloft.fleet.cells.bootstrap_addresses import MAX_ADDRESSES, BootstrapAddresses
from dunlinloft.fleet.cells.directory import Directory, MemberMessageReceived
from dunlinloft.fleet.cells.index import (
    CELL_RETENTION_MS,
    MAX_REPORTERS,
    STABILIZATION_MS,
    CellIndex,
    CellRecord,
    ReceivedSummary,
    count_members,
    is_covered,
)
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.messages import CellSummary, LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.partition import (
    MAX_DEPTH_BITS,
    PATH_BITS,
    CellId,
    CellPartition,
    name_path,
    partition_to_follow,
    shared_bits,
)
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS, ServiceTotals
from dunlinloft.fleet.interface import SendDatagram
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS
from dunlinloft.fleet.membership.view import View
from dunlinloft.fleet.messages import Record

LEAVES = 6  # leading path bits that these tests vary
PATHS = st.integers(0, (1 << LEAVES) - 1).map(lambda leaf: leaf << (PATH_BITS - LEAVES))
RANDOMS = st.randoms(use_true_random=False)


def cell(path: int, depth: int, epoch: int) -> CellPartition:
    return CellPartition(epoch, depth, path >> (PATH_BITS - depth))


def holds(partition: CellPartition) -> Callable[[str], bool]:
    return lambda name: partition.includes_path(name_path(name))


CELLS = st.builds(cell, PATHS, st.integers(0, LEAVES - 1), st.integers(0, 5))


def history(rng: random.Random, steps: int) -> tuple[list[CellPartition], list[CellPartition]]:
    """Return all partitions in a random history of a service, and those at its end."""
    current, all_partitions = [CellPartition()], [CellPartition()]
    for _ in range(steps):
        old = rng.choice(current)
        sibling = next((c for c in current if old.depth and c.cell() == (old.depth, old.bits ^ 1)), None)
        if sibling is not None and rng.random() < 0.5:
            new = [old.merged(max(old.epoch, sibling.epoch) + 1)]
            current.remove(sibling)
        elif old.depth < LEAVES - 1:
            new = [CellPartition(old.epoch + 1, old.depth + 1, 2 * old.bits + n) for n in (0, 1)]
        else:
            continue
        current.remove(old)
        current += new
        all_partitions += new
    return all_partitions, current


def hear(own: CellPartition, received: list[CellPartition], own_path: int) -> CellPartition:
    """Receive these partitions repeatedly until nothing changes."""
    for _ in range(200):
        before = own
        for other in received:
            own = partition_to_follow(own, other, own_path) or own
            assert own.is_valid()
        if own == before:
            return own
    raise AssertionError(f"no end: {own}, {received}")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(RANDOMS, st.integers(0, 14), PATHS)
def test_partitions_received_in_any_order_lead_to_the_same_cell(
    rng: random.Random, steps: int, own_path: int
) -> None:
    ever, now = history(rng, steps)
    ends = set()
    for _ in range(4):
        own = CellPartition()
        for other in rng.choices(ever, k=rng.randrange(2 * len(ever))):
            own = partition_to_follow(own, other, own_path) or own
            assert own.includes_path(own_path)
        ends.add(hear(own, rng.sample(now, len(now)), own_path))
    assert ends == {next(cut for cut in now if cut.includes_path(own_path))}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(PATHS, st.integers(0, 4), st.integers(0, 5)), min_size=2, max_size=8), RANDOMS)
def test_members_with_any_partitions_that_exchange_them_end_in_disjoint_cells(
    starts: list[tuple[int, int, int]], rng: random.Random
) -> None:
    paths = [own_path for own_path, _, _ in starts]
    cuts = [cell(*start) for start in starts]
    for _ in range(200):
        before = list(cuts)
        for a in rng.sample(range(len(cuts)), len(cuts)):
            for b in rng.sample(range(len(cuts)), len(cuts)):
                cuts[a] = partition_to_follow(cuts[a], cuts[b], paths[a]) or cuts[a]
        if cuts == before:
            break
    else:
        raise AssertionError(f"no end: {starts}")
    for own_path, cut in zip(paths, cuts, strict=True):
        assert cut.includes_path(own_path)
    for one in cuts:
        for other in cuts:
            assert one == other or not (one.contains(other) or other.contains(one))


@given(PATHS, CELLS, CELLS)
def test_no_older_partition_and_none_of_another_cell_is_followed(
    own_path: int, own: CellPartition, other: CellPartition
) -> None:
    cut = partition_to_follow(own, other, own_path)
    if cut is None:
        assert own.includes_path(own_path) or not other.includes_path(own_path)
    else:
        assert cut.includes_path(own_path)
        assert cut.key() > own.key() or not own.includes_path(own_path)


def leaves(partition: CellPartition) -> set[int]:
    start = partition.bits << (LEAVES - partition.depth)
    return set(range(start, start + (1 << (LEAVES - partition.depth))))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(CELLS, max_size=8), CELLS)
def test_a_cell_is_covered_where_each_path_in_it_is_in_a_subset(
    cells: list[CellPartition], whole: CellPartition
) -> None:
    held = set().union(*(leaves(cut) for cut in cells)) if cells else set()
    assert is_covered([CellRecord("east", cut, 0.0) for cut in cells], whole) == (leaves(whole) <= held)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.dictionaries(CELLS.map(lambda cut: CellPartition(0, *cut.cell())), st.integers(0, 3), max_size=10),
    st.lists(st.integers(0, (1 << LEAVES) - 1), max_size=40),
)
def test_a_sum_is_never_less_than_the_members_of_the_cells(
    more: dict[CellPartition, int], members: list[int]
) -> None:
    """Each cell reports all of its members, or more, as missing members still count."""
    cells = []
    for cut, spare in more.items():
        counted = sum(member in leaves(cut) for member in members) + spare
        summary = CellSummary(0, *cut.cell(), counted, counted, 0, 0.0, "1", [])
        cells.append(CellRecord("east", cut, 0.0, {"n": ReceivedSummary(summary, 0.0)}))
    held = set().union(*(leaves(cut) for cut in more)) if more else set()
    assert count_members(cells, 0, 0, 0.0) >= sum(member in held for member in members)


# The directory's responses


def summary(partition: CellPartition, members: int, counted: int | None = None) -> CellSummary:
    known = members if counted is None else counted
    return CellSummary(
        partition.epoch, partition.depth, partition.bits, members, known, 0, 0.0, "1", ["addr:x"]
    )


def lookup_sums(
    index: CellIndex, partition: CellPartition, now: float, region: str = "east"
) -> tuple[int, int, bool]:
    sums = index.sums_for(
        LookupRequest(1, "n1", "web", region, partition.epoch, partition.depth, partition.bits), now
    )
    return sums.service_members, sums.own_cell_members, sums.is_reliable


HALVES = CellPartition(1, 1, 0), CellPartition(1, 1, 1)


def test_during_a_split_the_sum_is_never_less_than_before_nor_reliable_too_early() -> None:
    index = CellIndex()
    index.add_report("web", "east", "a", summary(CellPartition(), 9), 0.0, 0.0)
    assert lookup_sums(index, CellPartition(), 1_000.0) == (9, 9, False)
    assert lookup_sums(index, CellPartition(), STABILIZATION_MS) == (9, 9, True)
    index.add_report("web", "east", "a", summary(HALVES[0], 5), 20_000.0, 20_000.0)
    assert lookup_sums(index, HALVES[0], 20_000.0) == (9, -1, False)
    index.add_report("web", "east", "b", summary(HALVES[1], 4), 25_000.0, 25_000.0)
    index.prune(25_000.0)
    assert lookup_sums(index, HALVES[1], 25_000.0) == (9, -1, False)
    index.prune(25_000.0 + STABILIZATION_MS)
    assert lookup_sums(index, HALVES[1], 25_000.0 + STABILIZATION_MS) == (9, 4, False)
    index.add_report("web", "east", "a", summary(HALVES[0], 5), 50_000.0, 50_000.0)
    assert lookup_sums(index, HALVES[1], 25_000.0 + 2 * STABILIZATION_MS) == (9, 4, True)
    whole = CellPartition(2, 0, 0)
    index.add_report("web", "east", "a", summary(whole, 3), 60_000.0, 60_000.0)
    index.add_report("web", "east", "b", summary(HALVES[1], 2), 60_000.0, 60_000.0)
    assert lookup_sums(index, whole, 60_000.0)[0] >= 5
    index.add_report("web", "east", "a", summary(whole, 5), 70_000.0, 70_000.0)
    index.prune(60_000.0 + STABILIZATION_MS)
    assert lookup_sums(index, whole, 60_000.0 + STABILIZATION_MS) == (5, 5, False)


def test_the_greater_of_two_reports_counts_and_the_last_members_leave_ends_the_cell() -> None:
    index = CellIndex()
    index.add_report("web", "east", "a", summary(HALVES[0], 7), 0.0, 0.0)
    index.add_report("web", "east", "cut off", summary(HALVES[0], 1, 7), 5_000.0, 5_000.0)
    sums = index.sums_for(LookupRequest(1, "n1", "web", "east", 1, 1, 1), 6_000.0)
    assert (sums.sibling_members, sums.service_members) == (7, 7)
    index.add_report("web", "east", "cut off", summary(HALVES[0], 0), 6_000.0, 6_000.0)
    index.prune(6_000.0)
    assert "web" in index.services
    index.add_report("web", "east", "a", summary(HALVES[0], 0), 7_000.0, 7_000.0)
    index.prune(7_000.0)
    assert "web" not in index.services


def test_a_cell_without_reports_counts_until_it_is_dropped_and_no_sum_is_reliable() -> None:
    index = CellIndex()
    index.add_report("web", "west", "a", summary(CellPartition(), 4), 0.0, 0.0)
    for now in (0.0, MAX_REPORT_AGE_MS + 1.0, CELL_RETENTION_MS, CELL_RETENTION_MS + 60_000.0):
        index.add_report("web", "east", "b", summary(CellPartition(), 3), now, now)
        index.prune(now)
    now = CELL_RETENTION_MS + 60_000.0 + STABILIZATION_MS
    assert lookup_sums(index, CellPartition(), now) == (3, 3, True)
    index = CellIndex()
    index.add_report("web", "west", "a", summary(CellPartition(), 4), 0.0, 0.0)
    for now in (0.0, MAX_REPORT_AGE_MS):
        index.add_report("web", "east", "b", summary(CellPartition(), 3), now, now)
    assert lookup_sums(index, CellPartition(), MAX_REPORT_AGE_MS) == (7, 3, True)
    assert lookup_sums(index, CellPartition(), MAX_REPORT_AGE_MS + 1.0) == (7, 3, False)
    assert lookup_sums(index, CellPartition(), CELL_RETENTION_MS) == (7, 3, False)


def test_cells_and_reporters_are_bounded_and_no_sum_beyond_is_reliable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(index_module, "MAX_CELLS", 4)
    index = CellIndex()
    for n in range(5):
        index.add_report(f"web{n}", "east", "a", summary(CellPartition(), 4), 0.0, 0.0)
    assert len(index.services) == index.cell_count == 4
    sums = index.sums_for(LookupRequest(1, "n1", "web1", "east", 0, 0, 0), STABILIZATION_MS)
    assert (sums.service_members, sums.is_reliable) == (4, False)
    for n in range(40):
        index.add_report("web0", "east", f"n{n}", summary(CellPartition(), 4), float(n), 40.0)
    index.add_report("web3", "east", "a", summary(CellPartition(), 0), 50.0, 50.0)
    index.prune(50.0)
    [cell] = index.services["web0"].cells.values()
    assert len(cell.summaries) == MAX_REPORTERS and "n39" in cell.summaries
    assert index.cell_count == 3
    assert index.sums_for(LookupRequest(1, "n1", "web1", "east", 0, 0, 0), STABILIZATION_MS).is_reliable


def test_a_reports_age_counts_from_the_response_it_answers_and_a_late_one_is_rejected() -> None:
    directory = Directory("d1", 3, random.Random(1), 0.0)
    request = LookupRequest(1, "n1", "web", "east", 0, 0, 0)

    def report_and_lookup(clock_ms: int, now: float, incarnation: int = 3) -> tuple[int, float]:
        report = SummaryReport(
            incarnation, clock_ms, "n1", 17, int(now), "web", "east", summary(CellPartition(), 4)
        )
        directory.handle(MemberMessageReceived(report, "addr:n1"), now)
        [action] = directory.handle(MemberMessageReceived(request, "addr:n1"), now)
        assert isinstance(action, SendDatagram) and isinstance(action.message, LookupResponse)
        return action.message.service_members, action.message.age_ms

    assert report_and_lookup(0, MAX_REPORT_AGE_MS + 1.0) == (0, 1)
    assert report_and_lookup(5_000, 20_000.0, incarnation=2) == (0, 1)
    total, age = report_and_lookup(5_000, 20_000.0)
    assert total == 4 and age >= 15_000.0
    # A report with a clock reading from the future is rejected.
    assert report_and_lookup(21_000, 20_000.0)[1] >= 15_000.0
    assert directory.counts["late"] == 3


# Shares


def found(total: int, own: int, reliable: bool = True, age_ms: int = 0) -> LookupResponse:
    return LookupResponse(1, 3, 0, 0, 0, 0, [], total, own, 0, 2, reliable, age_ms)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(RANDOMS)
def test_a_share_never_grows_by_a_split_nor_while_the_directory_is_unavailable(rng: random.Random) -> None:
    names = [f"n{n}" for n in range(12)]
    census, cut, now = CellMemberCount("n0", 0, 4), CellPartition(), 0.0
    census.observe(set(names), now, ServiceTotals(CellId(0, 0), now, found(20, 12)), cut)
    for _ in range(30):
        before, now = census.total(), now + rng.choice((500.0, 5_000.0, 20_000.0))
        if rng.random() < 0.4:
            cut = (
                cut.split_half(name_path("n0"))
                if cut.depth < 3 or rng.random() < 0.5
                else cut.merged(cut.epoch + 1)
            )
            census.retain(holds(cut))
        here = {name for name in names if cut.includes_path(name_path(name)) and rng.random() < 0.9} | {"n0"}
        how = rng.choice(("silent", "old", "unsure", "of another cell"))
        told = ServiceTotals(cut.cell(), now, found(rng.randrange(1, 9), 1))
        if how == "old":
            told.requested_ms = now - MAX_REPORT_AGE_MS
        elif how == "unsure":
            told.response.is_reliable = False
        elif how == "of another cell":
            told.cell = CellId(cut.depth + 1, 0)
        census.observe(here, now, None if how == "silent" else told, cut)
        assert census.total() >= before
        assert census.uses_fallback
        assert census.position()[1] >= 4


def test_a_smaller_total_counts_only_once_it_is_reliable_lasting_and_a_majority() -> None:
    member_count, partition = CellMemberCount("a", 0, 10), CellPartition(1, 1, 0)
    own = {"a", "b", "c"}
    for now, total, counted in (
        (0.0, 10, 10), (5_000.0, 8, 10), (10_000.0, 9, 10), (14_999.0, 8, 10), (15_000.0, 8, 9),
        (16_000.0, 12, 12), (17_000.0, 6, 12), (40_000.0, 6, 12), (41_000.0, 7, 7), (60_000.0, 7, 7),
    ):  # fmt: skip
        member_count.observe(own, now, ServiceTotals(partition.cell(), now, found(total, 3)), partition)
        assert (member_count.total(), member_count.uses_fallback) == (counted, False), now


def test_members_of_the_own_cell_are_counted_as_seen_and_not_as_reported() -> None:
    partition = CellPartition(1, 1, 0)
    totals = ServiceTotals(partition.cell(), 0.0, found(10, 3))
    assert totals.members(5, partition) == 12
    assert totals.members(1, partition) == 8
    assert totals.members(5, CellPartition(2, 0, 0)) == 10  # the cell has been merged since
    assert totals.members(11, CellPartition(2, 0, 0)) == 11
    # Clocks may drift, so a response expires before its nominal age bound.
    assert totals.is_usable(partition, 29_000.0) and not totals.is_usable(partition, MAX_REPORT_AGE_MS)
    assert not totals.is_usable(CellPartition(2, 2, 0), 0.0)


def test_a_view_frees_the_memory_of_released_members() -> None:
    view, small_view = View(random.Random(1)), View(random.Random(1))
    for n in range(1000):
        view.merge(Record(f"n{n}", 1, 0, n % 2, 1), 0.0)
    for n in range(990):
        view.discard(f"n{n}")
    view.compact()
    for n in range(990, 1000):
        small_view.merge(Record(f"n{n}", 1, 0, n % 2, 1), 0.0)
    assert sys.getsizeof(view.members) <= 2 * sys.getsizeof(small_view.members)
    assert view.digest == small_view.digest
    assert sorted(view.alive.names()) == sorted(small_view.alive.names())


def test_bootstrap_addresses_lead_closer_and_are_few() -> None:
    own = name_path("n0")
    bootstrap, others = BootstrapAddresses(own), [f"n{n}" for n in range(1, 60)]
    for name in others:
        bootstrap.add_member(name_path(name), f"addr:{name}")
    for name in others:
        returned = bootstrap.addresses_toward(name_path(name))
        assert 0 < len(returned) <= MAX_ADDRESSES
        for address in returned:
            assert shared_bits(name_path(address[5:]), name_path(name)) > shared_bits(own, name_path(name))
    distant = next(name for name in others if shared_bits(own, name_path(name)) == 0)
    returned = bootstrap.addresses_toward(name_path(distant))
    for n in range(5):
        bootstrap.add_member(name_path(distant), f"addr:new{n}", is_isolated=True)
    assert bootstrap.addresses_toward(name_path(distant)) == [*returned, "addr:new3", "addr:new4"]
    bootstrap.discard_from_depth(1)
    assert not any(
        bootstrap.addresses_toward(name_path(name))
        for name in others
        if shared_bits(own, name_path(name)) >= 1
    )


def test_a_partition_stays_valid_down_to_the_last_bit() -> None:
    partition = CellPartition()
    while partition.depth < MAX_DEPTH_BITS:
        partition = partition.split_half(name_path("n0"))
        assert partition.is_valid() and partition.includes_path(name_path("n0"))
    assert (
        partition_to_follow(partition, CellPartition(99, MAX_DEPTH_BITS, partition.bits ^ 1), name_path("n0"))
        is None
    )
    assert partition.text() == f"{name_path('n0') >> 12:020b}" and CellPartition().text() == "*"
    assert MISSING_MEMBER_GRACE_MS < STABILIZATION_MS < MAX_REPORT_AGE_MS
