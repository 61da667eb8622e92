"""What is made of views and deaths: pure, so that tests can plant what must be caught."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from lab.scale import talk


def agreed(views: Iterable[tuple[str, int]], parts: bool) -> bool:
    """Whether views agree: as many members hold a view as that view has members, and all hold the same one.

    With `parts` it may be several views, each agreed upon by those who are in it.
    """
    views = list(views)
    holders = Counter(digest for digest, _ in views)
    return all(holders[digest] == alive for digest, alive in views) and (parts or len(holders) == 1)


def judge(
    deaths: Iterable[talk.Death], ended: dict[str, float]
) -> tuple[list[talk.Death], dict[str, list[float]]]:
    """Deaths of members that lived, and, of those that had ended, how long until each observer knew."""
    false: list[talk.Death] = []
    known: dict[str, list[float]] = {name: [] for name in ended}
    for death in deaths:
        took_s = death.at_s - ended.get(death.name, float("inf"))
        if took_s < 0.0:
            false.append(death)
        else:
            known[death.name].append(took_s)
    return false, known
