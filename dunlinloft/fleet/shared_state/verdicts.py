"""Pooled outlier verdicts: the statistics of many processes, weighted by how independent they are.

Error responses are caused by the server itself, so the evidence of all processes is added up. Time-outs and
failed connects may be caused by a link, so only the strongest row of each zone counts. Observations from a
member's own zone outweigh those from other zones. The report of a process that sees most servers fail is
ignored, as the fault is its own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from dunlinloft.fleet.shared_state.messages import ObservationReport, ServerStatistics, Verdict
from dunlinloft.fleet.shared_state.observations import (
    ALL_CLASSES,
    FAULTY_FAILURE_SHARE,
    MAX_ODDS,
    MIN_FAILURE_SHARE,
    ODDS_TIME_CONSTANT_MS,
)

MAX_REPORT_AGE_MS = 2_500.0  # reports that may be older are ignored
AVOID_ODDS = 7.0  # pooled log odds from which a server is avoided
KEEP_ODDS = 2.0  # log odds below which an avoided or slow server no longer counts as such
SLOW_ODDS = 4.0  # log odds from which a server counts as slow: its load is reduced, but it is not avoided
SUSPECT_ODDS = 5.0  # log odds from which all processes report on a server
# The weight of a failure older than this is halved for each response that other members have had.
STALE_FAILURE_MS = 1_500.0
STALE_HALVINGS = 1.0  # per such response
# Members of the own zone that have to lose attempts before `OWN_ZONE_WEIGHT` applies, with which their losses
# suffice without another zone's.
MIN_ZONE_MEMBERS = 2
OWN_ZONE_WEIGHT = 1.5  # of the own zone's losses, as its links are the ones in use
MIN_LOSER_ODDS = 1.0  # loss odds from which a member counts among these
MAX_AVOIDED_SHARE = 0.5  # of the servers
# The members together try an avoided server at intervals of this share of the time since it was first
# avoided, within the bounds, so trials become less frequent.
TRIAL_INTERVAL_SHARE = 0.5
MIN_TRIAL_INTERVAL_MS = 1_000.0
MAX_TRIAL_INTERVAL_MS = 10_000.0
# A verdict expires after so long without a report on the server.
VERDICT_EXPIRY_MS = 20_000.0
SLOW_EXPIRY_MS = 10_000.0
USER_EXPIRY_MS = 30_000.0  # a member that reported on a server within this time counts as its user
SUCCESS_EVIDENCE = math.log((1.0 - MIN_FAILURE_SHARE) / (1.0 - FAULTY_FAILURE_SHARE))


class ReceivedReport(NamedTuple):
    """A member's report, and an upper bound on its age."""

    writer: str
    age_ms: float
    report: ObservationReport


class _Row(NamedTuple):
    """A row of a report; the age of its failure includes the age of the report."""

    writer: str
    report: ObservationReport
    statistics: ServerStatistics
    failure_age_ms: float


class _Contribution(NamedTuple):
    """The weighted evidence of one member's report on a server."""

    zone: str
    errors: float
    losses: float
    successes: float


class _Slow(NamedTuple):
    """A slow server: its delay divided by its peers', and when that was last reported."""

    slowdown: float
    reported_ms: float


@dataclass(slots=True)
class _PooledOdds:
    """The pooled statistics of one server and class."""

    errors: float = 0.0
    own_zone_errors: float = 0.0
    losses: dict[str, float] = field(default_factory=dict)  # the greatest, by zone
    own_zone_losers: int = 0  # members of the own zone that lost attempts there
    weighted_slowdown: float = 0.0  # sum of slowdowns weighted by error odds
    successes: float = 0.0
    own_zone_successes: float = 0.0

    def add(self, contribution: _Contribution, own_zone: str) -> None:
        """Add one member's evidence, limited to `MAX_ODDS` so that no member suffices alone."""
        errors = min(contribution.errors, MAX_ODDS)
        losses = min(contribution.losses, MAX_ODDS - errors)
        self.errors += errors
        self.successes += contribution.successes
        if contribution.zone == own_zone:
            self.own_zone_errors += errors
            self.own_zone_successes += contribution.successes
            self.own_zone_losers += losses > MIN_LOSER_ODDS
        if losses:
            self.losses[contribution.zone] = max(self.losses.get(contribution.zone, 0.0), losses)

    def odds(self, zone: str) -> float:
        """Return the log odds, for this zone's members, that the server fails half of its attempts."""
        overall = self.errors + sum(self.losses.values()) - SUCCESS_EVIDENCE * self.successes
        losses = self.losses.get(zone, 0.0)
        own_zone = self.own_zone_errors
        own_zone += losses * (OWN_ZONE_WEIGHT if self.own_zone_losers >= MIN_ZONE_MEMBERS else 1.0)
        own_zone -= SUCCESS_EVIDENCE * self.own_zone_successes
        # The own zone's observations take precedence, as links differ between zones.
        if self.own_zone_successes > 1.0 and own_zone < 0.0:
            return own_zone
        if not (self.own_zone_successes or self.own_zone_errors or losses):
            return overall
        return max(own_zone, overall)


class _Pooled(NamedTuple):
    """All members' statistics, by server and class, and by server over all classes."""

    by_class: dict[tuple[int, int], _PooledOdds]
    by_server: dict[int, _PooledOdds]


class VerdictPool:
    """One process's verdicts, from its own report and those of others."""

    def __init__(self, zone: str, tier: int, rng: random.Random) -> None:
        self._zone = zone
        self._tier = tier
        self._rng = rng
        self._avoided: dict[tuple[int, int], float] = {}  # since when, by server and class (0: all)
        self._slow: dict[int, _Slow] = {}
        self._last_evidence_ms: dict[int, float] = {}  # latest evidence against an avoided server
        self._users: dict[int, dict[str, float]] = {}  # members that reported, and when last, by server
        self.suspected_servers: set[int] = set()  # servers that all members should report on
        self.capped = 0  # verdicts dropped because of `MAX_AVOIDED_SHARE`

    def update(
        self, received: Iterable[ReceivedReport], start_ids: dict[int, int], elapsed_ms: float, now: float
    ) -> list[Verdict]:
        """Return the verdicts on listed servers.

        Parameters
        ----------
        received
            The members' reports, including this process's own.
        start_ids
            Of the server's process, by listed server.
        elapsed_ms
            Time since the last update, for the rate of trials.
        """
        reports = [r for r in received if r.report.tier == self._tier and _is_healthy(r.report)]
        pooled = self._pool(reports, start_ids, now)
        self.suspected_servers = {
            server
            for (server, class_hash), odds in pooled.by_class.items()
            if odds.errors + sum(odds.losses.values())
            >= (SLOW_ODDS if class_hash == ALL_CLASSES else SUSPECT_ODDS)
        } | {server for server, _ in self._avoided}
        self._judge(pooled, start_ids, now)
        return self._verdicts(elapsed_ms, now)

    def _pool(self, received: list[ReceivedReport], start_ids: dict[int, int], now: float) -> _Pooled:
        rows = [
            _Row(writer, report, row, age_ms + row.failure_age_ms)
            for writer, age_ms, report in received
            for row in report.statistics
            if start_ids.get(row.server, -1) == row.start_id
        ]
        successes: dict[tuple[int, int], float] = {}  # recent responses of all members
        for _, _, row, _ in rows:
            key = row.server, row.class_hash
            successes[key] = successes.get(key, 0.0) + row.successes / 10.0
        pooled = _Pooled({}, {})
        by_member: dict[tuple[int, str], _Contribution] = {}  # over all classes, by server and member
        for writer, report, row, failure_age_ms in rows:
            self._users.setdefault(row.server, {})[writer] = now
            weight = 1.0 / (1.0 + 0.5 * report.health)
            if row.error_odds or row.loss_odds:
                others = successes[row.server, row.class_hash] - row.successes / 10.0
                weight *= _freshness(row, failure_age_ms, others)
            contribution = _contribution(report.zone, row, weight / 10.0)
            odds = pooled.by_class.setdefault((row.server, row.class_hash), _PooledOdds())
            odds.add(contribution, self._zone)
            odds.weighted_slowdown += contribution.errors * row.slowdown / 10.0
            if row.class_hash != ALL_CLASSES:
                member = row.server, writer
                by_member[member] = _sum(by_member.get(member), contribution)
        for (server, _), contribution in by_member.items():
            pooled.by_server.setdefault(server, _PooledOdds()).add(contribution, self._zone)
        return pooled

    def _judge(self, pooled: _Pooled, start_ids: dict[int, int], now: float) -> None:
        """Update the avoided servers and classes: the worst first, up to `MAX_AVOIDED_SHARE`."""
        candidates: dict[tuple[int, int], float] = {}  # odds, by server and class
        self._judge_delays(pooled.by_class, start_ids, now)
        for server, by_class in self._odds_by_server(pooled.by_class).items():
            total = pooled.by_server[server].odds(self._zone)
            candidates |= self._judge_server(server, total, by_class)
            if any(odds > 0.0 for odds in by_class.values()):
                self._last_evidence_ms[server] = now
        for server, class_hash in self._avoided:
            # No report means that no member tried the server, which is no evidence either way.
            unreported = server not in pooled.by_server
            recent = now - self._last_evidence_ms.get(server, -math.inf) < VERDICT_EXPIRY_MS
            if unreported and server in start_ids and recent:
                candidates[server, class_hash] = KEEP_ODDS
        worst: dict[int, float] = {}
        for (server, _), odds in candidates.items():
            worst[server] = max(odds, worst.get(server, 0.0))
        max_avoided = int(MAX_AVOIDED_SHARE * len(start_ids))
        avoided = set(sorted(worst, key=lambda server: (-worst[server], server))[:max_avoided])
        self.capped += len(worst) - len(avoided)
        self._avoided = {key: self._avoided.get(key, now) for key in candidates if key[0] in avoided}
        self._last_evidence_ms = {
            server: at for server, at in self._last_evidence_ms.items() if server in avoided
        }

    def _judge_delays(
        self, pooled: dict[tuple[int, int], _PooledOdds], start_ids: dict[int, int], now: float
    ) -> None:
        """Update which servers are slow."""
        for server, slow in list(self._slow.items()):
            odds = pooled.get((server, ALL_CLASSES), _PooledOdds())
            recovered = odds.successes > 1.0 and odds.odds(self._zone) < KEEP_ODDS
            if recovered or server not in start_ids or now - slow.reported_ms > SLOW_EXPIRY_MS:
                del self._slow[server]
        for (server, class_hash), odds in pooled.items():
            threshold = KEEP_ODDS if server in self._slow else SLOW_ODDS
            if class_hash == ALL_CLASSES and odds.errors and odds.odds(self._zone) >= threshold:
                self._slow[server] = _Slow(max(1.0, odds.weighted_slowdown / odds.errors), now)

    def _odds_by_server(self, pooled: dict[tuple[int, int], _PooledOdds]) -> dict[int, dict[int, float]]:
        by_server: dict[int, dict[int, float]] = {}
        for (server, class_hash), odds in pooled.items():
            if class_hash != ALL_CLASSES:
                by_server.setdefault(server, {})[class_hash] = odds.odds(self._zone)
        return by_server

    def _judge_server(
        self, server: int, total: float, by_class: dict[int, float]
    ) -> dict[tuple[int, int], float]:
        """Return what to avoid of one server: all classes (0), some or none, with the odds.

        Parameters
        ----------
        total, by_class
            The pooled odds over all classes, and of each class.
        """
        responding = any(odds < -SUCCESS_EVIDENCE for odds in by_class.values())
        avoided = (server, 0) in self._avoided
        if not responding and (avoided or total >= AVOID_ODDS):
            return {(server, 0): max(KEEP_ODDS, total)}
        if avoided and total >= KEEP_ODDS:
            return {(server, 0): total}
        return {
            (server, class_hash): odds
            for class_hash, odds in by_class.items()
            if odds >= (KEEP_ODDS if (server, class_hash) in self._avoided else AVOID_ODDS)
        }

    def _verdicts(self, elapsed_ms: float, now: float) -> list[Verdict]:
        classes: dict[int, set[int]] = {}
        for server, class_hash in self._avoided:
            classes.setdefault(server, set()).add(class_hash)
        verdicts = []
        for server in sorted(classes.keys() | self._slow.keys()):
            hashes = classes.get(server, set())
            user_count = max(1, len(self._users.get(server, ())))
            since = min((at for (s, _), at in self._avoided.items() if s == server), default=now)
            interval_ms = min(
                MAX_TRIAL_INTERVAL_MS, max(MIN_TRIAL_INTERVAL_MS, TRIAL_INTERVAL_SHARE * (now - since))
            )
            trial = bool(hashes) and self._rng.random() < elapsed_ms / (interval_ms * user_count)
            class_hashes = frozenset(hashes - {0}) if 0 not in hashes else frozenset[int]()
            slowdown = self._slow.get(server, _Slow(1.0, now)).slowdown
            verdicts.append(Verdict(server, bool(hashes), class_hashes, slowdown, trial))
        return verdicts

    def expire_users(self, now: float) -> None:
        """Forget members that have not reported on a server for `USER_EXPIRY_MS`."""
        for server, users in list(self._users.items()):
            for writer in [writer for writer, at in users.items() if now - at > USER_EXPIRY_MS]:
                del users[writer]
            if not users:
                del self._users[server]


def _contribution(zone: str, row: ServerStatistics, weight: float) -> _Contribution:
    """Return the evidence of a row, limited to what one process can observe, whatever the row claims."""
    max_tenths = round(10.0 * MAX_ODDS)
    errors = weight * min(row.error_odds, max_tenths)
    losses = weight * min(row.loss_odds, max_tenths)
    return _Contribution(zone, errors, losses, weight * row.successes)


def _sum(known: _Contribution | None, added: _Contribution) -> _Contribution:
    """Add up one member's evidence over a server's classes."""
    if known is None:
        return added
    return _Contribution(
        added.zone,
        known.errors + added.errors,
        known.losses + added.losses,
        known.successes + added.successes,
    )


def _is_healthy(report: ObservationReport) -> bool:
    """Whether the reporting member is sound: one that sees most of its servers fail is faulty itself."""
    return 2 * report.failing <= report.used


def _freshness(row: ServerStatistics, failure_age_ms: float, successes_since: float) -> float:
    """Return the weight of a failure by its age and the responses that other members have had since."""
    weight = math.exp(-max(0.0, failure_age_ms - row.failure_age_ms) / ODDS_TIME_CONSTANT_MS)
    if failure_age_ms > STALE_FAILURE_MS:
        weight *= 0.5 ** (STALE_HALVINGS * successes_since)
    return weight
