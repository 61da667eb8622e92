"""Rendezvous hashing with bounded load: which of several servers a key belongs to, and where else it may go.

Thaler and Ravishankar 1998, weighted as Schindelhauer and Schomaker (2005) do; the bound on loads is that
of Mirrokni, Thorup and Zadimoghaddam (2018).
"""

from __future__ import annotations

import math

_MASK = 2**64 - 1


def _score(key: int, member: int) -> float:
    """A number between 0 and 1 that looks random and is the same everywhere (splitmix64)."""
    mixed = (key ^ member) + 0x9E3779B97F4A7C15 & _MASK
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK
    return ((mixed ^ mixed >> 31) + 0.5) / 2.0**64


def choose(key: int, members: list[tuple[int, float, int]], bound: float) -> int:
    """The place in `members` (id, weight, load) of the first in the key's order that may take one more.

    A member may hold so many times its part of all that is held, one more counted; at least one. Where all
    are full it is the first. Members of no weight come last.
    """
    total = sum(weight for _, weight, _ in members) or 1.0
    held = 1 + sum(load for _, _, load in members)
    order = sorted(range(len(members)), key=lambda n: _rank(key, members[n]))
    for n in order:
        _, weight, load = members[n]
        if load < max(1.0, math.ceil(bound * held * weight / total)):
            return n
    return order[0]


def _rank(key: int, member: tuple[int, float, int]) -> float:
    id, weight, _ = member
    return -math.log(_score(key, id)) / weight if weight > 0.0 else math.inf
