"""What all together think of each server: figures of many processes, pooled by how independent they are.

Errors that a server answers with are its own word, so each process's count adds up. Time-outs and failed
connects may be a link's: of each zone the strongest one counts, once. What a zone's own processes see of a
server outweighs what other zones do. Whoever sees most servers fail is ill itself and counts for nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from dunlinloft.fleet.shared_state.messages import Cell, Findings, Verdict
from dunlinloft.fleet.shared_state.witness import ANY, BAD, FLOOR, MOST_ODDS, ODDS_MS

BOUND_MS = 2_500.0  # findings that may be older than this count for nothing
AVOID, KEEP = 7.0, 2.0  # pooled log odds from which a server is avoided, and below which it no longer is
SLOWER = 4.0  # odds from which a server is taken for slow: it only gets less
DOUBT = 5.0  # odds against a server from which all say how they find it
STALE_MS, HALVED_BY = 1_500.0, 1.0  # a failure so long ago counts half for each answer that others had since
LEAST_ZONE = 2  # members of one's own zone that have to agree where nobody else does
NEAR = 1.5  # what the own zone's loss counts for, of those who have its links
MOST_SHARE = 0.5  # of the servers, by verdicts that were shared
TRIAL_SHARE, TRIAL_MS = 0.5, (1_000.0, 10_000.0)  # of the time for which a server has been avoided, within
# these bounds, somebody tries it: so rarer and rarer, by all together
LIFT_MS, LIFT_SLOW_MS = 20_000.0, 10_000.0  # without any word of it a verdict ends
USERS_MS = 30_000.0  # whoever spoke of a server within this time uses it
GOOD_STEP = math.log((1.0 - FLOOR) / (1.0 - BAD))


@dataclass(slots=True)
class _Sum:
    """Of one server and class."""

    errors: float = 0.0
    near_errors: float = 0.0
    lost: dict[str, float] = field(default_factory=dict)  # by zone: the strongest
    near: int = 0  # members of the own zone that lost it
    ratio: float = 0.0  # the delay over its peers', times `errors`
    good: float = 0.0
    near_good: float = 0.0

    def odds(self, zone: str) -> float:
        """That it fails half its calls, rather than as its peers do, for whoever is in this zone."""
        far = self.errors + sum(self.lost.values()) - GOOD_STEP * self.good
        lost = self.lost.get(zone, 0.0)
        near = self.near_errors + lost * (NEAR if self.near >= LEAST_ZONE else 1.0)
        near -= GOOD_STEP * self.near_good
        # What the own zone sees decides where it sees anything: links differ from zone to zone.
        if self.near_good > 1.0 and near < 0.0:
            return near
        if not (self.near_good or self.near_errors or lost):
            return far
        return max(near, far)


class Pool:
    """Verdicts of one process, from its own findings and those of others."""

    def __init__(self, zone: str, tier: int, rng: random.Random) -> None:
        self._zone, self._tier, self._rng = zone, tier, rng
        self._avoided: dict[tuple[int, int], float] = {}  # server and class (0: all), and since when
        self._slow: dict[
            int, tuple[float, float]
        ] = {}  # by server: its delay over its peers', last said when
        self._heard: dict[int, float] = {}  # by server that is avoided: when anybody last spoke against it
        self._users: dict[int, dict[str, float]] = {}  # by server: who spoke of it, and when last
        self.doubted: set[int] = set()  # servers that all should speak of
        self.capped = 0  # verdicts that would have taken more than half

    def look(
        self,
        told: Iterable[tuple[str, float, Findings]],
        starts: dict[int, int],
        passed_ms: float,
        now: float,
    ) -> list[Verdict]:
        """Verdicts from findings, each with its writer and age in ms, on servers that are listed here."""
        told = [(writer, age, says) for writer, age, says in told if says.tier == self._tier and _sound(says)]
        sums = self._add_up(told, starts, now)
        self.doubted = {
            server
            for (server, cls), s in sums.items()
            if s.errors + sum(s.lost.values()) >= (SLOWER if cls == ANY else DOUBT)
        } | {server for server, _ in self._avoided}
        self._judge(sums, starts, now)
        return self._verdicts(passed_ms, now)

    def _add_up(
        self, told: list[tuple[str, float, Findings]], starts: dict[int, int], now: float
    ) -> dict[tuple[int, int], _Sum]:
        cells = [
            (writer, says, cell, age + cell.ago_ms)
            for writer, age, says in told
            for cell in says.cells
            if starts.get(cell.server, -1) == cell.start
        ]
        since: dict[tuple[int, int], float] = {}  # answers of late, by all
        for _, _, cell, _ in cells:
            key = cell.server, cell.cls
            since[key] = since.get(key, 0.0) + cell.good / 10.0
        sums: dict[tuple[int, int], _Sum] = {}
        for writer, says, cell, ago in cells:
            self._users.setdefault(cell.server, {})[writer] = now
            weight = 1.0 / (1.0 + 0.5 * says.health)
            if cell.errors or cell.lost:
                weight *= _fresh(cell, ago, since[cell.server, cell.cls] - cell.good / 10.0)
            self._one(sums.setdefault((cell.server, cell.cls), _Sum()), says.zone, cell, weight / 10.0)
        return sums

    def _one(self, found: _Sum, zone: str, cell: Cell, weight: float) -> None:
        near, most = zone == self._zone, round(10.0 * MOST_ODDS)
        errors, lost = min(cell.errors, most), min(cell.lost, most)  # whatever it claims
        found.errors += weight * errors
        found.ratio += weight * errors * cell.slow / 10.0
        found.good += weight * cell.good
        if near:
            found.near_errors += weight * errors
            found.near_good += weight * cell.good
            found.near += cell.lost > 10
        if lost:
            found.lost[zone] = max(found.lost.get(zone, 0.0), weight * lost)

    def _judge(self, sums: dict[tuple[int, int], _Sum], starts: dict[int, int], now: float) -> None:
        """Which are avoided, for which classes; the worst first, and never more than half."""
        wanted: dict[tuple[int, int], float] = {}  # with the odds
        self._judge_delays(sums, starts, now)
        for server, by_class in self._by_server(sums).items():
            wanted |= self._of_one(server, by_class)
            if any(odds > 0.0 for odds in by_class.values()):
                self._heard[server] = now
        for server, cls in self._avoided:  # of whom nothing is heard: nobody has tried, which says nothing
            silent = all(key[0] != server or key[1] == ANY for key in sums)
            if silent and server in starts and now - self._heard.get(server, -math.inf) < LIFT_MS:
                wanted[server, cls] = KEEP
        worst: dict[int, float] = {}
        for (server, _), odds in wanted.items():
            worst[server] = max(odds, worst.get(server, 0.0))
        most = int(MOST_SHARE * len(starts))
        kept = set(sorted(worst, key=lambda server: (-worst[server], server))[:most])
        self.capped += len(worst) - len(kept)
        self._avoided = {key: self._avoided.get(key, now) for key in wanted if key[0] in kept}
        self._heard = {server: at for server, at in self._heard.items() if server in kept}

    def _judge_delays(self, sums: dict[tuple[int, int], _Sum], starts: dict[int, int], now: float) -> None:
        """Which are slow, how much, and when anybody last said so."""
        for server, (_, at) in list(self._slow.items()):
            found = sums.get((server, ANY), _Sum())
            well = found.good > 1.0 and found.odds(self._zone) < KEEP
            if well or server not in starts or now - at > LIFT_SLOW_MS:
                del self._slow[server]
        for (server, cls), found in sums.items():
            least = KEEP if server in self._slow else SLOWER
            if cls == ANY and found.errors and found.odds(self._zone) >= least:
                self._slow[server] = max(1.0, found.ratio / found.errors), now

    def _by_server(self, sums: dict[tuple[int, int], _Sum]) -> dict[int, dict[int, float]]:
        found: dict[int, dict[int, float]] = {}
        for (server, cls), sum_ in sums.items():
            if cls != ANY:
                found.setdefault(server, {})[cls] = sum_.odds(self._zone)
        return found

    def _of_one(self, server: int, by_class: dict[int, float]) -> dict[tuple[int, int], float]:
        """What is avoided of one server: all classes (0), some, or none."""
        total = sum(by_class.values())
        well = any(odds < -GOOD_STEP for odds in by_class.values())  # somebody has had answers
        was = (server, 0) in self._avoided
        if not well and (was or total >= AVOID):
            return {(server, 0): max(KEEP, total)}
        if was and total >= KEEP:
            return {(server, 0): total}
        return {
            (server, cls): odds
            for cls, odds in by_class.items()
            if odds >= (KEEP if (server, cls) in self._avoided else AVOID)
        }

    def _verdicts(self, passed_ms: float, now: float) -> list[Verdict]:
        classes: dict[int, set[int]] = {}
        for server, cls in self._avoided:
            classes.setdefault(server, set()).add(cls)
        found = []
        for server in sorted(classes.keys() | self._slow.keys()):
            marks = classes.get(server, set())
            users = max(1, len(self._users.get(server, ())))
            since = min((at for (s, _), at in self._avoided.items() if s == server), default=now)
            every = min(TRIAL_MS[1], max(TRIAL_MS[0], TRIAL_SHARE * (now - since)))
            trial = bool(marks) and self._rng.random() < passed_ms / (every * users)
            named = frozenset(marks - {0}) if 0 not in marks else frozenset[int]()
            found.append(Verdict(server, bool(marks), named, self._slow.get(server, (1.0, now))[0], trial))
        return found

    def forget(self, now: float) -> None:
        """Let go of who spoke of a server long ago."""
        for server, users in list(self._users.items()):
            for writer in [writer for writer, at in users.items() if now - at > USERS_MS]:
                del users[writer]
            if not users:
                del self._users[server]


def _sound(says: Findings) -> bool:
    """Whether a member is not ill itself: one that sees most of its servers fail."""
    return 2 * says.failing <= says.used


def _fresh(cell: Cell, ago_ms: float, since: float) -> float:
    """What an accusation still counts for, after so long and so many answers that others had."""
    weight = math.exp(-max(0.0, ago_ms - cell.ago_ms) / ODDS_MS)
    return weight * 0.5 ** (HALVED_BY * since) if ago_ms > STALE_MS else weight
