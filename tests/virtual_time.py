"""An event loop in virtual time: when it is idle, its clock advances to the next timer at once.

Sockets are real. Both ends of each connection must belong to this loop, because it doesn't wait for data from
other threads or processes.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any


class _NonBlockingSelector(selectors.DefaultSelector):
    """Advances the virtual clock by a timeout instead of waiting for it."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0.0:
            # Loopback delivers written data before the write returns, but handshakes take a moment.
            ready = super().select(0.001)
            if not ready:
                self._advance(timeout)
        return ready if timeout is not None or ready else super().select(None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time()` is virtual, in seconds, starting at 0."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_NonBlockingSelector(self._advance))

    def _advance(self, seconds: float) -> None:
        self._now += seconds

    def time(self) -> float:
        return self._now


def run_in_virtual_time(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on an event loop in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(test)
