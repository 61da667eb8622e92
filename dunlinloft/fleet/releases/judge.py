"""Sequential test of whether the new build is worse; it stays valid under continuous monitoring.

Calls to new and old servers are compared within the same class, zone of servers and time interval, never
before with after. For each effect size, the likelihood ratio of that effect over the tolerated one
(`likelihood`) is a test martingale under every true effect up to the tolerated one. Ville's inequality bounds
the probability that it ever exceeds 1/alpha (Wald 1945; Johari et al. 2017, "Peeking at A/B tests":
always-valid p-values).

Harm may begin late, so each look starts a test of its own, weighted so that all weights add up to one: a
weighted mean of martingales is a martingale. Metrics, classes and effect sizes share alpha in the same way.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from dunlinloft.fleet.releases.likelihood import (
    CallStratum,
    LatencyStratum,
    failure_log_ratio,
    latency_log_ratio,
)


class Metric(StrEnum):
    """What is compared; the values are shown to operators."""

    FAILURES = "failed"
    LATENCY = "slow"


FALSE_HALT_PROBABILITY = 0.01  # alpha, for a release that is no worse, over all looks, metrics and classes
# Effects that do not justify a halt, and effects that are tested for: odds ratios of failure, and shifts of
# the logarithm of latency in standard deviations of the old servers' log latency. Machines of one kind differ
# by some hundredths to tenths of a standard deviation.
TOLERATED_EFFECTS = {Metric.FAILURES: 1.25, Metric.LATENCY: 0.05}
TESTED_EFFECTS = {Metric.FAILURES: (2.0, 5.0, 30.0, 1000.0), Metric.LATENCY: (0.25, 0.5, 1.0)}
FIRST_SLOW_OCTILE = 6  # responses from this octile on are shown to operators as slow
ALL_CLASSES = 0  # the class id under which all classes are tested together
MAX_CLASSES = 6  # classes that are also tested separately
ALL_CLASSES_SHARE = 0.25  # of alpha, per metric; the single classes together get the same
MAX_E_VALUE = 1e300  # keeps products finite
MAX_LOG_STEP = 600.0  # keeps exp finite


@dataclass(slots=True, frozen=True)
class Strata:
    """The calls of one class to one zone between two looks."""

    calls: CallStratum
    latencies: LatencyStratum


class MetricTest:
    """The tests of one metric for one class: one per effect size, started anew at each look."""

    def __init__(self, metric: Metric) -> None:
        self.metric = metric
        self._martingales = dict.fromkeys(TESTED_EFFECTS[metric], 0.0)
        self._looks = 0
        self.new = 0
        self.new_bad = 0
        self.old = 0
        self.old_bad = 0

    def update(self, strata: Iterable[Strata]) -> None:
        """Add the calls since the last look."""
        strata = list(strata)
        for stratum in strata:
            self._count(stratum)
        self._looks += 1
        weight = 1.0 / (self._looks * (self._looks + 1.0))
        tolerated = TOLERATED_EFFECTS[self.metric]
        for effect, before in self._martingales.items():
            if self.metric is Metric.LATENCY:
                step = sum(latency_log_ratio(s.latencies, effect, tolerated) for s in strata)
            else:
                step = sum(failure_log_ratio(s.calls, effect, tolerated) for s in strata)
            after = (before + weight) * math.exp(min(step, MAX_LOG_STEP))
            self._martingales[effect] = min(MAX_E_VALUE, after)

    def _count(self, stratum: Strata) -> None:
        calls = stratum.calls
        if self.metric is Metric.LATENCY:
            new = stratum.latencies.new
            old = stratum.latencies.old
            calls = CallStratum(
                sum(new), sum(new[FIRST_SLOW_OCTILE:]), sum(old), sum(old[FIRST_SLOW_OCTILE:])
            )
        self.new += calls.new
        self.new_bad += calls.new_bad
        self.old += calls.old
        self.old_bad += calls.old_bad

    def e_value(self) -> float:
        """Return the mean of the martingales; 1 initially."""
        unused = 1.0 / (self._looks + 1.0)  # the weight of all tests that have not started
        return sum(value + unused for value in self._martingales.values()) / len(self._martingales)


@dataclass(slots=True, frozen=True)
class Evidence:
    """The evidence on one metric and class, for operators."""

    metric: Metric
    class_id: int  # or `ALL_CLASSES`
    new: int
    new_bad: int
    old: int
    old_bad: int
    e_value: float  # weighted by this test's share of alpha


@dataclass(slots=True, frozen=True)
class ClassCalls:
    """Numbers of calls of one class that were compared."""

    new: int
    total: int


class ReleaseJudge:
    """All tests of one release; `controller.ReleaseController` creates a judge for each release."""

    def __init__(self) -> None:
        self._tests = {(metric, ALL_CLASSES): MetricTest(metric) for metric in Metric}

    def update(self, strata: dict[int, list[Strata]]) -> None:
        """Add the calls that members have counted since the last look, by class, one stratum per zone."""
        for class_id in strata:
            known = len(self._tests) // len(Metric) - 1
            if (Metric.FAILURES, class_id) not in self._tests and known < MAX_CLASSES:
                self._tests |= {(metric, class_id): MetricTest(metric) for metric in Metric}
        for (_, class_id), test in self._tests.items():
            if class_id == ALL_CLASSES:
                test.update(stratum for of_class in strata.values() for stratum in of_class)
            else:
                test.update(strata.get(class_id, []))

    def _share(self, class_id: int) -> float:
        return ALL_CLASSES_SHARE if class_id == ALL_CLASSES else ALL_CLASSES_SHARE / MAX_CLASSES

    def e_value(self) -> float:
        """Return the weighted mean of all tests.

        Without harm, the probability that it ever reaches a value v is at most 1/v. Classes without calls
        would stay at 1; they are left out, which is conservative.
        """
        return sum(self._share(class_id) * test.e_value() for (_, class_id), test in self._tests.items())

    def is_worse(self) -> bool:
        """Whether the new build is significantly worse."""
        return self.e_value() >= 1.0 / FALSE_HALT_PROBABILITY

    def evidence(self) -> list[Evidence]:
        """Return the evidence of harm, the strongest first."""
        all_evidence = [
            Evidence(
                metric, class_id, test.new, test.new_bad, test.old, test.old_bad,
                self._share(class_id) * test.e_value(),
            )
            for (metric, class_id), test in self._tests.items()
        ]  # fmt: skip
        return sorted(all_evidence, key=lambda evidence: -evidence.e_value)

    def calls_by_class(self) -> dict[int, ClassCalls]:
        """Return the numbers of calls that were compared, by class."""
        return {
            class_id: ClassCalls(test.new, test.new + test.old)
            for (metric, class_id), test in self._tests.items()
            if metric is Metric.FAILURES and class_id != ALL_CLASSES
        }
