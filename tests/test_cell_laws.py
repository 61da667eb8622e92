"""Laws of cuts, sums and parts, whatever the order in which things are heard."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet.cells import index as index_module
from dunlinloft.fleet.cells.cut import MOST_DEPTH, PATH_BITS, Cut, newer, path, shared_bits
from dunlinloft.fleet.cells.directory import Directory, Said
from dunlinloft.fleet.cells.index import FORGET_MS, MOST_VOICES, SETTLE_MS, Cell, Index, Voice, covers, tally
from dunlinloft.fleet.cells.messages import Find, Found, Report, Summary
from dunlinloft.fleet.cells.pointers import MOST_POINTERS, Pointers
from dunlinloft.fleet.cells.totals import BOUND_MS, CellCensus, Totals
from dunlinloft.fleet.interface import SendDatagram
from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS
from dunlinloft.fleet.membership.view import View
from dunlinloft.fleet.messages import Record

LEAVES = 6  # bits that these tests look at
PATHS = st.integers(0, (1 << LEAVES) - 1).map(lambda leaf: leaf << (PATH_BITS - LEAVES))
RANDOMS = st.randoms(use_true_random=False)


def cell(path: int, depth: int, epoch: int) -> Cut:
    return Cut(epoch, depth, path >> (PATH_BITS - depth))


def holds(cut: Cut) -> Callable[[str], bool]:
    return lambda name: cut.holds(path(name))


CELLS = st.builds(cell, PATHS, st.integers(0, LEAVES - 1), st.integers(0, 5))


def history(rng: random.Random, steps: int) -> tuple[list[Cut], list[Cut]]:
    """All cuts that ever were of a service, and those that are."""
    now, ever = [Cut()], [Cut()]
    for _ in range(steps):
        old = rng.choice(now)
        sibling = next((c for c in now if old.depth and c.cell() == (old.depth, old.bits ^ 1)), None)
        if sibling is not None and rng.random() < 0.5:
            new = [old.whole(max(old.epoch, sibling.epoch) + 1)]
            now.remove(sibling)
        elif old.depth < LEAVES - 1:
            new = [Cut(old.epoch + 1, old.depth + 1, 2 * old.bits + n) for n in (0, 1)]
        else:
            continue
        now.remove(old)
        now += new
        ever += new
    return ever, now


def hear(own: Cut, told: list[Cut], own_path: int) -> Cut:
    """Hear these again and again until nothing is new."""
    for _ in range(200):
        before = own
        for other in told:
            own = newer(own, other, own_path) or own
            assert own.sound()
        if own == before:
            return own
    raise AssertionError(f"no end: {own}, {told}")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(RANDOMS, st.integers(0, 14), PATHS)
def test_whoever_hears_of_cuts_in_whatever_order_ends_in_the_same_cell(
    rng: random.Random, steps: int, own_path: int
) -> None:
    ever, now = history(rng, steps)
    ends = set()
    for _ in range(4):
        own = Cut()
        for other in rng.choices(ever, k=rng.randrange(2 * len(ever))):
            own = newer(own, other, own_path) or own
            assert own.holds(own_path)
        ends.add(hear(own, rng.sample(now, len(now)), own_path))
    assert ends == {next(cut for cut in now if cut.holds(own_path))}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(PATHS, st.integers(0, 4), st.integers(0, 5)), min_size=2, max_size=8), RANDOMS)
def test_members_with_any_cuts_that_hear_of_each_other_end_in_cells_apart(
    starts: list[tuple[int, int, int]], rng: random.Random
) -> None:
    paths = [own_path for own_path, _, _ in starts]
    cuts = [cell(*start) for start in starts]
    for _ in range(200):
        before = list(cuts)
        for a in rng.sample(range(len(cuts)), len(cuts)):
            for b in rng.sample(range(len(cuts)), len(cuts)):
                cuts[a] = newer(cuts[a], cuts[b], paths[a]) or cuts[a]
        if cuts == before:
            break
    else:
        raise AssertionError(f"no end: {starts}")
    for own_path, cut in zip(paths, cuts, strict=True):
        assert cut.holds(own_path)
    for one in cuts:
        for other in cuts:
            assert one == other or not (one.contains(other) or other.contains(one))


@given(PATHS, CELLS, CELLS)
def test_a_cut_is_never_followed_to_an_older_one_nor_out_of_the_own_cell(
    own_path: int, own: Cut, other: Cut
) -> None:
    cut = newer(own, other, own_path)
    if cut is None:
        assert own.holds(own_path) or not other.holds(own_path)
    else:
        assert cut.holds(own_path)
        assert cut.key() > own.key() or not own.holds(own_path)


def leaves(cut: Cut) -> set[int]:
    start = cut.bits << (LEAVES - cut.depth)
    return set(range(start, start + (1 << (LEAVES - cut.depth))))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(CELLS, max_size=8), CELLS)
def test_parts_cover_a_cell_where_all_that_is_in_it_is_in_one_of_them(cells: list[Cut], whole: Cut) -> None:
    held = set().union(*(leaves(cut) for cut in cells)) if cells else set()
    assert covers([Cell("east", cut, 0.0) for cut in cells], whole) == (leaves(whole) <= held)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.dictionaries(CELLS.map(lambda cut: Cut(0, *cut.cell())), st.integers(0, 3), max_size=10),
    st.lists(st.integers(0, (1 << LEAVES) - 1), max_size=40),
)
def test_a_sum_is_never_less_than_all_that_are_in_the_cells(more: dict[Cut, int], members: list[int]) -> None:
    """Each cell tells of all that are in it, or of more: those that it misses."""
    cells = []
    for cut, spare in more.items():
        counted = sum(member in leaves(cut) for member in members) + spare
        summary = Summary(0, *cut.cell(), counted, counted, 0, 0.0, "1", [])
        cells.append(Cell("east", cut, 0.0, {"n": Voice(summary, 0.0)}))
    held = set().union(*(leaves(cut) for cut in more)) if more else set()
    assert tally(cells, 0, 0, 0.0) >= sum(member in held for member in members)


# The directory's answers


def summary(cut: Cut, members: int, counted: int | None = None) -> Summary:
    known = members if counted is None else counted
    return Summary(cut.epoch, cut.depth, cut.bits, members, known, 0, 0.0, "1", ["addr:x"])


def asked(index: Index, cut: Cut, now: float, region: str = "east") -> tuple[int, int, bool]:
    sums = index.sums(Find(1, "n1", "web", region, cut.epoch, cut.depth, cut.bits), now)
    return sums.total, sums.own, sums.sure


HALVES = Cut(1, 1, 0), Cut(1, 1, 1)


def test_while_a_cell_is_cut_the_sum_is_never_less_than_before_nor_sure_too_early() -> None:
    index = Index()
    index.take("web", "east", "a", summary(Cut(), 9), 0.0, 0.0)
    assert asked(index, Cut(), 1_000.0) == (9, 9, False)
    assert asked(index, Cut(), SETTLE_MS) == (9, 9, True)
    index.take("web", "east", "a", summary(HALVES[0], 5), 20_000.0, 20_000.0)
    assert asked(index, HALVES[0], 20_000.0) == (9, -1, False)
    index.take("web", "east", "b", summary(HALVES[1], 4), 25_000.0, 25_000.0)
    index.prune(25_000.0)
    assert asked(index, HALVES[1], 25_000.0) == (9, -1, False)
    index.prune(25_000.0 + SETTLE_MS)
    assert asked(index, HALVES[1], 25_000.0 + SETTLE_MS) == (9, 4, False)
    index.take("web", "east", "a", summary(HALVES[0], 5), 50_000.0, 50_000.0)
    assert asked(index, HALVES[1], 25_000.0 + 2 * SETTLE_MS) == (9, 4, True)
    whole = Cut(2, 0, 0)
    index.take("web", "east", "a", summary(whole, 3), 60_000.0, 60_000.0)
    index.take("web", "east", "b", summary(HALVES[1], 2), 60_000.0, 60_000.0)
    assert asked(index, whole, 60_000.0)[0] >= 5
    index.take("web", "east", "a", summary(whole, 5), 70_000.0, 70_000.0)
    index.prune(60_000.0 + SETTLE_MS)
    assert asked(index, whole, 60_000.0 + SETTLE_MS) == (5, 5, False)


def test_of_two_words_for_a_cell_the_greater_counts_and_the_last_ones_farewell_ends_it() -> None:
    index = Index()
    index.take("web", "east", "a", summary(HALVES[0], 7), 0.0, 0.0)
    index.take("web", "east", "cut off", summary(HALVES[0], 1, 7), 5_000.0, 5_000.0)
    sums = index.sums(Find(1, "n1", "web", "east", 1, 1, 1), 6_000.0)
    assert (sums.sibling, sums.total) == (7, 7)
    index.take("web", "east", "cut off", summary(HALVES[0], 0), 6_000.0, 6_000.0)
    index.prune(6_000.0)
    assert "web" in index.services
    index.take("web", "east", "a", summary(HALVES[0], 0), 7_000.0, 7_000.0)
    index.prune(7_000.0)
    assert "web" not in index.services


def test_a_cell_that_nobody_speaks_for_counts_on_until_it_is_forgotten_and_no_sum_is_sure() -> None:
    index = Index()
    index.take("web", "west", "a", summary(Cut(), 4), 0.0, 0.0)
    for now in (0.0, BOUND_MS + 1.0, FORGET_MS, FORGET_MS + 60_000.0):
        index.take("web", "east", "b", summary(Cut(), 3), now, now)
        index.prune(now)
    now = FORGET_MS + 60_000.0 + SETTLE_MS
    assert asked(index, Cut(), now) == (3, 3, True)
    index = Index()
    index.take("web", "west", "a", summary(Cut(), 4), 0.0, 0.0)
    for now in (0.0, BOUND_MS):
        index.take("web", "east", "b", summary(Cut(), 3), now, now)
    assert asked(index, Cut(), BOUND_MS) == (7, 3, True)
    assert asked(index, Cut(), BOUND_MS + 1.0) == (7, 3, False)
    assert asked(index, Cut(), FORGET_MS) == (7, 3, False)


def test_cells_and_voices_are_bounded_and_no_sum_is_sure_of_too_many(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(index_module, "MOST_CELLS", 4)
    index = Index()
    for n in range(5):
        index.take(f"web{n}", "east", "a", summary(Cut(), 4), 0.0, 0.0)
    assert len(index.services) == index.count == 4
    told = index.sums(Find(1, "n1", "web1", "east", 0, 0, 0), SETTLE_MS)
    assert (told.total, told.sure) == (4, False)
    for n in range(40):
        index.take("web0", "east", f"n{n}", summary(Cut(), 4), float(n), 40.0)
    index.take("web3", "east", "a", summary(Cut(), 0), 50.0, 50.0)
    index.prune(50.0)
    [cell] = index.services["web0"].cells.values()
    assert len(cell.voices) == MOST_VOICES and "n39" in cell.voices
    assert index.count == 3
    assert index.sums(Find(1, "n1", "web1", "east", 0, 0, 0), SETTLE_MS).sure


def test_a_reports_age_counts_from_the_answer_that_it_goes_with_and_an_older_ones_is_refused() -> None:
    directory = Directory("d1", 3, random.Random(1), 0.0)
    find = Find(1, "n1", "web", "east", 0, 0, 0)

    def told(stamp: int, now: float, life: int = 3) -> tuple[int, float]:
        report = Report(life, stamp, "n1", 17, int(now), "web", "east", summary(Cut(), 4))
        directory.handle(Said(report, "addr:n1"), now)
        [post] = directory.handle(Said(find, "addr:n1"), now)
        assert isinstance(post, SendDatagram) and isinstance(post.message, Found)
        return post.message.total, post.message.age_ms

    assert told(0, BOUND_MS + 1.0) == (0, 1)
    assert told(5_000, 20_000.0, life=2) == (0, 1)
    total, age = told(5_000, 20_000.0)
    assert total == 4 and age >= 15_000.0
    assert told(21_000, 20_000.0)[1] >= 15_000.0  # a clock can't be ahead of itself
    assert directory.counts["late"] == 3


# Parts


def found(total: int, own: int, sure: bool = True, age_ms: int = 0) -> Found:
    return Found(1, 3, 0, 0, 0, 0, [], total, own, 0, 2, sure, age_ms)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(RANDOMS)
def test_a_part_never_grows_by_a_cut_nor_while_the_directory_is_silent(rng: random.Random) -> None:
    names = [f"n{n}" for n in range(12)]
    census, cut, now = CellCensus("n0", 0, 4), Cut(), 0.0
    census.observe(set(names), now, Totals((0, 0), now, found(20, 12)), cut)
    for _ in range(30):
        before, now = census.total(), now + rng.choice((500.0, 5_000.0, 20_000.0))
        if rng.random() < 0.4:
            cut = cut.half(path("n0")) if cut.depth < 3 or rng.random() < 0.5 else cut.whole(cut.epoch + 1)
            census.retain(holds(cut))
        here = {name for name in names if cut.holds(path(name)) and rng.random() < 0.9} | {"n0"}
        how = rng.choice(("silent", "old", "unsure", "of another cell"))
        told = Totals(cut.cell(), now, found(rng.randrange(1, 9), 1))
        if how == "old":
            told.asked_ms = now - BOUND_MS
        elif how == "unsure":
            told.found.sure = False
        elif how == "of another cell":
            told.cell = (cut.depth + 1, 0)
        census.observe(here, now, None if how == "silent" else told, cut)
        assert census.total() >= before
        assert census.fallback
        assert census.position()[1] >= 4


def test_fewer_count_only_once_that_is_sure_held_and_more_than_half() -> None:
    census, cut = CellCensus("a", 0, 10), Cut(1, 1, 0)
    own = {"a", "b", "c"}
    for now, total, base in (
        (0.0, 10, 10), (5_000.0, 8, 10), (10_000.0, 9, 10), (14_999.0, 8, 10), (15_000.0, 8, 9),
        (16_000.0, 12, 12), (17_000.0, 6, 12), (40_000.0, 6, 12), (41_000.0, 7, 7), (60_000.0, 7, 7),
    ):  # fmt: skip
        census.observe(own, now, Totals(cut.cell(), now, found(total, 3)), cut)
        assert (census.total(), census.fallback) == (base, False), now


def test_members_of_the_own_cell_are_counted_as_seen_and_not_as_told() -> None:
    cut = Cut(1, 1, 0)
    told = Totals(cut.cell(), 0.0, found(10, 3))
    assert told.members(5, cut) == 12
    assert told.members(1, cut) == 8
    assert told.members(5, Cut(2, 0, 0)) == 10  # by then it was cut
    assert told.members(11, Cut(2, 0, 0)) == 11
    assert told.good(cut, 29_000.0) and not told.good(cut, BOUND_MS)  # clocks may drift
    assert not told.good(Cut(2, 2, 0), 0.0)


def test_a_view_gives_back_the_room_of_those_that_were_released() -> None:
    view, few = View(random.Random(1)), View(random.Random(1))
    for n in range(1000):
        view.merge(Record(f"n{n}", 1, 0, n % 2, 1), 0.0)
    for n in range(990):
        view.discard(f"n{n}")
    view.compact()
    for n in range(990, 1000):
        few.merge(Record(f"n{n}", 1, 0, n % 2, 1), 0.0)
    assert sys.getsizeof(view.members) <= 2 * sys.getsizeof(few.members)
    assert view.digest == few.digest
    assert sorted(view.alive.names()) == sorted(few.alive.names())


def test_pointers_lead_closer_and_are_few() -> None:
    own = path("n0")
    pointers, others = Pointers(own), [f"n{n}" for n in range(1, 60)]
    for name in others:
        pointers.met(path(name), f"addr:{name}")
    for name in others:
        told = pointers.toward(path(name))
        assert 0 < len(told) <= MOST_POINTERS
        for address in told:
            assert shared_bits(path(address[5:]), path(name)) > shared_bits(own, path(name))
    far = next(name for name in others if shared_bits(own, path(name)) == 0)
    told = pointers.toward(path(far))
    for n in range(5):
        pointers.met(path(far), f"addr:new{n}", alone=True)
    assert pointers.toward(path(far)) == [*told, "addr:new3", "addr:new4"]
    pointers.keep(1)
    assert not any(pointers.toward(path(name)) for name in others if shared_bits(own, path(name)) >= 1)


def test_a_cut_stays_sound_down_to_the_last_bit() -> None:
    cut = Cut()
    while cut.depth < MOST_DEPTH:
        cut = cut.half(path("n0"))
        assert cut.sound() and cut.holds(path("n0"))
    assert newer(cut, Cut(99, MOST_DEPTH, cut.bits ^ 1), path("n0")) is None
    assert cut.text() == f"{path('n0') >> 12:020b}" and Cut().text() == "*"
    assert MISSING_MEMBER_GRACE_MS < SETTLE_MS < BOUND_MS
