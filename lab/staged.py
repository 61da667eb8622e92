"""What a staged release came to: what the new build got, whom it harmed, and when it was back to nothing."""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from lab import records as r
from lab.plan import Plan
from lab.scenario import Release

SPAN_S = 5  # the share of the new build is looked at over so long
SETTLED_S = 2  # after a stage has begun: all know of it
TOLD_S = 3.0  # after the last start all nodes have been told of it
MOST_OPEN = 100_000  # requests whose first attempt is remembered


class StagedFigures:
    """Told every record; `totals` says what it came to, and nothing where no build is released."""

    def __init__(self, plan: Plan) -> None:
        self.builds = [fault for fault in plan.scenario.faults if isinstance(fault, Release)]
        self._of: dict[str, Release] = {}  # servers that run a new build
        self._since: dict[str, float] = {}
        self._names = {
            name: build
            for build in self.builds
            for choice in build.servers
            for name in plan.names.pick(choice, "servers", plan.seed)
        }
        self._seen: dict[str, None] = {}
        self._first: dict[int, list[int]] = defaultdict(lambda: [0, 0])  # by second: first attempts, new ones
        self._harmed: set[str] = set()
        self._first_harm_ms = math.inf
        self._asked = 0
        self._shares: dict[int, dict[str, float]] = defaultdict(dict)  # by second and node

    def see(self, record: r.Record) -> None:
        """Take the next record."""
        match record:
            case r.Asked():
                self._asked += 1
            case r.Started() if record.server in self._names and record.at >= self._begun(record.server):
                self._of[record.server] = self._names[record.server]
                self._since[record.server] = record.at
            case r.Arrived():
                self._arrived(record)
            case r.Ended() if record.how == "error" and record.server in self._of:
                self._harm(record.id, record.at)
            case r.Belief() if "release_share" in record.figures:
                self._shares[round(record.at / 1000.0)][record.node] = record.figures["release_share"]

    def _begun(self, server: str) -> float:
        return 1000.0 * self._names[server].at_s

    def _arrived(self, record: r.Arrived) -> None:
        build = self._of.get(record.server)
        if record.id not in self._seen:
            self._seen[record.id] = None
            if len(self._seen) > MOST_OPEN:
                del self._seen[next(iter(self._seen))]
            count = self._first[int(record.at / 1000.0)]
            count[0] += 1
            count[1] += build is not None
        if build is not None and (build.slow > 1.0 or build.hang):
            self._harm(record.id, record.at, self._since[record.server] + 1000.0 * build.ill_s)

    def _harm(self, id: str, at: float, from_ms: float = 0.0) -> None:
        if at >= from_ms:
            self._harmed.add(id)
            self._first_harm_ms = min(self._first_harm_ms, at)

    def totals(self) -> dict[str, float]:
        """Figures by name.

        `release.harmed`: of all requests those that a new server answered with an error, or that came to a
        new server that is slow or hangs. `release.back_s`: from the first until no node sends there.
        `release.end_share`: what the new build may get in the end. `release.new`: its share of first
        attempts. `release.over`: the most that it got in any five seconds beyond its share and a tenth
        and two calls, in calls.
        """
        if not self.builds:
            return {}
        sent, new = (sum(count[n] for count in self._first.values()) for n in (0, 1))
        found = {
            "release.harmed": len(self._harmed) / max(1, self._asked),
            "release.new": new / max(1, sent),
            "release.over": self._over(),
        }
        seconds = sorted(self._shares)
        if seconds:
            last = self._shares[seconds[-1]].values()
            found["release.end_share"] = sum(last) / len(last)
            harm = self._first_harm_ms / 1000.0
            back = [s for s in seconds if s >= harm and max(self._shares[s].values()) == 0.0]
            if back:
                found["release.back_s"] = back[0] - harm
        return found

    def _over(self) -> float:
        """Beyond the greatest share that any node had within the span, just before or just after."""
        worst = 0.0
        begun = TOLD_S + max(self._since.values(), default=math.inf) / 1000.0
        for second in self._first:
            span = range(second, second + SPAN_S)
            caps = [
                s
                for t in range(second - SETTLED_S, second + SPAN_S + SETTLED_S)
                for s in self._shares.get(t, {}).values()
            ]
            if second < begun or not caps:
                continue
            count: Counter[int] = Counter()
            for t in span:
                sent, new = self._first.get(t, [0, 0])
                count[0], count[1] = count[0] + sent, count[1] + new
            worst = max(worst, count[1] - 2.0 - 1.1 * max(caps) * count[0])
        return worst
