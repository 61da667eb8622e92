"""Liveness and socket counts of a node's processes, several of which run at once during an upgrade.

Each process locks a file of its own in a shared directory, and writes its number of open sockets there. The
kernel releases the lock however the process ends, so a file without a lock means nothing.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
from pathlib import Path

MAX_PROCESSES = 8  # of one node at once: an upgrade may be retried while earlier processes still drain
LOCK_FILE_NAME = "orchidferry.{}.lock"  # by slot; shared with an older release that runs at the same time
NO_FILE = -1
SOCKET_COUNT_WIDTH = 8  # characters


def inherited_socket(value: str | None) -> socket.socket | None:
    """Return the listening socket whose descriptor `NODE_ACCEPT_FD` gives; None if that is not set.

    Raises `OSError` if the descriptor is not a socket.
    """
    if not value:
        return None
    try:
        return socket.socket(fileno=int(value))
    except (ValueError, OSError) as error:
        raise OSError(f"NODE_ACCEPT_FD {value!r:.20} is not a socket: {error}") from None


class Siblings:
    """The processes of this node, each with a slot of its own, as seen by one of them."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._own_slot = NO_FILE
        self._own_lock = NO_FILE  # descriptor, which is open while the lock is held
        for slot in range(MAX_PROCESSES):
            file = self._lock(slot, fcntl.LOCK_EX, os.O_CREAT)
            if file != NO_FILE:
                self._own_slot = slot
                self._own_lock = file
                break

    def _path(self, slot: int) -> Path:
        return self._directory / LOCK_FILE_NAME.format(slot)

    def _lock(self, slot: int, kind: int, flags: int = 0) -> int:
        """Lock a slot's file; return `NO_FILE` if it doesn't exist or another process holds the lock."""
        try:
            file = os.open(self._path(slot), os.O_RDWR | os.O_CLOEXEC | flags, 0o600)
        except OSError:
            return NO_FILE
        try:
            fcntl.flock(file, kind | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return NO_FILE
        return file

    def publish_socket_count(self, sockets: int) -> None:
        """Publish this process's number of open sockets to the others."""
        if self._own_lock != NO_FILE:
            with contextlib.suppress(OSError):
                os.pwrite(self._own_lock, f"{sockets:<{SOCKET_COUNT_WIDTH}}".encode(), 0)

    def others(self) -> list[int]:
        """Return the published number of open sockets of each other live process."""
        alive: list[int] = []
        for slot in range(MAX_PROCESSES):
            if slot == self._own_slot or not self._path(slot).exists():
                continue
            file = self._lock(slot, fcntl.LOCK_SH)
            if file != NO_FILE:
                os.close(file)
            else:
                alive.append(self._read_socket_count(slot))
        return alive

    def _read_socket_count(self, slot: int) -> int:
        try:
            return int(self._path(slot).read_bytes()[:SOCKET_COUNT_WIDTH])
        except (OSError, ValueError):
            return 0  # it has just started and not published a count yet

    def leave(self) -> None:
        """Release the lock, so that the others no longer count this process."""
        if self._own_lock != NO_FILE:
            with contextlib.suppress(OSError):
                os.close(self._own_lock)
            self._own_lock = NO_FILE
