"""Runs the seeds of a scenario, optionally in parallel with one process per seed."""

from __future__ import annotations

import contextlib
import multiprocessing
import signal
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path

from lab.day import Step, log_path, play_virtual
from lab.figures import Series
from lab.results import Result
from lab.scenario import Scenario

WORKER_EXIT_S = 10.0  # time for a terminated worker to clean up before it is killed


@dataclass(slots=True)
class Run:
    """A scenario, host and seeds to run."""

    scenario: Scenario
    host: str
    seeds: list[int]
    jobs: int = 1
    logs: Path | None = None


class SeedListError(Exception):
    """A list of seeds is malformed."""


def read_seeds(text: str) -> list[int]:
    """Parse seeds written as `7`, `1-20` or `1,4,7-9`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise SeedListError(f"{part!r} is not a seed; expected a whole number or a range such as 1-20")
        seeds += range(int(first), int(last) + 1) if dash else [int(first)]
    if not seeds:
        raise SeedListError(f"{text!r} contains no seed; ranges must be ascending")
    return list(dict.fromkeys(seeds))


def play(run: Run, seed: int, step: Step) -> Result:
    """Run one seed in this process."""
    with contextlib.ExitStack() as stack:
        log = None
        if run.logs is not None:
            run.logs.mkdir(parents=True, exist_ok=True)
            log = stack.enter_context(log_path(run.logs, run.scenario, run.host, seed).open("wb"))
        if run.host == "virtual":
            return play_virtual(run.scenario, seed, step, log)
        from lab.processes.day import play_processes  # imported late, as it needs sockets

        return play_processes(run.scenario, seed, step, log, run.logs)


def failed(seed: int, problem: str) -> Result:
    """Return the result of a run that crashed."""
    return Result(seed, {}, [], {}, [], [], Series(), "", 0.0, crashed=problem)


def _worker_main(pipe: Connection, run: Run, seed: int) -> None:
    # Ctrl-C reaches the whole process group; the parent process terminates the workers.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        result = play(run, seed, lambda share: pipe.send(share))
    except KeyboardInterrupt:
        return
    except Exception:
        result = failed(seed, traceback.format_exc(limit=-4))
    with contextlib.suppress(OSError):
        pipe.send(result)


def play_all(run: Run, progress: Callable[[int, float], None]) -> Iterator[Result]:
    """Yield results in order of completion; `progress` gets a seed and the share of it that is done."""
    if run.jobs <= 1 or len(run.seeds) == 1:
        for seed in run.seeds:
            try:
                yield play(run, seed, partial(progress, seed))
            except Exception:
                yield failed(seed, traceback.format_exc(limit=-4))
        return
    context = multiprocessing.get_context("spawn")
    pending_seeds = deque(run.seeds)
    workers: dict[Connection, tuple[int, SpawnProcess]] = {}
    try:
        while pending_seeds or workers:
            while pending_seeds and len(workers) < run.jobs:
                seed = pending_seeds.popleft()
                receiver, sender = context.Pipe(duplex=False)
                process = context.Process(target=_worker_main, args=(sender, run, seed))
                process.start()
                sender.close()
                workers[receiver] = seed, process
            for pipe in wait(list(workers)):
                assert isinstance(pipe, Connection)
                seed, process = workers[pipe]
                try:
                    message = pipe.recv()
                except EOFError:
                    process.join()
                    message = failed(seed, f"its process ended with {process.exitcode}")
                if isinstance(message, Result):
                    del workers[pipe]
                    pipe.close()
                    process.join()
                    yield message
                else:
                    progress(seed, message)
    finally:
        for pipe, (_, process) in workers.items():
            process.terminate()
            pipe.close()
        for _, process in workers.values():
            process.join(WORKER_EXIT_S)
            if process.is_alive():
                process.kill()
