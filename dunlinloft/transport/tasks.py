"""Ownership of background tasks: the owner that starts a task also cancels and awaits it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any

from absl import logging


async def run_essential(loop: Coroutine[Any, Any, None], node_name: str) -> None:
    """Run a loop that the process depends on.

    Raises
    ------
    SystemExit
        The loop failed. The failure is logged and the process exits, so that the platform restarts it.
        Without the loop, the process would appear healthy but do only part of its work.
    """
    try:
        await loop
    except asyncio.CancelledError:
        raise
    except Exception:
        logging.exception("event=loop_failed node=%s", node_name)
        raise SystemExit(1) from None


class BackgroundTasks:
    """Owns tasks that run until its context exits; then all are cancelled and awaited.

    Not an `asyncio.TaskGroup`, which waits for its tasks if the body ends normally, and cancels the body if a
    task fails. The tasks here are loops that never end by themselves, and `run_essential` handles failures.
    """

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[None], None] = {}  # in start order

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task owned here; the caller may cancel it earlier."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def __aenter__(self) -> BackgroundTasks:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
