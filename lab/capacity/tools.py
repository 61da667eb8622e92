"""Clocks, memory and a node's parts without sockets, for the experiments."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

_PAGE = os.sysconf("SC_PAGE_SIZE")


def rss_bytes() -> float:
    """Memory of this process that is in use now, by the kernel."""
    gc.collect()
    return float(int(Path("/proc/self/statm").read_bytes().split()[1]) * _PAGE)


def best_ms(do: Callable[[], object], repeats: int = 5) -> float:
    """The least time that a call takes, in ms: what is beyond it is the machine's."""
    times = []
    for _ in range(repeats):
        start = time.perf_counter_ns()
        do()
        times.append(time.perf_counter_ns() - start)
    return min(times) / 1e6


def mean_us(do: Callable[[int], object], calls: int) -> float:
    """The mean time of so many calls, each given its number, in microseconds."""
    start = time.perf_counter_ns()
    for n in range(calls):
        do(n)
    return (time.perf_counter_ns() - start) / 1e3 / calls


def held_bytes(make: Callable[[], object]) -> tuple[float, object]:
    """What Python allocates for something and keeps, and that something."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0] - before), made
    finally:
        tracemalloc.stop()


class _Never:
    """A task that is not run."""

    def add_done_callback(self, callback: Callable[..., Any]) -> None:
        """Never called."""


class StillLoop:
    """Stands for an event loop that calls nothing: whoever measures does, by `due`."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        """In seconds."""
        return time.monotonic()

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> None:
        """Kept, and not called."""
        self.calls.append((delay, callback, args))

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Kept as well."""
        self.calls.append((0.0, callback, args))

    def create_task(self, work: Coroutine[Any, Any, Any]) -> _Never:
        """Not run."""
        work.close()
        return _Never()

    def due(self, delay_s: float) -> Callable[[], Any]:
        """What was last to be called after so long."""
        callback, args = next((c, a) for d, c, a in reversed(self.calls) if d == delay_s)
        return lambda: callback(*args)


def peak_bytes() -> float:
    """The most memory that this process has had in use, by the kernel."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return 1024.0 * next(float(line.split()[1]) for line in lines if line.startswith("VmHWM"))
