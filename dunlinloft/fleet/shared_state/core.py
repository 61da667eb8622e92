"""`SharedState`: one process's replica of the shared state, a state machine of events and actions.

It connects the store and anti-entropy with the features that use them: verdicts on servers, quota shares,
affinity and releases. The configuration enables features; disabled ones cost nothing.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from dunlinloft.fleet.releases.follower import AttemptOutcome, ReleaseFollower
from dunlinloft.fleet.releases.messages import NO_ORDER, Order, Tally
from dunlinloft.fleet.shared_state import quota_shares, verdicts
from dunlinloft.fleet.shared_state.affinity import MAX_HEARTBEAT_AGE_MS, Affinity, KeyRoute, Quorum
from dunlinloft.fleet.shared_state.anti_entropy import AntiEntropy
from dunlinloft.fleet.shared_state.messages import (
    AFFINITY_BINDINGS,
    HEARTBEAT,
    OBSERVATION_REPORT,
    OPERATOR_LIMITS,
    RELEASE,
    TALLY,
    Action,
    AffinityBindings,
    ApplyQuotaShares,
    ApplyVerdicts,
    AttemptCompleted,
    Event,
    Heartbeat,
    LimitNewServers,
    MembershipUpdated,
    MessageReceived,
    NodeStatus,
    ObservationReport,
    OperatorLimits,
    OperatorLimitsRead,
    ReleaseOrderIssued,
    RequestReceived,
    SetTimer,
    TimerFired,
    Verdict,
    encode,
)
from dunlinloft.fleet.shared_state.observations import ServerObservations
from dunlinloft.fleet.shared_state.quota_shares import QuotaAllocator, retry_share
from dunlinloft.fleet.shared_state.store import MAX_CLOCK_DRIFT, Store
from dunlinloft.fleet.shared_state.verdicts import ReceivedReport, VerdictPool

# Features, by their names in the configuration.
VERDICTS = "verdicts"
LIMITS = "limits"
AFFINITY = "affinity"
RELEASES = "releases"
FEATURES = (VERDICTS, LIMITS, AFFINITY, RELEASES)
UPDATE_INTERVAL_MS = 250.0  # between evaluations of the records
HEARTBEAT_INTERVAL_MS = 750.0
REPORT_INTERVAL_MS = 400.0  # between observation reports while there is anything to report
TALLY_INTERVAL_MS = 750.0  # while a release is in progress
# Changes of a quota share (relative) or of the retry share (absolute) that are smaller are not applied.
MIN_SHARE_CHANGE = 0.02
LONG_AGO_MS = -1e18  # before any reading of the clock


class _Timer(StrEnum):
    """What a timer is for."""

    PULL = "pull"
    UPDATE = "update"


class _ReceivedHeartbeat(NamedTuple):
    """A member's heartbeat, and an upper bound on its age."""

    writer: str
    age_ms: float
    heartbeat: Heartbeat


def class_hash(name: str) -> int:
    """Hash the name of a request class or zone to two bytes; 0 is reserved for all classes."""
    return 1 + zlib.crc32(name.encode()) % 65535


class SharedState:
    """The shared state as one process holds it; owned by the host, which passes events to it.

    Parameters
    ----------
    name, incarnation
        Of this process.
    features
        Which of `FEATURES` are in use.
    quotas
        By tenant, in requests/s.
    groups, window_ms
        See `Affinity`.
    """

    def __init__(
        self, name: str, incarnation: int, zone: str, tier: int, features: frozenset[str],
        quotas: dict[str, float], groups: list[str], window_ms: float, rng: random.Random, now: float,
    ) -> None:  # fmt: skip
        self.name = name
        self.zone = zone
        self.tier = tier
        self.features = features
        self._rng = rng
        self.store = Store(name, incarnation)
        self.anti_entropy = AntiEntropy(self.store, rng)
        self.observations = ServerObservations()
        self.verdict_pool = VerdictPool(zone, tier, rng)
        self.quota_allocator = QuotaAllocator(name, quotas, now)
        self.affinity = Affinity(groups, window_ms)
        self.follower = ReleaseFollower(tier)
        self.membership = MembershipUpdated(incarnation, {}, frozenset((name,)), 1)
        self._status = NodeStatus({}, frozenset(), {}, 0.0, 0.0)
        self._timers: dict[int, _Timer] = {}
        self._timer_token = 0
        self._quotas = dict(quotas)
        self.operator_limits: dict[str, float] = {}  # by tenant, with the greatest fencing token so far
        self.operator_limits_token = 0
        self._updated_ms = LONG_AGO_MS
        self._heartbeat_ms = LONG_AGO_MS
        self._reported_ms = LONG_AGO_MS
        self._tallied_ms = LONG_AGO_MS
        self._order_written_ms = LONG_AGO_MS
        self._read_bindings: dict[str, tuple[int, int]] = {}  # by writer: incarnation and version
        self._has_reported = False  # whether the last observation report had rows
        self.verdicts: list[Verdict] = []
        self.quota_shares = ApplyQuotaShares({}, 1.0, True)
        self._applied_shares = self.quota_shares  # the shares last passed to the node

    def begin(self) -> list[Action]:
        """Return the actions that start the timers; called once the process is reachable."""
        return [
            self._set_timer(_Timer.PULL, 100.0 * self._rng.random()),
            self._set_timer(_Timer.UPDATE, UPDATE_INTERVAL_MS * self._rng.random()),
        ]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the actions for the host."""
        match event:
            case AttemptCompleted():
                self._handle_attempt_completed(event, now)
            case RequestReceived():
                self.quota_allocator.request_received(event.tenant, now)
            case MessageReceived():
                return [*self.anti_entropy.receive(event.message, event.sender, now)]
            case TimerFired():
                return self._handle_timer(event.token, now)
            case OperatorLimitsRead():
                self._handle_operator_limits(event, now)
            case ReleaseOrderIssued():
                return self._handle_release_order(event.order, now)
            case NodeStatus():
                self._status = event
                if RELEASES in self.features:
                    self.follower.set_servers(event.servers)
                self.observations.update_servers(event.start_ids, event.unresponsive, now)
            case MembershipUpdated():
                self.membership = event
                self.store.set_incarnation(event.incarnation)
                self.store.set_members(event.alive)
                self.anti_entropy.set_members(event.alive, now)
        return []

    def route(self, key: int, retry: bool, now: float) -> KeyRoute:
        """Return the group for a keyed request before its first attempt, without waiting for peers."""
        return self.affinity.route(key, retry, now)

    def _set_timer(self, purpose: _Timer, delay_ms: float) -> SetTimer:
        self._timer_token += 1
        self._timers[self._timer_token] = purpose
        return SetTimer(self._timer_token, delay_ms)

    def _handle_timer(self, token: int, now: float) -> list[Action]:
        purpose = self._timers.pop(token, None)
        if purpose is _Timer.PULL:
            requests, delay_ms = self.anti_entropy.pull(now)
            return [*requests, self._set_timer(_Timer.PULL, delay_ms)]
        if purpose is _Timer.UPDATE:
            actions = self._update(now)
            self._updated_ms = now
            delay_ms = UPDATE_INTERVAL_MS * (0.9 + 0.2 * self._rng.random())
            return [*actions, self._set_timer(_Timer.UPDATE, delay_ms)]
        return []

    def _handle_attempt_completed(self, event: AttemptCompleted, now: float) -> None:
        if RELEASES in self.features:
            self.follower.attempt_completed(
                event.server, class_hash(event.class_name), event.outcome, event.duration_ms
            )
        if VERDICTS in self.features and event.outcome != AttemptOutcome.FULL:
            self.observations.attempt_completed(
                event.server, class_hash(event.class_name), event.outcome, event.duration_ms, now
            )

    def set_quotas(self, quotas: dict[str, float]) -> None:
        """Replace the configured quotas; limits that operators have set take precedence."""
        self._quotas = dict(quotas)
        self.quota_allocator.quotas = self._quotas | {
            tenant: limit for tenant, limit in self.operator_limits.items() if tenant in self._quotas
        }

    def _handle_operator_limits(self, event: OperatorLimitsRead, now: float) -> None:
        limits = OperatorLimits(event.token, event.limits)
        record = self.store.get(OPERATOR_LIMITS, self.name)
        current = self.operator_limits_token, self.operator_limits
        if (event.token, event.limits) != current or record is None:
            self.store.write(OPERATOR_LIMITS, encode(limits), limits, now)
            self._apply_operator_limits(limits)

    def _apply_operator_limits(self, limits: OperatorLimits) -> None:
        """Apply the limits of the greatest token; they stay in force after their writer has left."""
        if limits.token >= self.operator_limits_token:
            self.operator_limits_token = limits.token
            self.operator_limits = dict(limits.limits)
            self.set_quotas(self._quotas)

    # Releases

    def _handle_release_order(self, order: Order, now: float) -> list[Action]:
        """Apply this process's own order.

        It is rewritten periodically, as its age shows the members whether the controller is alive.
        """
        if order != self.follower.order or now - self._order_written_ms >= HEARTBEAT_INTERVAL_MS:
            self._order_written_ms = now
            self.store.write(RELEASE, encode(order), order, now)
        return self._apply_order(order, 0.0, now)

    def _apply_order(self, order: Order, age_ms: float, now: float) -> list[Action]:
        self.follower.apply_order(order, age_ms, now)
        if not self.follower.new_servers_changed:
            return []
        self.follower.new_servers_changed = False
        self._tallied_ms = LONG_AGO_MS  # send the tally that acknowledges the order at once
        return [LimitNewServers(self.follower.new_servers(), self.follower.order.share)]

    def _update_release(self, now: float) -> list[Action]:
        """Apply the newest order, received from its controller or from a member that has applied it."""
        newest = NO_ORDER
        age_ms = 0.0
        for _, record in self.store.others(RELEASE):
            if isinstance(record.content, Order) and record.content.version() >= newest.version():
                newest = record.content
                age_ms = record.age_ms(now)
        for _, record in self.store.others(TALLY):
            if isinstance(record.content, Tally) and record.content.order.version() > newest.version():
                newest = record.content.order
                age_ms = 1e18
        actions = self._apply_order(newest, age_ms, now)
        if self.follower.order.release_id and now - self._tallied_ms >= TALLY_INTERVAL_MS:
            self._tallied_ms = now
            tally = self.follower.tally()
            self.store.write(TALLY, encode(tally), tally, now)
        return actions

    # Periodic update

    def _update(self, now: float) -> list[Action]:
        max_age_ms = max(quota_shares.MAX_DEMAND_AGE_MS, MAX_HEARTBEAT_AGE_MS)
        heartbeats = [
            _ReceivedHeartbeat(writer, record.age_ms(now), record.content)
            for writer, record in self.store.read(HEARTBEAT, max_age_ms, now)
            if isinstance(record.content, Heartbeat)
        ]
        for _, record in self.store.others(OPERATOR_LIMITS):
            if isinstance(record.content, OperatorLimits):
                self._apply_operator_limits(record.content)
        actions: list[Action] = []
        if AFFINITY in self.features:
            self._update_affinity(heartbeats, now)
        self._write_heartbeat(now)
        if LIMITS in self.features:
            actions += self._update_quota_shares(heartbeats, now)
        if VERDICTS in self.features:
            actions += self._update_verdicts(now)
        if RELEASES in self.features:
            actions += self._update_release(now)
        return actions

    def _update_affinity(self, heartbeats: list[_ReceivedHeartbeat], now: float) -> None:
        """Merge the peers' bindings, then decide whether keys may be bound here."""
        alive = self.membership.alive
        self._read_bindings = {
            writer: version for writer, version in self._read_bindings.items() if writer in alive
        }
        for writer, record in self.store.others(AFFINITY_BINDINGS):
            if self._read_bindings.get(writer) == (record.incarnation, record.version):
                continue
            if isinstance(record.content, AffinityBindings):
                self._read_bindings[writer] = record.incarnation, record.version
                self.affinity.bindings_received(writer, record.incarnation, record.content, now)
        quorum = self._quorum(heartbeats, now)
        bindings = self.affinity.update(self._status.groups, quorum, alive, now)
        if bindings is not None:
            self.store.write(AFFINITY_BINDINGS, encode(bindings), bindings, now)

    def _quorum(self, heartbeats: list[_ReceivedHeartbeat], now: float) -> Quorum:
        """Return when the heartbeats expire, and record the epochs that they know of."""
        quorum = Quorum([], [], self.membership.member_count)
        for writer, age_ms, heartbeat in heartbeats:
            acked = False
            for name, incarnation, epoch, alive in heartbeat.known_epochs:
                # A former incarnation of this process counts as another process.
                if (name, incarnation) != (self.name, self.store.incarnation):
                    self.affinity.epoch_received(name, incarnation, epoch, now)
                else:
                    acked = epoch == self.affinity.epoch and alive
            if writer in self.membership.counted and age_ms <= MAX_HEARTBEAT_AGE_MS:
                fresh_until = now + (MAX_HEARTBEAT_AGE_MS - age_ms) / (1.0 + MAX_CLOCK_DRIFT)
                quorum.fresh_until.append(fresh_until)
                if acked:
                    quorum.acked_until.append(fresh_until)
        return quorum

    def _write_heartbeat(self, now: float) -> None:
        if now - self._heartbeat_ms < HEARTBEAT_INTERVAL_MS or not self.features & {LIMITS, AFFINITY}:
            return
        self._heartbeat_ms = now
        demand = self.quota_allocator.report_demand(now) if LIMITS in self.features else {}
        alive = self.membership.alive
        known_epochs = self.affinity.known_epochs(alive) if AFFINITY in self.features else []
        heartbeat = Heartbeat(
            self.zone,
            self.tier,
            demand,
            round(self._status.allowed_retries, 1),
            round(self._status.measured_responses, 1),
            known_epochs,
        )
        self.store.write(HEARTBEAT, encode(heartbeat), heartbeat, now)

    def _update_quota_shares(self, heartbeats: list[_ReceivedHeartbeat], now: float) -> list[Action]:
        peers = [
            (writer, heartbeat)
            for writer, age_ms, heartbeat in heartbeats
            if age_ms <= quota_shares.MAX_DEMAND_AGE_MS and heartbeat.tier == self.tier
        ]
        allocator = self.quota_allocator
        fresh = allocator.update_demand(peers, now)
        quotas = allocator.shares(self.membership.counted, self.membership.member_count, fresh, now)
        retries = retry_share(heartbeat for _, heartbeat in peers)
        self.quota_shares = ApplyQuotaShares(quotas, round(retries, 2), allocator.fallback)
        applied = self._applied_shares
        changed = any(
            abs(share - applied.quotas.get(tenant, 0.0)) > MIN_SHARE_CHANGE * share
            for tenant, share in quotas.items()
        )
        if not changed and abs(retries - applied.retry_share) <= MIN_SHARE_CHANGE:
            return []
        self._applied_shares = self.quota_shares
        return [self.quota_shares]

    def _update_verdicts(self, now: float) -> list[Action]:
        own = self.observations.report(self.zone, self.tier, self.membership.health, now)
        if now - self._reported_ms >= REPORT_INTERVAL_MS and (own is not None or self._has_reported):
            self._reported_ms = now
            self._has_reported = own is not None
            report = own or ObservationReport(self.zone, self.tier, 0, 0, 0, [])
            self.store.write(OBSERVATION_REPORT, encode(report), report, now)
        received = [*self._received_reports(now)]
        if own is not None:
            received.append(ReceivedReport(self.name, 0.0, own))
        elapsed_ms = min(1_000.0, now - self._updated_ms)
        before = self.verdicts
        self.verdicts = self.verdict_pool.update(received, self._status.start_ids, elapsed_ms, now)
        self.verdict_pool.expire_users(now)
        self.observations.suspected_servers = self.verdict_pool.suspected_servers
        trials = any(verdict.trial for verdict in self.verdicts)
        return [ApplyVerdicts(self.verdicts)] if trials or before != self.verdicts else []

    def _received_reports(self, now: float) -> Iterator[ReceivedReport]:
        for writer, record in self.store.read(OBSERVATION_REPORT, verdicts.MAX_REPORT_AGE_MS, now):
            if isinstance(record.content, ObservationReport):
                yield ReceivedReport(writer, record.age_ms(now), record.content)
