"""Aggregates all members' tallies: calls to be judged, call rates, and the old servers' peak rate."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.fleet.releases.judge import Strata
from dunlinloft.fleet.releases.likelihood import CallStratum, LatencyStratum
from dunlinloft.fleet.releases.messages import CallCounts, Tally, empty_counts

JUDGED_WINDOW_MS = 2_000.0  # calls within a window are judged together
RATE_SMOOTHING = 0.3  # weight of the latest rate in the moving average
FAILURE_DECAY = 0.9  # of the recent calls to the new build, per evaluation
FAILING_BUILD_SHARE = 0.5  # failure share from which a build gets no load, even if old servers are overloaded


@dataclass(slots=True)
class MemberTally:
    """A member's tally as received by the controller."""

    member: str
    incarnation: int
    age_ms: float
    tally: Tally


@dataclass(slots=True)
class _Baseline:
    """A member's counts at the last evaluation."""

    incarnation: int
    counts: dict[tuple[int, int], CallCounts]  # by class and zone


@dataclass(slots=True, frozen=True)
class _NewAndOld:
    """A value for new and one for old servers."""

    new: float
    old: float


class ReleaseTraffic:
    """The traffic of one release as seen by its controller."""

    def __init__(self) -> None:
        self._baselines: dict[str, _Baseline] = {}  # by member
        self._window: dict[tuple[int, int], CallCounts] = {}  # by class and zone, of all members
        self._window_ms = 0.0
        self._peak_rate_per_weight = 0.0  # greatest calls/s per unit of the old servers' weight
        self.rates = _NewAndOld(0.0, 0.0)  # calls/s
        self._weights = _NewAndOld(0.0, 0.0)
        self._recent_new_calls = 0.0
        self._recent_new_failures = 0.0
        self.restarts = 0  # of new servers, as seen by the member that counted most

    def add(self, tallies: list[MemberTally], release_id: int, elapsed_ms: float) -> None:
        """Add what members have counted since the last evaluation, `elapsed_ms` ago."""
        new = 0
        old = 0
        failed = 0
        for report in tallies:
            if report.tally.order.release_id != release_id:
                continue
            for counts in self._counted_since(report):
                key = counts.class_id, counts.zone_id
                _add(self._window.setdefault(key, empty_counts(*key)), counts)
                new += counts.new
                old += counts.old
                failed += counts.new_failed
        self._window_ms += elapsed_ms
        seconds = max(1e-3, elapsed_ms / 1000.0)
        self.rates = _NewAndOld(
            self.rates.new + RATE_SMOOTHING * (new / seconds - self.rates.new),
            self.rates.old + RATE_SMOOTHING * (old / seconds - self.rates.old),
        )
        self._recent_new_calls = FAILURE_DECAY * self._recent_new_calls + new
        self._recent_new_failures = FAILURE_DECAY * self._recent_new_failures + failed
        self._weights = _NewAndOld(
            sum(report.tally.new_weight for report in tallies),
            sum(report.tally.old_weight for report in tallies),
        )
        if self._weights.old > 0.0:
            rate_per_weight = self.rates.old / self._weights.old
            self._peak_rate_per_weight = max(self._peak_rate_per_weight, rate_per_weight)
        self.restarts = max(self.restarts, *(report.tally.restarts for report in tallies), 0)

    def _counted_since(self, report: MemberTally) -> list[CallCounts]:
        """Return a member's counts since the last evaluation.

        Counts from before this controller's first evaluation, or from another incarnation, are left out.
        """
        counts = {(c.class_id, c.zone_id): c for c in report.tally.counts}
        baseline = self._baselines.get(report.member)
        self._baselines[report.member] = _Baseline(report.incarnation, counts)
        if baseline is None or baseline.incarnation != report.incarnation:
            return []
        increments = (
            _increment(count, baseline.counts.get(key, empty_counts(*key))) for key, count in counts.items()
        )
        return [increment for increment in increments if increment is not None]

    def take_window(self) -> dict[int, list[Strata]] | None:
        """Return the calls to be judged, by class, at the end of the window; None before."""
        if self._window_ms < JUDGED_WINDOW_MS:
            return None
        strata: dict[int, list[Strata]] = {}
        for c in self._window.values():
            calls = CallStratum(c.new, c.new_failed, c.old, c.old_failed)
            latencies = LatencyStratum(tuple(c.new_latencies), tuple(c.old_latencies))
            strata.setdefault(c.class_id, []).append(Strata(calls, latencies))
        self._window = {}
        self._window_ms = 0.0
        return strata

    def total_rate(self) -> float:
        """Return the calls/s to all servers."""
        return self.rates.new + self.rates.old

    def old_server_capacity(self) -> float:
        """Return the calls/s that the old servers can serve, from their peak rate in this release."""
        return self._peak_rate_per_weight * self._weights.old

    def new_build_is_failing(self) -> bool:
        """Whether the new build fails so often that it takes no load off the old servers."""
        return (
            self._recent_new_calls >= 1.0
            and self._recent_new_failures >= FAILING_BUILD_SHARE * self._recent_new_calls
        )


def _increment(counts: CallCounts, before: CallCounts) -> CallCounts | None:
    """Return the difference of two counts; None if it is empty, or if the member has restarted its counts."""
    new = counts.new - before.new
    old = counts.old - before.old
    if new + old <= 0 or min(new, old) < 0:
        return None
    return CallCounts(
        counts.class_id,
        counts.zone_id,
        new,
        counts.new_failed - before.new_failed,
        [a - b for a, b in zip(counts.new_latencies, before.new_latencies, strict=True)],
        old,
        counts.old_failed - before.old_failed,
        [a - b for a, b in zip(counts.old_latencies, before.old_latencies, strict=True)],
    )


def _add(total: CallCounts, more: CallCounts) -> None:
    total.new += more.new
    total.new_failed += more.new_failed
    total.new_latencies = [a + b for a, b in zip(total.new_latencies, more.new_latencies, strict=True)]
    total.old += more.old
    total.old_failed += more.old_failed
    total.old_latencies = [a + b for a, b in zip(total.old_latencies, more.old_latencies, strict=True)]
