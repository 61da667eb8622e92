"""Partitioning of a service in a region into cells, by a rule that all processes compute alike.

Each name has a path, 32 bits of its hash. A cell is all names whose paths begin with the same bits. A cell
that has grown beyond its bound is split by one bit more, two halves that have shrunk merge by one bit less.
Every change has a greater epoch than what it replaces, so whoever missed some changes follows the newest
that it receives, in whatever order. Cells form a binary tree of prefixes, as in extendible hashing (Fagin and
others 1979).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

PATH_BITS = 32
MAX_DEPTH_BITS = 20  # length of a cell's prefix: a million cells of one service in one region
MAX_EPOCH = 1 << 31  # greater epochs are rejected, so that the next one still fits its four bytes


def name_path(name: str) -> int:
    """The bits that assign a name to cells (`PATH_BITS` of them), the same at every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4, person=b"cell").digest(), "big")


class CellId(NamedTuple):
    """A cell whatever its epoch: the length of its prefix, and the prefix."""

    depth: int
    bits: int


@dataclass(frozen=True, slots=True)
class CellPartition:
    """A cell among those of its service and region, as of an epoch.

    Parameters
    ----------
    epoch: rises with each split and merge.
    depth: length of the prefix in bits; 0 for a service that is not divided.
    bits: the prefix, as a number of `depth` bits.
    """

    epoch: int = 0
    depth: int = 0
    bits: int = 0

    def key(self) -> tuple[int, int]:
        """Precedence: of two partitions that overlap the one with the greater key holds."""
        return self.epoch, self.depth

    def cell(self) -> CellId:
        """The cell, whatever its epoch."""
        return CellId(self.depth, self.bits)

    def includes_path(self, path: int) -> bool:
        """Whether a name with this path belongs to the cell."""
        return path >> (PATH_BITS - self.depth) == self.bits

    def contains(self, other: CellPartition) -> bool:
        """Whether the other is this cell or a subset of it."""
        return other.depth >= self.depth and other.bits >> (other.depth - self.depth) == self.bits

    def split_half(self, path: int) -> CellPartition:
        """The half that a name with this path belongs to after a split."""
        depth = self.depth + 1
        return CellPartition(self.epoch + 1, depth, path >> (PATH_BITS - depth))

    def merged(self, epoch: int) -> CellPartition:
        """The cell that this one and its sibling merge into."""
        return CellPartition(epoch, self.depth - 1, self.bits >> 1)

    def text(self) -> str:
        """As operators see it: its bits, `*` for a service that is not divided."""
        return f"{self.bits:0{self.depth}b}" if self.depth else "*"

    def is_valid(self) -> bool:
        """Whether all fields are in range; those of a received message may not be."""
        return (
            0 <= self.depth <= MAX_DEPTH_BITS
            and 0 <= self.bits < 1 << self.depth
            and 0 <= self.epoch < MAX_EPOCH
        )


UNDIVIDED = CellPartition()


def shared_bits(a: int, b: int) -> int:
    """Length in bits of the longest common prefix of two paths."""
    return PATH_BITS - (a ^ b).bit_length()


def partition_to_follow(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
    """The partition that a member adopts when it receives another's; None where it keeps its own.

    If its own cell was split while the member was away, the partition of the other half says only that there
    was a split. This member's half begins with the epoch after its own, as it did for those that were there.
    """
    if not own.includes_path(own_path):
        # In the wrong cell: a member of the right one knows better, however old its partition is.
        return other if other.includes_path(own_path) else None
    if other.key() <= own.key():
        return None
    if other.includes_path(own_path):
        return other
    return own.split_half(own_path) if own.contains(other) and own.depth < MAX_DEPTH_BITS else None
