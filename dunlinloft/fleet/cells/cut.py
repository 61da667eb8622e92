"""Which members of a service in a region make up one cell: a rule that all compute alike.

Each name has a path, 32 bits of its hash. A cell is all names whose paths begin with the same bits. A cell
that has grown beyond its bound is cut by one bit more, two halves that have shrunk merge by one bit less.
Every change has a greater epoch than what it replaces, so whoever missed some follows the newest that it
hears of, in whatever order.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

PATH_BITS = 32
MOST_DEPTH = 20  # bits of a cell; a million cells of one service in one region
MOST_EPOCH = 1 << 31  # beyond it a cut is not believed, so that the next still fits its four bytes


def path(name: str) -> int:
    """The bits by which a name belongs to cells: the same at every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4, person=b"cell").digest(), "big")


@dataclass(frozen=True, slots=True)
class Cut:
    """A cell among those of its service and region, as of an epoch."""

    epoch: int = 0
    depth: int = 0
    bits: int = 0

    def key(self) -> tuple[int, int]:
        """Of two cuts that overlap the one with the greater key holds."""
        return self.epoch, self.depth

    def cell(self) -> tuple[int, int]:
        """The cell, whatever its epoch."""
        return self.depth, self.bits

    def holds(self, names_path: int) -> bool:
        """Whether a name with this path belongs to it."""
        return names_path >> (PATH_BITS - self.depth) == self.bits

    def contains(self, other: Cut) -> bool:
        """Whether the other is this cell or a part of it."""
        return other.depth >= self.depth and other.bits >> (other.depth - self.depth) == self.bits

    def half(self, names_path: int) -> Cut:
        """The half of it that a name goes to when it is cut."""
        depth = self.depth + 1
        return Cut(self.epoch + 1, depth, names_path >> (PATH_BITS - depth))

    def whole(self, epoch: int) -> Cut:
        """What it makes up together with its sibling."""
        return Cut(epoch, self.depth - 1, self.bits >> 1)

    def text(self) -> str:
        """As operators see it: its bits, `*` for an uncut service."""
        return f"{self.bits:0{self.depth}b}" if self.depth else "*"

    def sound(self) -> bool:
        """Whether it can be one at all."""
        return (
            0 <= self.depth <= MOST_DEPTH
            and 0 <= self.bits < 1 << self.depth
            and 0 <= self.epoch < MOST_EPOCH
        )


def shared_bits(a: int, b: int) -> int:
    """How many bits two paths have in common before they part."""
    return PATH_BITS - (a ^ b).bit_length()


def newer(own: Cut, other: Cut, own_path: int) -> Cut | None:
    """What a member follows when it hears of another's cut; None where its own stays.

    Of a cell that was cut while this one was away the other half's cut says only that it was cut: this
    one's half begins with the epoch after its own, as it did for those that were there.
    """
    if not own.holds(own_path):  # in the wrong cell: its own knows better, however old
        return other if other.holds(own_path) else None
    if other.key() <= own.key():
        return None
    if other.holds(own_path):
        return other
    return own.half(own_path) if own.contains(other) and own.depth < MOST_DEPTH else None
