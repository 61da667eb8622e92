"""Base of simulations of cores in virtual time: an event heap, and processes that may die or be stopped."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any, Generic, TypeVar


class InvariantViolation(AssertionError):
    """An invariant is violated; the message includes the seed and the time."""


class Process:
    """A process with its own clock."""

    def __init__(self, scene: Simulation[Any], name: str, rate: float) -> None:
        self.scene, self.name, self.rate = scene, name, rate
        self.offset, self.started = scene.rng.random() * 1e6, scene.now
        self.life = next(scene.lives)
        self.alive, self.stopped = True, False
        self.frozen: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def clock(self) -> float:
        """Return the process's monotonic clock."""
        return self.offset + (self.scene.now - self.started) * self.rate


P = TypeVar("P", bound=Process)


class Simulation(Generic[P]):
    """Simulated time, and processes by name."""

    def __init__(self, seed: int, members: int, loss: float) -> None:
        self.rng, self.seed, self.loss = random.Random(seed), seed, loss
        self.now = 0.0
        self.names = [self.process_name(n) for n in range(members)]
        self.lives = count(1)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()
        self.cut: set[tuple[str, str]] = set()
        self.processes: dict[str, P] = {}
        self._gone_ms: dict[str, float] = {}  # time since which a process has been dead or stopped

    def process_name(self, n: int) -> str:
        """Return the name of the n-th process."""
        return f"m{n}"

    # Time

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do` after a delay."""
        heapq.heappush(self._heap, (self.now + max(0.0, delay_ms), next(self._sequence), do, args))

    def run(self, for_ms: float, until: Callable[[], bool] | None = None) -> float:
        """Run for a time, or until `until` returns True; returns the time that passed."""
        start, end = self.now, self.now + for_ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, do, args = heapq.heappop(self._heap)
            do(*args)
            self.check()
            if until is not None and until():
                return self.now - start
        self.now = end
        self.check()
        return for_ms

    def check(self) -> None:
        """Check the invariants; called after every event."""

    def when(self) -> str:
        """Return the seed and time, for error messages."""
        return f"seed {self.seed} at {self.now:.0f} ms"

    # Processes

    def kill(self, name: str) -> None:
        """Kill a process without notice to others."""
        self.processes[name].alive = False
        self._gone_ms[name] = self.now

    def stop(self, name: str) -> None:
        """Suspend a process, as SIGSTOP does."""
        self.processes[name].stopped = True
        self._gone_ms[name] = self.now

    def cont(self, name: str) -> None:
        """Resume a process, as SIGCONT does; it handles what arrived in the meantime."""
        process = self.processes[name]
        if process.alive and process.stopped:
            process.stopped = False
            self._gone_ms.pop(name, None)
            frozen, process.frozen = process.frozen, []
            self.resumed(process)
            for do, args in frozen:
                do(*args)

    def resumed(self, process: P) -> None:
        """Complete what was in progress when the process was stopped."""

    def turn(self, process: P, do: Callable[..., None], *args: Any) -> None:
        """Call `do` in a process; deferred while it is stopped, ignored if it is dead."""
        if process.alive and process.stopped:
            process.frozen.append((do, args))
        elif process.alive:
            do(*args)
