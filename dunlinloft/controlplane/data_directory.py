"""File format of a replica's data directory, and recovery from it.

Two slots are written alternately. Each holds a snapshot of the replica's complete durable state, followed by
a short write-ahead log of later records. Snapshot and log carry the slot's generation, so that a log left
over from an earlier use of the slot is not replayed. Both files consist of frames: length, CRC-32 and a JSON
body. Reading a log stops at the first missing or torn frame. Recovery loads the valid snapshot with the
highest generation and replays its log.

`ReplicaStore` writes these files; `dunlinloft state` can read them while the process is running.
"""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import msgspec
from msgspec import Struct

from dunlinloft.controlplane.exceptions import UnsupportedFormatError
from dunlinloft.controlplane.file_layer import OS_FILE_SYSTEM, FileSystem
from dunlinloft.coordination.records import DurableState, Record, apply_record

FORMAT_VERSION = 1
SLOTS = (0, 1)

_FRAME_HEADER = struct.Struct("<II")  # body length, CRC-32 of the body


class Snapshot(Struct, frozen=True):
    """The body of the single frame in a snapshot file."""

    format: int
    generation: int
    durable: DurableState


class LogRecord(Struct, frozen=True):
    """The body of one frame in a log file."""

    generation: int
    number: int  # consecutive, starting at 0
    record: Record


class RecoveredState(Struct, frozen=True):
    """The state recovered from a data directory, and the slot and generation it came from."""

    durable: DurableState
    slot: int
    generation: int


_snapshot_decoder = msgspec.json.Decoder(Snapshot)
_log_decoder = msgspec.json.Decoder(LogRecord)


def encode_frame(body: bytes) -> bytes:
    """Prefix a body with its frame header."""
    return _FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body


def frame_size(body: bytes) -> int:
    """Size in bytes of a frame with this body, including its header."""
    return _FRAME_HEADER.size + len(body)


def intact_frames(data: bytes) -> list[bytes]:
    """The bodies of all frames from the start of a file up to the first missing or torn one."""
    bodies = []
    offset = 0
    while offset + _FRAME_HEADER.size <= len(data):
        length, checksum = _FRAME_HEADER.unpack_from(data, offset)
        body = data[offset + _FRAME_HEADER.size : offset + _FRAME_HEADER.size + length]
        if not length or len(body) < length or zlib.crc32(body) != checksum:
            break
        bodies.append(body)
        offset += _FRAME_HEADER.size + length
    return bodies


def snapshot_path(directory: Path, slot: int) -> Path:
    """Path of a slot's snapshot file."""
    return directory / f"slot-{slot}"


def log_path(directory: Path, slot: int) -> Path:
    """Path of the log file that follows a slot's snapshot."""
    return directory / f"log-{slot}"


def read_snapshot(path: Path, files: FileSystem = OS_FILE_SYSTEM) -> Snapshot | None:
    """Read a snapshot; None if it is missing or torn, which is normal for one of the two slots.

    Raises
    ------
    UnsupportedFormatError
        The snapshot was written in another format.
    OSError
        The file can't be read.
    """
    data = files.read(path)
    if data is None:
        return None
    bodies = intact_frames(data)
    if not bodies:
        return None
    try:
        snapshot = _snapshot_decoder.decode(bodies[0])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if snapshot.format != FORMAT_VERSION:
        raise UnsupportedFormatError(path, snapshot.format, FORMAT_VERSION)
    return snapshot


def read_log(path: Path, generation: int, files: FileSystem = OS_FILE_SYSTEM) -> list[Record]:
    """Read the records that follow a snapshot of this generation, up to the first missing or torn one.

    Raises `OSError` if the file exists but can't be read.
    """
    data = files.read(path)
    if data is None:
        return []
    records: list[Record] = []
    for body in intact_frames(data):
        try:
            entry = _log_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            break
        if entry.generation != generation or entry.number != len(records):
            break
        records.append(entry.record)
    return records


def recover(directory: Path, files: FileSystem = OS_FILE_SYSTEM) -> RecoveredState | None:
    """Recover the state stored in a data directory; None if it holds no valid snapshot.

    Raises
    ------
    UnsupportedFormatError
        A snapshot was written in another format.
    OSError
        A file can't be read.
    """
    snapshots = [read_snapshot(snapshot_path(directory, slot), files) for slot in SLOTS]
    newest: Snapshot | None = None
    slot = 0
    for candidate_slot, candidate in enumerate(snapshots):
        if candidate is not None and (newest is None or candidate.generation > newest.generation):
            newest = candidate
            slot = candidate_slot
    if newest is None:
        return None
    for record in read_log(log_path(directory, slot), newest.generation, files):
        apply_record(newest.durable, record)
    return RecoveredState(newest.durable, slot, newest.generation)
