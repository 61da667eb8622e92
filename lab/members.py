"""Measures membership in virtual time over many seeds, and checks the figures against their bounds.

Each experiment consists of a fleet, an event such as a crash or a partition, and a few figures. The core
`plain` runs the same experiments with the simplest working membership protocol, as a baseline.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from functools import partial
from multiprocessing import get_context

import numpy as np

from dunlinloft.fleet.membership.core import Membership
from lab.virtual.fleet import Fleet
from lab.virtual.plain import PlainPing
from lab.virtual.scene import InvariantViolation

TIMEOUT_MS = 60_000.0  # longest wait; what takes longer counts as this value
CORES: dict[str, type[Membership]] = {"swim": Membership, "plain": PlainPing}


@dataclass(slots=True)
class Bound:
    """An upper bound on a figure's p99 or maximum over all samples."""

    figure: str
    most: float
    of: str = "p99"


@dataclass(slots=True)
class Experiment:
    """An experiment; `play` returns the samples of one seed by figure."""

    name: str
    text: str
    play: Callable[[int, int, type[Membership], float], dict[str, list[float]]]
    bounds: list[Bound] = field(default_factory=list)


def settled_fleet(size: int, seed: int, core: type[Membership]) -> Fleet:
    """Return a fleet in which all members know each other and the join updates are fully disseminated."""
    fleet = Fleet(size, seed, core, at_once=True)
    fleet.run(TIMEOUT_MS, fleet.agreed)
    fleet.run(12_000.0)  # until the join updates are no longer disseminated
    return fleet


def _crash(loss: float) -> Callable[[int, int, type[Membership], float], dict[str, list[float]]]:
    def play(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
        fleet = settled_fleet(size, seed, core)
        if loss:
            fleet.lose(loss)
            fleet.run(5_000.0)
        durations = []
        for name in fleet.rng.sample(fleet.names, 4):
            incarnation = fleet.processes[name].core.incarnation
            fleet.kill(name)
            durations.append(fleet.run(TIMEOUT_MS, partial(fleet.knows_gone, name, incarnation)) / 1000.0)
            fleet.run(3_000.0)
        return {"known_s": durations, "false": [float(len(fleet.false_deaths))]}

    return play


def _loss(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled_fleet(size, seed, core)
    fleet.lose(0.2)
    fleet.run(minutes * 60_000.0)
    return {"false": [float(len(fleet.false_deaths))]}


def _starved(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled_fleet(size, seed, core)
    for name in fleet.rng.sample(fleet.names, size // 5):
        fleet.processes[name].starved = True
    fleet.run(minutes * 60_000.0)
    return {"false": [float(len(fleet.false_deaths))]}


def _heal(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled_fleet(size, seed, core)
    names = list(fleet.names)
    fleet.rng.shuffle(names)
    partition = fleet.split(names[: size // 2], names[size // 2 :])
    fleet.run(20_000.0)
    fleet.kill(names[0])
    fleet.kill(names[-1])
    fleet.run(30_000.0)
    fleet.start(names[-1])
    fleet.run(10_000.0)
    fleet.lines.remove_fault(partition)
    return {"agreed_s": [fleet.run(TIMEOUT_MS, fleet.agreed) / 1000.0]}


def _return(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled_fleet(size, seed, core)
    durations = []
    for name in fleet.rng.sample(fleet.names, 2):
        incarnation = fleet.processes[name].core.incarnation
        fleet.stop(name)
        fleet.run(TIMEOUT_MS, partial(fleet.knows_gone, name, incarnation))
        fleet.run(3_000.0)
        fleet.cont(name)
        durations.append(fleet.run(TIMEOUT_MS, fleet.agreed) / 1000.0)
    return {"alive_s": durations}


def _quiet(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled_fleet(size, seed, core)
    fleet.bytes.clear()
    fleet.datagrams.clear()
    fleet.stream_bytes.clear()
    fleet.run(30_000.0)
    return {
        "bytes_s": [sum(fleet.bytes.values()) / size / 30.0],
        "messages_s": [sum(fleet.datagrams.values()) / size / 30.0],
        "stream_bytes_s": [sum(fleet.stream_bytes.values()) / size / 30.0],
    }


def _start(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = Fleet(size, seed, core, at_once=True)
    return {"agreed_s": [fleet.run(TIMEOUT_MS, fleet.agreed) / 1000.0]}


EXPERIMENTS = {
    experiment.name: experiment
    for experiment in (
        Experiment(
            "crash", "a crash known to all", _crash(0.0), [Bound("known_s", 3.0), Bound("false", 0, "max")]
        ),
        Experiment(
            "crash-loss",
            "the same with 20% loss",
            _crash(0.2),
            [Bound("known_s", 6.0), Bound("false", 0, "max")],
        ),
        Experiment("loss", "false deaths with 20% loss", _loss, [Bound("false", 0, "max")]),
        Experiment("starved", "false deaths, a fifth starved", _starved, [Bound("false", 0, "max")]),
        Experiment("heal", "views agree after a 60 s split", _heal, [Bound("agreed_s", 10.0)]),
        Experiment("return", "a buried member is alive for all", _return, [Bound("alive_s", 3.0)]),
        Experiment("quiet", "cost a member and second", _quiet, [Bound("bytes_s", 2000.0)]),
        Experiment("start", "first agreement, all at once", _start, [Bound("agreed_s", 10.0)]),
    )
}


@dataclass(slots=True)
class Measured:
    """A figure's samples over all seeds."""

    experiment: str
    figure: str
    samples: list[float]
    bound: Bound | None

    def value(self, of: str) -> float:
        """Return `p50`, `p99` or `max` of the samples; a percentile is the next higher sample."""
        if of == "max":
            return max(self.samples)
        return float(np.percentile(self.samples, float(of[1:]), method="higher"))

    def kept(self) -> bool:
        """Return whether the bound holds."""
        return self.bound is None or self.value(self.bound.of) <= self.bound.most


def _run_experiment(
    name: str, size: int, seed: int, core: str, minutes: float
) -> dict[str, list[float]] | str:
    try:
        return EXPERIMENTS[name].play(size, seed, CORES[core], minutes)
    except InvariantViolation as problem:
        return f"{name}: {problem}"


def measure(
    names: list[str],
    size: int,
    seeds: list[int],
    core: str,
    minutes: float,
    jobs: int,
    step: Callable[[], None],
) -> tuple[list[Measured], list[str]]:
    """Run the experiments; returns the figures, and the rule violations with their seeds."""
    samples: dict[str, dict[str, list[float]]] = {name: {} for name in names}
    violations: list[str] = []
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        experiments_by_future: dict[Future[dict[str, list[float]] | str], str] = {
            pool.submit(_run_experiment, name, size, seed, core, minutes): name
            for seed in seeds
            for name in names
        }
        for future in as_completed(experiments_by_future):
            result = future.result()
            step()
            if isinstance(result, str):
                violations.append(result)
                continue
            for figure, values in result.items():
                samples[experiments_by_future[future]].setdefault(figure, []).extend(values)
    measured = [
        Measured(
            name, figure, values, next((b for b in EXPERIMENTS[name].bounds if b.figure == figure), None)
        )
        for name in names
        for figure, values in samples[name].items()
    ]
    return measured, sorted(violations)
