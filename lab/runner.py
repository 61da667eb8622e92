"""Plays seeds, several at a time where asked, each then in a process of its own."""

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

END_S = 10.0  # for a worker to clear up after itself


@dataclass(slots=True)
class Run:
    """What is to be played."""

    scenario: Scenario
    host: str
    seeds: list[int]
    jobs: int = 1
    logs: Path | None = None


class BadSeeds(Exception):
    """A list of seeds that can't be read."""


def read_seeds(text: str) -> list[int]:
    """Seeds written as `7`, `1-20` or `1,4,7-9`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise BadSeeds(f"{part!r} is no seed; expected a whole number or a range such as 1-20")
        seeds += range(int(first), int(last) + 1) if dash else [int(first)]
    if not seeds:
        raise BadSeeds(f"{text!r} holds no seed; a range goes upwards")
    return list(dict.fromkeys(seeds))


def play(run: Run, seed: int, step: Step) -> Result:
    """One seed, in this process."""
    with contextlib.ExitStack() as stack:
        log = None
        if run.logs is not None:
            run.logs.mkdir(parents=True, exist_ok=True)
            log = stack.enter_context(log_path(run.logs, run.scenario, run.host, seed).open("wb"))
        if run.host == "virtual":
            return play_virtual(run.scenario, seed, step, log)
        from lab.processes.day import play_processes  # it brings sockets along

        return play_processes(run.scenario, seed, step, log, run.logs)


def failed(seed: int, problem: str) -> Result:
    """The result of a run that came to no end."""
    return Result(seed, {}, [], {}, [], [], Series(), "", 0.0, crashed=problem)


def _work(pipe: Connection, run: Run, seed: int) -> None:
    # Ctrl-C reaches the whole group of processes; whoever runs the workers tells them to end.
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
    """Every seed's result, in the order in which they end; `progress` hears a seed and its share."""
    if run.jobs <= 1 or len(run.seeds) == 1:
        for seed in run.seeds:
            try:
                yield play(run, seed, partial(progress, seed))
            except Exception:
                yield failed(seed, traceback.format_exc(limit=-4))
        return
    context = multiprocessing.get_context("spawn")
    waiting = deque(run.seeds)
    working: dict[Connection, tuple[int, SpawnProcess]] = {}
    try:
        while waiting or working:
            while waiting and len(working) < run.jobs:
                seed = waiting.popleft()
                ours, theirs = context.Pipe(duplex=False)
                process = context.Process(target=_work, args=(theirs, run, seed))
                process.start()
                theirs.close()
                working[ours] = seed, process
            for pipe in wait(list(working)):
                assert isinstance(pipe, Connection)
                seed, process = working[pipe]
                try:
                    news = pipe.recv()
                except EOFError:
                    process.join()
                    news = failed(seed, f"its process ended with {process.exitcode}")
                if isinstance(news, Result):
                    del working[pipe]
                    pipe.close()
                    process.join()
                    yield news
                else:
                    progress(seed, news)
    finally:
        for pipe, (_, process) in working.items():
            process.terminate()
            pipe.close()
        for _, process in working.values():
            process.join(END_S)
            if process.is_alive():
                process.kill()
