"""Releases: the judge's bounds, the steward among failing members, the cap on first sends, processes."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from itertools import combinations
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.fleet.leases.table_rows import MAX_VALUE_BYTES
from dunlinloft.fleet.releases import judge
from dunlinloft.fleet.releases.judge import SCORES, Judge, Stratum, Times, log_ratio, log_tilt
from dunlinloft.fleet.releases.member import Follower, Server
from dunlinloft.fleet.releases.messages import (
    BACK,
    BAKING,
    DONE,
    MOST_NAMED,
    MOST_STAGES,
    MOST_WHY,
    UNDONE,
    NotSo,
    Order,
    Plan,
    Tally,
    Wanted,
    read_plan,
    read_wanted,
)
from dunlinloft.fleet.releases.steward import Steward, Telling
from lab.processes.day import play_processes
from lab.scenario import parse
from tests.helpers import Node

# The judge


def noncentral(s: Stratum, odds: float) -> dict[int, float]:
    """How likely each number of bad calls among the new ones is, at these odds."""
    bad = s.new_bad + s.old_bad
    weights = {
        x: math.comb(s.new, x) * math.comb(s.old, bad - x) * odds**x
        for x in range(max(0, bad - s.old), min(s.new, bad) + 1)
    }
    return {x: weight / sum(weights.values()) for x, weight in weights.items()}


@given(st.integers(1, 8), st.integers(1, 12), st.data(), st.sampled_from([1.0, 1.1, 1.25]))
@settings(derandomize=True, database=None, max_examples=150, deadline=None)
def test_failures_alike_make_no_evidence_on_average(
    new: int, old: int, data: st.DataObject, odds: float
) -> None:
    bad = data.draw(st.integers(0, new + old))
    likely = noncentral(Stratum(new, min(new, bad), old, bad - min(new, bad)), odds)
    for worse in judge.WORSE[judge.FAILED]:
        mean = sum(
            chance * math.exp(log_ratio(Stratum(new, x, old, bad - x), worse, 1.25))
            for x, chance in likely.items()
        )
        assert mean <= 1.0 + 1e-9
        if odds == 1.25:
            assert mean == pytest.approx(1.0)


@given(st.lists(st.integers(0, 7), min_size=2, max_size=9), st.data(), st.floats(0.0, 0.05))
@settings(derandomize=True, database=None, max_examples=100, deadline=None)
def test_times_alike_make_no_evidence_on_average(pool: list[int], data: st.DataObject, tilt: float) -> None:
    count = data.draw(st.integers(1, len(pool) - 1))
    chances: list[tuple[float, Times]] = []
    for chosen in combinations(range(len(pool)), count):
        new, old = Counter(pool[n] for n in chosen), Counter(pool[n] for n in range(len(pool)))
        old.subtract(new)
        times = Times(tuple(new[k] for k in range(8)), tuple(old[k] for k in range(8)))
        chances.append((math.exp(tilt * sum(SCORES[pool[n]] for n in chosen)), times))
    whole = sum(weight for weight, _ in chances)
    for worse in judge.WORSE[judge.SLOW]:
        mean = sum(weight * math.exp(log_tilt(times, worse, 0.05)) for weight, times in chances) / whole
        assert mean <= 1.0 + 1e-9


def drawn(rng: random.Random, looks: int, zones: dict[int, tuple[int, int, float]]) -> Judge:
    """A judge after so many looks: by zone new and old calls a look, and the share of both that fails."""
    found = Judge()
    none = Times((0,) * 8, (0,) * 8)
    for _ in range(looks):
        strata = []
        for new, old, share in zones.values():
            bad = [sum(rng.random() < share for _ in range(n)) for n in (new, old)]
            strata.append((Stratum(new, bad[0], old, bad[1]), none))
        found.look({7: strata})
        if found.worse():
            break
    return found


def test_a_zone_that_fails_with_most_of_the_new_servers_is_no_fault_of_theirs() -> None:
    zones = {1: (20, 5, 0.4), 2: (2, 30, 0.002)}
    assert not any(drawn(random.Random(seed), 100, zones).worse() for seed in range(40))
    # The same calls without their zones would be evidence at once.
    pooled = Judge()
    for _ in range(20):
        pooled.look({7: [(Stratum(22, 8, 35, 2), Times((0,) * 8, (0,) * 8))]})
    assert pooled.worse()


def test_harm_that_begins_late_is_found_in_spite_of_all_that_was_well() -> None:
    found = Judge()
    none = Times((0,) * 8, (0,) * 8)
    for _ in range(2_000):
        found.look({7: [(Stratum(10, 0, 50, 1), none)]})
    assert not found.worse()
    looks = 0
    while not found.worse() and looks < 12:
        found.look({7: [(Stratum(10, 3, 50, 1), none)]})
        looks += 1
    assert found.worse() and found.evidence()[0].metric == judge.FAILED


# The steward among members


class Fleet:
    """Members that obey and count, a ledger that keeps rows a little later, and servers with their faults."""

    def __init__(self, seed: int = 1, members: int = 6, servers: int = 12, new: int = 4, rate: float = 15.0):
        self.rng, self.now, self.rate = random.Random(seed), 0.0, rate
        self.rows: list[Plan] = []
        self.writing: list[Plan] = []
        self.token, self.keeps = 5, True
        self.steward = self.make()
        self.steward.start(self.token, None, 0.0)
        self.servers = {n: Server(1 + n % 3, 1000.0 if n < new else 0.0, 1.0, False) for n in range(servers)}
        self.members = {f"m{n}": Follower(0) for n in range(members)}
        for member in self.members.values():
            member.know(dict(self.servers))
        self.silent: set[str] = set()
        self.deaf: set[str] = set()
        self.fails, self.slow = 0.0, 1.0
        self.shares: list[float] = []

    def make(self) -> Steward:
        return Steward(self.write, int, lambda: 0)

    def write(self, plan: Plan) -> str:
        assert len(plan.write()) <= MAX_VALUE_BYTES
        self.writing.append(plan)
        return ""

    def pass_on(self) -> None:
        """What was written is kept, or lost with its holder."""
        for plan in self.writing:
            if self.keeps:
                self.rows.append(plan)
            self.steward.settled(self.keeps)
        self.writing = []

    def call(self, member: Follower) -> None:
        share = member.order.share if member.order.id else 1.0
        number = self.rng.randrange(len(self.servers))
        if member.is_new(number) and self.rng.random() > min(1.0, share * len(self.servers) / 4.0):
            number = self.rng.randrange(4, len(self.servers))
        new = number < 4
        failed = self.rng.random() < (self.fails if new else 0.0) + 0.002
        ms = 50.0 * self.rng.lognormvariate(0.0, 0.7) * (self.slow if new else 1.0)
        member.ended(number, 9, "error" if failed else "good", ms)

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        start, end = self.now, self.now + 1000.0 * for_s
        while self.now < end and not until():
            self.now += 500.0
            for name, member in self.members.items():
                for _ in range(int(self.rate / 2.0)):
                    self.call(member)
                if name not in self.deaf:
                    member.obey(self.steward.order, 0.0, self.now)
            told = [
                Telling(name, 1, 200.0, member.tally())
                for name, member in self.members.items()
                if name not in self.silent
            ]
            # What comes over the wire is a copy.
            told = [Telling(t.writer, t.life, t.age_ms, copied(t)) for t in told]
            self.steward.look(told, len(self.members), self.now)
            self.pass_on()
            self.shares.append(self.steward.order.share if self.steward.order.id else 1.0)
        return (self.now - start) / 1000.0

    def state(self) -> str:
        return self.rows[-1].state if self.rows else ""

    def begin(self, bake_s: float = 5.0) -> None:
        assert self.steward.begin(Wanted(since_ms=1000.0, bake_s=bake_s), "anna", "") == ""
        self.pass_on()


def copied(telling: Telling) -> Tally:
    return decode(encode(telling.tally), type=Tally)


def test_a_good_build_goes_through_all_stages_and_a_bad_one_goes_back_by_itself() -> None:
    for seed in range(12):
        fleet = Fleet(seed)
        fleet.begin()
        fleet.run(200.0, lambda f=fleet: f.state() == DONE)  # type: ignore[misc]
        assert fleet.state() == DONE, f"seed {seed}: {fleet.steward.show()}"
        assert fleet.shares == sorted(fleet.shares[:1] + fleet.shares[1:-1]) + fleet.shares[-1:]
    for seed, (fails, slow) in enumerate([(1.0, 1.0), (0.3, 1.0), (0.0, 3.0), (0.1, 1.0)]):
        fleet = Fleet(seed)
        fleet.fails, fleet.slow = fails, slow
        fleet.begin()
        fleet.run(200.0, lambda f=fleet: f.state() == UNDONE)  # type: ignore[misc]
        assert fleet.state() == UNDONE, (fails, slow)
        assert fleet.shares[-1] == 0.0 and max(fleet.shares[1:]) < 1.0


def test_whoever_is_missing_old_or_does_not_obey_makes_it_hold_and_say_why() -> None:
    for what in ("silent", "deaf"):
        fleet = Fleet(3)
        fleet.begin()
        fleet.run(2.0)
        getattr(fleet, what).add("m2")
        fleet.steward.say("skip", "anna", "")
        fleet.pass_on()
        fleet.run(60.0)
        assert fleet.rows[-1].stage == 1 and fleet.steward.held
        assert ("5 of 6 members" in fleet.steward.held) == (what == "silent")
        getattr(fleet, what).clear()
        fleet.run(200.0, lambda f=fleet: f.state() == DONE)  # type: ignore[misc]
        assert fleet.state() == DONE


def test_too_little_traffic_holds_and_says_how_much_was_seen() -> None:
    fleet = Fleet(4, members=2, rate=2.0)
    fleet.begin()
    fleet.run(60.0)
    assert fleet.rows[-1].stage == 0 and "20 are wanted" in fleet.steward.held


def test_a_successor_goes_on_taking_back_what_its_ledger_says_is_baking() -> None:
    fleet = Fleet(5)
    fleet.begin()
    fleet.run(2.0)
    fleet.fails, fleet.keeps = 1.0, False  # from now on no row is kept: the holder is about to be replaced
    fleet.run(60.0, lambda: fleet.steward.order.share == 0.0)
    fleet.run(1.0)
    assert fleet.state() == BAKING and fleet.steward.order.share == 0.0
    old, fleet.steward, fleet.keeps = fleet.steward, fleet.make(), True
    fleet.steward.start(fleet.token + 1, fleet.rows[-1], fleet.now)
    fleet.fails, since = 0.0, len(fleet.shares)  # nothing would be found any more
    fleet.run(30.0, lambda: fleet.state() == UNDONE)
    assert fleet.state() == UNDONE
    assert {m.order.share for m in fleet.members.values()} == {0.0} and set(fleet.shares[since + 1 :]) <= {
        0.0
    }
    member = fleet.members["m0"]
    member.obey(Order(5, 99, 1, 0.5, 1000.0, (), True), 0.0, fleet.now)  # the former one's, held back
    assert member.order.token == fleet.token + 1 and member.order.share == 0.0
    assert old.order.token == 5


def test_a_successor_takes_no_member_that_stood_still_for_a_rollback() -> None:
    fleet = Fleet(10)
    fleet.begin(3.0)
    fleet.run(60.0, lambda: fleet.rows[-1].stage == 1)
    fleet.deaf.add("m4")
    fleet.steward.say("skip", "anna", "")
    fleet.pass_on()
    fleet.run(3.0)
    fleet.steward = fleet.make()
    fleet.steward.start(6, fleet.rows[-1], fleet.now)
    fleet.run(2.0)
    assert fleet.steward.order.share == fleet.rows[-1].share == 0.25
    fleet.deaf.clear()
    fleet.run(200.0, lambda: fleet.state() == DONE)
    assert fleet.state() == DONE


def test_a_successor_without_a_majority_of_tallies_orders_nothing() -> None:
    fleet = Fleet(6)
    fleet.begin()
    fleet.run(3.0)
    fleet.steward = fleet.make()
    fleet.steward.start(6, fleet.rows[-1], fleet.now)
    fleet.silent = {"m0", "m1", "m2"}
    fleet.run(30.0)
    assert not fleet.steward.order.id and "3 of 6 members" in fleet.steward.held


def test_a_build_that_falls_over_again_and_again_goes_back_though_it_is_never_warm() -> None:
    fleet = Fleet(7, rate=0.0)
    fleet.begin()
    for n in range(1, 6):
        fleet.run(2.0)
        for member in fleet.members.values():
            member.know({k: Server(1, 1000.0 + n if k == 1 else 0.0, 1.0, True) for k in range(12)})
    fleet.run(5.0)
    assert fleet.rows[-1].state in (BACK, UNDONE) and "started once more" in fleet.rows[-1].why


def test_the_old_servers_are_not_given_more_than_they_have_borne() -> None:
    fleet = Fleet(8)
    fleet.begin(2.0)
    fleet.run(200.0, lambda: fleet.rows[-1].stage == 3)
    fleet.slow = 5.0
    for member in fleet.members.values():  # the platform has drained half of the old ones meanwhile
        member.know({n: s for n, s in fleet.servers.items() if n < 8})
    fleet.servers = {n: s for n, s in fleet.servers.items() if n < 8}
    fleet.run(60.0, lambda: fleet.rows[-1].state == BACK)
    fleet.run(10.0)
    assert fleet.rows[-1].state == BACK and fleet.steward.short
    assert 0.1 < fleet.steward.order.share < 0.6
    fleet.fails = 1.0  # then it bears nothing, and the module refuses by worth what the old ones can't take
    fleet.run(30.0, lambda: fleet.state() == UNDONE)
    assert fleet.state() == UNDONE


def test_what_operators_say_is_checked_and_kept_with_who_and_why() -> None:
    fleet = Fleet(9)
    assert fleet.steward.say("pause", "", "") == "there is no release here"
    fleet.begin()
    assert "one at a time" in fleet.steward.begin(Wanted(names=("a1",)), "", "")
    with pytest.raises(NotSo, match="one of pause, resume"):
        fleet.steward.say("stop", "", "")
    for what, state in (("pause", "paused"), ("resume", BAKING), ("halt", "halted"), ("abort", BACK)):
        assert fleet.steward.say(what, "otto", "because") == ""
        fleet.pass_on()
        assert (fleet.rows[-1].state, fleet.rows[-1].by, fleet.rows[-1].why) == (state, "otto", "because")
    assert "goes back" in fleet.steward.say("resume", "otto", "")


@pytest.mark.parametrize(
    ("asked", "why"),
    [
        ({}, "names or since"),
        ({"names": "a", "since": "5"}, "names or since"),
        ({"since": "soon"}, "since: 'soon' is not a Unix time"),
        ({"names": ",".join(map(str, range(99)))}, "99 of them, and 12 at most"),
        ({"names": "a", "stages": "5,1,100"}, "must rise"),
        ({"names": "a", "stages": "1,5"}, "must rise, from above 0 to 100"),
        ({"names": "a", "stages": "1,x,100"}, "stages: 'x'"),
        ({"names": "a", "bake": "0.1"}, "1 s to a day"),
        ({"names": "a", "backe": "3"}, "backe: not known"),
    ],
)
def test_a_release_that_can_t_be_is_refused_with_its_place(asked: dict[str, str], why: str) -> None:
    with pytest.raises(NotSo, match=why.replace("(", r"\(")):
        read_wanted(asked)


def test_the_longest_plan_fits_a_row_of_the_ledger_and_comes_back() -> None:
    names = tuple(f"slot-{n:04d}" for n in range(MOST_NAMED))
    stages = tuple(0.0125 * n for n in range(1, MOST_STAGES + 1))
    plan = Plan(9_999, UNDONE, stages, 86_400.0, 7, 0.0125, 0.0, names, "x" * 30, "y" * MOST_WHY, 10**10)
    assert len(plan.write()) <= MAX_VALUE_BYTES and read_plan(plan.write()) == plan
    assert read_plan(b"{") is None


# The cap on first sends, in the module


def shares(node: Node, count: int, cls: str = "safe") -> float:
    return sum(server < 2 for server in node.serve(count, cls)) / count


def test_a_cohort_gets_its_share_of_each_class_and_no_more() -> None:
    node = Node(servers=8)
    assert 0.2 < shares(node, 200) < 0.3
    for cap in (0.01, 0.05, 0.125):
        node.do(api.CanaryLimit(frozenset({0, 1}), cap))
        for cls in ("safe", "unsafe"):
            got = shares(node, 400, cls)
            assert abs(got - cap) <= 0.1 * cap + 2.0 / 400.0
    node.do(api.CanaryLimit(frozenset({0, 1}), 0.9))  # a bound, never a reason
    assert 0.2 < shares(node, 200) < 0.3
    node.do(api.CanaryLimit(frozenset({0, 1}), 0.0))
    assert shares(node, 200) == 0.0
    node.do(api.CanaryLimit(frozenset(), 1.0))
    assert 0.2 < shares(node, 200) < 0.3


def test_of_many_copies_few_calls_the_cohort_gets_its_share_too() -> None:
    got = 0
    for salt in range(300):
        node = Node(servers=8, salt=salt)
        node.do(api.CanaryLimit(frozenset({0, 1}), 0.05))
        got += sum(server < 2 for server in node.serve(4))
    assert 35 <= got <= 85  # of 1,200 calls 60


def test_retries_go_to_the_old_and_without_old_servers_there_is_nothing_to_cap() -> None:
    node = Node(servers=4)
    node.do(api.CanaryLimit(frozenset({0, 1}), 0.4))
    for n in range(60):
        node.serve(2)
        node.request(f"r{n}")
        node.complete(f"r{n}", Result.ERROR)
        node.now += 400.0
        for action in [a for _, a in node.log[-3:] if isinstance(a, api.SetTimer)]:
            node.do(api.TimerFired(action.token))
    repeats = [server for sent in node.sent.values() for server in sent[1:]]
    assert len(repeats) > 20 and min(repeats) >= 2
    node = Node(servers=2)
    node.do(api.CanaryLimit(frozenset({0, 1}), 0.01))
    assert shares(node, 50) == 1.0


def test_a_cap_pushes_no_cold_server() -> None:
    node = Node(servers=4)
    node.serve(50)
    fresh = [api.ServerEntry(n, "z", "k", n % 2, started_ms=node.now) for n in (0, 1)]
    node.change(*fresh)
    free, capped = Node(servers=4), node
    capped.do(api.CanaryLimit(frozenset({0, 1}), 0.5))
    assert shares(capped, 40) < 0.5 <= shares(free, 40) + 0.1


def test_a_bad_build_is_taken_back_among_processes(tmp_path: Path) -> None:
    """Rules always; and in the end no process sends first calls to the new servers."""
    day = """
name = "bad build"
[day]
length_s = 24
[nodes]
count = 5
fleet = true
share = ["releases"]
[[tiers]]
servers = 8
[arrivals]
rate_per_s = 40
[[faults]]
kind = "release"
at_s = 5
servers = ["a2", "a5"]
stages = [20, 100]
bake_s = 30
errors = 1.0
"""
    result = play_processes(parse(day), 3, lambda share: None, None, tmp_path)
    assert result.broken == {}
    assert result.figures["release.end_share"] <= 0.2
    told = [figures["release_share"] for figures in result.series.beliefs.values()]
    assert all(0.2 in shares for shares in told)
    assert all(figures["fleet_errors"][-1] == 0.0 for figures in result.series.beliefs.values())
