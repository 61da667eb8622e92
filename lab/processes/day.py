"""Plays one seed of a scenario with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import shutil
import signal
import tempfile
import time
from pathlib import Path
from typing import IO

import uvloop

from lab.day import DayObserver, Step, infrequent_gc
from lab.plan import Plan
from lab.processes.host import ProcessHost
from lab.results import Result
from lab.scenario import Clock, Scenario

MOST_LATE_MS = 150.0  # a run in which the lab was later than this says nothing of the nodes


class Impossible(Exception):
    """What this host can't do."""


def unfit(scenario: Scenario) -> str | None:
    """Why a scenario can't be played with processes; None where it can."""
    for n, fault in enumerate(scenario.faults):
        if isinstance(fault, Clock):
            return f"faults[{n}]: clocks can go wrong on the virtual host only"
    return None


def play_processes(
    scenario: Scenario, seed: int, step: Step, log: IO[bytes] | None, logs: Path | None
) -> Result:
    """One seed, in real time; all processes and files are gone when this returns or raises."""
    if why := unfit(scenario):
        raise Impossible(why)
    began = time.perf_counter()
    _raise_limit()
    plan = Plan(scenario, seed)
    witness = DayObserver(plan, log)
    folder = Path(tempfile.mkdtemp(prefix="dunlinloft-lab-"))
    try:
        with infrequent_gc():
            at = uvloop.run(_day(plan, witness, step, folder, logs))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    result = witness.result(plan, at, time.perf_counter() - began)
    result.counted = result.late_ms <= MOST_LATE_MS
    return result


async def _day(plan: Plan, witness: DayObserver, step: Step, folder: Path, logs: Path | None) -> float:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    interrupted = False

    def interrupt() -> None:
        nonlocal interrupted
        interrupted = True
        task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupt)
    host = ProcessHost(plan, [witness.see], loop, folder, logs)
    try:
        await host.run(step)
        return host.now()
    except asyncio.CancelledError:
        if interrupted:
            raise KeyboardInterrupt from None
        raise
    finally:
        host.close()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)  # what was closed is told so


def _raise_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
