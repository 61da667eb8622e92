"""Weighted rendezvous hashing with bounded loads: maps a key to a server, with an order of fallbacks.

The hashing is that of Thaler and Ravishankar (1998), weighted as in Schindelhauer and Schomaker (2005). The
load bound is that of Mirrokni, Thorup and Zadimoghaddam (2018).
"""

from __future__ import annotations

import math
from typing import NamedTuple

_MASK = 2**64 - 1


class Member(NamedTuple):
    """A candidate server for a key, with its weight and its load in requests in flight."""

    id: int
    weight: float
    load: int


def choose_member(key: int, members: list[Member], load_bound: float) -> int:
    """Return the index in `members` of the first one, in the key's order, that is below its load bound.

    A member's bound is `load_bound` times its share of the total load, which includes the new request, and at
    least one request. If all members are at their bound, the first is chosen. Members of weight 0 come last.
    """
    total_weight = sum(weight for _, weight, _ in members) or 1.0
    total_load = 1 + sum(load for _, _, load in members)
    order = sorted(range(len(members)), key=lambda index: _rank(key, members[index]))
    for index in order:
        _, weight, load = members[index]
        if load < max(1.0, math.ceil(load_bound * total_load * weight / total_weight)):
            return index
    return order[0]


def _rank(key: int, member: Member) -> float:
    """Return the sort key of a member in the key's order; lower comes first."""
    return -math.log(_score(key, member.id)) / member.weight if member.weight > 0.0 else math.inf


def _score(key: int, member_id: int) -> float:
    """Return a pseudo-random number in (0, 1) that is the same in every process (splitmix64)."""
    mixed = (key ^ member_id) + 0x9E3779B97F4A7C15 & _MASK
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK
    return ((mixed ^ mixed >> 31) + 0.5) / 2.0**64
