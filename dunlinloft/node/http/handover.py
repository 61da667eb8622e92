"""Two processes of one node during an upgrade: how each knows that the other lives.

Each locks a file of its own in the folder that they share, and writes there how many sockets it holds.
The kernel drops the lock however the process ends, so a file left behind means nothing.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
from pathlib import Path

MOST = 8  # processes of one node at once: an upgrade may be tried again while others still end
NAME = "orchidferry.{}.lock"


def handed_socket(value: str | None) -> socket.socket | None:
    """The listening socket that the platform holds for all processes; None where it holds none."""
    if not value:
        return None
    try:
        return socket.socket(fileno=int(value))
    except (ValueError, OSError) as problem:
        raise OSError(f"NODE_ACCEPT_FD {value!r:.20} is no socket: {problem}") from None


class Siblings:
    """This process among those of its node."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._own = -1  # its place, and the open file that holds the lock
        self._file = -1
        for place in range(MOST):
            file = self._lock(place, fcntl.LOCK_EX, os.O_CREAT)
            if file >= 0:
                self._own, self._file = place, file
                break

    def _lock(self, place: int, kind: int, flags: int = 0) -> int:
        """Lock a place's file; -1 if it isn't there or somebody else holds it."""
        try:
            file = os.open(self._folder / NAME.format(place), os.O_RDWR | os.O_CLOEXEC | flags, 0o600)
        except OSError:
            return -1
        try:
            fcntl.flock(file, kind | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return -1
        return file

    def tell(self, sockets: int) -> None:
        """Let the others know how many sockets are in use here."""
        if self._file >= 0:
            with contextlib.suppress(OSError):
                os.pwrite(self._file, b"%-8d" % sockets, 0)

    def others(self) -> list[int]:
        """The others that live now: how many sockets each says it holds."""
        alive: list[int] = []
        for place in range(MOST):
            if place == self._own or not (self._folder / NAME.format(place)).exists():
                continue
            file = self._lock(place, fcntl.LOCK_SH)
            if file >= 0:
                os.close(file)
            else:
                alive.append(self._told(place))
        return alive

    def _told(self, place: int) -> int:
        try:
            return int((self._folder / NAME.format(place)).read_bytes()[:8])
        except (OSError, ValueError):
            return 0  # it has only just begun

    def leave(self) -> None:
        """Count as ended from now on."""
        if self._file >= 0:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = -1
