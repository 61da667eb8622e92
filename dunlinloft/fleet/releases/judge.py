"""Is the new build worse? A sequential test that may be looked at at any time.

New and old are compared within the same class, zone of servers and moment, never before with after. Of the
calls of one class into one zone between two looks, given all that came, which of them were to new servers is
as by lot where both builds are alike:

- failures: how many of the new ones failed is hypergeometric (Fisher's exact test). A likelihood ratio of
  "their odds are `worse` times as great" over "`LIKE` times at most" is a test martingale for every truth up
  to `LIKE`;
- times: each answer has a score by the eighth of the old ones' times in which it came (van der Waerden's
  normal scores), and the sum over the new ones is tilted exponentially. What a tilt must be divided by is
  bounded by drawing with replacement (Hoeffding 1963, theorem 4), and from below by Jensen's inequality.

Ville's inequality bounds the chance that this ever passes 1/alpha, however often one looks (Wald 1945;
Johari et al. 2017). Harm may begin late, so each look begins a test of its own, with weights that add up to
one: a mean of martingales is one. Metrics, classes and sizes of harm share alpha the same way.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

ALPHA = 0.01  # false halts of a release, all looks, metrics and classes together
FAILED, SLOW = "failed", "slow"
# What is not worth a halt, and what is looked for. Of failures as odds; of times as a shift of their logs, in
# standard deviations of the old ones': machines of one kind differ in speed by some hundredths to tenths.
LIKE = {FAILED: 1.25, SLOW: 0.05}
WORSE = {FAILED: (2.0, 5.0, 30.0, 1000.0), SLOW: (0.25, 0.5, 1.0)}
SCORES = (-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534)
SLOW_FROM = 6  # the last two eighths are shown as slow
ALL = 0  # the mark of all classes together
MOST_CLASSES = 6  # that are looked at by themselves too


@dataclass(slots=True, frozen=True)
class Stratum:
    """Calls of one class and zone between two looks, of new servers and of old; those bad."""

    new: int
    new_bad: int
    old: int
    old_bad: int


@dataclass(slots=True, frozen=True)
class Times:
    """Answers of one class and zone between two looks, by the eighth in which they came."""

    new: tuple[int, ...]
    old: tuple[int, ...]


def log_tilt(t: Times, worse: float, like: float) -> float:
    """At most the log likelihood ratio of a tilt `worse` over one of `like`."""
    new, whole = sum(t.new), sum(t.new) + sum(t.old)
    if not new or new == whole:
        return 0.0
    pool = [a + b for a, b in zip(t.new, t.old, strict=True)]
    mean = sum(count * score for count, score in zip(pool, SCORES, strict=True)) / whole
    tilted = sum(count * math.exp(worse * score) for count, score in zip(pool, SCORES, strict=True)) / whole
    found = sum(count * score for count, score in zip(t.new, SCORES, strict=True))
    return (worse - like) * found + new * (like * mean - math.log(tilted))


def log_ratio(s: Stratum, worse: float, like: float) -> float:
    """Log likelihood ratio of odds `worse` over odds `like` (Fisher's noncentral hypergeometric)."""
    bad = s.new_bad + s.old_bad
    if not bad or not s.new or not s.old or bad == s.new + s.old:
        return 0.0
    least, most = max(0, bad - s.old), min(s.new, bad)
    # Logs of C(new, j) C(old, bad - j), each from the one before, up to a factor that they share.
    logs = [0.0]
    for j in range(least, most):
        logs.append(logs[-1] + math.log((s.new - j) * (bad - j) / ((j + 1) * (s.old - bad + j + 1))))
    tilt = (s.new_bad - least) * math.log(worse / like)
    return tilt + _log_sum(logs, math.log(like)) - _log_sum(logs, math.log(worse))


def _log_sum(logs: list[float], slope: float) -> float:
    """The log of the sum of exp(logs[n] + n * slope)."""
    tilted = [value + n * slope for n, value in enumerate(logs)]
    most = max(tilted)
    return most + math.log(sum(math.exp(value - most) for value in tilted))


class Stream:
    """One metric of one class: a test for each size of harm, begun anew at each look."""

    def __init__(self, metric: str) -> None:
        self.metric = metric
        self._sums = dict.fromkeys(WORSE[metric], 0.0)
        self._looks = 0
        self.new = self.new_bad = self.old = self.old_bad = 0

    def look(self, pairs: Iterable[tuple[Stratum, Times]]) -> None:
        """Take what came since the last look."""
        pairs = list(pairs)
        for s, t in pairs:
            if self.metric == SLOW:
                s = Stratum(sum(t.new), sum(t.new[SLOW_FROM:]), sum(t.old), sum(t.old[SLOW_FROM:]))
            self.new, self.new_bad = self.new + s.new, self.new_bad + s.new_bad
            self.old, self.old_bad = self.old + s.old, self.old_bad + s.old_bad
        self._looks += 1
        weight = 1.0 / (self._looks * (self._looks + 1.0))
        for worse, before in self._sums.items():
            like = LIKE[self.metric]
            if self.metric == SLOW:
                step = sum(log_tilt(t, worse, like) for _, t in pairs)
            else:
                step = sum(log_ratio(s, worse, like) for s, _ in pairs)
            self._sums[worse] = min(1e300, (before + weight) * math.exp(min(step, 600.0)))

    def evidence(self) -> float:
        """The mean of its martingales: 1 at first."""
        unused = 1.0 / (self._looks + 1.0)  # the weights of the tests that have not begun
        return sum(found + unused for found in self._sums.values()) / len(self._sums)


@dataclass(slots=True, frozen=True)
class Evidence:
    """What was compared: of one metric and class (0: all) bad calls of new and old, and how much it says."""

    metric: str
    cls: int
    new: int
    new_bad: int
    old: int
    old_bad: int
    value: float


class Judge:
    """All streams of one release. Half of alpha is for all classes together, half for each by itself."""

    def __init__(self) -> None:
        self._streams = {(metric, ALL): Stream(metric) for metric in WORSE}

    def look(self, calls: dict[int, list[tuple[Stratum, Times]]]) -> None:
        """Take, by class, what members counted since the last look, zone by zone."""
        for cls in calls:
            known = len(self._streams) // len(WORSE) - 1
            if (FAILED, cls) not in self._streams and known < MOST_CLASSES:
                self._streams |= {(metric, cls): Stream(metric) for metric in WORSE}
        for (_, cls), stream in self._streams.items():
            pairs = calls.get(cls, []) if cls != ALL else [pair for found in calls.values() for pair in found]
            stream.look(pairs)

    def _share(self, cls: int) -> float:
        return 0.25 if cls == ALL else 0.25 / MOST_CLASSES

    def value(self) -> float:
        """The whole: as likely as 1 over it to be as great by chance, at any time.

        Classes that never showed would have stayed at 1; they count for nothing, which is less.
        """
        return sum(self._share(cls) * stream.evidence() for (_, cls), stream in self._streams.items())

    def worse(self) -> bool:
        """Whether the new build is worse beyond chance."""
        return self.value() >= 1.0 / ALPHA

    def evidence(self) -> list[Evidence]:
        """What speaks for harm, the strongest first."""
        found = [
            Evidence(m, cls, s.new, s.new_bad, s.old, s.old_bad, self._share(cls) * s.evidence())
            for (m, cls), s in self._streams.items()
        ]
        return sorted(found, key=lambda one: -one.value)

    def seen(self) -> dict[int, tuple[int, int]]:
        """Calls of new servers, and of all, by class."""
        found = {cls: s for (metric, cls), s in self._streams.items() if metric == FAILED and cls != ALL}
        return {cls: (s.new, s.new + s.old) for cls, s in found.items()}
