"""A simulated file system that loses, at a loss of power, what was not synced.

Each write since a file's last sync is then kept, lost or torn by itself; names are lost or kept by
themselves until their folder is synced. A process that is killed leaves everything as it was.
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
    """Bytes were written into a file."""

    inode: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Truncate:
    """A file's length was set to 0."""

    inode: int


@dataclass(frozen=True, slots=True)
class Create:
    """A file was made under a name."""

    inode: int
    path: Path


@dataclass(frozen=True, slots=True)
class SyncFile:
    """A file's content was synced."""

    inode: int


@dataclass(frozen=True, slots=True)
class SyncFolder:
    """The folder was synced: all names in it last."""


Operation = WriteBytes | Truncate | Create | SyncFile | SyncFolder


class _WriteOutcome(Enum):
    """What becomes of one write that was not synced."""

    KEPT = auto()
    LOST = auto()
    TORN = auto()


@dataclass(frozen=True, slots=True)
class _File:
    """A file's content as processes see it, as it was synced last, and what was done since."""

    content: bytes = b""
    synced: bytes = b""
    unsynced: tuple[WriteBytes | Truncate, ...] = ()


@dataclass(frozen=True, slots=True)
class DiskImage:
    """All files at one moment."""

    files: dict[int, _File]
    names: dict[Path, int]
    synced_names: dict[Path, int]


class SimulatedFiles:
    """One disk's files; implements `FileSystem`.

    Attributes
    ----------
    full
        Whether every write and every new file is refused.
    operations
        What was done since `begin`, for a crash in the middle.
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
        """Do nothing: there is one folder."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None where there is no such file."""
        inode = self._names.get(path)
        return None if inode is None else self._files[inode].content

    def open(self, path: Path) -> int:
        """Open a file, created where it is missing; return its descriptor."""
        if path not in self._names:
            self._refuse_if_full()
            self._do(Create(next(self._inodes), path))
        descriptor = next(self._next_descriptor)
        self._descriptors[descriptor] = self._names[path]
        return descriptor

    def truncate(self, file: int) -> None:
        """Set an open file's length to 0."""
        self._do(Truncate(self._descriptors[file]))

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write some or all of the data."""
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
        """Sync the names."""
        self._do(SyncFolder())

    def close(self, file: int) -> None:
        """Close a descriptor; one of a process that has ended is closed already."""
        self._descriptors.pop(file, None)

    def _refuse_if_full(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")

    # The disk itself.

    def begin(self) -> DiskImage:
        """Begin a call of which only a part may be done before a crash; return what was there before."""
        self.operations = []
        return DiskImage(dict(self._files), dict(self._names), dict(self._synced_names))

    def rewind(self, image: DiskImage, operations: list[Operation], done: int) -> None:
        """Go back to an image, and do the first of these operations again."""
        self._files = dict(image.files)
        self._names = dict(image.names)
        self._synced_names = dict(image.synced_names)
        for operation in operations[:done]:
            self._apply(operation)

    def close_all(self) -> None:
        """Close all descriptors, as the process has ended."""
        self._descriptors.clear()

    def lose_power(self) -> None:
        """Lose what was not synced, each write and each name by itself."""
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
    """Return a file's content after a write; a gap before it is filled with zeros."""
    start = content[:offset].ljust(offset, b"\0")
    return start + data + content[offset + len(data) :]
