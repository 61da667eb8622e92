"""Measures cells in virtual time: what a member costs, how soon a crash is known, and the directory's load.

One service in one region is cut into cells, or is flat, with the same seeds; bytes are real, processor time
is that of the cores and of reading and writing bytes on this machine, memory is that of the objects that a
core holds. The directory's processes are played with cells that only ask and report (`lab.virtual.askers`),
so its load is measured by the number of cells, and a line leads to the size to design for.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from functools import partial
from multiprocessing import get_context
from types import FunctionType, MethodType, ModuleType
from typing import Any

import msgspec
import numpy as np
from msgspec import Struct

from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.membership.core import Membership
from lab.fit import line
from lab.virtual.askers import Askers
from lab.virtual.cell_oracle import cell_problems, cells
from lab.virtual.cell_processes import Hosted, Member
from lab.virtual.cells import CellFleet
from lab.virtual.meeting import Meeting

MOST = 100  # members of a cell
APART_MS = 20.0  # between starts
SETTLE_MS, MEASURED_MS, LIMIT_MS = 30_000.0, 30_000.0, 60_000.0
KILLED, WALKED = 4, 8  # members a play: that crash; whose memory is measured
GUIDES = 54
TARGET_CELLS, TARGET_MEMBERS = 4_100, 26_000
# What members say with the directory, and it with them.
TALK = {"LookupRequest", "LookupResponse", "SummaryReport"}


class Sample(Struct):
    """What one play gave."""

    experiment: str
    size: int
    seed: int
    values: dict[str, list[float]]


class Row(Struct):
    """A figure at one size, over all seeds."""

    experiment: str
    size: int
    figure: str
    mean: float
    least: float
    most: float  # of so many samples their p99 too
    p50: float
    samples: int


class Reach(Struct):
    """A figure of a directory's process: its line by cells, and what that says of the size to design for."""

    figure: str
    slope: float
    slope_error: float
    intercept: float
    r2: float
    at_target: float
    at_target_error: float
    measured: dict[int, float]  # means by cells


class Report(Struct):
    """All that was measured."""

    rows: list[Row] = []
    directory: list[Reach] = []
    samples: list[Sample] = []
    failed: list[str] = []


def deep_bytes(whole: object, without: tuple[type, ...] = ()) -> int:
    """What an object and all that it holds take, each thing once."""
    seen: set[int] = set()
    stack, size = [whole], 0
    while stack:
        thing = stack.pop()
        if id(thing) in seen or isinstance(thing, (type, ModuleType, FunctionType, *without)):
            continue
        seen.add(id(thing))
        size += sys.getsizeof(thing)
        if isinstance(thing, dict):
            stack += [*thing.keys(), *thing.values()]
        elif isinstance(thing, (list, tuple, set, frozenset)):
            stack += thing
        elif isinstance(thing, MethodType):
            stack.append(thing.__self__)
        else:
            stack += list(getattr(thing, "__dict__", {}).values())
            slots = [slot for kind in type(thing).__mro__ for slot in getattr(kind, "__slots__", ())]
            stack += [getattr(thing, slot) for slot in slots if hasattr(thing, slot)]
    return size


# Plays: each gives values by figure


def _settled(size: int, seed: int, core: type[Membership], loss: float = 0.0) -> CellFleet:
    flat = not issubclass(core, Hosted)
    fleet = CellFleet(
        {"web": size}, seed, most=MOST, directory=0 if flat else 3, core=core, apart_ms=APART_MS
    )  # fmt: skip
    fleet.run(APART_MS * size + SETTLE_MS)
    fleet.run(LIMIT_MS, lambda: _well(fleet, flat), every_ms=1_000.0)
    if not _well(fleet, flat):
        raise AssertionError(f"not settled, size {size}, seed {seed}")
    if loss:
        fleet.lose(loss)
        fleet.run(5_000.0)
    return fleet


def _well(fleet: CellFleet, flat: bool) -> bool:
    if flat:
        return all(process.core.alive_count() == len(fleet.names) for process in fleet.members())
    return not cell_problems(fleet)


def _quiet(core: type[Membership], size: int, seed: int) -> dict[str, list[float]]:
    """What a member costs while nothing happens, a second of its time."""
    fleet = _settled(size, seed, core)
    for counter in (fleet.kinds, fleet.counts):
        counter.clear()
    fleet.cpu.clear()
    fleet.timed = True
    fleet.run(MEASURED_MS)
    share = 1000.0 / MEASURED_MS / size
    of = {"datagrams": 0, "streams": 0, "directory": 0}
    messages = dict.fromkeys(of, 0)
    for kind, size_of in fleet.kinds.items():
        where = "streams" if kind == "State" else "directory" if kind in TALK else "datagrams"
        if kind not in ("PullRequest", "PullResponse"):
            of[where] += size_of
            messages[where] += fleet.counts[kind]
    chosen = fleet.rng.sample(fleet.members(), min(WALKED, size))
    found = {f"{kind}_bytes_s": [value * share] for kind, value in of.items()}
    found |= {f"{kind}_messages_s": [value * share] for kind, value in messages.items()}
    return found | {
        "core_cpu_us_s": [1e6 * fleet.cpu["member core"] * share],
        "wire_cpu_us_s": [1e6 * fleet.cpu["member wire"] * share],
        "memory_kb": [
            deep_bytes([m.core, m.census], (Meeting, Member)) / 1024.0 for m in chosen
        ],
        "cells": [float(len(cells(fleet)))] if issubclass(core, Hosted) else [1.0],
        "false": [float(len(fleet.false_deaths))],
    }  # fmt: skip


def _crash(core: type[Membership], loss: float, size: int, seed: int) -> dict[str, list[float]]:
    """How long until a crash is known to all of the cell (of a flat fleet: to all)."""
    fleet = _settled(size, seed, core, loss)
    took = []
    for name in fleet.rng.sample([member.name for member in fleet.members()], KILLED):
        life = fleet.processes[name].core.incarnation
        fleet.kill(name)
        took.append(fleet.run(LIMIT_MS, partial(fleet.knows_gone, name, life)) / 1000.0)
        fleet.run(3_000.0)
    return {"known_s": took, "false": [float(len(fleet.false_deaths))]}


def _directory(cells: int, seed: int) -> dict[str, list[float]]:
    """What a process of the directory costs, a second of its time, with so many cells of the usual size."""
    askers = Askers(cells, TARGET_MEMBERS / TARGET_CELLS, seed, GUIDES)
    askers.run(2.0 * MAX_REPORT_AGE_MS)
    for counter in (askers.kinds, askers.counts, askers.bytes, askers.datagrams, askers.taken):
        counter.clear()
    askers.stream_bytes.clear()
    askers.cpu.clear()
    askers.timed = True
    askers.run(MEASURED_MS)
    share = 1000.0 / MEASURED_MS / GUIDES
    guides = askers.directory()
    names = [guide.name for guide in guides]
    held = [
        deep_bytes([g.core, g.directory], (Meeting,)) / 1024.0 for g in askers.rng.sample(guides, 3)
    ]  # fmt: skip
    return {
        "out_bytes_s": [sum(askers.bytes[n] for n in names) * share],
        "in_bytes_s": [sum(askers.taken[n] for n in names) * share],
        "out_messages_s": [sum(askers.datagrams[n] for n in names) * share],
        "replication_bytes_s": [(askers.kinds["PullRequest"] + askers.kinds["PullResponse"]) * share],
        "answers_bytes_s": [askers.kinds["LookupResponse"] * share],
        "cpu_ms_s": [1e3 * (askers.cpu["directory core"] + askers.cpu["directory wire"]) * share],
        "memory_kb": [sum(held) / len(held)],
        "known_cells": [float(min(askers.known(guide) for guide in guides))],
        "sure_share": [askers.sure_share()],
    }


PLAYS: dict[str, Callable[[int, int], dict[str, list[float]]]] = {
    "quiet": partial(_quiet, Hosted),
    "quiet-flat": partial(_quiet, Membership),
    "crash": partial(_crash, Hosted, 0.0),
    "crash-loss": partial(_crash, Hosted, 0.2),
    "crash-flat": partial(_crash, Membership, 0.0),
    "crash-loss-flat": partial(_crash, Membership, 0.2),
    "directory": _directory,
}


def _one(experiment: str, size: int, seed: int) -> Sample | str:
    try:
        return Sample(experiment, size, seed, PLAYS[experiment](size, seed))
    except AssertionError as problem:
        return f"{experiment}, size {size}, seed {seed}: {problem}"


def measure(
    experiments: Iterable[str], sizes: Iterable[int], seeds: Iterable[int], jobs: int = 1,
    step: Callable[[], None] = lambda: None,
) -> Report:  # fmt: skip
    """Play each experiment at each size with each seed, each in a process of its own."""
    plays = [(e, size, seed) for e in experiments for size in sizes for seed in seeds]
    report = Report()
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        waiting: list[Future[Sample | str]] = [pool.submit(_one, *play) for play in plays]
        for done in as_completed(waiting):
            found = done.result()
            if isinstance(found, Sample):
                report.samples.append(found)
            else:
                report.failed.append(found)
            step()
    return summed_up(report)


def summed_up(report: Report) -> Report:
    """Rows of all samples, and the directory's lines."""
    values: dict[tuple[str, int, str], list[float]] = {}
    report.samples.sort(key=lambda sample: (sample.experiment, sample.size, sample.seed))
    for sample in report.samples:
        for figure, some in sample.values.items():
            values.setdefault((sample.experiment, sample.size, figure), []).extend(some)
    report.rows = [
        Row(*key, float(np.mean(v)), min(v), max(v), float(np.median(v)), len(v)) for key, v in values.items()
    ]
    report.directory = list(_reaches([row for row in report.rows if row.experiment == "directory"]))
    return report


def _reaches(rows: list[Row]) -> Iterable[Reach]:
    for figure in dict.fromkeys(row.figure for row in rows):
        by_size = {row.size: row.mean for row in rows if row.figure == figure}
        if len(by_size) > 1:
            fit = line(list(by_size), list(by_size.values()))
            value, error = fit.at(TARGET_CELLS)
            yield Reach(
                figure, fit.slope, fit.slope_error, fit.intercept, fit.r2, value, error, by_size
            )  # fmt: skip


def merged(reports: Iterable[Report]) -> Report:
    """Several runs as one."""
    whole = Report()
    for report in reports:
        whole.samples += report.samples
        whole.failed += report.failed
    return summed_up(whole)


def main(arguments: list[str] | None = None) -> None:
    """Measure, and print the report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiments", nargs="+", choices=list(PLAYS))
    parser.add_argument("--sizes", type=int, nargs="+", required=True)
    parser.add_argument("--seeds", type=int, nargs="+", default=[11])
    parser.add_argument("--jobs", type=int, default=1)
    asked: Any = parser.parse_args(arguments)
    report = measure(asked.experiments, asked.sizes, asked.seeds, asked.jobs)
    print(msgspec.json.format(msgspec.json.encode(report), indent=1).decode())


if __name__ == "__main__":
    main()
