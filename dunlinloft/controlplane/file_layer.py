"""The file operations that a data directory needs, behind an interface.

`OsFileSystem` implements them with system calls. The lab substitutes a simulated disk that loses unsynced
data, fails writes or stalls.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o644


class FileSystem(Protocol):
    """File operations with POSIX semantics. All may raise `OSError`."""

    def make_directory(self, directory: Path) -> None:
        """Create a directory and its parents if they don't exist."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None if it doesn't exist."""

    def open(self, path: Path) -> int:
        """Open a file for writing, creating it if it doesn't exist; return its descriptor."""

    def truncate(self, file: int) -> None:
        """Truncate an open file to length 0."""

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write at an offset; return the number of bytes written, which may be less than `len(data)`."""

    def sync(self, file: int) -> None:
        """Flush an open file's content and metadata to disk (fsync)."""

    def sync_data(self, file: int) -> None:
        """Flush an open file's content, and the metadata needed to read it, to disk (fdatasync)."""

    def sync_directory(self, directory: Path) -> None:
        """Flush a directory's entries to disk, so that newly created files survive a crash."""

    def close(self, file: int) -> None:
        """Close a file descriptor."""


class OsFileSystem:
    """`FileSystem` on the operating system's files."""

    def make_directory(self, directory: Path) -> None:
        """Create a directory and its parents if they don't exist."""
        directory.mkdir(parents=True, exist_ok=True)

    def read(self, path: Path) -> bytes | None:
        """Return a file's content; None if it doesn't exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def open(self, path: Path) -> int:
        """Open a file for writing, creating it if it doesn't exist; return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)

    def truncate(self, file: int) -> None:
        """Truncate an open file to length 0."""
        os.ftruncate(file, 0)

    def write(self, file: int, data: memoryview, offset: int) -> int:
        """Write at an offset; return the number of bytes written, which may be less than `len(data)`."""
        return os.pwrite(file, data, offset)

    def sync(self, file: int) -> None:
        """Flush an open file's content and metadata to disk (fsync)."""
        os.fsync(file)

    def sync_data(self, file: int) -> None:
        """Flush an open file's content, and the metadata needed to read it, to disk (fdatasync)."""
        os.fdatasync(file)

    def sync_directory(self, directory: Path) -> None:
        """Flush a directory's entries to disk, so that newly created files survive a crash."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, file: int) -> None:
        """Close a file descriptor."""
        os.close(file)


OS_FILE_SYSTEM = OsFileSystem()


def write_fully(files: FileSystem, file: int, data: bytes, offset: int) -> None:
    """Write all of `data` at an offset, continuing after short writes. Raises `OSError`."""
    remaining = memoryview(data)
    while remaining:
        written = files.write(file, remaining, offset)
        remaining = remaining[written:]
        offset += written
