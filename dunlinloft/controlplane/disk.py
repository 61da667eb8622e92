"""The thread that waits for the disk, so that the event loop never does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from absl import logging

from dunlinloft.controlplane.known_members import Known, KnownMembers
from dunlinloft.controlplane.store import Store
from dunlinloft.coordination.messages import Durable, Record
from dunlinloft.coordination.stream import NodeSeen, ServerRecord

RETRY_S = 0.2  # after a write that the disk refused


class Disk:
    """Writes records in the order given. Without a folder, nothing outlives the process."""

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._store: Store | None = None
        self._known = None if folder is None else KnownMembers(folder)
        self._thread = ThreadPoolExecutor(1, "disk")
        self._waiting: list[tuple[int, Record]] = []
        self._wake = asyncio.Event()

    async def open(self, first_incarnation: str | None) -> Durable:
        """Recover what there is; a disk that refuses is asked until it doesn't."""
        loop = asyncio.get_running_loop()
        if self._folder is None:
            return Durable(first_incarnation or "")
        while True:
            try:
                self._store = await loop.run_in_executor(self._thread, Store, self._folder, first_incarnation)
            except OSError as error:
                logging.error("event=disk_refused at=open error=%s", error)
                await asyncio.sleep(RETRY_S)
            else:
                return self._store.durable

    async def known(self) -> Known:
        """The servers and nodes that were known before this start."""
        if self._known is None:
            return Known()
        return await asyncio.get_running_loop().run_in_executor(self._thread, self._known.read)

    async def remember(self, servers: tuple[ServerRecord, ...], nodes: tuple[NodeSeen, ...]) -> None:
        """Write down what is known now; a disk that refuses is no matter."""
        if self._known is None:
            return
        loop, known = asyncio.get_running_loop(), Known(servers, nodes)
        try:
            await loop.run_in_executor(self._thread, self._known.write, known)
        except OSError as error:
            logging.warning("event=disk_refused at=servers error=%s", error)

    def write(self, token: int, record: Record) -> None:
        """Queue a record."""
        self._waiting.append((token, record))
        self._wake.set()

    async def run(self, persisted: Callable[[int], None]) -> None:
        """Write what is queued, many at a time, and tell of each once it lasts."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._waiting = self._waiting, []
            if not batch:
                continue
            records = [record for _, record in batch]
            while self._store is not None:
                try:
                    await loop.run_in_executor(self._thread, self._store.append, records)
                    break
                except OSError as error:
                    logging.error("event=disk_refused at=write error=%s", error)
                    await asyncio.sleep(RETRY_S)
            for token, _ in batch:
                persisted(token)
