"""Two processes of one node during an upgrade: how each knows that the other is alive.

Each locks a file of its own in the folder that they share, and writes there how many sockets it has open.
The kernel releases the lock however the process ends, so a file left behind means nothing.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
from pathlib import Path

MAX_PROCESSES = 8  # of one node at once: an upgrade may be tried again while others still end
LOCK_FILE_NAME = "orchidferry.{}.lock"  # by slot; an older release beside this one uses the same name
NO_FILE = -1
SOCKET_COUNT_WIDTH = 8  # characters


def handed_socket(value: str | None) -> socket.socket | None:
    """Return the listening socket that the platform holds for all processes; None where it holds none.

    Raises `OSError` where the value names no socket.
    """
    if not value:
        return None
    try:
        return socket.socket(fileno=int(value))
    except (ValueError, OSError) as problem:
        raise OSError(f"NODE_ACCEPT_FD {value!r:.20} is no socket: {problem}") from None


class Siblings:
    """This process among those of its node, each with a slot of its own."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._own_slot = NO_FILE
        self._own_file = NO_FILE  # open while its lock is held
        for slot in range(MAX_PROCESSES):
            file = self._lock(slot, fcntl.LOCK_EX, os.O_CREAT)
            if file != NO_FILE:
                self._own_slot = slot
                self._own_file = file
                break

    def _path(self, slot: int) -> Path:
        return self._folder / LOCK_FILE_NAME.format(slot)

    def _lock(self, slot: int, kind: int, flags: int = 0) -> int:
        """Lock a slot's file; `NO_FILE` if it isn't there or another process has the lock."""
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
        """Show the others how many sockets are open here."""
        if self._own_file != NO_FILE:
            with contextlib.suppress(OSError):
                os.pwrite(self._own_file, f"{sockets:<{SOCKET_COUNT_WIDTH}}".encode(), 0)

    def others(self) -> list[int]:
        """Return the others that are alive now: how many sockets each says it has open."""
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
            return 0  # it has only just begun

    def leave(self) -> None:
        """Count as ended from now on."""
        if self._own_file != NO_FILE:
            with contextlib.suppress(OSError):
                os.close(self._own_file)
            self._own_file = NO_FILE
