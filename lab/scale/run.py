"""Executes a scale run: all sizes in sequence, then the fits. All processes end with it, however it ends."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import uvloop

from dunlinloft.node import VERSION
from lab.day import infrequent_gc
from lab.processes.block import AddressBlockError
from lab.scale import talk
from lab.scale.limits import Refused, check, claim, duration_s, virtual_s
from lab.scale.plan import Machine, Plan, Results, Sample
from lab.scale.size import SizeRun, TooMuchMemory
from lab.scale.worker import Worker

ProgressCallback = Callable[[str], None]
MAX_SLOWDOWN = 5.0  # multiple of the estimated time after which a size in virtual time is aborted


def play(plan: Plan, say: ProgressCallback, keep: Callable[[Results], None]) -> Results:
    """Execute the run; `keep` is called with the results after each size. Raises `Refused`, `WorkerDied`."""
    machine = Machine.here()
    check(plan, machine)
    say(f"about {duration_s(plan) / 60.0:.1f} minutes")
    with claim(), infrequent_gc():
        return uvloop.run(_interruptible(plan, machine, say, keep))


async def _interruptible(
    plan: Plan, machine: Machine, say: ProgressCallback, keep: Callable[[Results], None]
) -> Results:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    interrupted = False

    def interrupt() -> None:
        nonlocal interrupted
        interrupted = True
        task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupt)
    folder = Path(tempfile.mkdtemp(prefix="dunlinloft-scale-"))
    try:
        async with asyncio.timeout(60.0 * plan.minutes) as limit:
            return await _run_sizes(plan, machine, folder, say, keep)
    except TimeoutError:
        if not limit.expired():
            raise
        raise Refused(f"{plan.minutes:g} minutes are over, and it was not done") from None
    except (TooMuchMemory, AddressBlockError) as problem:
        raise Refused(str(problem)) from None
    except asyncio.CancelledError:
        if interrupted:
            raise KeyboardInterrupt from None
        raise
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _run_sizes(
    plan: Plan, machine: Machine, folder: Path, say: ProgressCallback, keep: Callable[[Results], None]
) -> Results:
    started = time.monotonic()
    results = Results(VERSION, sys.argv, machine, plan)
    for seed in plan.seeds:
        sizes = [0, *plan.sizes] if plan.sizes else []  # size 0: the nodes alone, as a baseline
        for size in sizes:
            results.samples.append(await _run_on_sockets(plan, size, seed, folder, machine, say))
            keep(results)
        for size in plan.virtual_sizes:
            results.samples.append(await _run_in_virtual_time(plan, size, seed, folder, say))
            keep(results)
    compare_with_alone(results.samples)
    results.fit_all()
    results.took_s = round(time.monotonic() - started, 1)
    return results


async def _run_on_sockets(
    plan: Plan, size: int, seed: int, folder: Path, machine: Machine, say: ProgressCallback
) -> Sample:
    run = SizeRun(plan, size, seed, folder, machine)
    title = f"{size} members" if size else "the nodes alone"
    try:
        return await run.play(lambda text: say(f"{title}, seed {seed}: {text}"))
    finally:
        run.close()
        await asyncio.sleep(0)  # let closed transports run their callbacks


async def _run_in_virtual_time(
    plan: Plan, size: int, seed: int, folder: Path, say: ProgressCallback
) -> Sample:
    say(f"{size} members in virtual time, seed {seed}")
    worker = Worker(asyncio.get_running_loop(), "lab.scale.virtual", f"virtual-{size}-{seed}", folder)
    command = talk.Simulate(size, seed, plan.virtual_settle_s, plan.virtual_seconds, plan.victims)
    try:
        answer = await worker.ask(command, MAX_SLOWDOWN * virtual_s(plan, size) + 60.0)
    finally:
        worker.close()
    assert isinstance(answer, talk.Simulated)
    sample = Sample("virtual", size, seed, answer.figures)
    sample.false_deaths = [talk.Death(by, name, at_ms / 1000.0) for at_ms, by, name in answer.false_deaths]
    if sample.figures.pop("disagree"):
        sample.why.append("views did not agree before the quiet time")
    return sample


def compare_with_alone(samples: list[Sample]) -> None:
    """Compute the cost that the fleet adds to a node, relative to the nodes alone with the same seed.

    The number of requests varies randomly between measurements, so CPU time is compared per request.
    """
    alone = {sample.seed: sample.figures for sample in samples if sample.kind == "alone" and sample.counted()}
    for sample in samples:
        figures, baseline = sample.figures, alone.get(sample.seed, {})
        if sample.kind != "sockets" or not baseline.get("node_requests_s") or "node_cpu_ms_s" not in figures:
            continue
        requests = figures["node_requests_s"] / baseline["node_requests_s"]
        figures["node_added_cpu_ms_s"] = figures["node_cpu_ms_s"] - requests * baseline["node_cpu_ms_s"]
        figures["node_added_memory_mb"] = figures["node_memory_mb"] - baseline["node_memory_mb"]


def write(results: Results, path: Path) -> None:
    """Write results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
