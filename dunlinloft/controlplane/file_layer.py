"""The file operations that a data directory needs, apart from the code that decides what is written.

`OsFileSystem` makes them on the operating system. The lab puts a simulated disk in its place, which loses
what was not synced, refuses writes or stalls.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o644


class FileSystem(Protocol):
    """File operations as POSIX has them. All may raise `OSError`."""

    def make_directory(self, directory: Path) -> None:
        """Create a folder with its parents, where it is not there yet."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None where there is no such file."""

    def open(self, path: Path) -> int:
        """Open a file for writing, created where it is missing; return its descriptor."""

    def truncate(self, file: int) -> None:
        """Set an open file's length to 0."""

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write at an offset; return how many bytes were written, which may be fewer than given."""

    def sync(self, file: int) -> None:
        """Wait until an open file's content and length are on the disk."""

    def sync_data(self, file: int) -> None:
        """Wait until an open file's content is on the disk, and its length where reading needs that."""

    def sync_directory(self, directory: Path) -> None:
        """Wait until a folder's entries are on the disk, so that new files are found after a crash."""

    def close(self, file: int) -> None:
        """Close a descriptor."""


class OsFileSystem:
    """The operating system's files."""

    def make_directory(self, directory: Path) -> None:
        """Create a folder with its parents, where it is not there yet."""
        directory.mkdir(parents=True, exist_ok=True)

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None where there is no such file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def open(self, path: Path) -> int:
        """Open a file for writing, created where it is missing; return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)

    def truncate(self, file: int) -> None:
        """Set an open file's length to 0."""
        os.ftruncate(file, 0)

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write at an offset; return how many bytes were written, which may be fewer than given."""
        return os.pwrite(file, data, offset)

    def sync(self, file: int) -> None:
        """Wait until an open file's content and length are on the disk."""
        os.fsync(file)

    def sync_data(self, file: int) -> None:
        """Wait until an open file's content is on the disk, and its length where reading needs that."""
        os.fdatasync(file)

    def sync_directory(self, directory: Path) -> None:
        """Wait until a folder's entries are on the disk, so that new files are found after a crash."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)


OS_FILE_SYSTEM = OsFileSystem()


def write_fully(files: FileSystem, file: int, data: bytes, offset: int) -> None:
    """Write all of `data` at an offset; one call may write less than it is given. Raises `OSError`."""
    remaining = memoryview(data)
    while remaining:
        written = files.write(file, remaining, offset)
        remaining = remaining[written:]
        offset += written
