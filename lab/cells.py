"""Measures cells in virtual time: cost per member, crash detection time and directory load.

One service in one region is divided into cells, or is flat, with the same seeds. Bytes are real, CPU time is
that of the protocol cores and of encoding and decoding on this machine, and memory is that of the objects
held by a core. Directory processes run against cells that only send lookups and reports
(`lab.virtual.askers`), so that their load can be measured by number of cells and extrapolated linearly to the
target size.
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
from lab.virtual.askers import DirectoryLoadFleet
from lab.virtual.cell_oracle import cell_problems, cells
from lab.virtual.cell_processes import HostedCellMembership, Member
from lab.virtual.cells import CellFleet
from lab.virtual.meeting import MembershipNetwork

MAX_CELL_MEMBERS = 100  # members per cell at most
START_INTERVAL_MS = 20.0  # between member starts
SETTLE_MS, MEASURED_MS, TIMEOUT_MS = 30_000.0, 30_000.0, 60_000.0
CRASHED_MEMBERS, MEASURED_MEMBERS = 4, 8  # members per run that crash; members whose memory is measured
DIRECTORY_PROCESSES = 54
TARGET_CELLS, TARGET_MEMBERS = 4_100, 26_000
# Message kinds exchanged between members and the directory.
DIRECTORY_MESSAGES = {"LookupRequest", "LookupResponse", "SummaryReport"}


class Sample(Struct):
    """The values of one run."""

    experiment: str
    size: int
    seed: int
    values: dict[str, list[float]]


class Row(Struct):
    """A figure at one size, aggregated over all seeds."""

    experiment: str
    size: int
    figure: str
    mean: float
    least: float
    most: float  # equals the p99 for the sample counts in use
    p50: float
    samples: int


class DirectoryFit(Struct):
    """Linear fit of a directory figure over the number of cells, with its value at the target size."""

    figure: str
    slope: float
    slope_error: float
    intercept: float
    r2: float
    at_target: float
    at_target_error: float
    measured: dict[int, float]  # mean by number of cells


class Report(Struct):
    """All measurements."""

    rows: list[Row] = []
    directory: list[DirectoryFit] = []
    samples: list[Sample] = []
    failed: list[str] = []


def deep_bytes(whole: object, excluded: tuple[type, ...] = ()) -> int:
    """Return the memory of an object and everything reachable from it, counting each object once."""
    seen: set[int] = set()
    stack, size = [whole], 0
    while stack:
        current = stack.pop()
        if id(current) in seen or isinstance(current, (type, ModuleType, FunctionType, *excluded)):
            continue
        seen.add(id(current))
        size += sys.getsizeof(current)
        if isinstance(current, dict):
            stack += [*current.keys(), *current.values()]
        elif isinstance(current, (list, tuple, set, frozenset)):
            stack += current
        elif isinstance(current, MethodType):
            stack.append(current.__self__)
        else:
            stack += list(getattr(current, "__dict__", {}).values())
            slots = [slot for kind in type(current).__mro__ for slot in getattr(kind, "__slots__", ())]
            stack += [getattr(current, slot) for slot in slots if hasattr(current, slot)]
    return size


# Experiments: each returns values by figure


def _settled_fleet(size: int, seed: int, core: type[Membership], loss: float = 0.0) -> CellFleet:
    flat = not issubclass(core, HostedCellMembership)
    fleet = CellFleet(
        {"web": size}, seed, most=MAX_CELL_MEMBERS, directory=0 if flat else 3, core=core,
        apart_ms=START_INTERVAL_MS,
    )  # fmt: skip
    fleet.run(START_INTERVAL_MS * size + SETTLE_MS)
    fleet.run(TIMEOUT_MS, lambda: _is_healthy(fleet, flat), every_ms=1_000.0)
    if not _is_healthy(fleet, flat):
        raise AssertionError(f"not settled, size {size}, seed {seed}")
    if loss:
        fleet.lose(loss)
        fleet.run(5_000.0)
    return fleet


def _is_healthy(fleet: CellFleet, flat: bool) -> bool:
    if flat:
        return all(process.core.alive_count() == len(fleet.names) for process in fleet.members())
    return not cell_problems(fleet)


def _quiet(core: type[Membership], size: int, seed: int) -> dict[str, list[float]]:
    """Measure the cost per member and second while the membership is stable."""
    fleet = _settled_fleet(size, seed, core)
    for counter in (fleet.kinds, fleet.counts):
        counter.clear()
    fleet.cpu.clear()
    fleet.timed = True
    fleet.run(MEASURED_MS)
    share = 1000.0 / MEASURED_MS / size
    bytes_by_channel = {"datagrams": 0, "streams": 0, "directory": 0}
    messages = dict.fromkeys(bytes_by_channel, 0)
    for kind, byte_count in fleet.kinds.items():
        channel = "streams" if kind == "State" else "directory" if kind in DIRECTORY_MESSAGES else "datagrams"
        if kind not in ("PullRequest", "PullResponse"):
            bytes_by_channel[channel] += byte_count
            messages[channel] += fleet.counts[kind]
    chosen = fleet.rng.sample(fleet.members(), min(MEASURED_MEMBERS, size))
    found = {f"{kind}_bytes_s": [value * share] for kind, value in bytes_by_channel.items()}
    found |= {f"{kind}_messages_s": [value * share] for kind, value in messages.items()}
    return found | {
        "core_cpu_us_s": [1e6 * fleet.cpu["member core"] * share],
        "wire_cpu_us_s": [1e6 * fleet.cpu["member wire"] * share],
        "memory_kb": [
            deep_bytes([m.core, m.census], (MembershipNetwork, Member)) / 1024.0 for m in chosen
        ],
        "cells": [float(len(cells(fleet)))] if issubclass(core, HostedCellMembership) else [1.0],
        "false": [float(len(fleet.false_deaths))],
    }  # fmt: skip


def _crash(core: type[Membership], loss: float, size: int, seed: int) -> dict[str, list[float]]:
    """Measure the time until a crash is known to all members of the cell (of the fleet, if it is flat)."""
    fleet = _settled_fleet(size, seed, core, loss)
    durations = []
    for name in fleet.rng.sample([member.name for member in fleet.members()], CRASHED_MEMBERS):
        life = fleet.processes[name].core.incarnation
        fleet.kill(name)
        durations.append(fleet.run(TIMEOUT_MS, partial(fleet.knows_gone, name, life)) / 1000.0)
        fleet.run(3_000.0)
    return {"known_s": durations, "false": [float(len(fleet.false_deaths))]}


def _directory(cells: int, seed: int) -> dict[str, list[float]]:
    """Measure the cost per directory process and second with this many cells of the usual size."""
    askers = DirectoryLoadFleet(cells, TARGET_MEMBERS / TARGET_CELLS, seed, DIRECTORY_PROCESSES)
    askers.run(2.0 * MAX_REPORT_AGE_MS)
    for counter in (askers.kinds, askers.counts, askers.bytes, askers.datagrams, askers.received_bytes):
        counter.clear()
    askers.stream_bytes.clear()
    askers.cpu.clear()
    askers.timed = True
    askers.run(MEASURED_MS)
    share = 1000.0 / MEASURED_MS / DIRECTORY_PROCESSES
    processes = askers.directory()
    names = [directory_process.name for directory_process in processes]
    held = [
        deep_bytes([g.core, g.directory], (MembershipNetwork,)) / 1024.0
        for g in askers.rng.sample(processes, 3)
    ]  # fmt: skip
    return {
        "out_bytes_s": [sum(askers.bytes[n] for n in names) * share],
        "in_bytes_s": [sum(askers.received_bytes[n] for n in names) * share],
        "out_messages_s": [sum(askers.datagrams[n] for n in names) * share],
        "replication_bytes_s": [(askers.kinds["PullRequest"] + askers.kinds["PullResponse"]) * share],
        "answers_bytes_s": [askers.kinds["LookupResponse"] * share],
        "cpu_ms_s": [1e3 * (askers.cpu["directory core"] + askers.cpu["directory wire"]) * share],
        "memory_kb": [sum(held) / len(held)],
        "known_cells": [float(min(askers.known(directory_process) for directory_process in processes))],
        "sure_share": [askers.reliable_share()],
    }


EXPERIMENTS: dict[str, Callable[[int, int], dict[str, list[float]]]] = {
    "quiet": partial(_quiet, HostedCellMembership),
    "quiet-flat": partial(_quiet, Membership),
    "crash": partial(_crash, HostedCellMembership, 0.0),
    "crash-loss": partial(_crash, HostedCellMembership, 0.2),
    "crash-flat": partial(_crash, Membership, 0.0),
    "crash-loss-flat": partial(_crash, Membership, 0.2),
    "directory": _directory,
}


def _run_experiment(experiment: str, size: int, seed: int) -> Sample | str:
    try:
        return Sample(experiment, size, seed, EXPERIMENTS[experiment](size, seed))
    except AssertionError as problem:
        return f"{experiment}, size {size}, seed {seed}: {problem}"


def measure(
    experiments: Iterable[str], sizes: Iterable[int], seeds: Iterable[int], jobs: int = 1,
    step: Callable[[], None] = lambda: None,
) -> Report:  # fmt: skip
    """Run each experiment at each size with each seed, each run in its own process."""
    runs = [(e, size, seed) for e in experiments for size in sizes for seed in seeds]
    report = Report()
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        waiting: list[Future[Sample | str]] = [pool.submit(_run_experiment, *run) for run in runs]
        for done in as_completed(waiting):
            found = done.result()
            if isinstance(found, Sample):
                report.samples.append(found)
            else:
                report.failed.append(found)
            step()
    return with_summary(report)


def with_summary(report: Report) -> Report:
    """Compute the rows from all samples, and the linear fits of the directory figures."""
    values: dict[tuple[str, int, str], list[float]] = {}
    report.samples.sort(key=lambda sample: (sample.experiment, sample.size, sample.seed))
    for sample in report.samples:
        for figure, samples in sample.values.items():
            values.setdefault((sample.experiment, sample.size, figure), []).extend(samples)
    report.rows = [
        Row(*key, float(np.mean(v)), min(v), max(v), float(np.median(v)), len(v)) for key, v in values.items()
    ]
    report.directory = list(_directory_fits([row for row in report.rows if row.experiment == "directory"]))
    return report


def _directory_fits(rows: list[Row]) -> Iterable[DirectoryFit]:
    for figure in dict.fromkeys(row.figure for row in rows):
        by_size = {row.size: row.mean for row in rows if row.figure == figure}
        if len(by_size) > 1:
            fit = line(list(by_size), list(by_size.values()))
            value, error = fit.at(TARGET_CELLS)
            yield DirectoryFit(
                figure, fit.slope, fit.slope_error, fit.intercept, fit.r2, value, error, by_size
            )  # fmt: skip


def merged(reports: Iterable[Report]) -> Report:
    """Merge several reports into one."""
    whole = Report()
    for report in reports:
        whole.samples += report.samples
        whole.failed += report.failed
    return with_summary(whole)


def main(arguments: list[str] | None = None) -> None:
    """Run the measurement and print the report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiments", nargs="+", choices=list(EXPERIMENTS))
    parser.add_argument("--sizes", type=int, nargs="+", required=True)
    parser.add_argument("--seeds", type=int, nargs="+", default=[11])
    parser.add_argument("--jobs", type=int, default=1)
    options: Any = parser.parse_args(arguments)
    report = measure(options.experiments, options.sizes, options.seeds, options.jobs)
    print(msgspec.json.format(msgspec.json.encode(report), indent=1).decode())


if __name__ == "__main__":
    main()
