"""Shared state: merging and ages, limits, affinity, verdicts, among faults; planted faults are caught."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from dunlinloft.fleet.shared_state import affinity, limits, spread, store, verdicts
from dunlinloft.fleet.shared_state.core import Shared
from dunlinloft.fleet.shared_state.limits import part
from dunlinloft.fleet.shared_state.messages import PULSE, Asked, Cell, Entry, Findings, Ordered, Pulse, encode
from dunlinloft.fleet.shared_state.verdicts import Pool
from dunlinloft.fleet.shared_state.witness import Witness
from lab.virtual.scene import Broken
from lab.virtual.shared import QUOTA, ZONES, World

pulse = encode(Pulse("linz", 0, {}, 1.0, 1.0, []))
entries = st.builds(
    Entry,
    kind=st.just(PULSE), writer=st.sampled_from("abc"), life=st.integers(1, 3), version=st.integers(1, 4),
    age_ms=st.integers(0, 500), content=st.just(pulse),
)  # fmt: skip


@given(st.lists(entries, max_size=12), st.randoms(use_true_random=False))
@settings(derandomize=True, database=None, max_examples=200, deadline=None)
def test_merging_is_commutative_associative_and_idempotent(told: list[Entry], rng: random.Random) -> None:
    def merged(order: list[Entry]) -> dict[str, tuple[int, int, float]]:
        found = store.Store("self", 1)
        for entry in order:
            found.take(entry, 5.0, "x", 1000.0)
        return {writer: (held.life, held.version, held.born_ms) for _, writer, held in found.all()}

    again = [*told, *told]
    rng.shuffle(again)
    assert merged(told) == merged(again)
    latest = {entry.writer: (0, 0) for entry in told}
    for entry in told:
        latest[entry.writer] = max(latest[entry.writer], (entry.life, entry.version))
    assert {writer: key[:2] for writer, key in merged(told).items()} == latest


def faults(world: World, steps: int, every: Callable[[World], None]) -> None:
    """Kills, restarts, stops, cuts, one-way cuts, groups that go out here, there or everywhere."""
    rng = world.rng
    for _ in range(steps):
        name, zone = rng.choice(world.names), rng.choice(ZONES)
        process = world.processes[name]
        match rng.randrange(9):
            case 0 if process.alive and sum(p.alive for p in world.processes.values()) > 2:
                world.kill(name)
            case 1 if not process.alive:
                world.start(name)
            case 2 if process.alive and not process.stopped:
                world.stop(name)
            case 3:
                world.cont(name)
            case 4:
                some = rng.sample(world.names, rng.randint(1, len(world.names) - 1))
                world.sever(some, [n for n in world.names if n not in some], both=rng.random() < 0.6)
            case 5 | 6:
                world.heal()
            case 7:
                for other in world.names if rng.random() < 0.7 else [name]:
                    world.out[other].add(zone)
            case 8:
                world.out.clear()
        world.hold_ms = rng.choice((0.0, 0.0, 2_000.0))
        for _ in range(rng.randint(1, 40)):
            world.run(100.0)
            every(world)


def callers(world: World) -> None:
    """New keys, and repeats of keys by way of any process."""
    rng = world.rng
    for _ in range(2):
        key = rng.getrandbits(64)
        world.ask(key, rng.choice(world.names), again=False)
    for key in rng.sample(sorted(world.sent), min(4, len(world.sent))):
        world.ask(key, rng.choice(world.names), again=True)


def play(seed: int, core: type[Shared] = Shared, steps: int = 14) -> World:
    rng = random.Random(seed)
    world = World(seed, members=rng.choice((3, 5, 6, 9)), core=core, loss=rng.choice((0.0, 0.05, 0.2)))
    world.run(6_000.0)
    faults(world, steps, callers)
    return world


def test_no_record_is_taken_for_younger_and_no_key_goes_to_two_groups() -> None:
    # 1309: an answer that was held back was taken for one to a later question of the same number.
    # 3710: a process that was started anew did not know what its own former life had bound.
    worlds = [play(seed) for seed in (*range(20), 1309, 3710)]
    done = sum((world.counts for world in worlds), start=worlds[0].counts.__class__())
    assert done["again"] > 1_000, done  # repeats are served,
    assert done["cut off"] and done["not told"], done  # and refused where that is not known


def plant_transit(monkeypatch: pytest.MonkeyPatch) -> None:
    take = store.Store.take
    monkeypatch.setattr(store.Store, "take", lambda s, e, transit, src, now: take(s, e, 0.0, src, now))


def plant_no_acks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever finds a group out sends elsewhere at once."""

    def counted(self: affinity.Affinity, voices: affinity.Voices, same: bool, now: float) -> None:
        self.whole_ms, self.acked_ms = affinity._most(voices.fresh, voices.base), math.inf
        self.out = dict.fromkeys(self.out, 0.0)

    monkeypatch.setattr(affinity.Affinity, "_count", counted)


def plant_always_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever hears nobody goes on as if it did."""
    count = affinity.Affinity._count

    def counted(self: affinity.Affinity, voices: affinity.Voices, same: bool, now: float) -> None:
        count(self, voices, same, now)
        self.whole_ms = math.inf

    monkeypatch.setattr(affinity.Affinity, "_count", counted)


@pytest.mark.parametrize("plant", [plant_transit, plant_no_acks])
def test_planted_faults_are_caught(plant: Callable[[pytest.MonkeyPatch], None]) -> None:
    with pytest.MonkeyPatch.context() as patch, pytest.raises(Broken):
        plant(patch)
        for seed in range(60):
            play(seed)


def cut_off(world: World) -> None:
    """One is cut off while the others find a zone out: repeats come to that one."""
    world.run(6_000.0)
    world.sever(["m0"], world.names[1:])
    world.run(2_000.0)
    for name in world.names[1:]:
        world.out[name].add("linz")
    world.run(9_000.0)
    for _ in range(30):
        key = world.rng.getrandbits(64)
        world.ask(key, "m1", again=False)
        world.run(200.0)
        world.ask(key, "m0", again=True)


def test_whoever_is_cut_off_refuses_repeats_and_would_stray_if_it_did_not() -> None:
    world = World(1, members=5)
    cut_off(world)
    assert world.counts["cut off"] == 30
    assert any(p.core.affinity.counts["elsewhere"] for p in world.processes.values())
    with pytest.MonkeyPatch.context() as patch, pytest.raises(Broken, match="went to"):
        plant_always_whole(patch)
        cut_off(World(1, members=5))


@given(
    st.floats(1.0, 500.0),
    st.lists(st.tuples(st.floats(0.0, 300.0), st.floats(0.0, 50.0)), min_size=1, max_size=8),
    st.integers(0, 7),
)
@example(1.5, [(5e-324, 0.0)], 0)  # found by chance: the part was 2.0
@example(2.0, [(5e-324, 0.0), (2.0, 0.0)], 0)
@settings(derandomize=True, database=None, max_examples=300, deadline=None)
def test_parts_add_up_and_no_lie_about_others_helps(
    quota: float, told: list[tuple[float, float]], n: int
) -> None:
    demands, n = [demand for demand, _ in told], n % len(told)

    def of(n: int, vector: list[float]) -> float:
        return part(quota, vector[n], vector[:n] + vector[n + 1 :])

    whole = sum(of(n, demands) for n in range(len(demands)))
    assert whole <= quota * (1.0 + 1e-9)
    assert whole >= min(quota, sum(demands)) * (1.0 - 1e-9)  # what is wanted and there is not kept back
    assert of(n, demands) >= min(demands[n], quota / len(demands)) * (1.0 - 1e-9)
    more = [d if m == n else d + extra for m, (d, extra) in enumerate(told)]
    assert of(n, more) <= of(n, demands) * (1.0 + 1e-9)


def demand(world: World, rates: dict[str, float], for_ms: float) -> list[float]:
    """Requests for the tenant come at these rates; the parts in force added up, ten times a second."""
    sums = []
    for _ in range(int(for_ms / 100.0)):
        for name, rate in rates.items():
            for _ in range(int(rate / 10.0) + (world.rng.random() < rate / 10.0 % 1.0)):
                world.give(world.processes[name], Asked("t"))
        world.run(100.0)
        sums.append(sum(p.part.quotas.get("t", 0.0) for p in world.processes.values() if p.alive) / QUOTA)
    return sums


@pytest.mark.parametrize("seed", range(6))
def test_parts_follow_demand_and_a_split_does_not_double_them(seed: int) -> None:
    world = World(seed, members=6)
    rates = dict.fromkeys(world.names, 5.0) | {"m0": 60.0}
    sums = demand(world, rates, 15_000.0)
    assert max(sums) <= 1.05
    assert world.processes["m0"].part.quotas["t"] > 55.0  # of 100: its demand, where an even part is 17
    world.sever(world.names[:3], world.names[3:])
    world.run(limits.BOUND_MS + 500.0)
    rates = dict.fromkeys(world.names, 40.0)  # both sides are busy
    assert max(demand(world, rates, 8_000.0)) <= 1.05
    world.heal()
    assert max(demand(world, rates, 12_000.0)) <= 1.05


def test_a_bound_that_is_ignored_lets_a_split_double_the_quota() -> None:
    def parts(
        self: limits.Limits, counted: frozenset[str], base: int, fresh: set[str], now: float
    ) -> dict[str, float]:
        return original(self, frozenset({*fresh, self._name}), len(fresh) + 1, fresh, now)

    original = limits.Limits.parts
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(limits.Limits, "parts", parts)
        world = World(1, members=6)
        demand(world, dict.fromkeys(world.names, 40.0), 8_000.0)
        world.sever(world.names[:3], world.names[3:])
        world.run(limits.BOUND_MS + 500.0)
        assert max(demand(world, dict.fromkeys(world.names, 40.0), 8_000.0)) > 1.5


# Verdicts

MARKS = {1: 7, 2: 7, 3: 7, 4: 7, 5: 7, 6: 7}


def says(zone: str, *cells: Cell, used: int = 6, failing: int = 1, health: int = 0) -> Findings:
    return Findings(zone, 0, used, failing, health, list(cells))


def bad(server: int, errors: int = 0, lost: int = 0, good: int = 0, cls: int = 9, start: int = 7) -> Cell:
    return Cell(server, start, cls, errors, lost, good, 100 if errors or lost else 60_000, 0)


def judged(pool: Pool, told: list[Findings], now: float = 0.0) -> dict[int, frozenset[int]]:
    found = pool.look([(f"w{n}", 100.0, one) for n, one in enumerate(told)], MARKS, 250.0, now)
    return {verdict.server: verdict.classes for verdict in found if verdict.avoid}


def pool(zone: str = "linz") -> Pool:
    return Pool(zone, 0, random.Random(1))


def test_one_witness_convinces_nobody_and_one_zone_s_link_is_one_witness() -> None:
    assert judged(pool(), [says("wien", bad(1, lost=900))]) == {}
    assert judged(pool(), [says("wien", bad(1, errors=900))]) == {}
    one_zone = [says("wien", bad(1, lost=60)) for _ in range(9)]
    assert judged(pool("linz"), one_zone) == {}
    assert judged(pool("wien"), one_zone) == {1: frozenset()}  # whose links those are
    assert judged(pool("linz"), [*one_zone, says("krems", bad(1, lost=39))]) == {1: frozenset()}


def test_errors_add_up_and_answers_speak_for_a_server() -> None:
    told = [says(zone, bad(1, errors=39)) for zone in ZONES]
    assert judged(pool(), told) == {1: frozenset()}
    assert judged(pool(), [*told, *(says("wien", bad(1, good=40)) for _ in range(4))]) == {}


def test_one_class_s_errors_are_that_class_s() -> None:
    told = [says(zone, bad(1, errors=60, cls=9), bad(1, good=60, cls=8)) for zone in ZONES]
    assert judged(pool(), told) == {1: frozenset({9})}


def test_whoever_sees_most_servers_fail_is_ill_and_half_is_the_most() -> None:
    everything = [bad(server, errors=80) for server in MARKS]
    assert judged(pool(), [says(zone, *everything, failing=6) for zone in ZONES]) == {}
    spread_out = [
        says(zone, *everything[n : n + 3], failing=3) for n, zone in enumerate(ZONES) for _ in "abc"
    ]
    found = judged(pool(), spread_out)
    assert len(found) == 3


def test_what_is_said_of_a_former_start_or_of_strangers_counts_for_nothing() -> None:
    assert judged(pool(), [says(zone, bad(1, errors=80, start=6)) for zone in ZONES]) == {}
    assert judged(pool(), [says(zone, bad(99, errors=80)) for zone in ZONES]) == {}


def test_a_verdict_stays_without_word_and_ends_with_answers() -> None:
    kept = pool()
    told = [says(zone, bad(1, errors=60)) for zone in ZONES]
    assert judged(kept, told) == {1: frozenset()}
    assert judged(kept, [], 5_000.0) == {1: frozenset()}
    assert judged(kept, [says("wien", bad(1, good=60))], 6_000.0) == {}
    assert judged(kept, told, 7_000.0) == {1: frozenset()}
    assert judged(kept, [], 7_000.0 + verdicts.LIFT_MS + 1.0) == {}


def test_a_witness_tells_what_stands_out_and_nothing_of_a_former_start() -> None:
    witness = Witness()
    witness.known({1: 7, 2: 7}, frozenset(), 0.0)
    for n in range(40):
        witness.ended(1 + n % 2, 9, "good", 100.0, 10.0 * n)
    assert witness.findings("linz", 0, 0, 400.0) is None
    witness.ended(1, 9, "error", 1.0, 410.0)
    found = witness.findings("linz", 0, 0, 420.0)
    assert found is not None and [cell.server for cell in found.cells] == [1] and found.cells[0].errors > 20
    witness.known({1: 8, 2: 7}, frozenset(), 430.0)
    assert witness.findings("linz", 0, 0, 440.0) is None


def test_all_hear_within_the_bound_and_each_is_pulled_from() -> None:
    world = World(3, members=40)
    world.run(8_000.0)
    pulled = {name for p in world.processes.values() for name in p.core.spread.partners}
    assert pulled == set(world.names)
    world.run(60_000.0)
    ages = [
        held.age_ms(p.clock())
        for p in world.processes.values()
        for kind, writer, held in p.core.store.all()
        if writer != p.name and kind == PULSE
    ]
    assert len(ages) == 40 * 39
    assert max(ages) < limits.BOUND_MS
    assert spread.PULL_MS < limits.SPREAD_MS


def test_operators_limits_reach_all_and_an_old_holder_s_do_not() -> None:
    world = World(4, members=5)
    world.run(3_000.0)
    world.give(world.processes["m1"], Ordered(7, {"t": 40.0, "unknown": 1.0}))
    world.run(2_000.0)
    assert {p.core.limits.quotas["t"] for p in world.processes.values()} == {40.0}
    world.give(world.processes["m2"], Ordered(6, {"t": 90.0}))  # it does not know that it was replaced
    world.run(2_000.0)
    assert {p.core.limits.quotas["t"] for p in world.processes.values()} == {40.0}
    world.kill("m1")
    world.run(8_000.0)
    assert {p.core.limits.quotas["t"] for p in world.processes.values() if p.alive} == {40.0}
    world.give(world.processes["m3"], Ordered(8, {}))
    world.run(2_000.0)
    assert {p.core.limits.quotas["t"] for p in world.processes.values() if p.alive} == {QUOTA}
