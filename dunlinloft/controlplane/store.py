"""What a replica keeps on disk: two slots that are written in turn, each with a short log after it.

A slot is the whole state; its log holds the records since. Both carry the slot's generation, so that a log
left from an earlier turn is not read. Every block is length, CRC-32 and a JSON body; reading a log ends at
the first block that is missing or torn. Recovery takes the readable slot of the highest generation, and its
log.
"""

from __future__ import annotations

import os
import secrets
import struct
import zlib
from pathlib import Path
from typing import TypeVar

import msgspec
from msgspec import Struct

from dunlinloft.coordination import durable as durables
from dunlinloft.coordination.messages import Durable, Member, Record, View

FORMAT = 1
BEGUN = "begun-anew.log"  # each new epoch that an operator began from this directory
LOG_MOST = 4 * 1024 * 1024  # bytes; a longer log is folded into the other slot
_HEADER = struct.Struct("<II")  # length of the body, and its CRC-32

T = TypeVar("T")


class Slot(Struct, frozen=True):
    """The body of a slot."""

    format: int
    generation: int
    durable: Durable


class LogBlock(Struct, frozen=True):
    """The body of a block in a log."""

    generation: int
    number: int  # from 0, without a gap
    record: Record


class StoreError(Exception):
    """A data directory that can't be read, with the reason."""


_slot = msgspec.json.Decoder(Slot)
_block = msgspec.json.Decoder(LogBlock)


def _framed(body: bytes) -> bytes:
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def block_size(body: bytes) -> int:
    """Bytes that a block takes in its file."""
    return _HEADER.size + len(body)


def whole_blocks(data: bytes) -> list[bytes]:
    """The whole blocks from the start of a file."""
    found = []
    at = 0
    while at + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, at)
        body = data[at + _HEADER.size : at + _HEADER.size + length]
        if not length or len(body) < length or zlib.crc32(body) != checksum:
            break
        found.append(body)
        at += _HEADER.size + length
    return found


def read_slot(path: Path) -> Slot | None:
    """A slot that can be read; None where it is missing, torn or of another format."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    for body in whole_blocks(data)[:1]:
        try:
            slot = _slot.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        if slot.format != FORMAT:
            raise StoreError(f"{path}: format {slot.format}, expected {FORMAT}")
        return slot
    return None


def read_log(path: Path, generation: int) -> list[Record]:
    """The records after a slot, up to the first that is missing or torn."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    records: list[Record] = []
    for body in whole_blocks(data):
        try:
            block = _block.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            break
        if block.generation != generation or block.number != len(records):
            break
        records.append(block.record)
    return records


def slot_path(folder: Path, which: int) -> Path:
    """Where a slot is."""
    return folder / f"slot-{which}"


def log_path(folder: Path, which: int) -> Path:
    """Where the log after a slot is."""
    return folder / f"log-{which}"


def recover(folder: Path) -> tuple[Durable, int, int] | None:
    """What a data directory holds: the state, its slot and its generation; None where it holds nothing."""
    slots = [read_slot(slot_path(folder, which)) for which in (0, 1)]
    best: tuple[Slot, int] | None = None
    for which, slot in enumerate(slots):
        if slot is not None and (best is None or slot.generation > best[0].generation):
            best = (slot, which)
    if best is None:
        return None
    slot, which = best
    for record in read_log(log_path(folder, which), slot.generation):
        durables.apply(slot.durable, record)
    return slot.durable, which, slot.generation


def begin_anew(folder: Path, address: str, epoch: int) -> Member:
    """Make a data directory the first member of a new epoch, in a life that promised nothing; who it is.

    For an operator, after more disks were lost than may be: what the others held alone is lost.
    """
    incarnation = secrets.token_hex(8)
    member = Member(address, incarnation)
    opened = Store(folder, None)
    durable = opened.durable
    durable.incarnation = incarnation
    durable.view = View(epoch, (member,), (member,), 1)
    durable.promised = durable.accepted = None
    durable.synced_epoch = 0
    durable.committed_digest = durable.state.chain_digest
    opened.rewrite()
    opened.close()
    with (folder / BEGUN).open("a") as log:
        log.write(f"epoch {epoch} begun from version {durable.state.version} as {member.id}\n")
        log.flush()
        os.fsync(log.fileno())
    return member


class Store:
    """A data directory in use. Its calls wait for the disk: call them from a thread of their own."""

    def __init__(self, folder: Path, first_incarnation: str | None) -> None:
        """Recover, or begin: with `first_incarnation` at the first start of all, else as a new life.

        Raises `OSError` where the disk refuses, `StoreError` where the format is another.
        """
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        found = recover(folder)
        if found is None:
            incarnation = first_incarnation or secrets.token_hex(8)
            found = (Durable(incarnation), 1, 0)
        self.durable, self._which, self._generation = found
        self._log: int | None = None
        self._number = 0
        self._length = 0
        self._turn()

    def rewrite(self) -> None:
        """Write the state whole, as it is now. Raises `OSError`."""
        self._turn()

    def _turn(self) -> None:
        """Write the state to the other slot, and begin its log anew."""
        which, generation = 1 - self._which, self._generation + 1
        body = msgspec.json.encode(Slot(FORMAT, generation, self.durable))
        self._write_whole(slot_path(self._folder, which), _framed(body))
        log = os.open(log_path(self._folder, which), os.O_RDWR | os.O_CREAT, 0o644)
        try:
            os.ftruncate(log, 0)
            os.fsync(log)
        except OSError:
            os.close(log)
            raise
        if self._log is not None:
            os.close(self._log)
        self._log = log
        self._which, self._generation = which, generation
        self._number = self._length = 0
        self._sync_folder()

    def _write_whole(self, path: Path, data: bytes) -> None:
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            os.ftruncate(file, 0)
            _write_all(file, data, 0)
            os.fsync(file)
        finally:
            os.close(file)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, records: list[Record]) -> None:
        """Make records last, all of them or none. Raises `OSError`; the same call may then be made again."""
        if self._length > LOG_MOST:
            self._turn()
        assert self._log is not None
        number = self._number
        data = b""
        for record in records:
            data += _framed(msgspec.json.encode(LogBlock(self._generation, number, record)))
            number += 1
        _write_all(self._log, data, self._length)
        os.fdatasync(self._log)
        self._length += len(data)
        self._number = number
        for record in records:
            durables.apply(self.durable, record)

    def close(self) -> None:
        """Give the file back."""
        if self._log is not None:
            os.close(self._log)
            self._log = None


def _write_all(file: int, data: bytes, at: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(file, view, at)
        view = view[written:]
        at += written
