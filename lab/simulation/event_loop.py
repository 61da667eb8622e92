"""An asyncio event loop in virtual time that runs the tasks of many simulated processes.

A callback belongs to the process in whose context it was scheduled. Callbacks of a killed process are
dropped, those of a frozen one are deferred until it is thawed, and timers follow the process's own clock.
Connections, listeners and blocking calls are simulated: the loop uses no sockets, threads or system clock.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from lab.control.invariants import InvariantViolation
from lab.simulation.process import CURRENT_PROCESS, SimulatedProcess

MAX_CALLBACKS_AT_ONCE = 100_000  # limit without an advance of time, to detect endless loops
MIN_TASKS_BEFORE_PURGE = 256  # number of references to tasks before finished ones are purged

Connect = Callable[[SimulatedProcess, Callable[[], asyncio.BaseProtocol], str, int], Coroutine[Any, Any, Any]]
Listen = Callable[[SimulatedProcess, Callable[[], asyncio.BaseProtocol], str, int], Any]


class ProcessFailure(Exception):
    """A process exited unexpectedly, or one of its tasks failed with an unhandled error."""


class SimulatedEventLoop(asyncio.AbstractEventLoop):
    """The event loop that all simulated processes and their environment share.

    Attributes
    ----------
    now_s
        The simulated time in seconds.
    connect, listen
        Create connections and listeners; set by `Network`.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.connect: Connect | None = None
        self.listen: Listen | None = None
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.Handle]] = []
        self._sequence = itertools.count()
        self._outside = contextvars.Context()
        self._tasks: list[asyncio.Task[Any]] = []
        self._purge_at = MIN_TASKS_BEFORE_PURGE
        self._failure: Exception | None = None
        self._closed = False
        self._callbacks_at_once = 0  # callbacks run since time last advanced

    # Execution.

    def run_until(self, until_s: float) -> None:
        """Advance virtual time. Raises `ProcessFailure`, and exceptions of callbacks outside of processes."""
        events._set_running_loop(self)
        try:
            while True:
                self._run_ready()
                if not self._timers or self._timers[0][0] > until_s:
                    break
                when_s, _, handle = heapq.heappop(self._timers)
                if not handle.cancelled():
                    self._advance(when_s)
                    self._ready.append(handle)
            self.now_s = until_s
        finally:
            events._set_running_loop(None)

    def _advance(self, when_s: float) -> None:
        if when_s > self.now_s:
            self.now_s = when_s
            self._callbacks_at_once = 0

    def _run_ready(self) -> None:
        while self._ready:
            handle = self._ready.popleft()
            if not handle.cancelled():
                self._dispatch(handle)
            if self._failure is not None:
                raise self._failure
            self._callbacks_at_once += 1
            if self._callbacks_at_once > MAX_CALLBACKS_AT_ONCE:
                raise ProcessFailure(f"no time passes at {self.now_s:.3f} s: {handle}")

    def _dispatch(self, handle: asyncio.Handle) -> None:
        process = _process_of(handle)
        if process is not None:
            if not process.alive:
                return
            if process.frozen:
                process.deferred.append(handle)
                return
        try:
            handle._run()
        except SystemExit:
            assert process is not None
            self.fail(ProcessFailure(f"{process.name} ended by itself"))

    def thaw(self, process: SimulatedProcess) -> None:
        """Resume a frozen process; deferred callbacks run in the order in which they were due."""
        process.frozen = False
        deferred = process.deferred
        process.deferred = []
        self._ready.extend(deferred)

    def close(self) -> None:
        """Drop all callbacks and close suspended coroutines; what their cleanup schedules has no effect."""
        self._closed = True
        self._ready.clear()
        self._timers.clear()
        for task in self._tasks:
            if not task.done():
                try:
                    task.get_coro().close()
                except RuntimeError:
                    continue  # the coroutine awaits during its cleanup
        self._tasks.clear()

    # Scheduling.

    def time(self) -> float:
        """Return the current process's clock in seconds; outside of processes the simulated time."""
        process = CURRENT_PROCESS.get()
        return self.now_s if process is None else process.clock.local(self.now_s)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for now."""
        handle = asyncio.Handle(callback, args, self, context)
        if not self._closed:
            self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay by the current process's clock."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time of the current process's clock."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        process = CURRENT_PROCESS.get()
        when_s = when if process is None else process.clock.simulated(when)
        if not self._closed:
            heapq.heappush(self._timers, (when_s, next(self._sequence), handle))
        return handle

    def after(self, delay_s: float, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback outside of all processes."""
        handle = asyncio.Handle(callback, args, self, self._outside)
        if not self._closed:
            heapq.heappush(self._timers, (self.now_s + delay_s, next(self._sequence), handle))

    def outside_context(self) -> contextvars.Context:
        """Return a new context that belongs to no process."""
        return self._outside.copy()

    def call_in(self, process: SimulatedProcess, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback of a process for now."""
        self.call_soon(callback, *args, context=process.context)

    def start_in(self, process: SimulatedProcess, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task of a process."""
        return self.create_task(coroutine, context=process.context.copy())

    def start_outside(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task outside of all processes."""
        return self.create_task(coroutine, context=self._outside.copy())

    # The part of the event loop interface that asyncio uses.

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        """Start a task. It is referenced until it is done, so that it isn't garbage-collected before."""
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._tasks.append(task)
        if len(self._tasks) > self._purge_at:
            self._tasks = [each for each in self._tasks if not each.done()]
            self._purge_at = max(MIN_TASKS_BEFORE_PURGE, 2 * len(self._tasks))
        return task

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Run a blocking call on the process's simulated disk, whatever the executor."""
        process = CURRENT_PROCESS.get()
        if self._closed or process is None or process.blocking_calls is None:
            return self.create_future()
        return process.blocking_calls.submit(process, lambda: func(*args))

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        """Connect to a simulated listener. Raises `ConnectionRefusedError` if there is none."""
        process = CURRENT_PROCESS.get()
        assert self.connect is not None and process is not None
        return await self.connect(process, protocol_factory, host, port)

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        """Listen at a simulated address."""
        process = CURRENT_PROCESS.get()
        assert self.listen is not None and process is not None
        return self.listen(process, protocol_factory, host, port)

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., object], *args: Any
    ) -> None:
        """Set the current process's handler of a signal."""
        process = CURRENT_PROCESS.get()
        assert process is not None
        process.signal_handlers[sig] = lambda: callback(*args)

    def fail(self, error: Exception) -> None:
        """End the simulation with an error; later errors are ignored."""
        if not self._closed and self._failure is None:
            self._failure = error

    @contextmanager
    def reporting(self) -> Iterator[None]:
        """End the simulation on an invariant violation, even if the process suppresses the exception."""
        try:
            yield
        except InvariantViolation as violation:
            self.fail(violation)
            raise

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """End the simulation with an unhandled error."""
        error = context.get("exception")
        if isinstance(error, InvariantViolation):
            self.fail(error)
            return
        failure = ProcessFailure(f"{context.get('message')}: {error!r}")
        failure.__cause__ = error
        self.fail(failure)

    def get_debug(self) -> bool:
        """Return False: debug mode is not supported."""
        return False

    def is_running(self) -> bool:
        """Return whether the loop is open."""
        return not self._closed

    def is_closed(self) -> bool:
        """Return whether the loop was closed."""
        return self._closed

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing on `TimerHandle.cancel`: cancelled handles are skipped when they are due."""


def _process_of(handle: asyncio.Handle) -> SimulatedProcess | None:
    return handle._context.get(CURRENT_PROCESS)  # type: ignore[attr-defined,no-any-return]
