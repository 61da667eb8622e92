"""What worlds of cores in virtual time have in common: a heap of events, and processes that die and stop."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any, Generic, TypeVar


class InvariantViolation(AssertionError):
    """Something that must hold does not; says the seed and the time."""


class Process:
    """A process with a clock of its own."""

    def __init__(self, scene: Simulation[Any], name: str, rate: float) -> None:
        self.scene, self.name, self.rate = scene, name, rate
        self.offset, self.started = scene.rng.random() * 1e6, scene.now
        self.life = next(scene.lives)
        self.alive, self.stopped = True, False
        self.frozen: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def clock(self) -> float:
        """Its monotonic clock."""
        return self.offset + (self.scene.now - self.started) * self.rate


P = TypeVar("P", bound=Process)


class Simulation(Generic[P]):
    """Time, and processes by name."""

    def __init__(self, seed: int, members: int, loss: float) -> None:
        self.rng, self.seed, self.loss = random.Random(seed), seed, loss
        self.now = 0.0
        self.names = [self.naming(n) for n in range(members)]
        self.lives = count(1)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = count()
        self.cut: set[tuple[str, str]] = set()
        self.processes: dict[str, P] = {}
        self._gone_ms: dict[str, float] = {}  # since when a process is dead or stopped

    def naming(self, n: int) -> str:
        """What the n-th process is called."""
        return f"m{n}"

    # Time

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Do something later."""
        heapq.heappush(self._heap, (self.now + max(0.0, delay_ms), next(self._number), do, args))

    def run(self, for_ms: float, until: Callable[[], bool] | None = None) -> float:
        """Let time pass, until something holds; the time that passed."""
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
        """What must hold at every instant."""

    def when(self) -> str:
        """Where a break is to be found."""
        return f"seed {self.seed} at {self.now:.0f} ms"

    # Processes

    def kill(self, name: str) -> None:
        """Without a word."""
        self.processes[name].alive = False
        self._gone_ms[name] = self.now

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.processes[name].stopped = True
        self._gone_ms[name] = self.now

    def cont(self, name: str) -> None:
        """SIGCONT: what has come meanwhile is worked off."""
        process = self.processes[name]
        if process.alive and process.stopped:
            process.stopped = False
            self._gone_ms.pop(name, None)
            frozen, process.frozen = process.frozen, []
            self.resumed(process)
            for do, args in frozen:
                do(*args)

    def resumed(self, process: P) -> None:
        """A stopped process goes on in the middle of what it did."""

    def turn(self, process: P, do: Callable[..., None], *args: Any) -> None:
        """Do something in a process: later if it is stopped."""
        if process.alive and process.stopped:
            process.frozen.append((do, args))
        elif process.alive:
            do(*args)
