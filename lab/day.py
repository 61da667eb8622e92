"""Runs one seed of a scenario and returns its result."""

from __future__ import annotations

import contextlib
import gc
import hashlib
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO

from lab import records
from lab.figures import Figures
from lab.oracle import Oracle
from lab.plan import Plan
from lab.results import Result, missed
from lab.scenario import Scenario
from lab.virtual.host import VirtualHost

Step = Callable[[float], None]  # progress callback: the elapsed share of the day, from 0 to 1


class DayObserver:
    """Passes the records of a day to the oracle, the figures, the digest and, if there is one, the log."""

    def __init__(self, plan: Plan, log: IO[bytes] | None = None) -> None:
        self.oracle, self.figures = Oracle(plan), Figures(plan)
        self._digest, self._log = hashlib.blake2b(digest_size=16), log

    def see(self, record: records.Record) -> None:
        """Process the next record."""
        line = records.line(record)
        self._digest.update(line)
        if self._log is not None:
            self._log.write(line)
        self.oracle.see(record)
        self.figures.see(record)

    def result(self, plan: Plan, at: float, took_s: float) -> Result:
        """Finish the oracle and return the result of the day."""
        breaks = self.oracle.finish(at)
        oracle_figures = {"strayed": float(self.oracle.strayed), "cold_excess": self.oracle.cold_excess}
        figures = self.figures.totals() | oracle_figures
        series = self.figures.series()
        return Result(
            plan.seed, figures, breaks, dict(self.oracle.counts), missed(plan.scenario.expect, figures),
            self.figures.spans, series, self._digest.hexdigest(), round(took_s, 3),
            round(self.figures.late_ms, 1),
        )  # fmt: skip


def log_path(folder: Path, scenario: Scenario, host: str, seed: int) -> Path:
    """Return the path of a seed's log."""
    return folder / f"{scenario.name}-{host}-{seed}.jsonl"


@contextlib.contextmanager
def infrequent_gc() -> Iterator[None]:
    """Run the cyclic garbage collector rarely.

    A day creates few reference cycles, and each collection would traverse the state of hundreds of nodes.
    """
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(200_000, 20, 100)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


def play_virtual(
    scenario: Scenario,
    seed: int,
    step: Step = lambda share: None,
    log: IO[bytes] | None = None,
    host: type[VirtualHost] = VirtualHost,
) -> Result:
    """Run one seed in virtual time."""
    started = time.perf_counter()
    plan = Plan(scenario, seed)
    observer = DayObserver(plan, log)
    world = host(plan, [observer.see])
    with infrequent_gc():
        world.run(step)
    return observer.result(plan, world.now(), time.perf_counter() - started)
