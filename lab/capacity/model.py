"""Experiments: sizes, the figures measured at each, and the linear fit extrapolated to the target size.

Each sample is taken in a new process, one at a time, so that memory figures are not shared and no sample
warms up the next. A *check* runs one larger size that is not part of the fit.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from typing import Any

import msgspec
from msgspec import Struct

from lab.fit import Fit, line

COUNTED, TIMED = "counted", "timed"  # deterministic for a seed; measured with the machine's clock


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure: its unit, how it is obtained, and the power of the size with which it grows."""

    name: str
    unit: str
    how: str = COUNTED
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment at several sizes; `play(size, seed)` returns a value for each figure."""

    name: str
    text: str
    axis: str  # what the size counts
    target: float  # the size to design for
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    seeds: tuple[int, ...]
    figures: tuple[Figure, ...]
    play: Callable[[int, int], dict[str, float]]
    check: int = 0  # a larger size, run once and not fitted; 0: none


class Sample(Struct, frozen=True):
    """The values of one run."""

    experiment: str
    size: int
    seed: int
    values: dict[str, float]


class Row(Struct, frozen=True):
    """The fit of a figure, and its value at the target."""

    experiment: str
    figure: str
    unit: str
    how: str
    axis: str
    power: float
    sizes: list[int]
    seeds: list[int]
    means: list[float]  # by size
    slope: float
    slope_error: float
    intercept: float
    r2: float
    target: float
    at_target: float
    at_target_error: float
    check_size: int = 0
    check: float | None = None  # measured value at the check size, if any
    check_fit: float | None = None  # value of the line at the check size


class Report(Struct):
    """All measurements of one invocation of the command."""

    quick: bool
    samples: list[Sample] = []
    rows: list[Row] = []
    failed: list[str] = []  # failed runs, each with its size, seed and error

    def write(self) -> bytes:
        """Encode the report as JSON."""
        return msgspec.json.format(msgspec.json.encode(self), indent=1)


def read_report(data: bytes) -> Report:
    """Decode a report."""
    return msgspec.json.decode(data, type=Report)


def fit(experiment: Experiment, figure: Figure, samples: list[Sample]) -> Row:
    """Fit one figure."""
    fitted = [s for s in samples if s.size != experiment.check]
    xs = [float(s.size) ** figure.power for s in fitted]
    ys = [s.values[figure.name] for s in fitted]
    found = line(xs, ys)
    target, error = found.at(experiment.target**figure.power)
    sizes = sorted({s.size for s in fitted})
    means = [_mean([s.values[figure.name] for s in fitted if s.size == size]) for size in sizes]
    return Row(
        experiment.name, figure.name, figure.unit, figure.how, experiment.axis, figure.power, sizes,
        sorted({s.seed for s in fitted}), means, found.slope, found.slope_error, found.intercept, found.r2,
        experiment.target, target, error, *_check_values(experiment, figure, samples, found),
    )  # fmt: skip


def _check_values(
    experiment: Experiment, figure: Figure, samples: list[Sample], found: Fit
) -> tuple[int, float | None, float | None]:
    check_values = [s.values[figure.name] for s in samples if experiment.check and s.size == experiment.check]
    if not check_values:
        return 0, None, None
    return experiment.check, _mean(check_values), found.at(float(experiment.check) ** figure.power)[0]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


@dataclass(slots=True)
class Plan:
    """The experiments to run, at quick or full sizes, with or without checks."""

    experiments: list[Experiment]
    quick: bool = False
    checks: bool = True
    seeds: list[int] = field(default_factory=list)  # replaces each experiment's own
    sizes: list[int] = field(default_factory=list)  # replaces each experiment's own

    def plays(self, experiment: Experiment) -> list[tuple[int, int]]:
        """Return the sizes and seeds at which an experiment runs."""
        sizes = self.sizes or (experiment.quick if self.quick else experiment.sizes)
        seeds = self.seeds or (experiment.seeds[:1] if self.quick else experiment.seeds)
        plays = [(size, seed) for size in sizes for seed in seeds]
        last = experiment.check and self.checks and not self.quick and not self.sizes
        return [*plays, (experiment.check, seeds[0])] if last else plays


def run(plan: Plan, step: Callable[[Sample], None] = lambda sample: None) -> Report:
    """Run all experiments one after the other and fit the figures."""
    report = Report(plan.quick)
    for experiment in plan.experiments:
        experiment_samples = []
        for found in _run_samples(experiment, plan.plays(experiment)):
            if isinstance(found, str):
                report.failed.append(found)
                continue
            experiment_samples.append(found)
            step(found)
        report.samples += experiment_samples
        if len({s.size for s in experiment_samples if s.size != experiment.check}) > 1:
            report.rows += [fit(experiment, figure, experiment_samples) for figure in experiment.figures]
    return report


def _run_samples(experiment: Experiment, plays: list[tuple[int, int]]) -> Iterator[Sample | str]:
    context = get_context("spawn")
    for size, seed in plays:
        with ProcessPoolExecutor(1, mp_context=context) as pool:
            try:
                values: Any = pool.submit(experiment.play, size, seed).result()
            except Exception as problem:  # a failed run is reported; the others continue
                yield f"{experiment.name}, size {size}, seed {seed}: {problem!r:.300}"
                continue
        yield Sample(experiment.name, size, seed, values)
