"""Processes that keep a core busy, so that a node's processes get only a share of it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from pathlib import Path

from lab.processes.child import Child, environment, hog_command


class CpuHogs:
    """The hogs of all nodes. `ProcessHost` owns it.

    Parameters
    ----------
    folder
        Where the hogs keep their log.
    lifetime_s
        After which a hog ends by itself.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, lifetime_s: float) -> None:
        self._loop = loop
        self._folder = folder
        self._lifetime_s = lifetime_s
        self._hogs: dict[str, list[Child]] = {}  # by node

    def set_share(self, node: str, children: Iterable[Child], share: float) -> None:
        """Leave a node's processes a share of one core; with a share of 1, all cores."""
        for hog in self._hogs.pop(node, []):
            hog.close()
        all_cores = os.sched_getaffinity(0)
        cores = {max(all_cores)} if share < 1.0 else all_cores
        for child in children:
            if child.alive():
                os.sched_setaffinity(child.pid, cores)
        if share < 1.0:
            self._hogs[node] = [self._start(cores) for _ in range(round(1.0 / share) - 1)]

    def _start(self, cores: set[int]) -> Child:
        log = self._folder / "hogs.log"
        hog = Child(self._loop, hog_command(self._lifetime_s), environment(self._folder), log, ())
        os.sched_setaffinity(hog.pid, cores)
        return hog

    def close(self) -> None:
        """End all hogs."""
        for hogs in self._hogs.values():
            for hog in hogs:
                hog.close()
