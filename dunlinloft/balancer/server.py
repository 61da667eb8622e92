"""The state of one server at this replica, and its weight by slow start and latency."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import DedupScope, Health
from dunlinloft.balancer.token_bucket import TokenBucket

SLOWNESS_THRESHOLD = 1.5  # multiple of its peers' delay above which a server's weight is lowered
SLOWNESS_EXPONENT = 4.0  # power by which it is lowered; steep, so that the server can recover
SLOWNESS_SAMPLE_MAX = 10.0  # maximum of one sample, as a multiple of the peers' delay
SLOWNESS_SAMPLES = 3.0  # number of answers that a server's slowness is averaged over
SLOWNESS_DECAY_MS = 10_000.0  # time constant by which slowness decays
OVERDUE_FACTOR = 1.5  # divides the age of the oldest call, in usual delays, to compare it with slowness
REPORTED_QUEUE_DECAY_MS = 5_000.0  # time constant by which a reported queue length decays
REPORTED_QUEUE_EXPONENT = 3  # the weight is divided by the queue length plus 1 to this power
UNRESPONSIVE_FACTOR = 3.0  # usual delays without a response after which a server counts as unresponsive


class SentCall(NamedTuple):
    """A call in flight at a server: the time it was sent and its class's latency target."""

    sent_ms: float
    latency_target_ms: float


class Server:
    """A server as observed by this replica. Owned by `ServerSet`; other modules of the package update it.

    Attributes
    ----------
    share, subset_share
        Its share of the capacity, and the part of that share that this replica uses.
    in_flight, outstanding
        Number of calls that it is processing for this replica, and these calls by id, oldest first. Calls
        whose request is still arriving or whose response is streaming are not included.
    rotation_weight
        See `rotation.RotationMember`.
    reported_queue, reported_ms
        Queue length that the server last reported, and when.
    slowness, slowness_ms
        Average of its delay as a multiple of its peers', and when it was updated.
    ejected_until_ms, consecutive_ejections
        See `outlier_ejection`, also for the next three.
    error_log_odds
        Log odds that the server fails much more often than its peers.
    verdict
        The shared verdict of all replicas on the server.
    successes_since_verdict, fast_since_verdict
        Own answers since the verdict, or since the last failed or slow one.
    concurrency_limit
        Maximum number of calls in flight from this replica; infinite until the server rejects an attempt.
    last_used_ms, last_response_ms
        When a connection to the server was last in use, and when the server last responded.
    slow_start_budget
        Budget of attempts while the server is in slow start.
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
        # Starts at a random level, as all replicas are told of a new server at the same time.
        self.slow_start_budget = TokenBucket(rng.random(), now_ms)

    def update(self, entry: api.ServerEntry) -> None:
        """Apply an update from discovery; a restart of the server resets its verdict."""
        if self.started_ms != entry.started_ms:
            self.verdict = None
        self.zone = entry.zone
        self.cell = entry.cell
        self.share = max(entry.share, 0.0)
        self.subset_share = self.share
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms

    def group(self, scope: DedupScope) -> str | int | None:
        """Return the id of the server's deduplication group; None if all servers are one group."""
        if scope is DedupScope.ZONE:
            return self.zone
        return self.cell if scope is DedupScope.CELL else None

    def slow_start_share(self, now_ms: float, settings: api.Settings) -> float:
        """Return the share of its capacity that is available now; it rises linearly during slow start."""
        if self.started_ms is None or not settings.slow_start_ms:
            return 1.0
        progress = min(1.0, max(0.0, (now_ms - self.started_ms) / settings.slow_start_ms))
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * progress

    def record_report(self, report: dict[str, float] | None, now_ms: float) -> None:
        """Record the load report of a response, if there is one."""
        if report:
            self.reported_queue = report.get("queue", 0.0)
            self.reported_ms = now_ms

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Add the delay of an answer as a multiple of the usual delay."""
        self.fast_since_verdict = self.fast_since_verdict + 1.0 if ratio < SLOWNESS_THRESHOLD else 0.0
        slowness = self._slowness_at(now_ms)
        self.slowness = slowness + (min(ratio, SLOWNESS_SAMPLE_MAX) - slowness) / SLOWNESS_SAMPLES
        self.slowness_ms = now_ms

    def _slowness_at(self, now_ms: float) -> float:
        """Return the average slowness, which decays to 1 over time."""
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slowness_ms - now_ms) / SLOWNESS_DECAY_MS)

    def latency_weight(self, now_ms: float, usual_share: float) -> float:
        """Return the factor on the server's weight; below 1 if it is slower than its peers or has a queue.

        The slowness is the maximum of the measured one, the peers' and the age of the oldest call in flight:
        by its age a hung or overloaded server is detected long before a timeout.

        Parameters
        ----------
        usual_share
            Mean delay of all servers as a share of the latency target (`LatencyBaseline`); 0: not known yet.
        """
        overdue = 0.0
        if self.outstanding and usual_share:
            oldest = next(iter(self.outstanding.values()))
            usual_ms = usual_share * oldest.latency_target_ms
            overdue = (now_ms - oldest.sent_ms) / usual_ms / OVERDUE_FACTOR
        slowness = max(overdue, SLOWNESS_THRESHOLD)
        if self.slowness > SLOWNESS_THRESHOLD:  # decay only lowers it further
            slowness = max(slowness, self._slowness_at(now_ms))
        if self.verdict is not None:
            peer_slowness = 1.0 + (self.verdict.latency_ratio - 1.0) * 0.5**self.fast_since_verdict
            slowness = max(slowness, peer_slowness)
        if not self.reported_queue and slowness == SLOWNESS_THRESHOLD:
            return 1.0
        weight = math.pow(SLOWNESS_THRESHOLD / slowness, SLOWNESS_EXPONENT)
        if not self.reported_queue:
            return weight
        queue = self.reported_queue * math.exp((self.reported_ms - now_ms) / REPORTED_QUEUE_DECAY_MS)
        return weight / (1.0 + queue) ** REPORTED_QUEUE_EXPONENT

    def unresponsive(self, now_ms: float, usual_share: float) -> bool:
        """Return whether calls are in flight without a response for `UNRESPONSIVE_FACTOR` usual delays."""
        for oldest in self.outstanding.values():
            since_ms = oldest.sent_ms if oldest.sent_ms > self.last_response_ms else self.last_response_ms
            return now_ms - since_ms > UNRESPONSIVE_FACTOR * usual_share * oldest.latency_target_ms > 0.0
        return False
