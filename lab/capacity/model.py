"""An experiment: sizes, what is measured at each, and the line that leads from there to the target size.

Each sample is taken in a fresh process, one at a time, so memory is a process's own and no sample warms the
next. A fit says what the slope is; a *check* plays one greater size, which the fit has not seen.
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

COUNTED, TIMED = "counted", "timed"  # the same each time for a seed; or by the machine's clock


@dataclass(frozen=True, slots=True)
class Figure:
    """One thing that is measured: its unit, how it is got, and the power of the size that it goes by."""

    name: str
    unit: str
    how: str = COUNTED
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class Experiment:
    """Something to measure at several sizes; `play(size, seed)` gives a value for each figure."""

    name: str
    text: str
    axis: str  # what the size is a number of
    target: float  # the size to design for
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    seeds: tuple[int, ...]
    figures: tuple[Figure, ...]
    play: Callable[[int, int], dict[str, float]]
    check: int = 0  # a greater size, played once and not fitted; 0: none


class Sample(Struct, frozen=True):
    """What one play gave."""

    experiment: str
    size: int
    seed: int
    values: dict[str, float]


class Row(Struct, frozen=True):
    """A figure's line, and what it says at the target."""

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
    check: float | None = None  # measured there, if anything was,
    check_fit: float | None = None  # and what the line says


class Report(Struct):
    """All that a call of the command measured."""

    quick: bool
    samples: list[Sample] = []
    rows: list[Row] = []
    failed: list[str] = []  # plays that came to no end, each with its size, seed and error

    def write(self) -> bytes:
        """As JSON."""
        return msgspec.json.format(msgspec.json.encode(self), indent=1)


def read_report(data: bytes) -> Report:
    """A report that was written."""
    return msgspec.json.decode(data, type=Report)


def fit(experiment: Experiment, figure: Figure, samples: list[Sample]) -> Row:
    """The line of one figure."""
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
        experiment.target, target, error, *_checked(experiment, figure, samples, found),
    )  # fmt: skip


def _checked(
    experiment: Experiment, figure: Figure, samples: list[Sample], found: Fit
) -> tuple[int, float | None, float | None]:
    seen = [s.values[figure.name] for s in samples if experiment.check and s.size == experiment.check]
    if not seen:
        return 0, None, None
    return experiment.check, _mean(seen), found.at(float(experiment.check) ** figure.power)[0]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


@dataclass(slots=True)
class Plan:
    """What is to be played: experiments, at quick or whole sizes, with checks or without."""

    experiments: list[Experiment]
    quick: bool = False
    checks: bool = True
    seeds: list[int] = field(default_factory=list)  # instead of each experiment's own
    sizes: list[int] = field(default_factory=list)  # as well

    def plays(self, experiment: Experiment) -> list[tuple[int, int]]:
        """Sizes and seeds of an experiment."""
        sizes = self.sizes or (experiment.quick if self.quick else experiment.sizes)
        seeds = self.seeds or (experiment.seeds[:1] if self.quick else experiment.seeds)
        plays = [(size, seed) for size in sizes for seed in seeds]
        last = experiment.check and self.checks and not self.quick and not self.sizes
        return [*plays, (experiment.check, seeds[0])] if last else plays


def run(plan: Plan, step: Callable[[Sample], None] = lambda sample: None) -> Report:
    """Play all, one after the other, and fit."""
    report = Report(plan.quick)
    for experiment in plan.experiments:
        mine = []
        for found in _play(experiment, plan.plays(experiment)):
            if isinstance(found, str):
                report.failed.append(found)
                continue
            mine.append(found)
            step(found)
        report.samples += mine
        if len({s.size for s in mine if s.size != experiment.check}) > 1:
            report.rows += [fit(experiment, figure, mine) for figure in experiment.figures]
    return report


def _play(experiment: Experiment, plays: list[tuple[int, int]]) -> Iterator[Sample | str]:
    context = get_context("spawn")
    for size, seed in plays:
        with ProcessPoolExecutor(1, mp_context=context) as pool:
            try:
                values: Any = pool.submit(experiment.play, size, seed).result()
            except Exception as problem:  # one play that fails is said, and the others go on
                yield f"{experiment.name}, size {size}, seed {seed}: {problem!r:.300}"
                continue
        yield Sample(experiment.name, size, seed, values)
