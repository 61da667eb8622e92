"""Measures membership in virtual time: what it must show, each with its bound, over many seeds.

Each experiment is a fleet, something that happens to it, and a few figures. `PLAIN` runs the same with
the plainest membership that works, to compare with.
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
from lab.virtual.scene import Broken

LIMIT_MS = 60_000.0  # for anything that is waited for: what takes longer counts as this
CORES: dict[str, type[Membership]] = {"swim": Membership, "plain": PlainPing}


@dataclass(slots=True)
class Bound:
    """What a figure has to keep: its p99, or its greatest value, over all samples."""

    figure: str
    most: float
    of: str = "p99"


@dataclass(slots=True)
class Experiment:
    """Something to measure; `play` adds samples by figure for one seed."""

    name: str
    text: str
    play: Callable[[int, int, type[Membership], float], dict[str, list[float]]]
    bounds: list[Bound] = field(default_factory=list)


def settled(size: int, seed: int, core: type[Membership]) -> Fleet:
    """A fleet in which all have found each other, and the news of that has died away."""
    fleet = Fleet(size, seed, core, at_once=True)
    fleet.run(LIMIT_MS, fleet.agreed)
    fleet.run(12_000.0)  # until the news of the join has died away
    return fleet


def _crash(loss: float) -> Callable[[int, int, type[Membership], float], dict[str, list[float]]]:
    def play(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
        fleet = settled(size, seed, core)
        if loss:
            fleet.lose(loss)
            fleet.run(5_000.0)
        took = []
        for name in fleet.rng.sample(fleet.names, 4):
            life = fleet.processes[name].core.incarnation
            fleet.kill(name)
            took.append(fleet.run(LIMIT_MS, partial(fleet.knows_gone, name, life)) / 1000.0)
            fleet.run(3_000.0)
        return {"known_s": took, "false": [float(len(fleet.false_deaths))]}

    return play


def _loss(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled(size, seed, core)
    fleet.lose(0.2)
    fleet.run(minutes * 60_000.0)
    return {"false": [float(len(fleet.false_deaths))]}


def _starved(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled(size, seed, core)
    for name in fleet.rng.sample(fleet.names, size // 5):
        fleet.processes[name].starved = True
    fleet.run(minutes * 60_000.0)
    return {"false": [float(len(fleet.false_deaths))]}


def _heal(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled(size, seed, core)
    names = list(fleet.names)
    fleet.rng.shuffle(names)
    ill = fleet.split(names[: size // 2], names[size // 2 :])
    fleet.run(20_000.0)
    fleet.kill(names[0])
    fleet.kill(names[-1])
    fleet.run(30_000.0)
    fleet.start(names[-1])
    fleet.run(10_000.0)
    fleet.lines.remove_fault(ill)
    return {"agreed_s": [fleet.run(LIMIT_MS, fleet.agreed) / 1000.0]}


def _return(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled(size, seed, core)
    took = []
    for name in fleet.rng.sample(fleet.names, 2):
        life = fleet.processes[name].core.incarnation
        fleet.stop(name)
        fleet.run(LIMIT_MS, partial(fleet.knows_gone, name, life))
        fleet.run(3_000.0)
        fleet.cont(name)
        took.append(fleet.run(LIMIT_MS, fleet.agreed) / 1000.0)
    return {"alive_s": took}


def _quiet(size: int, seed: int, core: type[Membership], minutes: float) -> dict[str, list[float]]:
    fleet = settled(size, seed, core)
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
    return {"agreed_s": [fleet.run(LIMIT_MS, fleet.agreed) / 1000.0]}


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
    """A figure over all seeds."""

    experiment: str
    figure: str
    samples: list[float]
    bound: Bound | None

    def value(self, of: str) -> float:
        """`p50`, `p99` or `max` of the samples; a percentile is one that was seen, the next above."""
        if of == "max":
            return max(self.samples)
        return float(np.percentile(self.samples, float(of[1:]), method="higher"))

    def kept(self) -> bool:
        """Whether its bound holds."""
        return self.bound is None or self.value(self.bound.of) <= self.bound.most


def _one(name: str, size: int, seed: int, core: str, minutes: float) -> dict[str, list[float]] | str:
    try:
        return EXPERIMENTS[name].play(size, seed, CORES[core], minutes)
    except Broken as problem:
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
    """Play the experiments; the figures, and what was broken with its seed."""
    samples: dict[str, dict[str, list[float]]] = {name: {} for name in names}
    broken: list[str] = []
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        waiting: dict[Future[dict[str, list[float]] | str], str] = {
            pool.submit(_one, name, size, seed, core, minutes): name for seed in seeds for name in names
        }
        for done in as_completed(waiting):
            found = done.result()
            step()
            if isinstance(found, str):
                broken.append(found)
                continue
            for figure, values in found.items():
                samples[waiting[done]].setdefault(figure, []).extend(values)
    measured = [
        Measured(
            name, figure, values, next((b for b in EXPERIMENTS[name].bounds if b.figure == figure), None)
        )
        for name in names
        for figure, values in samples[name].items()
    ]
    return measured, sorted(broken)
