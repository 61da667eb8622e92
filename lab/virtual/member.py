"""Fleet membership of a virtual node: the cores that `dunlinloft.node` hosts, over the lab's links."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from dunlinloft.balancer import interface as node_api
from dunlinloft.balancer.interface import Result
from dunlinloft.fleet import interface as api
from dunlinloft.fleet.leases import messages as duties
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import ApplicationMessage, MetadataValue
from dunlinloft.fleet.releases.controller import EVALUATION_INTERVAL_MS
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.core import AFFINITY, RELEASES, SharedState, class_hash
from dunlinloft.node.fleet.peers import COUNT_INTERVAL_S, alive_in_tier
from dunlinloft.node.fleet.releases import Releases
from dunlinloft.node.fleet.shared import (
    ATTEMPT_OUTCOMES,
    STATUS_INTERVAL_S,
    dedup_window_ms,
    membership_update,
    node_status,
    peer_verdicts,
    tenant_quotas,
    zone_of_key,
)
from dunlinloft.node.fleet.singleton_roles import RoleHost
from dunlinloft.node.server_list import key_id
from lab.virtual.meeting import MembershipNetwork, Process

if TYPE_CHECKING:
    from lab.virtual.host import VirtualHost
    from lab.virtual.node import VirtualNode

WALL_MS = 1_700_000_000_000  # wall clock time at the start of a run
VOTERS = 3  # number of voters: the first nodes
SEEDS = 3  # number of seed nodes, whose addresses all nodes know
CORE: type[SharedState] = SharedState


class NodeNetwork(MembershipNetwork):
    """The network of all nodes that are fleet members."""

    def __init__(self, host: VirtualHost, rng: random.Random) -> None:
        super().__init__(rng, host.lines)
        self._host = host
        self.share = frozenset(host.scenario.nodes.share)
        names = [*host.names.nodes, *host.names.server_nodes]
        self.voters = names[:VOTERS]
        self.seeds = [f"addr:{name}" for name in names[:SEEDS]]

    def now(self) -> float:
        return self._host.now()

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        self._host.after(delay_ms, do, *args)

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        if isinstance(process, Member):
            process.recount()

    def on_application_message(self, process: Process, message: ApplicationMessage) -> None:
        if isinstance(process, Member):
            process.on_application_message(message)

    def join(self, node: VirtualNode) -> Member:
        """Start a node's process as a member."""
        address = f"addr:{node.name}"
        wall_ms = int(WALL_MS + self._host.now())
        settings = node.settings
        metadata: dict[str, MetadataValue] = {
            "zone": settings.zone,
            "tier": float(settings.tier),
            "program": "1",
        }
        uid, rng = wall_ms << 16 | self.rng.getrandbits(16), random.Random(self.rng.getrandbits(64))
        core = Membership(node.name, address, self.seeds, uid, wall_ms, rng, metadata)
        member = self.by_address[address] = Member(self, node, core, rng)
        self.give(member, api.Started())
        member.begin()
        return member


class RoleEnvironment:
    """The interface that `RoleHost` needs from its process, in virtual time."""

    def __init__(self, member: Member, network: NodeNetwork) -> None:
        self._member, self._network = member, network
        self.counts = {"errors": 0}

    @property
    def core(self) -> Membership:
        """Return the member's membership core."""
        return self._member.core

    def call_later(self, delay: float, callback: Callable[..., None], /, *args: Any) -> None:
        """Call `callback` in the member's process after `delay` seconds."""
        self._member.later(1000.0 * delay, callback, *args)

    def send_to_member(self, name: str, content: duties.Message, /) -> None:
        """Send a message to a member, which may be this one."""
        if name == self._member.name and self._member.role_host is not None:
            return self._member.later(0.0, self._member.role_host.on_content, content, name)
        other = self.core.view.get(name)
        if other is not None and other.is_alive():
            self._network.post(
                self._member, other.address, ApplicationMessage(self.core.header(), content, [])
            )

    def handle(self, event: api.Event, /) -> None:
        """Pass an event to the member's membership core."""
        self._network.give(self._member, event)

    def request_view(self, name: str, /) -> None:
        """Do nothing: membership compares views itself, and the simulation has no use for the view watch."""


class Member(Process):
    """A node's process as a fleet member."""

    def __init__(self, network: NodeNetwork, node: VirtualNode, core: Membership, rng: random.Random) -> None:
        super().__init__(network, node.name, core)
        self._network, self._node = network, node
        settings = node.settings
        self._tier = float(settings.tier)
        self.census = MemberCount(node.name, settings.replica_index, settings.replicas)
        self._position = settings.replica_index, settings.replicas
        groups = node.zones if AFFINITY in network.share else []
        self.shared = CORE(
            node.name, core.incarnation, settings.zone, settings.tier, network.share, tenant_quotas(settings),
            groups, dedup_window_ms(settings), rng, node.now(),
        )  # fmt: skip
        self._class_names = {class_hash(cls.name): cls.name for cls in settings.classes}
        self._start_ids: dict[int, int] = {}
        self._started_ms: dict[int, float] = {}
        self.role_host: RoleHost | None = None
        self.releases: Releases | None = None
        if RELEASES in network.share:
            environment = RoleEnvironment(self, network)
            role_host = self.role_host = RoleHost(
                environment, environment, node.name, settings.zone, network.voters, rng, self.now
            )  # fmt: skip
            self.releases = Releases(
                self.shared,
                role_host.writes,
                self.give_shared,
                lambda: role_host.owner_of(STATE_TABLE_ROLE),
                self.now,
            )
            role_host.on_open, role_host.on_close = (
                self.releases.on_table_opened,
                self.releases.on_table_closed,
            )

    def now(self) -> float:
        return self._node.now()

    def on_application_message(self, message: ApplicationMessage) -> None:
        """Handle a message that is not part of the membership protocol."""
        if isinstance(message.content, shared.Message):
            self.give_shared(shared.MessageReceived(message.content, message.header.name))
        elif self.role_host is not None:
            self.role_host.on_message(message)

    def _tick_releases(self) -> None:
        if self.releases is not None and self.role_host is not None:
            self.releases.tick(self.role_host.holds(STATE_TABLE_ROLE))
            self.later(EVALUATION_INTERVAL_MS, self._tick_releases)

    def begin(self) -> None:
        """Start the periodic tasks once the process is reachable."""
        if self._network.share:
            self._perform(self.shared.begin())
            self._update_shared_state()
        if self.role_host is not None:
            self.role_host.begin()
            self._tick_releases()
        self._update_census()

    def later(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do` in this process after a delay."""
        self._network.after(delay_ms, self._network.turn, self, do, *args)

    def _update_census(self) -> None:
        self.recount()
        self.later(1000.0 * COUNT_INTERVAL_S, self._update_census)

    def recount(self) -> None:
        """Update the node's position among the counted members, as a node does."""
        self.census.observe(alive_in_tier(self.core, self._tier), self.now())
        at = self.census.position()
        if at != self._position:
            self._position = at
            self._node.placed(*at)

    def give_shared(self, event: shared.Event) -> None:
        """Pass an event to the shared state core and perform the resulting actions."""
        if self.alive:
            self._perform(self.shared.handle(event, self.now()))

    def _perform(self, actions: list[shared.Action]) -> None:
        for action in actions:
            match action:
                case shared.SendMessage():
                    member = self.core.view.get(action.recipient)
                    if member is not None and member.is_alive():
                        self._network.post(
                            self, member.address, ApplicationMessage(self.core.header(), action.message, [])
                        )
                case shared.SetTimer():
                    self.later(action.delay_ms, self.give_shared, shared.TimerFired(action.token))
                case shared.ApplyVerdicts():
                    self._node.handle(peer_verdicts(action.verdicts, self._class_names))
                case shared.ApplyQuotaShares():
                    self._node.handle(node_api.QuotaShares(action.quotas, action.retry_share))
                case shared.LimitNewServers():
                    self._node.handle(node_api.CanaryLimit(action.servers, action.share))

    def _update_shared_state(self) -> None:
        since = self._started_ms if self.releases is not None else None
        self.give_shared(node_status(self._node.balancer, self._start_ids, since, self.now()))
        self.give_shared(membership_update(self.core, self.census))
        self.later(1000.0 * STATUS_INTERVAL_S, self._update_shared_state)

    # Events at the node

    def listed(self, starts: dict[int, int], since_ms: dict[int, float]) -> None:
        """Record the listed servers with the identifier and time of each one's start."""
        self._start_ids |= starts
        self._started_ms |= since_ms

    def asked(self, tenant: str) -> None:
        """Report an incoming request of a tenant."""
        self.give_shared(shared.RequestReceived(tenant))

    def ended(self, server: int, cls: str, result: Result, ms: float) -> None:
        """Report a finished attempt."""
        outcome = ATTEMPT_OUTCOMES.get(result)
        if outcome is not None:
            self.give_shared(shared.AttemptCompleted(server, cls, outcome, ms))

    def zone_of_key(self, cls: node_api.RequestClass, key: str, is_retry: bool) -> tuple[str | None, bool]:
        """Return the zone that a keyed request is bound to, if any, and whether that is known."""
        return zone_of_key(self.shared, cls, key_id(key.encode()), is_retry, self.now())
