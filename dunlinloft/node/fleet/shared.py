"""Hosts the state that the fleet's members share: tells it what happens here, and the module what follows.

Its messages ride on the members' datagrams. Whatever fails is the fleet's, and the node serves on by its
own knowledge: what others said is taken back first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

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
from dunlinloft.node.config import FleetConfig, Listing, now_ms

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Peers

KNOWN_S = 0.25  # how often the fleet's part hears what the node knows
HOW = {
    Result.SERVED: AttemptOutcome.GOOD, Result.ERROR: AttemptOutcome.ERROR, Result.RESET: AttemptOutcome.LOST,
    Result.TIMEOUT: AttemptOutcome.LOST, Result.UNREACHABLE: AttemptOutcome.LOST,
    Result.REJECTED: AttemptOutcome.FULL,
}  # fmt: skip


def window_ms(settings: api.Settings) -> float:
    """The longest time within which servers drop the repeats of a keyed request."""
    return max((cls.dedup_window_ms for cls in settings.classes if bound(cls)), default=0.0)


def bound(cls: api.RequestClass) -> bool:
    """Whether requests of a class are to stay in one zone, wherever they come in."""
    return cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ZONE


def quotas(settings: api.Settings) -> dict[str, float]:
    """The tenants' quotas over all nodes, requests a second."""
    return {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s}


def known(
    balancer: Balancer, starts: dict[int, int], since_ms: dict[int, float] | None, now: float
) -> shared.NodeStatus:
    """What a node knows of its servers and its loop now; with `since_ms` also what releases need."""
    listed = {server: starts.get(server, 0) for server in balancer.server_set.servers}
    loop = balancer.controller
    servers: dict[int, ObservedServer] = {}
    if since_ms is not None:
        ready = {server.id for server in balancer.server_set.ready}
        for id, server in balancer.server_set.servers.items():
            warmth = server.slow_start_share(now, balancer.settings)
            weight = server.subset_share * warmth if id in ready else 0.0
            servers[id] = ObservedServer(class_hash(server.zone), since_ms.get(id, 0.0), weight, warmth < 1.0)
    return shared.NodeStatus(
        listed, frozenset(balancer.unresponsive_servers(now)), dict(balancer.zone_capacity(now)),
        loop.allowed_rate, loop.tuned_rate, servers,
    )  # fmt: skip


def hearsay(verdicts: list[shared.Verdict], marks: dict[int, str]) -> api.PeerVerdicts:
    """The fleet's verdicts in the module's terms."""
    return api.PeerVerdicts(
        [
            api.PeerVerdict(
                v.server,
                v.avoid,
                frozenset(marks[m] for m in v.class_hashes if m in marks),
                v.slowdown,
                v.trial,
            )
            for v in verdicts
            if not v.class_hashes or any(m in marks for m in v.class_hashes)
        ]
    )


def seen(members: Membership, census: MemberCount | CellMemberCount) -> shared.MembershipUpdated:
    """Who is there, and who counts."""
    here = (
        {}
        if members.muted
        else {m.name: m.incarnation for m in members.view.members.values() if m.is_alive()}
    )
    return shared.MembershipUpdated(
        members.incarnation, here, census.counted_names(), census.total(), members.health.score
    )


def place(
    core: SharedState, cls: api.RequestClass, key: int, again: bool, now: float
) -> tuple[str | None, bool]:
    """The zone that a request is bound to, if it is to any, and whether that can be known."""
    if AFFINITY not in core.features or not bound(cls):
        return None, True
    found = core.route(key, again, now)
    return (found.group or None), not found.refusal


class SharedHost:
    """This process's part in what the fleet shares."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peers: Peers, fleet: FleetConfig, settings: api.Settings,
        balancer: Balancer, told: Callable[[api.Event], None], rng: random.Random,
    ) -> None:  # fmt: skip
        self._loop, self._peers, self._balancer, self._told = loop, peers, balancer, told
        self.core = SharedState(
            peers.core.name, peers.core.incarnation, settings.zone, settings.tier, fleet.share,
            quotas(settings), list(fleet.groups), window_ms(settings), rng, now_ms(),
        )  # fmt: skip
        self._starts: dict[int, int] = {}
        self._since: dict[int, float] = {}
        self._names: dict[int, str] = {}
        self._marks: dict[int, str] = {}
        self._over = False
        self.know(settings)

    def know(self, settings: api.Settings) -> None:
        """These settings are in force now."""
        self._marks |= {class_hash(cls.name): cls.name for cls in settings.classes}
        self.core.set_quotas(quotas(settings))

    def begin(self) -> None:
        """The process can be reached."""
        self._do(self.core.begin())
        self._know()

    def heard(self, message: Message) -> None:
        """A datagram has come that may be about shared state."""
        if isinstance(message, ApplicationMessage) and isinstance(message.content, shared.Message):
            self._give(shared.MessageReceived(message.content, message.header.name))

    def _give(self, event: shared.Event) -> None:
        if self._over:
            return
        try:
            self._do(self.core.handle(event, now_ms()))
        except Exception:
            self._fail(type(event).__name__)

    def _fail(self, what: str) -> None:
        """An error of the fleet's: the node goes on by its own knowledge."""
        self._peers.counts["errors"] += 1
        logs.exception("fleet error", "the shared state's part, handling %(what)s", what=what)
        self._alone()

    def _alone(self) -> None:
        self._told(api.PeerVerdicts([]))
        self._told(api.QuotaShares({}))

    def _do(self, actions: list[shared.Action]) -> None:
        for action in actions:
            match action:
                case shared.SendMessage():
                    self._peers.tell(action.recipient, action.message)
                case shared.SetTimer():
                    self._loop.call_later(
                        action.delay_ms / 1000.0, self._give, shared.TimerFired(action.token)
                    )
                case shared.ApplyVerdicts():
                    self._told(hearsay(action.verdicts, self._marks))
                case shared.ApplyQuotaShares():
                    self._told(api.QuotaShares(action.quotas, action.retry_share))
                case shared.LimitNewServers():
                    self._told(api.CanaryLimit(action.servers, action.share))

    def _know(self) -> None:
        if self._over:
            return
        try:
            since = self._since if RELEASES in self.core.features else None
            self._do(self.core.handle(known(self._balancer, self._starts, since, now_ms()), now_ms()))
        except Exception:
            self._fail("what the node knows")
        self._seen()
        self._loop.call_later(KNOWN_S, self._know)

    def _seen(self) -> None:
        self._give(seen(self._peers.core, self._peers.census))

    def steer(self, event: shared.ReleaseOrderIssued) -> None:
        """This process is the steward of releases: its order is for all."""
        self._give(event)

    def ordered(self, token: int, limits: dict[str, float]) -> None:
        """This process holds the ledger: what operators have set there is for all."""
        self._give(shared.OperatorLimitsRead(token, limits))

    # What happens at the node

    def listed(self, listing: Listing) -> None:
        """News of the list: the servers that it names, each with a mark of its start."""
        self._starts |= listing.starts
        self._since |= listing.since_ms
        self._names |= {server: f"{host}:{port}" for server, (host, port) in listing.addresses.items()}
        gone = [entry.server for entry in listing.entries if entry.health is api.Health.TERMINATED]
        for server in gone:
            self._starts.pop(server, None)
            self._since.pop(server, None)
            self._names.pop(server, None)

    def asked(self, tenant: str | None) -> None:
        """A request has come."""
        if tenant is not None:
            self._give(shared.RequestReceived(tenant))

    def ended(self, server: int, cls: str, result: Result, ms: float) -> None:
        """An attempt is over."""
        how = HOW.get(result)
        if how is not None:
            self._give(shared.AttemptCompleted(server, cls, how, ms))

    def place(self, cls: api.RequestClass, key: int, again: bool) -> tuple[str | None, bool]:
        """The zone that a request is bound to, if it is to any, and whether that can be known."""
        try:
            return place(self.core, cls, key, again, now_ms())
        except Exception:
            self._fail("a key")
            return None, not again

    # What operators see

    def figures(self) -> dict[str, Callable[[], int]]:
        """Gauges beside the node's own."""
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
        """The classes' names by their marks."""
        return self._marks

    def show(self) -> tuple[int, dict[str, Any]]:
        """All that the admin endpoint tells of shared state."""
        core, now = self.core, now_ms()
        affinity = core.affinity
        records = [
            {
                "kind": shared.RECORD_KIND_NAMES[kind], "writer": writer, "version": held.version,
                "age_s": round(held.age_ms(now) / 1000.0, 2), "from": held.source, "bytes": len(held.data),
            }
            for kind, writer, held in sorted(core.store.all(), key=lambda item: (item[0], item[1]))
        ]  # fmt: skip
        return 200, {
            "self": core.name,
            "share": [part for part in FEATURES if part in core.features],
            "verdicts": [
                {
                    "name": self._names.get(v.server, f"{v.server:016x}"), "avoid": v.avoid,
                    "slow": v.slowdown,
                    "classes": [self._marks.get(m, str(m)) for m in sorted(v.class_hashes)],
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
        }  # fmt: skip

    def close(self) -> None:
        """Nothing more."""
        self._over = True
