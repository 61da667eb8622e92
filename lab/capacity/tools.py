"""Time and memory measurement, and an event loop substitute, for the experiments."""

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
    """Return the current resident memory of this process."""
    gc.collect()
    return float(int(Path("/proc/self/statm").read_bytes().split()[1]) * _PAGE)


def best_ms(do: Callable[[], object], repeats: int = 5) -> float:
    """Return the minimum duration of a call in ms; anything longer is noise of the machine."""
    times = []
    for _ in range(repeats):
        start = time.perf_counter_ns()
        do()
        times.append(time.perf_counter_ns() - start)
    return min(times) / 1e6


def mean_us(do: Callable[[int], object], calls: int) -> float:
    """Return the mean duration of `calls` calls in microseconds; each call gets its number."""
    start = time.perf_counter_ns()
    for n in range(calls):
        do(n)
    return (time.perf_counter_ns() - start) / 1e3 / calls


def held_bytes(make: Callable[[], object]) -> tuple[float, object]:
    """Return the memory that Python allocates and retains for an object, and the object."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0] - before), made
    finally:
        tracemalloc.stop()


class _IgnoredTask:
    """A task that never runs."""

    def add_done_callback(self, callback: Callable[..., Any]) -> None:
        """Ignore the callback."""


class RecordingLoop:
    """Event loop substitute that runs nothing itself; experiments call the recorded callbacks with `due`."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> None:
        """Record a callback without calling it."""
        self.calls.append((delay, callback, args))

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Record a callback without calling it."""
        self.calls.append((0.0, callback, args))

    def create_task(self, coroutine: Coroutine[Any, Any, Any]) -> _IgnoredTask:
        """Close the coroutine without running it."""
        coroutine.close()
        return _IgnoredTask()

    def due(self, delay_s: float) -> Callable[[], Any]:
        """Return the callback most recently scheduled with this delay."""
        callback, args = next((c, a) for d, c, a in reversed(self.calls) if d == delay_s)
        return lambda: callback(*args)


def peak_bytes() -> float:
    """Return the peak resident memory of this process."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return 1024.0 * next(float(line.split()[1]) for line in lines if line.startswith("VmHWM"))
