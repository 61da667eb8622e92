"""Two result files, seed by seed: how far apart they are, and whether that is more than chance.

The difference of each seed is taken (the same seed means the same traffic), and their mean gets a 95%
interval by the bias-corrected bootstrap (Efron 1987). A difference is beyond the spread where that
interval leaves out 0 and Wilcoxon's signed-rank test (1945) agrees at 5%, from six seeds on.
"""

from __future__ import annotations

import numpy as np
from scipy import stats

from lab.results import BadResults, Result, Results

FIGURES = ("goodput", "worst_10s", "late", "refused", "failed", "lost", "attempts", "p50_ms", "p99_ms")
MORE = ("quota.", "sick_", "strayed", "fleet_")  # shown where the first file has them
LEAST_SEEDS = 3  # for an interval; fewer show figures only
LEAST_RANKS = 6  # seeds from which the signed-rank test can say 5% at all
RESAMPLES = 4000
METHOD = (
    "paired by seed; 95% of the mean difference by the bias-corrected bootstrap (scipy.stats.bootstrap, BCa, "
    f"{RESAMPLES} resamples); beyond the spread: that leaves out 0, and Wilcoxon's signed-rank test says 5%"
)


def compare(first: Results, second: Results) -> tuple[list[tuple[str, ...]], str]:
    """Rows of a table (figure, A, its spread, B, its spread, B - A, 95% of it, verdict), and the method."""
    a, b = ({r.seed: r for r in results.counted()} for results in (first, second))
    seeds = [seed for seed in a if seed in b]
    if not seeds:
        raise BadResults("the files have no seed in common that counts")
    one, other = [a[seed] for seed in seeds], [b[seed] for seed in seeds]
    names = list(FIGURES)
    names += sorted(
        name for name in one[0].figures if name.startswith("class.") and name.endswith(".goodput")
    )
    names += [name for name in one[0].figures if name.startswith(MORE) and one[0].figures[name]]
    shared = [name for name in names if name in one[0].figures and name in other[0].figures]
    left = sum(not (r.counted and not r.crashed) for r in (*first.results, *second.results))
    note = f"{len(seeds)} seeds in common; {METHOD}" + (f"; {left} runs did not count" if left else "")
    return [_row(name, _column(one, name), _column(other, name)) for name in shared], note


def _column(results: list[Result], name: str) -> np.ndarray:
    return np.array([result.figures[name] for result in results])


def _row(name: str, a: np.ndarray, b: np.ndarray) -> tuple[str, ...]:
    digits = 0 if name.endswith("_ms") else 4
    difference = b - a
    interval, verdict = _verdict(difference)
    low, high = interval
    shown = f"{low:+.{digits}f} to {high:+.{digits}f}" if len(a) >= LEAST_SEEDS else ""
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
    if len(difference) < LEAST_SEEDS:
        return (0.0, 0.0), "too few seeds"
    if np.ptp(difference) == 0.0:
        same = float(difference[0])
        return (same, same), "the same at each seed"
    random = np.random.default_rng(0)
    found = stats.bootstrap((difference,), np.mean, n_resamples=RESAMPLES, method="BCa", rng=random)
    low, high = found.confidence_interval.low, found.confidence_interval.high
    beyond = low > 0.0 or high < 0.0
    if beyond and len(difference) >= LEAST_RANKS:
        beyond = stats.wilcoxon(difference).pvalue < 0.05
    return (low, high), "beyond the spread" if beyond else "within the spread"
