"""What this replica knows of one server, and the weight that follows: slow start and latency."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import DedupScope, Health
from dunlinloft.balancer.token_bucket import TokenBucket

SLOWNESS_THRESHOLD = 1.5  # times its peers' delay from which a server's weight falls,
SLOWNESS_EXPONENT = 4.0  # by this power, so steeply that it gets rest
SLOWNESS_SAMPLE_MAX = 10.0  # times its peers' delay that one answer may count for
SLOWNESS_SAMPLES = 3.0  # answers that a server's slowness is averaged over
SLOWNESS_DECAY_MS = 10_000.0  # time constant in which it is forgotten
OVERDUE_FACTOR = 1.5  # a call in flight for this many usual delays counts as one answer that slow
REPORTED_QUEUE_DECAY_MS = 5_000.0  # time constant in which a reported queue is forgotten
REPORTED_QUEUE_EXPONENT = 3  # of the queue, one added, that the weight is divided by
UNRESPONSIVE_FACTOR = 3.0  # usual delays without a sign of life, from which a server is taken for lost


class SentCall(NamedTuple):
    """A call in flight at a server: when it was sent, and its class's latency target."""

    sent_ms: float
    latency_target_ms: float


class Server:
    """One server as this replica sees it. Owned by `ServerSet`; other modules of the package update it.

    Attributes
    ----------
    share, subset_share
        Its capacity share, and how much of that is this replica's to use.
    in_flight, outstanding
        Calls that it works on for this replica: their number, and when each was sent, oldest first. A call
        that still arrives or whose response already flows loads no server and is in neither.
    rotation_weight
        See `rotation.Rotating`.
    reported_queue, reported_ms
        Requests that it last said were queued there, and when it did.
    slowness, slowness_ms
        Its delay over its peers', averaged, as of when.
    ejected_until_ms, consecutive_ejections
        See `outlier_ejection`, as for the three that follow.
    error_log_odds
        That it fails much more often than its peers.
    verdict
        What the replicas together conclude about it.
    successes_since_verdict, fast_since_verdict
        Own answers since the verdict without a failure, and without a slow one.
    concurrency_limit
        How many calls it may hold from here, once it has rejected an attempt.
    last_used_ms, last_response_ms
        When a connection to it was last in use; when it last gave a sign of life.
    slow_start_budget
        Attempts that it may get while it is in slow start.
    """

    def __init__(self, entry: api.ServerEntry, now_ms: float, rng: random.Random) -> None:
        self.id = entry.server
        self.zone = entry.zone
        self.cell = entry.cell
        self.share = max(entry.share, 0.0)
        self.subset_share = self.share
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms
        self.in_flight = 0
        self.outstanding: dict[str, SentCall] = {}
        self.rotation_weight: float | None = None
        self.reported_queue = 0.0
        self.reported_ms = now_ms
        self.slowness = 1.0
        self.slowness_ms = now_ms
        self.ejected_until_ms = -math.inf
        self.consecutive_ejections = 0
        self.error_log_odds = 0.0
        self.verdict: api.PeerVerdict | None = None
        self.successes_since_verdict = 0.0
        self.fast_since_verdict = 0.0
        self.concurrency_limit = math.inf
        self.last_used_ms = now_ms
        self.last_response_ms = now_ms
        self.slow_start_budget = TokenBucket(
            rng.random(), now_ms
        )  # random, as all replicas learn of it at once

    def update(self, entry: api.ServerEntry) -> None:
        """Take what discovery says of it now. A verdict on a former process of it is void."""
        if self.started_ms != entry.started_ms:
            self.verdict = None
        self.zone = entry.zone
        self.cell = entry.cell
        self.share = max(entry.share, 0.0)
        self.subset_share = self.share
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms

    def group(self, scope: DedupScope) -> str | int | None:
        """The deduplication group that it belongs to, as a value to compare; None where it is all servers."""
        if scope is DedupScope.ZONE:
            return self.zone
        return self.cell if scope is DedupScope.CELL else None

    def slow_start_share(self, now_ms: float, settings: api.Settings) -> float:
        """The share of its capacity that it surely has by now; it grows linearly during slow start."""
        if self.started_ms is None or not settings.slow_start_ms:
            return 1.0
        progress = min(1.0, max(0.0, (now_ms - self.started_ms) / settings.slow_start_ms))
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * progress

    def record_report(self, report: dict[str, float] | None, now_ms: float) -> None:
        """Take the load report of a response, where it carries one."""
        if report:
            self.reported_queue = report.get("queue", 0.0)
            self.reported_ms = now_ms

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Take the delay of an answer over the usual one."""
        self.fast_since_verdict = self.fast_since_verdict + 1.0 if ratio < SLOWNESS_THRESHOLD else 0.0
        slowness = self._slowness_at(now_ms)
        self.slowness = slowness + (min(ratio, SLOWNESS_SAMPLE_MAX) - slowness) / SLOWNESS_SAMPLES
        self.slowness_ms = now_ms

    def _slowness_at(self, now_ms: float) -> float:
        """The averaged slowness, decayed to 1: old evidence is forgotten."""
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slowness_ms - now_ms) / SLOWNESS_DECAY_MS)

    def latency_weight(self, now_ms: float, usual_share: float) -> float:
        """The share of its weight that is left once it is clearly slower than its peers, or has a queue.

        Slowness is the worst of what was measured, what peers say, and of how long the oldest call has been
        in flight: a hung or choked server shows by that long before a time-out does.

        Parameters
        ----------
        usual_share
            The mean delay over the latency target, over all servers (`LatencyBaseline`); 0: not known yet.
        """
        overdue = 0.0
        if self.outstanding and usual_share:
            oldest = next(iter(self.outstanding.values()))
            usual_ms = usual_share * oldest.latency_target_ms
            overdue = (now_ms - oldest.sent_ms) / usual_ms / OVERDUE_FACTOR
        slowness = max(overdue, SLOWNESS_THRESHOLD)
        if self.slowness > SLOWNESS_THRESHOLD:  # else it is less now too
            slowness = max(slowness, self._slowness_at(now_ms))
        if self.verdict is not None:
            reported = 1.0 + (self.verdict.latency_ratio - 1.0) * 0.5**self.fast_since_verdict
            slowness = max(slowness, reported)
        if not self.reported_queue and slowness == SLOWNESS_THRESHOLD:
            return 1.0
        weight = math.pow(SLOWNESS_THRESHOLD / slowness, SLOWNESS_EXPONENT)
        if not self.reported_queue:
            return weight
        queue = self.reported_queue * math.exp((self.reported_ms - now_ms) / REPORTED_QUEUE_DECAY_MS)
        return weight / (1.0 + queue) ** REPORTED_QUEUE_EXPONENT

    def unresponsive(self, now_ms: float, usual_share: float) -> bool:
        """Whether it holds calls and has given no sign of life for several usual delays: taken for lost."""
        for oldest in self.outstanding.values():
            since_ms = oldest.sent_ms if oldest.sent_ms > self.last_response_ms else self.last_response_ms
            return now_ms - since_ms > UNRESPONSIVE_FACTOR * usual_share * oldest.latency_target_ms > 0.0
        return False
