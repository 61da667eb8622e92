"""Smooth weighted round robin, as in nginx."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Protocol, TypeVar


class RotationMember(Protocol):
    """A member of a rotation."""

    rotation_weight: float | None
    """Current weight: rises with each round and falls when picked. None before the member's first round."""


Member = TypeVar("Member", bound=RotationMember)


class Rotation:
    """Smooth weighted round robin.

    In each round every member's current weight rises by its weight. The member with the highest is picked,
    and its current weight falls by the total of the round. The state is kept in the members, so that rounds
    may be over different subsets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._total_weight = 0.0  # of the last round

    def pick(self, members: Iterable[tuple[Member, float]]) -> Member | None:
        """Pick the next of the eligible members, given with their weights; None if there are none."""
        best: Member | None = None
        total = 0.0
        highest = 0.0
        for member, weight in members:
            total += weight
            if member.rotation_weight is None:  # a random position, so that replicas don't rotate in step
                member.rotation_weight = -self._rng.random() * max(weight, self._total_weight)
            member.rotation_weight += weight
            if best is None or member.rotation_weight > highest:
                best = member
                highest = member.rotation_weight
        if best is not None:
            best.rotation_weight = highest - total
            self._total_weight = total
        return best
