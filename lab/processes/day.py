"""Runs one seed of a scenario with real processes."""

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

MAX_LATE_MS = 150.0  # with longer scheduling delays of the lab a run is not valid


class UnsupportedScenarioError(Exception):
    """The scenario needs something that this host does not support."""


def unsupported_reason(scenario: Scenario) -> str | None:
    """Return why a scenario can't run with processes, or None if it can."""
    for n, fault in enumerate(scenario.faults):
        if isinstance(fault, Clock):
            return f"faults[{n}]: clock faults are supported on the virtual host only"
    return None


def play_processes(
    scenario: Scenario, seed: int, step: Step, log: IO[bytes] | None, logs: Path | None
) -> Result:
    """Run one seed in real time; all processes and files are removed when this returns or raises."""
    if reason := unsupported_reason(scenario):
        raise UnsupportedScenarioError(reason)
    started = time.perf_counter()
    _raise_limit()
    plan = Plan(scenario, seed)
    observer = DayObserver(plan, log)
    folder = Path(tempfile.mkdtemp(prefix="dunlinloft-lab-"))
    try:
        with infrequent_gc():
            ended_ms = uvloop.run(_run_day(plan, observer, step, folder, logs))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    result = observer.result(plan, ended_ms, time.perf_counter() - started)
    result.counted = result.late_ms <= MAX_LATE_MS
    return result


async def _run_day(plan: Plan, observer: DayObserver, step: Step, folder: Path, logs: Path | None) -> float:
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
    host = ProcessHost(plan, [observer.see], loop, folder, logs)
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
            await asyncio.sleep(0)  # let closed transports run their callbacks


def _raise_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
