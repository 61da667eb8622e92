"""Compares two result files seed by seed and tests whether their differences are significant.

Runs are paired by seed, since the same seed means the same traffic. The mean difference gets a 95% confidence
interval by the bias-corrected bootstrap (Efron 1987). A difference is reported as beyond the spread if the
interval excludes 0 and, from six seeds on, Wilcoxon's signed-rank test (1945) agrees at 5%.
"""

from __future__ import annotations

import numpy as np
from scipy import stats

from lab.results import Result, Results, ResultsError

FIGURES = ("goodput", "worst_10s", "late", "refused", "failed", "lost", "attempts", "p50_ms", "p99_ms")
OPTIONAL_FIGURE_PREFIXES = ("quota.", "sick_", "strayed", "fleet_")  # shown if not zero in the first file
MIN_INTERVAL_SEEDS = 3  # below this no interval is computed
MIN_RANK_TEST_SEEDS = 6  # with fewer seeds the signed-rank test cannot reach the 5% level
RESAMPLES = 4000
METHOD = (
    "paired by seed; 95% of the mean difference by the bias-corrected bootstrap (scipy.stats.bootstrap, BCa, "
    f"{RESAMPLES} resamples); beyond the spread: that leaves out 0, and Wilcoxon's signed-rank test says 5%"
)


def compare(first: Results, second: Results) -> tuple[list[tuple[str, ...]], str]:
    """Return table rows (figure, A, spread, B, spread, B - A, 95% interval, verdict) and the method used."""
    a, b = ({r.seed: r for r in results.counted()} for results in (first, second))
    seeds = [seed for seed in a if seed in b]
    if not seeds:
        raise ResultsError("the files have no seed in common that counts")
    first_results, second_results = [a[seed] for seed in seeds], [b[seed] for seed in seeds]
    names = list(FIGURES)
    names += sorted(
        name for name in first_results[0].figures if name.startswith("class.") and name.endswith(".goodput")
    )
    names += [
        name
        for name in first_results[0].figures
        if name.startswith(OPTIONAL_FIGURE_PREFIXES) and first_results[0].figures[name]
    ]
    common_names = [
        name for name in names if name in first_results[0].figures and name in second_results[0].figures
    ]
    excluded = sum(not (r.counted and not r.crashed) for r in (*first.results, *second.results))
    note = f"{len(seeds)} seeds in common; {METHOD}" + (
        f"; {excluded} runs did not count" if excluded else ""
    )
    return [
        _row(name, _column(first_results, name), _column(second_results, name)) for name in common_names
    ], note


def _column(results: list[Result], name: str) -> np.ndarray:
    return np.array([result.figures[name] for result in results])


def _row(name: str, a: np.ndarray, b: np.ndarray) -> tuple[str, ...]:
    digits = 0 if name.endswith("_ms") else 4
    difference = b - a
    interval, verdict = _verdict(difference)
    low, high = interval
    shown = f"{low:+.{digits}f} to {high:+.{digits}f}" if len(a) >= MIN_INTERVAL_SEEDS else ""
    return (
        name.removeprefix("class."),
        f"{a.mean():.{digits}f}",
        f"{a.min():.{digits}f} to {a.max():.{digits}f}",
        f"{b.mean():.{digits}f}",
        f"{b.min():.{digits}f} to {b.max():.{digits}f}",
        f"{difference.mean():+.{digits}f}",
        shown,
        verdict,
    )


def _verdict(difference: np.ndarray) -> tuple[tuple[float, float], str]:
    if not difference.any():
        return (0.0, 0.0), "equal"
    if len(difference) < MIN_INTERVAL_SEEDS:
        return (0.0, 0.0), "too few seeds"
    if np.ptp(difference) == 0.0:
        constant = float(difference[0])
        return (constant, constant), "the same at each seed"
    rng = np.random.default_rng(0)
    found = stats.bootstrap((difference,), np.mean, n_resamples=RESAMPLES, method="BCa", rng=rng)
    low, high = found.confidence_interval.low, found.confidence_interval.high
    significant = low > 0.0 or high < 0.0
    if significant and len(difference) >= MIN_RANK_TEST_SEEDS:
        significant = stats.wilcoxon(difference).pvalue < 0.05
    return (low, high), "beyond the spread" if significant else "within the spread"
