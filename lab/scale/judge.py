"""Evaluation of views and deaths, as pure functions that tests can call with planted faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from lab.scale import talk


def agreed(views: Iterable[tuple[str, int]], parts: bool) -> bool:
    """Return whether all members hold the same view and their number equals that view's member count.

    With `parts` there may be several views, each held by as many members as it has.
    """
    views = list(views)
    holders = Counter(digest for digest, _ in views)
    return all(holders[digest] == alive for digest, alive in views) and (parts or len(holders) == 1)


def judge(
    deaths: Iterable[talk.Death], ended: dict[str, float]
) -> tuple[list[talk.Death], dict[str, list[float]]]:
    """Return the false deaths and, for each ended member, the detection time of each observer."""
    false_deaths: list[talk.Death] = []
    known: dict[str, list[float]] = {name: [] for name in ended}
    for death in deaths:
        detection_s = death.at_s - ended.get(death.name, float("inf"))
        if detection_s < 0.0:
            false_deaths.append(death)
        else:
            known[death.name].append(detection_s)
    return false_deaths, known
