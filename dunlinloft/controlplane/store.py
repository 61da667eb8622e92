"""Writes a replica's durable state to its data directory; `data_directory` describes the files."""

from __future__ import annotations

import os
import secrets
from pathlib import Path
from types import TracebackType

import msgspec

from dunlinloft.controlplane.data_directory import (
    FORMAT_VERSION,
    LogRecord,
    RecoveredState,
    Snapshot,
    encode_frame,
    log_path,
    recover,
    snapshot_path,
)
from dunlinloft.controlplane.file_layer import OS_FILE_SYSTEM, FileSystem, write_fully
from dunlinloft.coordination.records import DurableState, Record, apply_record
from dunlinloft.coordination.views import Member, View

MAX_LOG_BYTES = 4 * 1024 * 1024  # bounds recovery time; a longer log is compacted
NEW_EPOCHS_FILE = "begun-anew.log"  # one line per epoch that an operator started here


class ReplicaStore:
    """An open data directory.

    Methods block on disk I/O; `DiskWriter` calls them on its thread. As a context manager, it closes its log
    file on exit.
    """

    def __init__(
        self,
        directory: Path,
        first_incarnation: str | None,
        files: FileSystem = OS_FILE_SYSTEM,
        max_log_bytes: int = MAX_LOG_BYTES,
    ) -> None:
        """Recover the state from the directory, or create one, and write it to the other slot.

        Parameters
        ----------
        first_incarnation:
            Incarnation for an empty directory at the first start of the control plane. None: an empty
            directory gets a new incarnation, which has made no promises to other replicas.
        files:
            Performs the file operations.
        max_log_bytes:
            Log size above which the log is compacted into the other slot.

        Raises
        ------
        OSError
            A file operation failed.
        StoreError
            The directory was written in another format.
        """
        self._directory = directory
        self._files = files
        self._max_log_bytes = max_log_bytes
        files.make_directory(directory)
        recovered = recover(directory, files)
        if recovered is None:
            recovered = RecoveredState(DurableState(first_incarnation or secrets.token_hex(8)), 1, 0)
        self.durable = recovered.durable
        self._slot = recovered.slot
        self._generation = recovered.generation
        self._log: int | None = None  # file descriptor
        self._next_number = 0
        self._log_bytes = 0
        self._switch_slot()

    def __enter__(self) -> ReplicaStore:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the log. All appended records are already synced."""
        if self._log is not None:
            self._files.close(self._log)
            self._log = None

    def append(self, records: list[Record]) -> None:
        """Write and sync records, then apply them to `durable`.

        Raises `OSError` if a file operation fails; `durable` is then unchanged, and the same call may be
        retried.
        """
        if self._log_bytes > self._max_log_bytes:
            self._switch_slot()
        assert self._log is not None
        number = self._next_number
        data = b""
        for record in records:
            data += encode_frame(msgspec.json.encode(LogRecord(self._generation, number, record)))
            number += 1
        write_fully(self._files, self._log, data, self._log_bytes)
        self._files.sync_data(self._log)
        self._log_bytes += len(data)
        self._next_number = number
        for record in records:
            apply_record(self.durable, record)

    def write_snapshot(self) -> None:
        """Write the current `durable` to the other slot. Raises `OSError`."""
        self._switch_slot()

    def _switch_slot(self) -> None:
        """Write the state to the other slot and start an empty log there.

        The slot in use is not modified before the other one is synced, so a crash at any point leaves at
        least one valid slot.
        """
        slot = 1 - self._slot
        generation = self._generation + 1
        body = msgspec.json.encode(Snapshot(FORMAT_VERSION, generation, self.durable))
        self._write_file(snapshot_path(self._directory, slot), encode_frame(body))
        log = self._files.open(log_path(self._directory, slot))
        try:
            self._files.truncate(log)
            self._files.sync(log)
        except OSError:
            self._files.close(log)
            raise
        self.close()
        self._log = log
        self._slot = slot
        self._generation = generation
        self._next_number = 0
        self._log_bytes = 0
        self._files.sync_directory(self._directory)

    def _write_file(self, path: Path, data: bytes) -> None:
        """Overwrite a file's content and sync it."""
        file = self._files.open(path)
        try:
            self._files.truncate(file)
            write_fully(self._files, file, data, 0)
            self._files.sync(file)
        finally:
            self._files.close(file)


def begin_new_epoch(directory: Path, address: str, epoch: int) -> Member:
    """Start a new epoch whose only member is this data directory in a new incarnation; return that member.

    Used by the operator (`dunlinloft state begin`) after more disks were lost than the deployment tolerates;
    state that only the lost disks had is gone. The epoch is recorded in the directory's `NEW_EPOCHS_FILE`.

    Raises
    ------
    OSError
        A file operation failed.
    StoreError
        The directory was written in another format.
    """
    incarnation = secrets.token_hex(8)
    member = Member(address, incarnation)
    with ReplicaStore(directory, None) as store:
        durable = store.durable
        durable.incarnation = incarnation
        durable.view = View(epoch, (member,), (member,), 1)
        durable.promised = None
        durable.accepted = None
        durable.synced_epoch = 0
        durable.committed_digest = durable.state.chain_digest
        store.write_snapshot()
    with (directory / NEW_EPOCHS_FILE).open("a") as log:
        log.write(f"epoch {epoch} begun from version {durable.state.version} as {member.id}\n")
        log.flush()
        os.fsync(log.fileno())
    return member
