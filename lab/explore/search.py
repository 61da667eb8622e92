"""Search: all states within a depth, breadth first, or walks at random beyond that.

A system says which moves there are in a state and what they make of it. States are told apart by a mark
(a hash of all that matters); one that was seen is not looked at again. Breadth first finds a shortest trace.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Protocol

Move = tuple[Any, ...]
SPREAD = 40  # states a worker from which the work is parted
GO_ON = 0.8  # of the time a walk goes on with what has just become possible
TRIED = 3  # moves at a state, of a walk
TOLD = 2_000  # states between two words of progress


class System(Protocol):
    """What is explored. States are never changed: `apply` makes a new one."""

    name: str

    def initial(self) -> Any:
        """The state that all begins with."""

    def moves(self, state: Any) -> list[Move]:
        """What can happen next."""

    def apply(self, state: Any, move: Move) -> Any:
        """What it makes of the state."""

    def mark(self, state: Any) -> bytes:
        """What two states that can't be told apart have in common."""

    def broken(self, state: Any) -> str:
        """What must hold and does not; "" where all does."""

    def tell(self, state: Any, move: Move) -> str:
        """A move as a person reads it."""


@dataclass(slots=True)
class Found:
    """What a search came to."""

    states: int = 0
    moves: int = 0
    depth: int = 0  # all states down to it were looked at,
    whole: bool = False  # and there are none beyond
    broken: str = ""
    trace: list[Move] = field(default_factory=list)
    seconds: float = 0.0
    marks: set[bytes] = field(default_factory=set)


def digest(system: System, state: Any) -> bytes:
    """A state's mark in few bytes."""
    return hashlib.blake2b(system.mark(state), digest_size=10).digest()


Node = tuple[Any, tuple[Any, Move] | None]  # a state, and the chain of moves that led to it


def _trace(chain: Any) -> list[Move]:
    moves = []
    while chain is not None:
        chain, move = chain
        moves.append(move)
    return moves[::-1]


def exhaustive_search(
    system: System,
    depth: int,
    most: int = 10**9,
    told: Callable[[int, int], None] = lambda states, depth: None,
    start: Sequence[Node] | None = None,
    begin: int = 0,
    stop_at: int = 0,
) -> tuple[Found, deque[Node]]:
    """Look at all states down to a depth, or at `most` of them; what was found, and what is left to look at.

    `stop_at`: give back once so many wait.
    """
    began, found = time.perf_counter(), Found(depth=begin)
    level: deque[Node] = deque(start if start is not None else [(system.initial(), None)])
    found.marks = {digest(system, state) for state, _ in level}
    while level and found.depth < depth and not (stop_at and len(level) >= stop_at):
        below: deque[Node] = deque()
        while level:
            state, chain = level.popleft()
            for move in system.moves(state):
                found.moves += 1
                after = system.apply(state, move)
                mark = digest(system, after)
                if mark in found.marks:
                    continue
                found.marks.add(mark)
                if len(found.marks) % TOLD == 0:
                    told(len(found.marks), found.depth + 1)
                if why := system.broken(after):
                    found.broken, found.trace = why, _trace((chain, move))
                    found.depth += 1
                    return _end(found, began), below
                below.append((after, (chain, move)))
            if len(found.marks) >= most:
                return _end(found, began), below
        level = below
        found.depth += 1
    found.whole = not level
    return _end(found, began), level


def _end(found: Found, began: float) -> Found:
    found.states, found.seconds = len(found.marks), time.perf_counter() - began
    return found


def _work(system: System, depth: int, most: int, start: list[Node], begin: int) -> Found:
    return exhaustive_search(system, depth, most, start=start, begin=begin)[0]


def exhaustive_search_with(system: System, depth: int, most: int, jobs: int) -> Found:
    """The same by several processes, each with a part of the states; states are counted once."""
    began = time.perf_counter()
    found, left = exhaustive_search(system, depth, most, stop_at=SPREAD * jobs if jobs > 1 else 0)
    if found.broken or not left or found.depth >= depth or jobs <= 1:
        return found
    parts = [list(left)[n::jobs] for n in range(jobs)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        tasks = [(system, depth, most // jobs, part, found.depth) for part in parts]
        done = list(pool.map(_work, *zip(*tasks, strict=True)))
    whole = Found(moves=found.moves, depth=min(part.depth for part in done), marks=found.marks)
    for part in done:
        whole.marks |= part.marks
        whole.moves += part.moves
        if part.broken and (not whole.broken or len(part.trace) < len(whole.trace)):
            whole.broken, whole.trace = part.broken, part.trace
    whole.whole = all(part.whole for part in done)
    return _end(whole, began)


def random_walk(system: System, seed: int, steps: int, most: int) -> Found:
    """Walk at random until so many moves are made, back to the start after so many steps.

    Of a few moves at each state it takes the first that leads where it has not been. Mostly those that
    have just become possible come first, so that what was begun comes to its end.
    """
    began, rng, found = time.perf_counter(), random.Random(seed), Found()
    while found.moves < most:
        state, trace, before = system.initial(), list[Move](), set[Move]()
        for _ in range(steps):
            moves = system.moves(state)
            if not moves:
                break
            new = [move for move in moves if move not in before] if rng.random() < GO_ON else []
            before = set(moves)
            for move in rng.sample(new or moves, min(TRIED, len(new or moves))):
                after = system.apply(state, move)
                found.moves += 1
                mark = digest(system, after)
                if mark not in found.marks:
                    break
            found.marks.add(mark)
            state = after
            trace.append(move)
            found.depth = max(found.depth, len(trace))
            if why := system.broken(state):
                found.broken, found.trace = why, trace
                return _end(found, began)
    return _end(found, began)


def shorten(system: System, trace: Sequence[Move]) -> list[Move]:
    """A trace without the moves that it can do without, one after another."""
    kept = list(trace)
    while True:
        for n in reversed(range(len(kept))):
            fewer = kept[:n] + kept[n + 1 :]
            if replay(system, fewer)[1]:
                kept = fewer
                break
        else:
            return kept


def replay(system: System, trace: Sequence[Move]) -> tuple[list[str], str]:
    """The trace as a person reads it, and what it breaks."""
    state, lines = system.initial(), list[str]()
    for move in trace:
        if move not in system.moves(state):
            return [*lines, f"{' '.join(map(str, move))}: can't happen here"], ""
        lines.append(system.tell(state, move))
        state = system.apply(state, move)
        if why := system.broken(state):
            return lines, why
    return lines, ""
