"""Records digests of simulation runs, as a regression check for changes that must not alter behaviour.

Run as `python -m lab.behaviour [--seeds N] [--jobs J] [--group G] [--subset] [--check FILE] [--write FILE]`.
Each run, identified by a group and a seed (or a scenario name), is hashed into a short hex digest: every
scheduled delay with its simulated time, and every action, message and record, in order. The delays depend on
the random draws, so one draw more or less changes nearly everything that follows. `lab.observation` defines
what is observed and how it is hashed, `lab.behaviour_runs` what is run.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from lab import behaviour_runs as runs
from lab.observation import Recorder, observing
from lab.scenario import SHIPPED_SCENARIOS

Digests = dict[str, dict[str, str]]  # keyed by group, then by run


@dataclass(frozen=True, slots=True)
class Group:
    """Runs of one kind; those in `subset` are checked in every build."""

    play: Callable[[str, Recorder], None]
    runs: tuple[str, ...]
    subset: tuple[str, ...]


def _seeds(first: int, size: int) -> tuple[str, ...]:
    return tuple(str(seed) for seed in range(first, first + size))


HASH_SEED = "0"
LARGE_SCENARIOS = ("fleet200",)  # left out: each takes minutes
SCENARIOS = tuple(
    sorted(path.stem for path in SHIPPED_SCENARIOS.glob("*.toml") if path.stem not in LARGE_SCENARIOS)
)
GROUPS: dict[str, Group] = {
    "control": Group(runs.play_control, _seeds(3_000, 300), ("3003", "3004")),
    "quotas": Group(runs.play_quotas, _seeds(0, 36), ("0", "2")),
    "scenarios": Group(runs.play_scenario, SCENARIOS, ("calm",)),
    "members": Group(runs.play_members, _seeds(0, 24), ("0",)),
    "cells": Group(runs.play_cells, _seeds(0, 8), ("0",)),
    "leases": Group(runs.play_leases, _seeds(0, 24), ("0", "1")),
    "shared": Group(runs.play_shared, _seeds(0, 24), ("0", "1")),
    "explorer": Group(runs.play_explorer, tuple(runs.EXPLORED), ("ledger", "voters")),
    "balancer": Group(runs.play_balancer, _seeds(0, 200), _seeds(0, 10)),
    "controller": Group(runs.play_controller, _seeds(0, 100), _seeds(0, 20)),
}


def digest_of(group: str, run: str) -> str:
    """Execute one run in this process under observation and return its digest."""
    recorder = Recorder()
    with observing(recorder):
        GROUPS[group].play(run, recorder)
    return recorder.digest()


def _timed(task: tuple[str, str]) -> tuple[str, float]:
    began = time.perf_counter()
    return digest_of(*task), time.perf_counter() - began


def record(tasks: Sequence[tuple[str, str]], jobs: int) -> Digests:
    """Return the digests of the runs, using `jobs` processes; prints the time per group to standard error."""
    if jobs > 1:
        with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
            results = list(pool.map(_timed, tasks))
    else:
        results = [_timed(task) for task in tasks]
    digests: Digests = {}
    seconds: dict[str, float] = {}
    for (group, run), (digest, took_s) in zip(tasks, results, strict=True):
        digests.setdefault(group, {})[run] = digest
        seconds[group] = seconds.get(group, 0.0) + took_s
    for group, took_s in seconds.items():
        print(f"{group}: {len(digests[group])} runs, {took_s:.1f} s of one core", file=sys.stderr)
    return digests


def differences(recorded: Digests, found: Digests) -> list[str]:
    """Describe the runs whose digest differs from the recorded one or has none recorded."""
    different = []
    for group, digests_of in found.items():
        for run, digest in digests_of.items():
            expected = recorded.get(group, {}).get(run)
            if expected != digest:
                what = "not recorded" if expected is None else f"{expected} recorded"
                different.append(f"{group} {run}: {what}, {digest} found")
    return different


def main(arguments: Sequence[str] | None = None) -> int:
    """Print, check or write digests; returns 1 if any digest differs from the one in the file."""
    parser = argparse.ArgumentParser(
        prog="python -m lab.behaviour", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--seeds", type=int, help="maximum number of runs per group")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument(
        "--group", action="append", choices=tuple(GROUPS), help="run only this group; repeatable"
    )
    parser.add_argument("--subset", action="store_true", help="only the runs that every build checks")
    parser.add_argument("--check", type=Path, help="compare with the digests in this file")
    parser.add_argument("--write", type=Path, help="add the digests to this file")
    options = parser.parse_args(arguments)
    tasks = [
        (name, run)
        for name in options.group or GROUPS
        for run in (GROUPS[name].subset if options.subset else GROUPS[name].runs)[: options.seeds]
    ]
    found = record(tasks, options.jobs)
    if options.write is not None:
        digests: Digests = json.loads(options.write.read_text()) if options.write.exists() else {}
        for group, digests_of in found.items():
            merged = digests.get(group, {}) | digests_of
            digests[group] = {run: merged[run] for run in GROUPS[group].runs if run in merged}
        options.write.write_text(json.dumps(digests, indent=1) + "\n", encoding="utf-8")
    if options.check is not None:
        different = differences(json.loads(options.check.read_text(encoding="utf-8")), found)
        print(*different, f"{len(tasks)} runs, {len(different)} differ", sep="\n")
        return 1 if different else 0
    if options.write is None:
        print(json.dumps(found, indent=1))
    return 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # The scenario `quotas` iterates over sets of names, whose order depends on the hash seed.
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "lab.behaviour", *sys.argv[1:]], environment)
    sys.exit(main())
