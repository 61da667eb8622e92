"""Shares of budgets that processes use by their views while members die, join and are partitioned."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet.member_count import MISSING_MEMBER_GRACE_MS, MemberCount


class PartitionedFleet:
    """Processes in arbitrary partitions, each with its count of members."""

    def __init__(self, count: int) -> None:
        self.names = [f"n{n}" for n in range(count)]
        self.counts = {name: MemberCount(name, n, count) for n, name in enumerate(self.names)}
        self.now = 0.0

    def run(self, sides: list[list[str]], duration_ms: float) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now += 500.0
            for side in sides:
                for name in side:
                    self.counts[name].observe(set(side), self.now)

    def share_sum(self, names: list[str]) -> float:
        return sum(1.0 / self.counts[name].position().nodes for name in names)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(2, 12), st.randoms(use_true_random=False), st.floats(1_000.0, 60_000.0))
def test_shares_add_up_to_less_than_one_and_a_half_in_any_partition(
    count: int, rng: random.Random, ms: float
) -> None:
    fleet = PartitionedFleet(count)
    fleet.run([fleet.names], 2_000.0)
    shuffled = rng.sample(fleet.names, count)
    at = rng.randrange(1, count)
    sides = [side for side in (shuffled[:at], shuffled[at:]) if side]
    if rng.random() < 0.5 and len(sides[0]) > 1:
        middle = rng.randrange(1, len(sides[0]))
        sides = [sides[0][:middle], sides[0][middle:], sides[1]]
    fleet.run(sides, ms)
    assert fleet.share_sum(fleet.names) < 1.5
    fleet.run([fleet.names], 1_000.0)
    assert {c.position().nodes for c in fleet.counts.values()} == {count}
    assert sorted(c.position().number for c in fleet.counts.values()) == list(range(count))


def test_shares_of_the_dead_are_taken_over_after_the_grace_time_and_new_members_count_at_once() -> None:
    fleet = PartitionedFleet(6)
    fleet.run([fleet.names], 2_000.0)
    alive = fleet.names[:4]
    fleet.run([alive], MISSING_MEMBER_GRACE_MS - 1_000.0)
    assert fleet.share_sum(alive) == pytest.approx(4 / 6)
    fleet.run([alive], 3_000.0)
    assert fleet.share_sum(alive) == pytest.approx(1.0)
    assert sorted(fleet.counts[name].position().number for name in alive) == [0, 1, 2, 3]
    fleet.run([fleet.names], 500.0)
    assert fleet.share_sum(fleet.names) == pytest.approx(1.0)


def test_the_configured_number_holds_until_a_majority_was_seen() -> None:
    count = MemberCount("n1", 1, 10)
    count.observe({"n1", "n2"}, 0.0)
    count.observe({"n1", "n2"}, 60_000.0)
    assert count.position() == (1, 10)
    seven = {f"n{n}" for n in range(1, 8)}
    count.observe(seven, 61_000.0)
    count.observe(seven, 61_000.0 + MISSING_MEMBER_GRACE_MS)
    assert count.position() == (0, 7)
