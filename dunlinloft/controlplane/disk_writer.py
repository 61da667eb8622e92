"""Performs blocking disk writes on a separate thread, so that the event loop never blocks on the disk."""

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

DISK_RETRY_INTERVAL_S = 0.2  # after a failed disk operation


class DiskWriter:
    """Writes a replica's records in the order in which they were queued; created by `open_disk_writer`.

    Parameters
    ----------
    executor:
        A single thread that runs all blocking disk calls in submission order.
    durable:
        The recovered durable state.
    store, cache:
        None for a process without a data directory; its records count as durable immediately.
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
        """Read the servers and nodes that were cached before this start."""
        if self._cache is None:
            return CachedMembers()
        return await asyncio.get_running_loop().run_in_executor(self._executor, self._cache.read)

    async def write_members(self, members: CachedMembers, sync: bool = False) -> None:
        """Cache the known servers and nodes. An `OSError` is logged and ignored: this is soft state."""
        if self._cache is None:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(self._executor, self._cache.write, members, sync)
        except OSError as error:
            logging.warning("event=disk_refused at=servers error=%s", error)

    def write(self, action: Persist) -> None:
        """Queue a record that the replica has to persist."""
        self._pending.append(action)
        self._wake.set()

    async def run(self, on_persisted: Callable[[int], None]) -> None:
        """Write queued records, one sync per batch, and call `on_persisted` with the token of each record.

        This is one of the control plane's essential loops and runs until it is cancelled.
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
        """Append records, retrying until the write succeeds."""
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
    """Recover a data directory and provide its writer; on exit, wait for a write in progress.

    Parameters
    ----------
    directory:
        The data directory; None for a process that keeps its state in memory only.
    first_incarnation, files, max_log_bytes:
        See `ReplicaStore`.

    Raises
    ------
    StoreError
        The directory was written in another format. An `OSError` is logged and the operation retried.
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
            # Queued on the executor behind a write in progress, which still needs the open file.
            loop.run_in_executor(executor, store.close)


async def _open_store(executor: ThreadPoolExecutor, open_store: Callable[[], ReplicaStore]) -> ReplicaStore:
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await loop.run_in_executor(executor, open_store)
        except OSError as error:
            logging.error("event=disk_refused at=open error=%s", error)
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
