"""Ownership of background tasks: who starts one cancels it and waits for its end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any

from absl import logging


async def run_essential(loop: Coroutine[Any, Any, None], node_name: str) -> None:
    """Run a loop that the process can't do without.

    Raises
    ------
    SystemExit
        The loop failed: this is logged, and the process ends, as the platform starts it again. Going on
        without the loop would leave a process that looks healthy and does only some of its work.
    """
    try:
        await loop
    except asyncio.CancelledError:
        raise
    except Exception:
        logging.exception("event=loop_failed node=%s", node_name)
        raise SystemExit(1) from None


class BackgroundTasks:
    """Owns tasks that run until its context ends: then all are cancelled and awaited.

    Not `asyncio.TaskGroup`, which waits for its tasks where the body ends normally and cancels the body where
    one of them fails: these loops never end by themselves, and `run_essential` says what a failure means.
    """

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[None], None] = {}  # in the order in which they were started

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this owner; the caller may cancel it earlier."""
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
