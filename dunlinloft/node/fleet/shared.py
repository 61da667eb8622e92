"""Hosts the state that the fleet's members share: feeds it events of the node, and applies its results.

Its messages are sent in the members' datagrams. On an error the node goes on with its local knowledge: all
results that stem from other members are withdrawn first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Result
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import ApplicationMessage, Message
from dunlinloft.fleet.releases.follower import AttemptOutcome, ObservedServer
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.core import AFFINITY, FEATURES, LIMITS, RELEASES, SharedState, class_hash
from dunlinloft.node import logs
from dunlinloft.node.admin_reply import AdminReply
from dunlinloft.node.clock import now_ms
from dunlinloft.node.fleet_config import FleetConfig
from dunlinloft.node.server_list import ServerList

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Peers

STATUS_INTERVAL_S = 0.25  # between reports of the node's status to the shared state
ATTEMPT_OUTCOMES = {
    Result.SERVED: AttemptOutcome.GOOD, Result.ERROR: AttemptOutcome.ERROR, Result.RESET: AttemptOutcome.LOST,
    Result.TIMEOUT: AttemptOutcome.LOST, Result.UNREACHABLE: AttemptOutcome.LOST,
    Result.REJECTED: AttemptOutcome.FULL,
}  # fmt: skip


def dedup_window_ms(settings: api.Settings) -> float:
    """Return the longest time for which servers deduplicate retries of a keyed request."""
    return max((cls.dedup_window_ms for cls in settings.classes if is_zone_bound(cls)), default=0.0)


def is_zone_bound(cls: api.RequestClass) -> bool:
    """Whether requests of a class must stay in one zone, whichever node receives them."""
    return cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ZONE


def tenant_quotas(settings: api.Settings) -> dict[str, float]:
    """Return the tenants' quotas over all nodes, in requests per second."""
    return {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s}


def node_status(
    balancer: Balancer, start_ids: dict[int, int], since_ms: dict[int, float] | None, now: float
) -> shared.NodeStatus:
    """Return a node's view of its servers and its delay controller; with `since_ms` also that of releases."""
    listed = {server: start_ids.get(server, 0) for server in balancer.server_set.servers}
    controller = balancer.controller
    servers: dict[int, ObservedServer] = {}
    if since_ms is not None:
        ready = {server.id for server in balancer.server_set.ready}
        for id, server in balancer.server_set.servers.items():
            warmth = server.slow_start_share(now, balancer.settings)
            weight = server.subset_share * warmth if id in ready else 0.0
            servers[id] = ObservedServer(class_hash(server.zone), since_ms.get(id, 0.0), weight, warmth < 1.0)
    return shared.NodeStatus(
        listed, frozenset(balancer.unresponsive_servers(now)), dict(balancer.zone_capacity(now)),
        controller.allowed_rate, controller.tuned_rate, servers,
    )  # fmt: skip


def peer_verdicts(verdicts: list[shared.Verdict], class_names: dict[int, str]) -> api.PeerVerdicts:
    """Convert the fleet's verdicts to the balancer's type."""
    return api.PeerVerdicts(
        [
            api.PeerVerdict(
                v.server,
                v.avoid,
                frozenset(class_names[m] for m in v.class_hashes if m in class_names),
                v.slowdown,
                v.trial,
            )
            for v in verdicts
            if not v.class_hashes or any(m in class_names for m in v.class_hashes)
        ]
    )


def membership_update(
    members: Membership, member_count: MemberCount | CellMemberCount
) -> shared.MembershipUpdated:
    """Return the members alive, and those that are counted."""
    alive = (
        {}
        if members.muted
        else {m.name: m.incarnation for m in members.view.members.values() if m.is_alive()}
    )
    return shared.MembershipUpdated(
        members.incarnation, alive, member_count.counted_names(), member_count.total(), members.health.score
    )


def zone_of_key(
    core: SharedState, cls: api.RequestClass, key: int, is_retry: bool, now: float
) -> tuple[str | None, bool]:
    """Return the zone that a request is bound to, if any, and whether it is known."""
    if AFFINITY not in core.features or not is_zone_bound(cls):
        return None, True
    found = core.route(key, is_retry, now)
    return (found.group or None), not found.refusal


class SharedHost:
    """Connects the shared state with the node and its peers."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peers: Peers, fleet: FleetConfig, settings: api.Settings,
        balancer: Balancer, notify_balancer: Callable[[api.Event], None], rng: random.Random,
    ) -> None:  # fmt: skip
        self._loop, self._peers, self._balancer, self._notify_balancer = (
            loop,
            peers,
            balancer,
            notify_balancer,
        )
        self.core = SharedState(
            peers.core.name, peers.core.incarnation, settings.zone, settings.tier, fleet.share,
            tenant_quotas(settings), list(fleet.groups), dedup_window_ms(settings), rng, now_ms(),
        )  # fmt: skip
        self._start_ids: dict[int, int] = {}
        self._started_unix_ms: dict[int, float] = {}
        self._addresses: dict[int, str] = {}
        self._class_names: dict[int, str] = {}
        self._closed = False
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._class_names |= {class_hash(cls.name): cls.name for cls in settings.classes}
        self.core.set_quotas(tenant_quotas(settings))

    def begin(self) -> None:
        """Start: the process can be reached by its peers now."""
        self._perform(self.core.begin())
        self._report_status()

    def on_message(self, message: Message) -> None:
        """Handle a received message, if it is about shared state."""
        if isinstance(message, ApplicationMessage) and isinstance(message.content, shared.Message):
            self._handle(shared.MessageReceived(message.content, message.header.name))

    def _handle(self, event: shared.Event) -> None:
        if self._closed:
            return
        try:
            self._perform(self.core.handle(event, now_ms()))
        except Exception:
            self._fail(type(event).__name__)

    def _fail(self, what: str) -> None:
        """Log an error, and withdraw the results that stem from other members."""
        self._peers.counts["errors"] += 1
        logs.exception("fleet error", "shared state: handling %(what)s", what=what)
        self._forget_peers()

    def _forget_peers(self) -> None:
        self._notify_balancer(api.PeerVerdicts([]))
        self._notify_balancer(api.QuotaShares({}))

    def _perform(self, actions: list[shared.Action]) -> None:
        for action in actions:
            match action:
                case shared.SendMessage():
                    self._peers.send_to_member(action.recipient, action.message)
                case shared.SetTimer():
                    self._loop.call_later(
                        action.delay_ms / 1000.0, self._handle, shared.TimerFired(action.token)
                    )
                case shared.ApplyVerdicts():
                    self._notify_balancer(peer_verdicts(action.verdicts, self._class_names))
                case shared.ApplyQuotaShares():
                    self._notify_balancer(api.QuotaShares(action.quotas, action.retry_share))
                case shared.LimitNewServers():
                    self._notify_balancer(api.CanaryLimit(action.servers, action.share))

    def _report_status(self) -> None:
        if self._closed:
            return
        try:
            since = self._started_unix_ms if RELEASES in self.core.features else None
            self._perform(
                self.core.handle(node_status(self._balancer, self._start_ids, since, now_ms()), now_ms())
            )
        except Exception:
            self._fail("the node's status")
        self._report_members()
        self._loop.call_later(STATUS_INTERVAL_S, self._report_status)

    def _report_members(self) -> None:
        self._handle(membership_update(self._peers.core, self._peers.member_count))

    def on_release_order(self, event: shared.ReleaseOrderIssued) -> None:
        """Share an order of the release controller, which this process runs."""
        self._handle(event)

    def on_operator_limits(self, token: int, limits: dict[str, float]) -> None:
        """Share the operators' limits from the state table, which this process holds."""
        self._handle(shared.OperatorLimitsRead(token, limits))

    # Events of the node

    def on_server_list(self, listing: ServerList) -> None:
        """Update the known servers, each with the identifier of its start."""
        self._start_ids |= listing.start_ids
        self._started_unix_ms |= listing.started_unix_ms
        self._addresses |= {server: f"{host}:{port}" for server, (host, port) in listing.addresses.items()}
        terminated = [entry.server for entry in listing.entries if entry.health is api.Health.TERMINATED]
        for server in terminated:
            self._start_ids.pop(server, None)
            self._started_unix_ms.pop(server, None)
            self._addresses.pop(server, None)

    def on_request(self, tenant: str | None) -> None:
        """Count a received request for its tenant."""
        if tenant is not None:
            self._handle(shared.RequestReceived(tenant))

    def on_attempt_completed(self, server: int, cls: str, result: Result, duration_ms: float) -> None:
        """Report the outcome of an attempt."""
        outcome = ATTEMPT_OUTCOMES.get(result)
        if outcome is not None:
            self._handle(shared.AttemptCompleted(server, cls, outcome, duration_ms))

    def zone_of_key(self, cls: api.RequestClass, key: int, is_retry: bool) -> tuple[str | None, bool]:
        """Return the zone that a request is bound to, if any, and whether it is known."""
        try:
            return zone_of_key(self.core, cls, key, is_retry, now_ms())
        except Exception:
            self._fail("a keyed request")
            return None, not is_retry

    # Metrics and status for operators

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Return the gauges of shared state by name."""
        core = self.core
        return {
            "fleet_avoided": lambda: sum(verdict.avoid for verdict in core.verdicts),
            "fleet_parts_fallback": lambda: int(core.quota_shares.fallback),
            "fleet_keys_elsewhere": lambda: core.affinity.counts["elsewhere"],
            "fleet_keys_refused": lambda: sum(
                count for why, count in core.affinity.counts.items() if why != "elsewhere"
            ),
            "fleet_release_stale": lambda: int(core.follower.is_stale(now_ms())),
            "fleet_release_percent": lambda: round(100.0 * core.follower.order.share),
            "fleet_release_new": lambda: len(core.follower.new_servers()),
            "fleet_records": lambda: sum(1 for _ in core.store.all()),
        }

    def classes(self) -> dict[int, str]:
        """Return the classes' names by class hash."""
        return self._class_names

    def status(self) -> AdminReply:
        """Return the status of shared state for the admin endpoint."""
        core, now = self.core, now_ms()
        affinity = core.affinity
        records = [
            {
                "kind": shared.RECORD_KIND_NAMES[kind], "writer": writer, "version": held.version,
                "age_s": round(held.age_ms(now) / 1000.0, 2), "from": held.source, "bytes": len(held.data),
            }
            for kind, writer, held in sorted(core.store.all(), key=lambda item: (item[0], item[1]))
        ]  # fmt: skip
        return AdminReply(200, {
            "self": core.name,
            "share": [part for part in FEATURES if part in core.features],
            "verdicts": [
                {
                    "name": self._addresses.get(v.server, f"{v.server:016x}"), "avoid": v.avoid,
                    "slow": v.slowdown,
                    "classes": [self._class_names.get(m, str(m)) for m in sorted(v.class_hashes)],
                }
                for v in core.verdicts
            ],
            "limits": {
                "in_use": LIMITS in core.features, "fallback": core.quota_shares.fallback,
                "known": core.quota_allocator.known_count,
                "orders": core.operator_limits, "orders_token": core.operator_limits_token,
                "counted": core.membership.member_count,
                "retry_share": core.quota_shares.retry_share,
                "parts": {
                    tenant: {
                        "part_per_s": round(part, 2),
                        "quota_per_s": core.quota_allocator.quotas.get(tenant, 0.0),
                    }
                    for tenant, part in core.quota_shares.quotas.items()
                },
            },
            "affinity": {
                "in_use": AFFINITY in core.features, "homes": affinity.groups,
                "out": sorted(affinity.unavailable),
                "open": sorted(
                    group for group, at in affinity.unavailable.items() if at <= now < affinity.acked_until_ms
                ),
                "cut_off": now >= affinity.fresh_until_ms, "elsewhere": len(affinity.keys),
                "counts": dict(affinity.counts),
                "others": {name: sorted(other.unavailable) for (name, _), other in affinity.peers.items()},
            },
            "counts": dict(core.store.counts)
            | {"untold": core.observations.unreported, "capped": core.verdict_pool.capped},
            "records": records,
        })  # fmt: skip

    def close(self) -> None:
        """Ignore all further events."""
        self._closed = True
