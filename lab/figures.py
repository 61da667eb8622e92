"""What a day came to: shares, times and counts, in all and second by second."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lab import records as r
from lab.names import CALLERS
from lab.plan import Plan
from lab.scenario import Tenant
from lab.staged import StagedFigures

OUTCOMES = ("in_time", "late", "refused", "failed", "lost", "left")
MOST_MS = 60_000  # of a delay that a histogram takes
AVOIDED_MS = 2_000.0  # a server that falls ill should be known to be so by then
SETTLED_S = 5.0  # quotas are looked at from then on
FIRST_MS = 1_000.0  # what starts before is there from the beginning
PERCENTILES = (50.0, 90.0, 99.0)


class Span(Struct):
    """A fault as it is shown: from and to in seconds, and whom it touched."""

    name: str
    start_s: float
    end_s: float
    whom: list[str]


class Series(Struct):
    """Figures second by second; of each class its outcomes, and percentiles of what was served (ms)."""

    outcomes: dict[str, dict[str, list[int]]] = {}
    percentiles: dict[str, list[float]] = {}
    attempts: list[int] = []
    refusals: list[int] = []
    beliefs: dict[str, dict[str, list[float]]] = {}  # by node and figure, with `at_s` among them


def quota_figures(beliefs: dict[str, dict[str, list[float]]], tenants: list[Tenant]) -> dict[str, float]:
    """How quotas were kept by all nodes together, second by second, from their own counts.

    `quota.T.over`: the most that was taken as within the quota in a second, over it, as a share of it;
    `quota.T.turned`: of all requests the share that was taken as over the quota while it was not used up.
    """
    found: dict[str, float] = {}
    for tenant in tenants:
        if not tenant.quota_per_s:
            continue
        seconds: dict[float, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for mine in beliefs.values():
            for key, place in ((f"within.{tenant.name}", 0), (f"over.{tenant.name}", 1)):
                counts = mine.get(key, [])
                times = mine["at_s"][-len(counts) :] if counts else []
                for (_, before), (at, count) in pairwise(zip(times, counts, strict=True)):
                    seconds[round(at)][place] += count - before if count >= before else count
        late = [second for at, second in sorted(seconds.items()) if at >= SETTLED_S]
        if not late:
            continue
        quota, asked = tenant.quota_per_s, sum(within + over for within, over in late)
        found[f"quota.{tenant.name}.over"] = max(0.0, *(within / quota - 1.0 for within, _ in late))
        needless = sum(max(0.0, min(over, quota - within)) for within, over in late)
        found[f"quota.{tenant.name}.turned"] = needless / asked if asked else 0.0
    return found


class Figures:
    """Told every record; `totals` and `series` say what it came to."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._classes = {cls.name: cls for cls in plan.scenario.classes}
        seconds = math.ceil(plan.scenario.day.length_s + plan.scenario.day.after_s) + 1
        self._last = seconds - 1
        self._outcomes = {name: {o: [0] * seconds for o in OUTCOMES} for name in self._classes}
        self._tenants: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._histograms = {name: HdrHistogram(1, MOST_MS, 3) for name in self._classes}
        self._delays: list[list[float]] = [[] for _ in range(seconds)]
        self._attempts, self._refusals = [0] * seconds, [0] * seconds
        self._asked = self._sent = self._refused = self._tries = self._inner = 0
        self._statuses: dict[int, int] = defaultdict(int)
        self._beliefs: dict[str, dict[str, list[float]]] = {}
        self._sick: dict[str, float] = {}  # servers that a fault has hold of, and since when
        self._sick_attempts = self._sick_late = 0
        self.spans: list[Span] = []
        self.late_ms = 0.0
        self._staged = StagedFigures(plan)
        first = plan.names.tiers[0]
        self._first = set(first)
        self._see: dict[type, Callable[[Any], None]] = {
            r.Asked: self._on_asked,
            r.Answered: self._on_answered,
            r.Arrived: self._on_arrived,
            r.Closed: self._on_closed,
            r.Belief: self._on_belief,
            r.Faulted: self._on_fault,
            r.Process: self._on_process,
            r.Late: self._on_late,
        }

    def see(self, record: r.Record) -> None:
        """Take the next record."""
        do = self._see.get(type(record))
        if do is not None:
            do(record)
        if self._staged.builds:
            self._staged.see(record)

    def _second(self, at: float) -> int:
        return min(self._last, int(at / 1000.0))

    def _on_asked(self, record: r.Asked) -> None:
        if record.origin == CALLERS:
            self._asked += 1
        else:
            self._inner += 1

    def _on_answered(self, record: r.Answered) -> None:
        self._statuses[record.status] += 1
        if record.status in (429, 503):
            self._refusals[self._second(record.at)] += 1
            self._refused += 1

    def _on_arrived(self, record: r.Arrived) -> None:
        since = self._sick.get(record.server)
        if since is not None:
            self._sick_attempts += 1
            self._sick_late += record.began > since + AVOIDED_MS
        if record.server in self._first:
            self._sent += 1
            self._attempts[self._second(record.at)] += 1

    def _on_closed(self, record: r.Closed) -> None:
        # It is counted in the second in which it came: what a fault harms shows where the fault is.
        second = self._second(record.at - record.delay_ms)
        self._outcomes[record.cls][record.outcome][second] += 1
        self._tries += record.tries
        if record.tenant:
            self._tenants[record.tenant][0] += record.outcome == "in_time"
            self._tenants[record.tenant][1] += 1
        if record.outcome in ("in_time", "late"):
            self._histograms[record.cls].record_value(max(1, min(MOST_MS, round(record.delay_ms))))
            self._delays[second].append(record.delay_ms)

    def _on_belief(self, record: r.Belief) -> None:
        mine = self._beliefs.setdefault(record.node, {"at_s": []})
        mine["at_s"].append(round(record.at / 1000.0, 2))
        for name, value in record.figures.items():
            mine.setdefault(name, []).append(round(value, 3))

    def _on_fault(self, record: r.Faulted) -> None:
        if record.name.endswith(":serverfault"):
            for name in record.whom:
                self._sick.pop(name, None)
                if record.on:
                    self._sick[name] = record.at
        if record.on:
            self.spans.append(Span(record.name, record.at / 1000.0, math.inf, record.whom[:40]))
            return
        for span in self.spans:
            if span.name == record.name and span.end_s == math.inf:
                span.end_s = record.at / 1000.0

    def _on_process(self, record: r.Process) -> None:
        if record.what == "started" and record.at > FIRST_MS:
            second = record.at / 1000.0
            self.spans.append(Span(f"{len(self.spans)}:started", second, second, [record.node]))

    def _on_late(self, record: r.Late) -> None:
        if record.who == "lab":
            self.late_ms = max(self.late_ms, record.late_ms)

    def totals(self) -> dict[str, float]:
        """Each figure by its name, as expectations name them."""
        found: dict[str, float] = {}
        worth = earned = 0.0
        sums = dict.fromkeys(OUTCOMES, 0)
        for name, cls in self._classes.items():
            counts = {outcome: sum(self._outcomes[name][outcome]) for outcome in OUTCOMES}
            # Who has left wants nothing any more.
            total = sum(counts.values()) - counts["left"]
            value = counts["in_time"] + cls.late_worth * counts["late"]
            worth += cls.worth * total
            earned += cls.worth * value
            for outcome in OUTCOMES:
                sums[outcome] += counts[outcome]
            prefix = f"class.{name}."
            found[prefix + "goodput"] = value / total if total else 1.0
            for outcome in ("late", "refused", "failed", "lost"):
                found[prefix + outcome] = counts[outcome] / total if total else 0.0
            for percentile in PERCENTILES:
                key = f"{prefix}p{percentile:g}_ms"
                found[key] = float(self._histograms[name].get_value_at_percentile(percentile))
        total = sum(sums.values()) - sums["left"]
        everything = HdrHistogram(1, MOST_MS, 3)
        for histogram in self._histograms.values():
            everything.add(histogram)
        found["goodput"] = earned / worth if worth else 1.0
        for outcome in ("late", "refused", "failed", "lost"):
            found[outcome] = sums[outcome] / total if total else 0.0
        for percentile in PERCENTILES:
            found[f"p{percentile:g}_ms"] = float(everything.get_value_at_percentile(percentile))
        found["requests"] = float(sum(sums.values()))
        found["tries"] = self._tries / max(1, sum(sums.values()))
        found["refusals"] = self._refused / max(1, self._asked + self._inner)
        found["attempts"] = self._sent / max(1, self._asked)
        found["unreached"] = self._statuses[r.UNREACHED] / max(1, self._asked)
        found["closed"] = self._statuses[r.CLOSED] / max(1, self._asked)
        found["sick_attempts"] = float(self._sick_attempts)
        found["sick_late"] = float(self._sick_late)
        told = [mine["fleet_sent_bytes"][-1] for mine in self._beliefs.values() if "fleet_sent_bytes" in mine]
        if told:
            found["fleet_bytes_s"] = sum(told) / len(told) / self._plan.scenario.day.length_s
        found |= quota_figures(self._beliefs, self._plan.scenario.tenants)
        if self._tenants:
            found["worst_tenant"] = min(good / count for good, count in self._tenants.values() if count)
        found["worst_10s"] = self._worst_window()
        found |= self._staged.totals()
        return {name: round(value, 6) for name, value in found.items()}

    def _worst_window(self, length: int = 10) -> float:
        """The least goodput of any ten seconds in which work came."""
        ends = min(self._last, math.ceil(self._plan.scenario.day.length_s))
        worst = 1.0
        for start in range(0, max(1, ends - length + 1)):
            worth = earned = 0.0
            for name, cls in self._classes.items():
                part = {o: sum(self._outcomes[name][o][start : start + length]) for o in OUTCOMES}
                worth += cls.worth * (sum(part.values()) - part["left"])
                earned += cls.worth * (part["in_time"] + cls.late_worth * part["late"])
            worst = min(worst, earned / worth if worth else 1.0)
        return worst

    def series(self) -> Series:
        """The figures second by second."""
        rows = [np.percentile(d, PERCENTILES) if d else [0.0] * len(PERCENTILES) for d in self._delays]
        percentiles = {
            f"p{p:g}_ms": [round(float(row[n]), 1) for row in rows] for n, p in enumerate(PERCENTILES)
        }
        for span in self.spans:
            span.end_s = min(span.end_s, float(self._last))
        return Series(self._outcomes, percentiles, self._attempts, self._refusals, self._beliefs)
