"""Smooth weighted round robin, as in nginx: the order of first attempts."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Protocol, TypeVar


class Rotating(Protocol):
    """What takes part in a rotation."""

    rotation_weight: float | None
    """Its current weight, which a round adds to and being picked takes from; None: new to the rotation."""


Member = TypeVar("Member", bound=Rotating)


class Rotation:
    """Smooth weighted round robin.

    All members gain their weight; the one with the most is picked and pays the total of the round. The state
    is in the members, so that one may take part in rounds of different subsets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._total_weight = 0.0  # of the last round

    def pick(self, members: Iterable[tuple[Member, float]]) -> Member | None:
        """The next among the eligible members, each with its weight; None where there are none."""
        best: Member | None = None
        total = 0.0
        most = 0.0
        for member, weight in members:
            total += weight
            if member.rotation_weight is None:  # a random position in the round: replicas must not go in step
                member.rotation_weight = -self._rng.random() * max(weight, self._total_weight)
            member.rotation_weight += weight
            if best is None or member.rotation_weight > most:
                best = member
                most = member.rotation_weight
        if best is not None:
            best.rotation_weight = most - total
            self._total_weight = total
        return best
