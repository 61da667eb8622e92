"""A simulated disk, which runs a process's blocking calls one by one, each for the duration of its syncs."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.files import DiskImage, Operation, SimulatedFiles, SyncFile, SyncFolder
from lab.simulation.process import SimulatedProcess

SYNC_S = (0.000_8, 0.001_5)  # range of the duration of one sync
CALL_S = 0.000_1  # duration of a call without a sync


@dataclass(slots=True, eq=False)
class _Call:
    """A blocking call and its outcome."""

    process: SimulatedProcess
    call: Callable[[], Any]
    future: asyncio.Future[Any]
    result: Any = None
    error: OSError | None = None
    operations: list[Operation] | None = None
    before: DiskImage | None = None


class SimulatedDisk:
    """One machine's disk; implements `BlockingCalls` for its process.

    A call takes effect when it finishes. A crash before that leaves a prefix of its operations; a power loss
    may also drop those that were not synced.

    Attributes
    ----------
    slowdown
        Factor on the duration of syncs.
    on_finished
        Called when a call has taken effect, before its process is notified.
    """

    def __init__(self, loop: SimulatedEventLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self.files = SimulatedFiles(rng)
        self.slowdown = 1.0
        self.on_finished: Callable[[], None] = lambda: None
        self._stalled = False
        self._queue: deque[_Call] = deque()
        self._active: _Call | None = None
        self._finish_due = False  # the active call finished during the stall

    @property
    def stalled(self) -> bool:
        """Whether the disk is stalled: no call finishes."""
        return self._stalled

    @stalled.setter
    def stalled(self, stalled: bool) -> None:
        self._stalled = stalled
        if not stalled and self._finish_due and self._active is not None:
            self._finish(self._active)
        elif not stalled:
            self._start_next()

    def submit(self, process: SimulatedProcess, call: Callable[[], Any]) -> asyncio.Future[Any]:
        """Queue a call; calls run in the order of submission."""
        queued = _Call(process, call, self._loop.create_future())
        self._queue.append(queued)
        self._loop.after(0.0, self._start_next)
        return queued.future

    def _start_next(self) -> None:
        if self._active is not None or self._stalled or not self._queue:
            return
        active = self._queue.popleft()
        self._active = active
        active.before = self.files.begin()
        try:
            active.result = active.call()
        except OSError as error:
            active.error = error
        active.operations = self.files.operations
        self._loop.after(self._duration_s(active.operations), self._finish, active)

    def _duration_s(self, operations: list[Operation]) -> float:
        syncs = sum(isinstance(operation, SyncFile | SyncFolder) for operation in operations)
        return CALL_S + sum(self._rng.uniform(*SYNC_S) for _ in range(syncs)) * self.slowdown

    def _finish(self, call: _Call) -> None:
        if self._active is not call:
            return
        if self._stalled:
            self._finish_due = True
            return
        self._finish_due = False
        self._active = None
        if call.error is None:
            self.on_finished()
        self._loop.call_in(call.process, _settle, call)
        self._start_next()

    def crash(self, power_lost: bool) -> None:
        """Drop all calls of a process that ended; the active one is done in part."""
        active = self._active
        self._active = None
        self._finish_due = False
        self._queue.clear()
        self.files.close_all()
        if active is not None and active.before is not None and active.operations is not None:
            done = self._rng.randint(0, len(active.operations))
            self.files.rewind(active.before, active.operations, done)
        if power_lost:
            self.files.lose_power()

    def wipe(self) -> None:
        """Erase all files."""
        full = self.files.full
        self.files = SimulatedFiles(self._rng)
        self.files.full = full


def _settle(call: _Call) -> None:
    """Set the result of a call's future; runs in the context of its process."""
    if call.future.done():
        return
    if call.error is not None:
        call.future.set_exception(call.error)
    else:
        call.future.set_result(call.result)
