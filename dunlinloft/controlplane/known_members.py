"""The servers and nodes last known, on disk: after a restart of everything, none has to be waited for.

Soft state: two files written in turn, and what can't be read is done without. A server that has ended
meanwhile answers nothing, or 421 for another's address, and is dropped for its silence.
"""

from __future__ import annotations

import zlib
from pathlib import Path

import msgspec
from msgspec import Struct

from dunlinloft.coordination.stream import NodeSeen, ServerRecord

FORMAT = 2


class Known(Struct, frozen=True):
    """What is kept."""

    servers: tuple[ServerRecord, ...] = ()
    nodes: tuple[NodeSeen, ...] = ()


class _Body(Struct, frozen=True):
    format: int
    generation: int
    known: Known


_decoder = msgspec.json.Decoder(_Body)


def _read(path: Path) -> _Body | None:
    try:
        checksum, _, body = path.read_bytes().partition(b"\n")
        if int(checksum) != zlib.crc32(body):
            return None
        found = _decoder.decode(body)
    except (OSError, ValueError, msgspec.DecodeError):
        return None
    return found if found.format == FORMAT else None


class KnownMembers:
    """The files of one data directory. Its calls wait for the disk."""

    def __init__(self, folder: Path) -> None:
        self._paths = (folder / "servers-0", folder / "servers-1")
        self._generation = 0

    def read(self) -> Known:
        """What was known last; nothing where no file can be read."""
        found = [body for body in map(_read, self._paths) if body is not None]
        if not found:
            return Known()
        newest = max(found, key=lambda body: body.generation)
        self._generation = newest.generation
        return newest.known

    def write(self, known: Known) -> None:
        """Remember these. Raises `OSError`."""
        self._generation += 1
        body = msgspec.json.encode(_Body(FORMAT, self._generation, known))
        path = self._paths[self._generation % 2]
        path.write_bytes(b"%d\n" % zlib.crc32(body) + body)
