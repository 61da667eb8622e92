"""Likelihood ratios that compare calls to new and to old servers within a stratum.

A stratum is the calls of one class to one zone between two looks. Given all of them, it is random which calls
went to new servers if both builds are alike:

- failures: the number of failed calls to new servers is hypergeometric (Fisher's exact test), and noncentral
  hypergeometric if the odds of failure differ;
- latencies: each response is scored by the octile of the old servers' latencies that it falls in (van der
  Waerden's normal scores), and the sum over the new servers' responses is tilted exponentially. The tilt's
  normalisation is bounded from above by that for drawing with replacement (Hoeffding 1963, theorem 4), and
  from below by Jensen's inequality.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Normal quantiles at the midpoints of eight equally probable buckets (van der Waerden), the fastest first.
OCTILE_SCORES = (-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534)


@dataclass(slots=True, frozen=True)
class CallStratum:
    """Numbers of calls to new and to old servers, and of those that were bad (failed or slow)."""

    new: int
    new_bad: int
    old: int
    old_bad: int


@dataclass(slots=True, frozen=True)
class LatencyStratum:
    """Numbers of successful responses of new and of old servers, by octile of the old servers' latencies."""

    new: tuple[int, ...]
    old: tuple[int, ...]


def latency_log_ratio(stratum: LatencyStratum, effect: float, tolerated: float) -> float:
    """Return a lower bound of the log likelihood ratio of a tilt by `effect` over one by `tolerated`.

    Both are shifts of the logarithm of latency, in standard deviations of the old servers' log latency.
    """
    new_count = sum(stratum.new)
    count = new_count + sum(stratum.old)
    if not new_count or new_count == count:
        return 0.0
    pooled = [a + b for a, b in zip(stratum.new, stratum.old, strict=True)]
    mean = sum(n * score for n, score in zip(pooled, OCTILE_SCORES, strict=True)) / count
    tilted = sum(n * math.exp(effect * score) for n, score in zip(pooled, OCTILE_SCORES, strict=True)) / count
    observed = sum(n * score for n, score in zip(stratum.new, OCTILE_SCORES, strict=True))
    return (effect - tolerated) * observed + new_count * (tolerated * mean - math.log(tilted))


def failure_log_ratio(stratum: CallStratum, effect: float, tolerated: float) -> float:
    """Return the log likelihood ratio of a failure odds ratio of `effect` over one of `tolerated`."""
    bad = stratum.new_bad + stratum.old_bad
    if not bad or not stratum.new or not stratum.old or bad == stratum.new + stratum.old:
        return 0.0
    least = max(0, bad - stratum.old)
    most = min(stratum.new, bad)
    # Logarithms of C(new, j) C(old, bad - j), each from the previous one, up to a common factor.
    logs = [0.0]
    for j in range(least, most):
        logs.append(
            logs[-1]
            + math.log((stratum.new - j) * (bad - j) / ((j + 1) * (stratum.old - bad + j + 1)))
        )  # fmt: skip
    tilt = (stratum.new_bad - least) * math.log(effect / tolerated)
    return tilt + _log_sum_exp(logs, math.log(tolerated)) - _log_sum_exp(logs, math.log(effect))


def _log_sum_exp(logs: list[float], slope: float) -> float:
    """Return the logarithm of the sum of exp(logs[n] + n * slope), without overflow."""
    terms = [value + n * slope for n, value in enumerate(logs)]
    greatest = max(terms)
    return greatest + math.log(sum(math.exp(value - greatest) for value in terms))
