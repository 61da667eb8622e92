"""Metrics of a day: shares, latencies and counts, in total and per second."""

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
MAX_DELAY_MS = 60_000  # longest delay that a histogram records
DETECTION_LIMIT_MS = 2_000.0  # a faulty server should be detected within this time
QUOTA_START_S = 5.0  # quotas are evaluated from this time on
INITIAL_START_MS = 1_000.0  # processes that start before this count as present from the beginning
PERCENTILES = (50.0, 90.0, 99.0)


class Span(Struct):
    """A fault as shown in the report: its start and end in seconds, and the nodes or servers affected."""

    name: str
    start_s: float
    end_s: float
    whom: list[str]


class Series(Struct):
    """Figures per second: outcomes by class, and latency percentiles of served requests in ms."""

    outcomes: dict[str, dict[str, list[int]]] = {}
    percentiles: dict[str, list[float]] = {}
    attempts: list[int] = []
    refusals: list[int] = []
    beliefs: dict[str, dict[str, list[float]]] = {}  # by node and figure, including `at_s`


def quota_figures(beliefs: dict[str, dict[str, list[float]]], tenants: list[Tenant]) -> dict[str, float]:
    """Compute how well all nodes together kept each quota per second, from the nodes' own counts.

    `quota.T.over`: the largest excess over the quota in one second among requests accepted as within it, as a
    share of the quota. `quota.T.turned`: the share of all requests that were treated as over the quota while
    it was not used up.
    """
    found: dict[str, float] = {}
    for tenant in tenants:
        if not tenant.quota_per_s:
            continue
        seconds: dict[float, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for node_series in beliefs.values():
            for key, position in ((f"within.{tenant.name}", 0), (f"over.{tenant.name}", 1)):
                counts = node_series.get(key, [])
                times = node_series["at_s"][-len(counts) :] if counts else []
                for (_, before), (at, count) in pairwise(zip(times, counts, strict=True)):
                    seconds[round(at)][position] += count - before if count >= before else count
        settled = [second for at, second in sorted(seconds.items()) if at >= QUOTA_START_S]
        if not settled:
            continue
        quota, total = tenant.quota_per_s, sum(within + over for within, over in settled)
        found[f"quota.{tenant.name}.over"] = max(0.0, *(within / quota - 1.0 for within, _ in settled))
        needlessly_refused = sum(max(0.0, min(over, quota - within)) for within, over in settled)
        found[f"quota.{tenant.name}.turned"] = needlessly_refused / total if total else 0.0
    return found


class Figures:
    """Aggregates all records of a day into `totals` and `series`."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._classes = {cls.name: cls for cls in plan.scenario.classes}
        seconds = math.ceil(plan.scenario.day.length_s + plan.scenario.day.after_s) + 1
        self._last_second = seconds - 1
        self._outcomes = {name: {o: [0] * seconds for o in OUTCOMES} for name in self._classes}
        self._tenants: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._histograms = {name: HdrHistogram(1, MAX_DELAY_MS, 3) for name in self._classes}
        self._delays: list[list[float]] = [[] for _ in range(seconds)]
        self._attempts, self._refusals = [0] * seconds, [0] * seconds
        self._request_count = self._first_tier_attempts = self._refused_count = self._try_count = (
            self._inner_request_count
        ) = 0
        self._statuses: dict[int, int] = defaultdict(int)
        self._beliefs: dict[str, dict[str, list[float]]] = {}
        self._faulty_since: dict[str, float] = {}  # servers with an active fault, and its start time
        self._faulty_attempts = self._late_faulty_attempts = 0
        self.spans: list[Span] = []
        self.late_ms = 0.0
        self._staged_figures = StagedFigures(plan)
        first_tier = plan.names.tiers[0]
        self._first_tier = set(first_tier)
        self._handlers: dict[type, Callable[[Any], None]] = {
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
        """Process the next record."""
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)
        if self._staged_figures.builds:
            self._staged_figures.see(record)

    def _second(self, at: float) -> int:
        return min(self._last_second, int(at / 1000.0))

    def _on_asked(self, record: r.Asked) -> None:
        if record.origin == CALLERS:
            self._request_count += 1
        else:
            self._inner_request_count += 1

    def _on_answered(self, record: r.Answered) -> None:
        self._statuses[record.status] += 1
        if record.status in (429, 503):
            self._refusals[self._second(record.at)] += 1
            self._refused_count += 1

    def _on_arrived(self, record: r.Arrived) -> None:
        since = self._faulty_since.get(record.server)
        if since is not None:
            self._faulty_attempts += 1
            self._late_faulty_attempts += record.began > since + DETECTION_LIMIT_MS
        if record.server in self._first_tier:
            self._first_tier_attempts += 1
            self._attempts[self._second(record.at)] += 1

    def _on_closed(self, record: r.Closed) -> None:
        # Counted in the second of its arrival, so that harm shows at the time of the fault that caused it.
        second = self._second(record.at - record.delay_ms)
        self._outcomes[record.cls][record.outcome][second] += 1
        self._try_count += record.tries
        if record.tenant:
            self._tenants[record.tenant][0] += record.outcome == "in_time"
            self._tenants[record.tenant][1] += 1
        if record.outcome in ("in_time", "late"):
            self._histograms[record.cls].record_value(max(1, min(MAX_DELAY_MS, round(record.delay_ms))))
            self._delays[second].append(record.delay_ms)

    def _on_belief(self, record: r.Belief) -> None:
        node_series = self._beliefs.setdefault(record.node, {"at_s": []})
        node_series["at_s"].append(round(record.at / 1000.0, 2))
        for name, value in record.figures.items():
            node_series.setdefault(name, []).append(round(value, 3))

    def _on_fault(self, record: r.Faulted) -> None:
        if record.name.endswith(":serverfault"):
            for name in record.whom:
                self._faulty_since.pop(name, None)
                if record.on:
                    self._faulty_since[name] = record.at
        if record.on:
            self.spans.append(Span(record.name, record.at / 1000.0, math.inf, record.whom[:40]))
            return
        for span in self.spans:
            if span.name == record.name and span.end_s == math.inf:
                span.end_s = record.at / 1000.0

    def _on_process(self, record: r.Process) -> None:
        if record.what == "started" and record.at > INITIAL_START_MS:
            second = record.at / 1000.0
            self.spans.append(Span(f"{len(self.spans)}:started", second, second, [record.node]))

    def _on_late(self, record: r.Late) -> None:
        if record.who == "lab":
            self.late_ms = max(self.late_ms, record.late_ms)

    def totals(self) -> dict[str, float]:
        """Return each figure by the name that expectations use."""
        found: dict[str, float] = {}
        worth = earned = 0.0
        sums = dict.fromkeys(OUTCOMES, 0)
        for name, cls in self._classes.items():
            counts = {outcome: sum(self._outcomes[name][outcome]) for outcome in OUTCOMES}
            # A caller that has left no longer needs an answer.
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
        all_delays = HdrHistogram(1, MAX_DELAY_MS, 3)
        for histogram in self._histograms.values():
            all_delays.add(histogram)
        found["goodput"] = earned / worth if worth else 1.0
        for outcome in ("late", "refused", "failed", "lost"):
            found[outcome] = sums[outcome] / total if total else 0.0
        for percentile in PERCENTILES:
            found[f"p{percentile:g}_ms"] = float(all_delays.get_value_at_percentile(percentile))
        found["requests"] = float(sum(sums.values()))
        found["tries"] = self._try_count / max(1, sum(sums.values()))
        found["refusals"] = self._refused_count / max(1, self._request_count + self._inner_request_count)
        found["attempts"] = self._first_tier_attempts / max(1, self._request_count)
        found["unreached"] = self._statuses[r.UNREACHED] / max(1, self._request_count)
        found["closed"] = self._statuses[r.CLOSED] / max(1, self._request_count)
        found["sick_attempts"] = float(self._faulty_attempts)
        found["sick_late"] = float(self._late_faulty_attempts)
        sent_bytes = [
            node_series["fleet_sent_bytes"][-1]
            for node_series in self._beliefs.values()
            if "fleet_sent_bytes" in node_series
        ]
        if sent_bytes:
            found["fleet_bytes_s"] = sum(sent_bytes) / len(sent_bytes) / self._plan.scenario.day.length_s
        found |= quota_figures(self._beliefs, self._plan.scenario.tenants)
        if self._tenants:
            found["worst_tenant"] = min(good / count for good, count in self._tenants.values() if count)
        found["worst_10s"] = self._worst_window()
        found |= self._staged_figures.totals()
        return {name: round(value, 6) for name, value in found.items()}

    def _worst_window(self, length: int = 10) -> float:
        """Return the lowest goodput of any window of `length` seconds with arrivals."""
        last_second = min(self._last_second, math.ceil(self._plan.scenario.day.length_s))
        worst = 1.0
        for start in range(0, max(1, last_second - length + 1)):
            worth = earned = 0.0
            for name, cls in self._classes.items():
                window_counts = {o: sum(self._outcomes[name][o][start : start + length]) for o in OUTCOMES}
                worth += cls.worth * (sum(window_counts.values()) - window_counts["left"])
                earned += cls.worth * (window_counts["in_time"] + cls.late_worth * window_counts["late"])
            worst = min(worst, earned / worth if worth else 1.0)
        return worst

    def series(self) -> Series:
        """Return the figures per second."""
        rows = [np.percentile(d, PERCENTILES) if d else [0.0] * len(PERCENTILES) for d in self._delays]
        percentiles = {
            f"p{p:g}_ms": [round(float(row[n]), 1) for row in rows] for n, p in enumerate(PERCENTILES)
        }
        for span in self.spans:
            span.end_s = min(span.end_s, float(self._last_second))
        return Series(self._outcomes, percentiles, self._attempts, self._refusals, self._beliefs)
