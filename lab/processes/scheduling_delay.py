"""Detects that this process or the nodes' processes are not scheduled in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from lab.processes.child import Child

CHECK_INTERVAL_S = 0.05  # of this process's event loop
CORE_WAIT_CHECK_INTERVAL_S = 0.25
REPORTED_DELAY_MS = 20.0  # longer delays are reported


async def watch_event_loop(loop: asyncio.AbstractEventLoop, report: Callable[[float], None]) -> None:
    """Report, in milliseconds, how late this process's timers are; runs until it is cancelled."""
    due_s = loop.time() + CHECK_INTERVAL_S
    while True:
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        late_ms = (loop.time() - due_s) * 1_000.0
        if late_ms > REPORTED_DELAY_MS:
            report(late_ms)
        due_s = loop.time() + CHECK_INTERVAL_S


async def watch_core_waits(
    children: Mapping[str, Sequence[Child]], report: Callable[[str, float], None]
) -> None:
    """Report how long each node's processes waited for a core; runs until it is cancelled.

    Parameters
    ----------
    children
        The processes of each node, which may change while this runs.
    report
        Called with the node and the milliseconds.
    """
    for processes in children.values():
        for child in processes:
            child.waited_ms()  # what came before doesn't count
    while True:
        await asyncio.sleep(CORE_WAIT_CHECK_INTERVAL_S)
        for name, processes in children.items():
            for child in processes:
                waited_ms = child.waited_ms() if child.alive() else 0.0
                if waited_ms > REPORTED_DELAY_MS:
                    report(name, waited_ms)
