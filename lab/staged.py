"""Metrics of a staged release: the new build's share of traffic, harmed requests and rollback time."""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from lab import records as r
from lab.plan import Plan
from lab.scenario import Release

WINDOW_S = 5  # window over which the new build's share is evaluated
STAGE_PROPAGATION_S = 2  # time until all nodes know of a new stage
START_PROPAGATION_S = 3.0  # time after the last start until all nodes know of it
MAX_REMEMBERED_REQUESTS = 100_000  # requests whose first attempt is remembered


class StagedFigures:
    """Aggregates all records of a run; `totals` is empty if the scenario releases no build."""

    def __init__(self, plan: Plan) -> None:
        self.builds = [fault for fault in plan.scenario.faults if isinstance(fault, Release)]
        self._new_servers: dict[str, Release] = {}  # servers that run a new build
        self._started_ms: dict[str, float] = {}
        self._build_by_server = {
            name: build
            for build in self.builds
            for choice in build.servers
            for name in plan.names.pick(choice, "servers", plan.seed)
        }
        self._seen: dict[str, None] = {}
        # By second: all first attempts, and those to new servers.
        self._first_attempts: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self._harmed_requests: set[str] = set()
        self._first_harm_ms = math.inf
        self._request_count = 0
        self._shares: dict[int, dict[str, float]] = defaultdict(dict)  # by second and node

    def see(self, record: r.Record) -> None:
        """Process the next record."""
        match record:
            case r.Asked():
                self._request_count += 1
            case r.Started() if (
                record.server in self._build_by_server and record.at >= self._release_start_ms(record.server)
            ):
                self._new_servers[record.server] = self._build_by_server[record.server]
                self._started_ms[record.server] = record.at
            case r.Arrived():
                self._on_arrived(record)
            case r.Ended() if record.how == "error" and record.server in self._new_servers:
                self._record_harm(record.id, record.at)
            case r.Belief() if "release_share" in record.figures:
                self._shares[round(record.at / 1000.0)][record.node] = record.figures["release_share"]

    def _release_start_ms(self, server: str) -> float:
        return 1000.0 * self._build_by_server[server].at_s

    def _on_arrived(self, record: r.Arrived) -> None:
        build = self._new_servers.get(record.server)
        if record.id not in self._seen:
            self._seen[record.id] = None
            if len(self._seen) > MAX_REMEMBERED_REQUESTS:
                del self._seen[next(iter(self._seen))]
            count = self._first_attempts[int(record.at / 1000.0)]
            count[0] += 1
            count[1] += build is not None
        if build is not None and (build.slow > 1.0 or build.hang):
            self._record_harm(record.id, record.at, self._started_ms[record.server] + 1000.0 * build.ill_s)

    def _record_harm(self, id: str, at: float, from_ms: float = 0.0) -> None:
        if at >= from_ms:
            self._harmed_requests.add(id)
            self._first_harm_ms = min(self._first_harm_ms, at)

    def totals(self) -> dict[str, float]:
        """Return the figures by name.

        `release.harmed`: the share of requests that a new server answered with an error, or that reached a
        new server that is slow or hangs. `release.back_s`: the time from the first harmed request until no
        node sends to the new build. `release.end_share`: the share allowed to the new build at the end.
        `release.new`: its share of first attempts. `release.over`: the largest excess in calls, in any five
        seconds, over its share plus 10% plus two calls.
        """
        if not self.builds:
            return {}
        sent, new = (sum(count[n] for count in self._first_attempts.values()) for n in (0, 1))
        found = {
            "release.harmed": len(self._harmed_requests) / max(1, self._request_count),
            "release.new": new / max(1, sent),
            "release.over": self._largest_excess(),
        }
        seconds = sorted(self._shares)
        if seconds:
            last = self._shares[seconds[-1]].values()
            found["release.end_share"] = sum(last) / len(last)
            harm = self._first_harm_ms / 1000.0
            rolled_back = [s for s in seconds if s >= harm and max(self._shares[s].values()) == 0.0]
            if rolled_back:
                found["release.back_s"] = rolled_back[0] - harm
        return found

    def _largest_excess(self) -> float:
        """Return the largest excess over the highest share of any node within or just around the window."""
        worst = 0.0
        evaluation_start_s = START_PROPAGATION_S + max(self._started_ms.values(), default=math.inf) / 1000.0
        for second in self._first_attempts:
            span = range(second, second + WINDOW_S)
            allowed_shares = [
                s
                for t in range(second - STAGE_PROPAGATION_S, second + WINDOW_S + STAGE_PROPAGATION_S)
                for s in self._shares.get(t, {}).values()
            ]
            if second < evaluation_start_s or not allowed_shares:
                continue
            count: Counter[int] = Counter()
            for t in span:
                sent, new = self._first_attempts.get(t, [0, 0])
                count[0], count[1] = count[0] + sent, count[1] + new
            worst = max(worst, count[1] - 2.0 - 1.1 * max(allowed_shares) * count[0])
        return worst
