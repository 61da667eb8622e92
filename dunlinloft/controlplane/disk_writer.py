"""The thread that waits for the disk, so that the event loop never does."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

from absl import logging

from dunlinloft.controlplane.file_layer import OS_FILE_SYSTEM, FileSystem
from dunlinloft.controlplane.member_cache import CachedMembers, MemberCache
from dunlinloft.controlplane.store import MAX_LOG_BYTES, ReplicaStore
from dunlinloft.coordination.actions import Persist
from dunlinloft.coordination.records import DurableState, Record

DISK_RETRY_INTERVAL_S = 0.2  # after a write that the disk refused


class DiskWriter:
    """Writes a replica's records in the order in which they are queued; made by `open_disk_writer`.

    Parameters
    ----------
    executor:
        The one thread on which all calls wait for the disk, in the order in which they were made.
    durable:
        The durable state as it was recovered.
    store, cache:
        None for a process without a data directory: its records count as durable at once.
    """

    def __init__(
        self,
        executor: ThreadPoolExecutor,
        durable: DurableState,
        store: ReplicaStore | None = None,
        cache: MemberCache | None = None,
    ) -> None:
        self.durable = durable
        self._executor = executor
        self._store = store
        self._cache = cache
        self._pending: list[Persist] = []
        self._wake = asyncio.Event()

    async def read_members(self) -> CachedMembers:
        """The servers and nodes that were known before this start."""
        if self._cache is None:
            return CachedMembers()
        return await asyncio.get_running_loop().run_in_executor(self._executor, self._cache.read)

    async def write_members(self, members: CachedMembers) -> None:
        """Cache the servers and nodes known now. An `OSError` is logged and ignored: this is soft state."""
        if self._cache is None:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(self._executor, self._cache.write, members)
        except OSError as error:
            logging.warning("event=disk_refused at=servers error=%s", error)

    def write(self, action: Persist) -> None:
        """Queue a record that the replica wants to be durable."""
        self._pending.append(action)
        self._wake.set()

    async def run(self, on_persisted: Callable[[int], None]) -> None:
        """Write what is queued, many records in one sync, and call `on_persisted` with each one's token.

        One of the control plane's essential loops; it never ends.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch = self._pending
            self._pending = []
            if not batch:
                continue
            if self._store is not None:
                await self._append(self._store, [action.record for action in batch])
            for action in batch:
                on_persisted(action.token)

    async def _append(self, store: ReplicaStore, records: list[Record]) -> None:
        """Append records, retrying until the disk accepts them."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(self._executor, store.append, records)
                return
            except OSError as error:
                logging.error("event=disk_refused at=write error=%s", error)
                await asyncio.sleep(DISK_RETRY_INTERVAL_S)


@asynccontextmanager
async def open_disk_writer(
    directory: Path | None,
    first_incarnation: str | None,
    files: FileSystem = OS_FILE_SYSTEM,
    max_log_bytes: int = MAX_LOG_BYTES,
) -> AsyncIterator[DiskWriter]:
    """Recover a data directory and write to it until the context ends; a write in progress is waited for.

    Parameters
    ----------
    directory:
        The data directory; None for a process whose state doesn't outlive it.
    first_incarnation, files, max_log_bytes:
        See `ReplicaStore`.

    Raises
    ------
    StoreError
        The directory was written in another format. Refusals by the disk are retried.
    """
    with ThreadPoolExecutor(1, "disk") as executor:
        if directory is None:
            yield DiskWriter(executor, DurableState(first_incarnation or ""))
            return
        loop = asyncio.get_running_loop()
        open_store = partial(ReplicaStore, directory, first_incarnation, files, max_log_bytes)
        store = await _open_store(executor, open_store)
        try:
            yield DiskWriter(executor, store.durable, store, MemberCache(directory, files))
        finally:
            # Queued behind the write in progress, which needs the file open.
            loop.run_in_executor(executor, store.close)


async def _open_store(executor: ThreadPoolExecutor, open_store: Callable[[], ReplicaStore]) -> ReplicaStore:
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await loop.run_in_executor(executor, open_store)
        except OSError as error:
            logging.error("event=disk_refused at=open error=%s", error)
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
