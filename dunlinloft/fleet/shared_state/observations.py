"""This process's observations of servers, and the statistics of them that it shares.

The statistics are those of Wald's sequential probability ratio test, which the node's outlier ejection also
runs locally: each failure is evidence that the server fails half of its attempts rather than as many as its
peers, each response is evidence against it, and the sum never falls below 0.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from dunlinloft.fleet.releases.follower import AttemptOutcome
from dunlinloft.fleet.shared_state.messages import ObservationReport, ServerStatistics

FAULTY_FAILURE_SHARE = 0.5  # of attempts, under the alternative hypothesis
MIN_FAILURE_SHARE = 0.01  # assumed of the peers
MAX_ODDS = 6.0  # of one process's row, so that one process alone does not suffice for a verdict
# Decay of the responses of a server that is not suspected; short, as responses from before a fault are no
# evidence.
SUCCESS_TIME_CONSTANT_MS = 700.0
# Decay of failures, and of the responses of a suspected server.
ODDS_TIME_CONSTANT_MS = 4_000.0
SUSPICION_MS = 30_000.0  # how long a server counts as suspected after a failure
ALL_CLASSES = 0  # the class hash under which delays are reported
TESTED_SLOWDOWN = 3.0  # delay divided by the peers', under the alternative hypothesis
# Odds from which a server is reported although no other process suspects it; greater for delays, which vary
# by chance.
REPORT_ODDS = 1.0
REPORT_SLOW_ODDS = 2.0
BASELINE_ATTEMPTS = 100.0  # over which the share of failures and the usual delays are averaged
SLOWDOWN_SAMPLES = 4.0  # over which a server's slowdown is averaged
MAX_SLOWDOWN_EVIDENCE = 5.0  # slowdown beyond which the evidence grows no more
MAX_SLOWDOWN = 10.0  # that one response counts for
REPORT_MS = 4_000.0  # how long a server is reported after its odds last exceeded the threshold
RECENT_MS = 8_000.0  # servers with an attempt within this time count as used
MAX_REPORTED_ROWS = 14  # in one report, the worst first
EXPIRY_MS = 30_000.0  # after which a row without an attempt is removed


class ObservedOdds(NamedTuple):
    """Log odds by errors and by losses, and the number of responses, all decayed."""

    errors: float
    losses: float
    successes: float


class Observation:
    """The observations of one server for one class."""

    __slots__ = (
        "error_odds",
        "failed_ms",
        "loss_odds",
        "reported_ms",
        "successes",
        "suspect_successes",
        "updated_ms",
    )

    def __init__(self) -> None:
        self.error_odds = 0.0
        self.loss_odds = 0.0
        self.successes = 0.0  # responses
        self.suspect_successes = 0.0  # responses while it was suspected, which decay more slowly
        self.updated_ms = -math.inf
        self.failed_ms = -math.inf
        self.reported_ms = -math.inf

    def decay(self, now: float) -> None:
        """Decay all values to the present."""
        if self.updated_ms > -math.inf:
            self.successes *= math.exp((self.updated_ms - now) / SUCCESS_TIME_CONSTANT_MS)
            factor = math.exp((self.updated_ms - now) / ODDS_TIME_CONSTANT_MS)
            self.error_odds *= factor
            self.loss_odds *= factor
            self.suspect_successes *= factor
        self.updated_ms = now

    def as_of(self, now: float) -> ObservedOdds:
        """Return the values decayed to now, without changing them."""
        factor = math.exp((self.updated_ms - now) / ODDS_TIME_CONSTANT_MS)
        successes = self.successes * math.exp((self.updated_ms - now) / SUCCESS_TIME_CONSTANT_MS)
        return ObservedOdds(
            self.error_odds * factor, self.loss_odds * factor, successes + self.suspect_successes * factor
        )


class ServerObservations:
    """This process's recent observations, by server and class."""

    def __init__(self) -> None:
        self.rows: dict[tuple[int, int], Observation] = {}
        self._slowdowns: dict[int, tuple[float, int]] = {}  # mean and number of samples, by server
        self._start_ids: dict[int, int] = {}
        self._usual_ms: dict[int, float] = {}  # by class: mean delay
        self._failure_share = 0.0  # of all attempts
        self._unresponsive: frozenset[int] = frozenset()
        self.suspected_servers: set[int] = set()  # servers that others report as faulty
        self.unreported = 0  # rows that were due and did not fit into a report

    def _evidence(self, failed: bool) -> float:
        peers = max(MIN_FAILURE_SHARE, min(self._failure_share, FAULTY_FAILURE_SHARE))
        if failed:
            return math.log(FAULTY_FAILURE_SHARE / peers)
        return math.log((1.0 - FAULTY_FAILURE_SHARE) / (1.0 - peers))

    def attempt_completed(
        self, server: int, class_hash: int, outcome: AttemptOutcome, duration_ms: float, now: float
    ) -> None:
        """Record the outcome of an attempt: good, error or lost."""
        if server not in self._start_ids:
            return
        row = self.rows.setdefault((server, class_hash), Observation())
        row.decay(now)
        failed = outcome != AttemptOutcome.GOOD
        self._failure_share += (failed - self._failure_share) / BASELINE_ATTEMPTS
        evidence = self._evidence(failed)
        if not failed:
            row.error_odds = max(0.0, row.error_odds + evidence)
            row.loss_odds = max(0.0, row.loss_odds + evidence)
            self._add_success(row, server, now)
            return self._add_delay(server, class_hash, duration_ms, now)
        row.successes = 0.0
        row.suspect_successes = 0.0
        row.failed_ms = now
        if outcome == AttemptOutcome.ERROR:
            row.error_odds = min(MAX_ODDS, row.error_odds + evidence)
        else:
            row.loss_odds = min(MAX_ODDS, row.loss_odds + evidence)

    def _add_success(self, row: Observation, server: int, now: float) -> None:
        if server in self.suspected_servers or now - row.failed_ms < SUSPICION_MS:
            row.suspect_successes += 1.0
        else:
            row.successes += 1.0

    def _add_delay(self, server: int, class_hash: int, duration_ms: float, now: float) -> None:
        """Test for delays of `TESTED_SLOWDOWN` times the peers', assuming exponential distributions."""
        usual_ms = self._usual_ms.get(class_hash)
        if usual_ms:
            slowdown = min(MAX_SLOWDOWN, duration_ms / usual_ms)
            mean, samples = self._slowdowns.get(server, (1.0, 0))
            samples = min(samples + 1, 20)
            self._slowdowns[server] = mean + (slowdown - mean) / min(SLOWDOWN_SAMPLES, samples), samples
            row = self.rows.setdefault((server, ALL_CLASSES), Observation())
            row.decay(now)
            # Delays have long tails, so the evidence of a single response is limited.
            evidence = min(slowdown, MAX_SLOWDOWN_EVIDENCE) * (1.0 - 1.0 / TESTED_SLOWDOWN)
            evidence -= math.log(TESTED_SLOWDOWN)
            row.error_odds = min(MAX_ODDS, max(0.0, row.error_odds + evidence))
            if evidence > 0.0:
                row.successes = 0.0
                row.failed_ms = now
            else:
                self._add_success(row, server, now)
        self._usual_ms[class_hash] = (
            duration_ms if usual_ms is None else usual_ms + (duration_ms - usual_ms) / BASELINE_ATTEMPTS
        )

    def update_servers(self, start_ids: dict[int, int], unresponsive: frozenset[int], now: float) -> None:
        """Replace the listed and the unresponsive servers; remove the rows of former starts."""
        for key in list(self.rows):
            server = key[0]
            restarted = start_ids.get(server) != self._start_ids.get(server)
            if restarted or now - self.rows[key].updated_ms > EXPIRY_MS:
                del self.rows[key]
        for server in [s for s in self._slowdowns if start_ids.get(s) != self._start_ids.get(s)]:
            del self._slowdowns[server]
        self._start_ids = dict(start_ids)
        for server in unresponsive - self._unresponsive:
            for key in [key for key in self.rows if key[0] == server and key[1] != ALL_CLASSES]:
                self.attempt_completed(server, key[1], AttemptOutcome.LOST, 0.0, now)
        self._unresponsive = unresponsive

    def _usage(self, now: float) -> tuple[int, int]:
        """Count the servers used recently, and those of them that fail more than occasionally."""
        used = set()
        failing = set()
        for (server, class_hash), row in self.rows.items():
            if now - row.updated_ms < RECENT_MS or server in self._unresponsive:
                used.add(server)
                if class_hash != ALL_CLASSES and row.error_odds + row.loss_odds > REPORT_ODDS:
                    failing.add(server)
        return len(used), len(failing)

    def report(self, zone: str, tier: int, health: int, now: float) -> ObservationReport | None:
        """Report servers that deviate here, and those that others suspect; None if there are none."""
        rows = list(self._reported_rows(now))
        if not rows:
            return None
        rows.sort(key=lambda row: (-row.error_odds - row.loss_odds, row.server, row.class_hash))
        self.unreported += max(0, len(rows) - MAX_REPORTED_ROWS)
        used, failing = self._usage(now)
        return ObservationReport(zone, tier, used, failing, health, rows[:MAX_REPORTED_ROWS])

    def _reported_rows(self, now: float) -> Iterator[ServerStatistics]:
        for (server, class_hash), row in self.rows.items():
            odds = row.as_of(now)
            errors, losses, successes = odds
            if errors + losses > (REPORT_ODDS if class_hash else REPORT_SLOW_ODDS):
                row.reported_ms = now
            elif server not in self.suspected_servers and now - row.reported_ms > REPORT_MS:
                continue
            if errors + losses >= 0.5 or successes >= 0.5:
                failure_age_ms = int(min(60_000.0, now - row.failed_ms))
                tenths = round(10.0 * errors), round(10.0 * losses), round(10.0 * successes)
                slowdown = round(10.0 * self._slowdowns[server][0]) if class_hash == ALL_CLASSES else 0
                start_id = self._start_ids[server]
                yield ServerStatistics(server, start_id, class_hash, *tenths, failure_age_ms, slowdown)
