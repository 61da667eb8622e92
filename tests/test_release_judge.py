"""Tests of the release judge: no evidence on average for equal builds, and detection of harm at any time."""

from __future__ import annotations

import math
import random
from collections import Counter
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet.releases.judge import TESTED_EFFECTS, Metric, ReleaseJudge, Strata
from dunlinloft.fleet.releases.likelihood import (
    OCTILE_SCORES,
    CallStratum,
    LatencyStratum,
    failure_log_ratio,
    latency_log_ratio,
)


def noncentral(s: CallStratum, odds: float) -> dict[int, float]:
    """Return the probability of each number of bad calls among the new ones at this odds ratio."""
    bad = s.new_bad + s.old_bad
    weights = {
        x: math.comb(s.new, x) * math.comb(s.old, bad - x) * odds**x
        for x in range(max(0, bad - s.old), min(s.new, bad) + 1)
    }
    return {x: weight / sum(weights.values()) for x, weight in weights.items()}


@given(st.integers(1, 8), st.integers(1, 12), st.data(), st.sampled_from([1.0, 1.1, 1.25]))
@settings(derandomize=True, database=None, max_examples=150, deadline=None)
def test_equal_failures_make_no_evidence_on_average(
    new: int, old: int, data: st.DataObject, odds: float
) -> None:
    bad = data.draw(st.integers(0, new + old))
    likely = noncentral(CallStratum(new, min(new, bad), old, bad - min(new, bad)), odds)
    for worse in TESTED_EFFECTS[Metric.FAILURES]:
        mean = sum(
            chance * math.exp(failure_log_ratio(CallStratum(new, x, old, bad - x), worse, 1.25))
            for x, chance in likely.items()
        )
        assert mean <= 1.0 + 1e-9
        if odds == 1.25:
            assert mean == pytest.approx(1.0)


@given(st.lists(st.integers(0, 7), min_size=2, max_size=9), st.data(), st.floats(0.0, 0.05))
@settings(derandomize=True, database=None, max_examples=100, deadline=None)
def test_equal_latencies_make_no_evidence_on_average(
    pool: list[int], data: st.DataObject, tilt: float
) -> None:
    count = data.draw(st.integers(1, len(pool) - 1))
    chances: list[tuple[float, LatencyStratum]] = []
    for chosen in combinations(range(len(pool)), count):
        new, old = Counter(pool[n] for n in chosen), Counter(pool[n] for n in range(len(pool)))
        old.subtract(new)
        times = LatencyStratum(tuple(new[k] for k in range(8)), tuple(old[k] for k in range(8)))
        chances.append((math.exp(tilt * sum(OCTILE_SCORES[pool[n]] for n in chosen)), times))
    whole = sum(weight for weight, _ in chances)
    for worse in TESTED_EFFECTS[Metric.LATENCY]:
        mean = (
            sum(weight * math.exp(latency_log_ratio(times, worse, 0.05)) for weight, times in chances) / whole
        )
        assert mean <= 1.0 + 1e-9


def judge_after(rng: random.Random, looks: int, zones: dict[int, tuple[int, int, float]]) -> ReleaseJudge:
    """Return a judge after random looks.

    `zones` gives the new and old calls per look, and the failure share of both, by zone.
    """
    judge = ReleaseJudge()
    none = LatencyStratum((0,) * 8, (0,) * 8)
    for _ in range(looks):
        strata = []
        for new, old, share in zones.values():
            bad = [sum(rng.random() < share for _ in range(n)) for n in (new, old)]
            strata.append(Strata(CallStratum(new, bad[0], old, bad[1]), none))
        judge.update({7: strata})
        if judge.is_worse():
            break
    return judge


def test_a_failing_zone_with_most_of_the_new_servers_is_no_evidence_against_them() -> None:
    zones = {1: (20, 5, 0.4), 2: (2, 30, 0.002)}
    assert not any(judge_after(random.Random(seed), 100, zones).is_worse() for seed in range(40))
    # The same calls without the zones would be evidence.
    pooled = ReleaseJudge()
    for _ in range(20):
        pooled.update({7: [Strata(CallStratum(22, 8, 35, 2), LatencyStratum((0,) * 8, (0,) * 8))]})
    assert pooled.is_worse()


def test_harm_that_begins_late_is_detected_despite_all_good_calls_before() -> None:
    judge = ReleaseJudge()
    none = LatencyStratum((0,) * 8, (0,) * 8)
    for _ in range(2_000):
        judge.update({7: [Strata(CallStratum(10, 0, 50, 1), none)]})
    assert not judge.is_worse()
    looks = 0
    while not judge.is_worse() and looks < 12:
        judge.update({7: [Strata(CallStratum(10, 3, 50, 1), none)]})
        looks += 1
    assert judge.is_worse() and judge.evidence()[0].metric == Metric.FAILURES
