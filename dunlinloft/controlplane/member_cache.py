"""An on-disk cache of known servers and nodes, so that a full restart need not wait for them to register.

This is soft state: two files are written alternately, mostly without a sync, and unreadable files are
ignored. A server that stopped in the meantime doesn't respond, or its address responds 421 because another
server uses it now; it is dropped once its heartbeats have been missing for the registry's timeout. A server
that deregistered in the meantime may still respond; the other control planes report its deregistration.
"""

from __future__ import annotations

import zlib
from pathlib import Path

import msgspec
from msgspec import UNSET, Struct, UnsetType

from dunlinloft.controlplane.exceptions import MemberCacheError
from dunlinloft.controlplane.file_layer import OS_FILE_SYSTEM, FileSystem, write_fully
from dunlinloft.coordination.stream import Deregistration, NodeLiveness, ServerRecord

FORMAT_VERSION = 2


class CachedMembers(Struct, frozen=True):
    """A snapshot of the known servers and data-plane nodes."""

    servers: tuple[ServerRecord, ...] = ()
    nodes: tuple[NodeLiveness, ...] = ()
    deregistrations: tuple[Deregistration, ...] | UnsetType = UNSET  # absent from older releases' files


class _CacheFile(Struct, frozen=True):
    """The body of a cache file; the file starts with a line holding the body's CRC-32."""

    format: int
    generation: int
    known: CachedMembers


_decoder = msgspec.json.Decoder(_CacheFile)


class MemberCache:
    """The cache files of one data directory. Methods block on disk I/O; `DiskWriter` calls them."""

    def __init__(self, directory: Path, files: FileSystem = OS_FILE_SYSTEM) -> None:
        self._files = files
        self._paths = (directory / "servers-0", directory / "servers-1")
        self._generation = 0

    def read(self) -> CachedMembers:
        """Return the members in the newest readable file; no members if no file is readable."""
        readable = []
        for path in self._paths:
            try:
                readable.append(_read_file(path, self._files))
            except MemberCacheError:
                continue
        if not readable:
            return CachedMembers()
        newest = max(readable, key=lambda file: file.generation)
        self._generation = newest.generation
        return newest.known

    def write(self, members: CachedMembers, sync: bool = False) -> None:
        """Replace the older of the two files; with `sync` it survives a loss of power. Raises `OSError`."""
        self._generation += 1
        body = msgspec.json.encode(_CacheFile(FORMAT_VERSION, self._generation, members))
        path = self._paths[self._generation % 2]
        file = self._files.open(path)
        try:
            self._files.truncate(file)
            write_fully(self._files, file, b"%d\n" % zlib.crc32(body) + body, 0)
            if sync:
                self._files.sync(file)
        finally:
            self._files.close(file)


def _read_file(path: Path, files: FileSystem) -> _CacheFile:
    """Read and check one cache file. Raises `MemberCacheError`."""
    try:
        data = files.read(path)
        if data is None:
            raise MemberCacheError(path, "file not found")
        checksum, _, body = data.partition(b"\n")
        if int(checksum) != zlib.crc32(body):
            raise MemberCacheError(path, "checksum mismatch")
        file = _decoder.decode(body)
    except (OSError, ValueError, msgspec.DecodeError) as error:
        raise MemberCacheError(path, error) from error
    if file.format != FORMAT_VERSION:
        raise MemberCacheError(path, f"unsupported format {file.format}, expected {FORMAT_VERSION}")
    return file
