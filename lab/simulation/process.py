"""A simulated process: its state, its clock, and the callbacks deferred while it is frozen."""

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
"""The process in whose context a callback runs; None outside of all processes."""


@dataclass(frozen=True, slots=True)
class SteadyClock:
    """A machine's monotonic clock as a linear function of the simulated time; both in seconds."""

    offset_s: float = 0.0  # reading at the start of the simulation
    rate: float = 1.0  # clock seconds per simulated second

    def local(self, simulated_s: float) -> float:
        """Return the clock's reading at a simulated time."""
        return self.offset_s + self.rate * simulated_s

    def simulated(self, local_s: float) -> float:
        """Return the simulated time at which the clock reads `local_s`."""
        return (local_s - self.offset_s) / self.rate


class BlockingCalls(Protocol):
    """Runs the blocking calls that a process would run in a thread."""

    def submit(self, process: SimulatedProcess, call: Callable[[], Any]) -> asyncio.Future[Any]:
        """Queue a call after all earlier ones; the future receives its result or its `OSError`."""


@dataclass(slots=True, eq=False)
class SimulatedProcess:
    """One run of a process. `SimulatedHost` sets its state, `SimulatedEventLoop` acts on it."""

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
        """Set this process in its context; callbacks in it or in a copy of it belong to the process."""
        self.context.run(CURRENT_PROCESS.set, self)


class NoThreads(Executor):
    """A thread pool for processes that must not use one: every call on it fails."""
