"""State space search: exhaustive breadth-first search up to a depth, and random walks beyond it.

A system defines the moves possible in a state and their results. States are identified by a hash of their
relevant content, and a state seen before is not expanded again. Breadth-first search finds a shortest trace.
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
PENDING_PER_WORKER = 40  # pending states per worker from which the work is divided
NEW_MOVE_PREFERENCE = 0.8  # probability that a walk prefers moves that have just become possible
TRIED_MOVES = 3  # moves that a walk tries per state
PROGRESS_INTERVAL = 2_000  # states between two progress reports


class System(Protocol):
    """A system to explore. States are immutable: `apply` returns a new one."""

    name: str

    def initial(self) -> Any:
        """Return the initial state."""

    def moves(self, state: Any) -> list[Move]:
        """Return the moves possible in a state."""

    def apply(self, state: Any, move: Move) -> Any:
        """Return the state after a move."""

    def mark(self, state: Any) -> bytes:
        """Return an encoding that is equal for equivalent states."""

    def broken(self, state: Any) -> str:
        """Return the violated invariant, or ""."""

    def describe(self, state: Any, move: Move) -> str:
        """Describe a move."""


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    states: int = 0
    moves: int = 0
    depth: int = 0  # all states up to this depth were visited
    whole: bool = False  # whether there are no states beyond
    broken: str = ""
    trace: list[Move] = field(default_factory=list)
    seconds: float = 0.0
    marks: set[bytes] = field(default_factory=set)


def digest(system: System, state: Any) -> bytes:
    """Return a short hash of a state."""
    return hashlib.blake2b(system.mark(state), digest_size=10).digest()


Node = tuple[Any, tuple[Any, Move] | None]  # a state, and the linked list of moves that led to it


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
    report_progress: Callable[[int, int], None] = lambda states, depth: None,
    start: Sequence[Node] | None = None,
    begin: int = 0,
    stop_at: int = 0,
) -> tuple[SearchResult, deque[Node]]:
    """Visit all states up to a depth, or `most` of them; returns the result and the pending states.

    The search also ends once `stop_at` states are pending, if that is not 0.
    """
    began, found = time.perf_counter(), SearchResult(depth=begin)
    level: deque[Node] = deque(start if start is not None else [(system.initial(), None)])
    found.marks = {digest(system, state) for state, _ in level}
    while level and found.depth < depth and not (stop_at and len(level) >= stop_at):
        next_level: deque[Node] = deque()
        while level:
            state, chain = level.popleft()
            for move in system.moves(state):
                found.moves += 1
                after = system.apply(state, move)
                fingerprint = digest(system, after)
                if fingerprint in found.marks:
                    continue
                found.marks.add(fingerprint)
                if len(found.marks) % PROGRESS_INTERVAL == 0:
                    report_progress(len(found.marks), found.depth + 1)
                if violation := system.broken(after):
                    found.broken, found.trace = violation, _trace((chain, move))
                    found.depth += 1
                    return _finish(found, began), next_level
                next_level.append((after, (chain, move)))
            if len(found.marks) >= most:
                return _finish(found, began), next_level
        level = next_level
        found.depth += 1
    found.whole = not level
    return _finish(found, began), level


def _finish(found: SearchResult, began: float) -> SearchResult:
    found.states, found.seconds = len(found.marks), time.perf_counter() - began
    return found


def _search_part(system: System, depth: int, most: int, start: list[Node], begin: int) -> SearchResult:
    return exhaustive_search(system, depth, most, start=start, begin=begin)[0]


def exhaustive_search_with(system: System, depth: int, most: int, jobs: int) -> SearchResult:
    """Search with several processes, each with a part of the states; each state is counted once."""
    began = time.perf_counter()
    found, pending = exhaustive_search(
        system, depth, most, stop_at=PENDING_PER_WORKER * jobs if jobs > 1 else 0
    )
    if found.broken or not pending or found.depth >= depth or jobs <= 1:
        return found
    parts = [list(pending)[n::jobs] for n in range(jobs)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        tasks = [(system, depth, most // jobs, part, found.depth) for part in parts]
        done = list(pool.map(_search_part, *zip(*tasks, strict=True)))
    whole = SearchResult(moves=found.moves, depth=min(part.depth for part in done), marks=found.marks)
    for part in done:
        whole.marks |= part.marks
        whole.moves += part.moves
        if part.broken and (not whole.broken or len(part.trace) < len(whole.trace)):
            whole.broken, whole.trace = part.broken, part.trace
    whole.whole = all(part.whole for part in done)
    return _finish(whole, began)


def random_walk(system: System, seed: int, steps: int, most: int) -> SearchResult:
    """Walk at random until `most` moves are made, restarting after `steps` steps.

    At each state it takes the first of a few moves that leads to an unvisited state. Usually moves that have
    just become possible come first, so that operations in progress are completed.
    """
    began, rng, found = time.perf_counter(), random.Random(seed), SearchResult()
    while found.moves < most:
        state, trace, previous_moves = system.initial(), list[Move](), set[Move]()
        for _ in range(steps):
            moves = system.moves(state)
            if not moves:
                break
            new = (
                [move for move in moves if move not in previous_moves]
                if rng.random() < NEW_MOVE_PREFERENCE
                else []
            )
            previous_moves = set(moves)
            for move in rng.sample(new or moves, min(TRIED_MOVES, len(new or moves))):
                after = system.apply(state, move)
                found.moves += 1
                fingerprint = digest(system, after)
                if fingerprint not in found.marks:
                    break
            found.marks.add(fingerprint)
            state = after
            trace.append(move)
            found.depth = max(found.depth, len(trace))
            if violation := system.broken(state):
                found.broken, found.trace = violation, trace
                return _finish(found, began)
    return _finish(found, began)


def shorten(system: System, trace: Sequence[Move]) -> list[Move]:
    """Remove moves from a trace one at a time, as long as it still violates an invariant."""
    shortened = list(trace)
    while True:
        for n in reversed(range(len(shortened))):
            fewer = shortened[:n] + shortened[n + 1 :]
            if replay(system, fewer)[1]:
                shortened = fewer
                break
        else:
            return shortened


def replay(system: System, trace: Sequence[Move]) -> tuple[list[str], str]:
    """Replay a trace; returns the description of its moves and the violated invariant, or ""."""
    state, lines = system.initial(), list[str]()
    for move in trace:
        if move not in system.moves(state):
            return [*lines, f"{' '.join(map(str, move))}: can't happen here"], ""
        lines.append(system.describe(state, move))
        state = system.apply(state, move)
        if violation := system.broken(state):
            return lines, violation
    return lines, ""
