"""The fleet's part of a virtual node: the same cores that `dunlinloft.node` hosts, over the lab's links."""

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
from dunlinloft.fleet.releases.controller import LOOK_INTERVAL_MS
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

WALL_MS = 1_700_000_000_000  # what clocks say when a day begins
VOTERS = 3  # the first nodes
SEEDS = 3  # nodes whose addresses the others are given
CORE: type[SharedState] = SharedState


class NodeNetwork(MembershipNetwork):
    """All members of a day."""

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
        """A node's process starts as a member."""
        address = f"addr:{node.name}"
        wall = int(WALL_MS + self._host.now())
        settings = node.settings
        facts: dict[str, MetadataValue] = {
            "zone": settings.zone,
            "tier": float(settings.tier),
            "program": "1",
        }
        uid, rng = wall << 16 | self.rng.getrandbits(16), random.Random(self.rng.getrandbits(64))
        core = Membership(node.name, address, self.seeds, uid, wall, rng, facts)
        member = self.by_address[address] = Member(self, node, core, rng)
        self.give(member, api.Started())
        member.begin()
        return member


class RoleEnvironment:
    """What the duties' host has around it, in virtual time."""

    def __init__(self, member: Member, network: NodeNetwork) -> None:
        self._member, self._network = member, network
        self.counts = {"errors": 0}

    @property
    def core(self) -> Membership:
        """The member's membership."""
        return self._member.core

    def call_later(self, delay: float, callback: Callable[..., None], /, *args: Any) -> None:
        """After so many seconds, in the member's process."""
        self._member.later(1000.0 * delay, callback, *args)

    def send_to_member(self, name: str, content: duties.Message, /) -> None:
        """Say something to a member, or to itself."""
        if name == self._member.name and self._member.work is not None:
            return self._member.later(0.0, self._member.work.on_content, content, name)
        other = self.core.view.get(name)
        if other is not None and other.is_alive():
            self._network.post(
                self._member, other.address, ApplicationMessage(self.core.header(), content, [])
            )

    def handle(self, event: api.Event, /) -> None:
        """Give the member's membership an event."""
        self._network.give(self._member, event)

    def request_view(self, name: str, /) -> None:
        """Views are compared by membership itself; the watch is of no use to a day."""


class Member(Process):
    """One node's process among the others."""

    def __init__(self, network: NodeNetwork, node: VirtualNode, core: Membership, rng: random.Random) -> None:
        super().__init__(network, node.name, core)
        self._network, self._node = network, node
        settings = node.settings
        self._tier = float(settings.tier)
        self.census = MemberCount(node.name, settings.replica_index, settings.replicas)
        self._place = settings.replica_index, settings.replicas
        groups = node.zones if AFFINITY in network.share else []
        self.shared = CORE(
            node.name, core.incarnation, settings.zone, settings.tier, network.share, tenant_quotas(settings),
            groups, dedup_window_ms(settings), rng, node.now(),
        )  # fmt: skip
        self._marks = {class_hash(cls.name): cls.name for cls in settings.classes}
        self._starts: dict[int, int] = {}
        self._since: dict[int, float] = {}
        self.work: RoleHost | None = None
        self.releases: Releases | None = None
        if RELEASES in network.share:
            environment = RoleEnvironment(self, network)
            work = self.work = RoleHost(
                environment, environment, node.name, settings.zone, network.voters, rng, self.now
            )  # fmt: skip
            self.releases = Releases(
                self.shared,
                work.writes,
                self.give_shared,
                lambda: work.owner_of(STATE_TABLE_ROLE),
                self.now,
            )
            work.on_open, work.on_close = self.releases.on_table_opened, self.releases.on_table_closed

    def now(self) -> float:
        return self._node.now()

    def on_application_message(self, message: ApplicationMessage) -> None:
        """A message has come that is about more than membership."""
        if isinstance(message.content, shared.Message):
            self.give_shared(shared.MessageReceived(message.content, message.header.name))
        elif self.work is not None:
            self.work.on_message(message)

    def _look(self) -> None:
        if self.releases is not None and self.work is not None:
            self.releases.tick(self.work.holds(STATE_TABLE_ROLE))
            self.later(LOOK_INTERVAL_MS, self._look)

    def begin(self) -> None:
        """The process can be reached."""
        if self._network.share:
            self._do(self.shared.begin())
            self._know()
        if self.work is not None:
            self.work.begin()
            self._look()
        self._count()

    def later(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Do something later, in this process."""
        self._network.after(delay_ms, self._network.turn, self, do, *args)

    def _count(self) -> None:
        self.recount()
        self.later(1000.0 * COUNT_INTERVAL_S, self._count)

    def recount(self) -> None:
        """As a node does: its place among those that count."""
        self.census.observe(alive_in_tier(self.core, self._tier), self.now())
        at = self.census.position()
        if at != self._place:
            self._place = at
            self._node.placed(*at)

    def give_shared(self, event: shared.Event) -> None:
        """Give the core of what is shared an event, and do what it says."""
        if self.alive:
            self._do(self.shared.handle(event, self.now()))

    def _do(self, actions: list[shared.Action]) -> None:
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
                    self._node.handle(peer_verdicts(action.verdicts, self._marks))
                case shared.ApplyQuotaShares():
                    self._node.handle(node_api.QuotaShares(action.quotas, action.retry_share))
                case shared.LimitNewServers():
                    self._node.handle(node_api.CanaryLimit(action.servers, action.share))

    def _know(self) -> None:
        since = self._since if self.releases is not None else None
        self.give_shared(node_status(self._node.balancer, self._starts, since, self.now()))
        self.give_shared(membership_update(self.core, self.census))
        self.later(1000.0 * STATUS_INTERVAL_S, self._know)

    # What happens at the node

    def listed(self, starts: dict[int, int], since_ms: dict[int, float]) -> None:
        """Its list names these servers, with a mark of each one's start, and when that was."""
        self._starts |= starts
        self._since |= since_ms

    def asked(self, tenant: str) -> None:
        """A request has come."""
        self.give_shared(shared.RequestReceived(tenant))

    def ended(self, server: int, cls: str, result: Result, ms: float) -> None:
        """An attempt is over."""
        how = ATTEMPT_OUTCOMES.get(result)
        if how is not None:
            self.give_shared(shared.AttemptCompleted(server, cls, how, ms))

    def zone_of_key(self, cls: node_api.RequestClass, key: str, again: bool) -> tuple[str | None, bool]:
        """The zone that a request is bound to, if it is to any, and whether that can be known."""
        return zone_of_key(self.shared, cls, key_id(key.encode()), again, self.now())
