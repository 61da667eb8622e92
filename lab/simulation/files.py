"""A simulated file system that loses data which was not synced when power is lost.

A power loss keeps, drops or tears each write since a file's last sync independently, and keeps or drops each
directory entry that was created since the directory's last sync. A process kill leaves the files unchanged.
"""

from __future__ import annotations

import errno
import itertools
import random
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Bytes were written to a file."""

    inode: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Truncate:
    """A file was truncated to length 0."""

    inode: int


@dataclass(frozen=True, slots=True)
class Create:
    """A file was created at a path."""

    inode: int
    path: Path


@dataclass(frozen=True, slots=True)
class SyncFile:
    """A file's content was synced."""

    inode: int


@dataclass(frozen=True, slots=True)
class SyncFolder:
    """The directory was synced: all its entries survive a power loss."""


Operation = WriteBytes | Truncate | Create | SyncFile | SyncFolder


class _WriteOutcome(Enum):
    """The effect of a power loss on a write that was not synced."""

    KEPT = auto()
    LOST = auto()
    TORN = auto()


@dataclass(frozen=True, slots=True)
class _File:
    """A file's current content, its last synced content, and the operations since the sync."""

    content: bytes = b""
    synced: bytes = b""
    unsynced: tuple[WriteBytes | Truncate, ...] = ()


@dataclass(frozen=True, slots=True)
class DiskImage:
    """A snapshot of all files and directory entries."""

    files: dict[int, _File]
    names: dict[Path, int]
    synced_names: dict[Path, int]


class SimulatedFiles:
    """One disk's files; implements `FileSystem`.

    Attributes
    ----------
    full
        Whether writes and new files are refused with `ENOSPC`.
    operations
        The operations since `begin`, to undo some of them on a crash.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._files: dict[int, _File] = {}
        self._names: dict[Path, int] = {}
        self._synced_names: dict[Path, int] = {}
        self._descriptors: dict[int, int] = {}
        self._inodes = itertools.count(1)
        self._next_descriptor = itertools.count(3)
        self.full = False
        self.operations: list[Operation] = []

    # `FileSystem`.

    def make_directory(self, folder: Path) -> None:
        """Do nothing: the file system has one directory."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or None if it does not exist."""
        inode = self._names.get(path)
        return None if inode is None else self._files[inode].content

    def open(self, path: Path) -> int:
        """Open a file, creating it if it does not exist; return its descriptor."""
        if path not in self._names:
            self._refuse_if_full()
            self._do(Create(next(self._inodes), path))
        descriptor = next(self._next_descriptor)
        self._descriptors[descriptor] = self._names[path]
        return descriptor

    def truncate(self, file: int) -> None:
        """Truncate an open file to length 0."""
        self._do(Truncate(self._descriptors[file]))

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write the data or a prefix of it; return the number of bytes written."""
        self._refuse_if_full()
        length = len(data)
        if length > 1 and self._rng.random() < 0.1:
            length = self._rng.randint(1, length - 1)
        self._do(WriteBytes(self._descriptors[file], offset, bytes(data[:length])))
        return length

    def sync(self, file: int) -> None:
        """Sync an open file."""
        self._do(SyncFile(self._descriptors[file]))

    def sync_data(self, file: int) -> None:
        """Sync an open file's content."""
        self._do(SyncFile(self._descriptors[file]))

    def sync_directory(self, folder: Path) -> None:
        """Sync the directory entries."""
        self._do(SyncFolder())

    def close(self, file: int) -> None:
        """Close a descriptor; has no effect if it was closed when its process ended."""
        self._descriptors.pop(file, None)

    def _refuse_if_full(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")

    # Crashes.

    def begin(self) -> DiskImage:
        """Begin a call that a crash may interrupt; return a snapshot of the files before it."""
        self.operations = []
        return DiskImage(dict(self._files), dict(self._names), dict(self._synced_names))

    def rewind(self, image: DiskImage, operations: list[Operation], done: int) -> None:
        """Restore an image, then repeat the first `done` of these operations."""
        self._files = dict(image.files)
        self._names = dict(image.names)
        self._synced_names = dict(image.synced_names)
        for operation in operations[:done]:
            self._apply(operation)

    def close_all(self) -> None:
        """Close all descriptors: the process ended."""
        self._descriptors.clear()

    def lose_power(self) -> None:
        """Keep, drop or tear each write, and keep or drop each entry, that was not synced."""
        for path, inode in list(self._names.items()):
            if self._synced_names.get(path) != inode and self._rng.random() < 0.5:
                del self._names[path]
        self._synced_names = dict(self._names)
        self._files = {inode: self._after_power_loss(file) for inode, file in self._files.items()}

    def _after_power_loss(self, file: _File) -> _File:
        content = file.synced
        for operation in file.unsynced:
            outcome = self._rng.choice(tuple(_WriteOutcome))
            if outcome is _WriteOutcome.LOST:
                continue
            if isinstance(operation, Truncate):
                content = b""
                continue
            data = operation.data
            if outcome is _WriteOutcome.TORN:
                data = data[: self._rng.randint(0, len(data))]
            content = _written(content, operation.offset, data)
        return _File(content, content)

    def _do(self, operation: Operation) -> None:
        self.operations.append(operation)
        self._apply(operation)

    def _apply(self, operation: Operation) -> None:
        match operation:
            case Create():
                self._files[operation.inode] = _File()
                self._names[operation.path] = operation.inode
            case WriteBytes():
                file = self._files[operation.inode]
                content = _written(file.content, operation.offset, operation.data)
                self._files[operation.inode] = _File(content, file.synced, (*file.unsynced, operation))
            case Truncate():
                file = self._files[operation.inode]
                self._files[operation.inode] = _File(b"", file.synced, (*file.unsynced, operation))
            case SyncFile():
                content = self._files[operation.inode].content
                self._files[operation.inode] = _File(content, content)
            case SyncFolder():
                self._synced_names = dict(self._names)


def _written(content: bytes, offset: int, data: bytes) -> bytes:
    """Return a file's content after a write; a gap before the offset is filled with zeros."""
    start = content[:offset].ljust(offset, b"\0")
    return start + data + content[offset + len(data) :]
