"""An event loop whose clock jumps to the next timer when nothing else is to be done.

Sockets are real; all their ends must belong to this loop, as what another thread or process is about
to send would count as never coming.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """Never waits: what it would have waited for passes at once."""

    def __init__(self, passed: Callable[[float], None]) -> None:
        super().__init__()
        self._passed = passed

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        found = super().select(0)
        if not found and timeout is not None and timeout > 0.0:
            # Loopback delivers what a call has written before that call returns, but for handshakes.
            found = super().select(0.001)
            if not found:
                self._passed(timeout)
        return found if timeout is not None or found else super().select(None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """`time()` is virtual, in seconds from 0."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_JumpingSelector(self._pass))

    def _pass(self, seconds: float) -> None:
        self._now += seconds

    def time(self) -> float:
        return self._now


def run_in_virtual_time(test: Coroutine[Any, Any, None]) -> None:
    """Run a test in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(test)
