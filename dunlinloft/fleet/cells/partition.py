"""Partitioning of a service in a region into cells, by a rule that all processes compute alike.

Each name has a path, 32 bits of its hash. A cell consists of all names whose paths have a common prefix. A
cell that exceeds its bound is split, which lengthens the prefix by one bit; two halves that have shrunk are
merged again. Every change has a greater epoch than what it replaces, so a process that missed changes can
follow the newest one it receives, in any order. Cells form a binary tree of prefixes, as in extendible
hashing (Fagin et al. 1979).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

PATH_BITS = 32
MAX_DEPTH_BITS = 20  # of a cell's prefix; allows a million cells of one service in one region
MAX_EPOCH = 1 << 31  # greater epochs are rejected, so that the next one still fits its four bytes


def name_path(name: str) -> int:
    """Return the `PATH_BITS` bits that assign a name to cells, the same at every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4, person=b"cell").digest(), "big")


class CellId(NamedTuple):
    """A cell regardless of its epoch: the length of its prefix, and the prefix."""

    depth: int
    bits: int


@dataclass(frozen=True, slots=True)
class CellPartition:
    """A cell among those of its service and region, as of an epoch.

    Parameters
    ----------
    epoch: increases with each split and merge.
    depth: length of the prefix in bits; 0 for an undivided service.
    bits: the prefix, as a number of `depth` bits.
    """

    epoch: int = 0
    depth: int = 0
    bits: int = 0

    def key(self) -> tuple[int, int]:
        """Return the precedence: of two overlapping partitions the one with the greater key is valid."""
        return self.epoch, self.depth

    def cell(self) -> CellId:
        """Return the cell regardless of its epoch."""
        return CellId(self.depth, self.bits)

    def includes_path(self, path: int) -> bool:
        """Whether a name with this path belongs to the cell."""
        return path >> (PATH_BITS - self.depth) == self.bits

    def contains(self, other: CellPartition) -> bool:
        """Whether the other is this cell or a subset of it."""
        return other.depth >= self.depth and other.bits >> (other.depth - self.depth) == self.bits

    def split_half(self, path: int) -> CellPartition:
        """Return the half that a name with this path belongs to after a split."""
        depth = self.depth + 1
        return CellPartition(self.epoch + 1, depth, path >> (PATH_BITS - depth))

    def merged(self, epoch: int) -> CellPartition:
        """Return the cell that this one and its sibling are merged into."""
        return CellPartition(epoch, self.depth - 1, self.bits >> 1)

    def text(self) -> str:
        """Return the text for operators: the prefix bits, or `*` for an undivided service."""
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
    """Return the length in bits of the longest common prefix of two paths."""
    return PATH_BITS - (a ^ b).bit_length()


def partition_to_follow(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
    """Return the partition that a member adopts when it receives another's; None if it keeps its own.

    If the member's cell was split while it was unreachable, the other half's partition shows only that there
    was a split. The member's half then starts with the epoch after its own, as at the members that took part.
    """
    if not own.includes_path(own_path):
        # In the wrong cell: the partition of a member of the right cell takes precedence, however old it is.
        return other if other.includes_path(own_path) else None
    if other.key() <= own.key():
        return None
    if other.includes_path(own_path):
        return other
    return own.split_half(own_path) if own.contains(other) and own.depth < MAX_DEPTH_BITS else None
