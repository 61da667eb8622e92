"""A simulated process: whether it runs, the clock that it reads, and what waits for it while it is frozen."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, field
from typing import Any, Protocol

CURRENT_PROCESS: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "current_process", default=None
)
"""The process in whose context a callback runs; None for the world outside of all processes."""


@dataclass(frozen=True, slots=True)
class SteadyClock:
    """A machine's monotonic clock against the simulation's time; both in seconds."""

    offset_s: float = 0.0  # at the simulation's start
    rate: float = 1.0  # seconds that it counts in one second

    def local(self, simulated_s: float) -> float:
        """Return what the clock reads at a simulated time."""
        return self.offset_s + self.rate * simulated_s

    def simulated(self, local_s: float) -> float:
        """Return the simulated time at which the clock reads `local_s`."""
        return (local_s - self.offset_s) / self.rate


class BlockingCalls(Protocol):
    """Runs the calls for which a process would use a thread of its own."""

    def submit(self, process: SimulatedProcess, call: Callable[[], Any]) -> asyncio.Future[Any]:
        """Run a call after all earlier ones; the future gets its result or its `OSError`."""


@dataclass(slots=True, eq=False)
class SimulatedProcess:
    """One life of a process. Changed by `SimulatedHost`, followed by `SimulatedEventLoop`."""

    name: str
    host: str
    clock: SteadyClock
    blocking_calls: BlockingCalls | None = None
    alive: bool = True
    frozen: bool = False
    deferred: list[asyncio.Handle] = field(default_factory=list)  # due while it was frozen
    signal_handlers: dict[int, Callable[[], object]] = field(default_factory=dict)

    context: contextvars.Context = field(default_factory=contextvars.Context)

    def __post_init__(self) -> None:
        """Mark the context: callbacks that run in it, or in a copy of it, belong to this process."""
        self.context.run(CURRENT_PROCESS.set, self)


class NoThreads(Executor):
    """Stands for a thread pool where none may be used: every call on it fails."""
