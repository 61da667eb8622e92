"""The roles that a control plane has for data-plane nodes: owner of tenants' quotas, adviser on placement.

Both are sharded by key over the chain. Only an owner of a quota needs a lease: placement is advice.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from dunlinloft.configuration import Configuration, Service
from dunlinloft.coordination.messages import View
from dunlinloft.coordination.nodes import Nodes
from dunlinloft.coordination.placement import PlacementRequest, Placements
from dunlinloft.coordination.quotas import NodeHoldings, QuotaAsk, QuotaLimit, QuotaOwner
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.stream import (
    HoldsShares,
    Place,
    PlaceBegan,
    PlaceChosen,
    Placed,
    PlaceEnded,
    QuotaGranted,
    QuotasHandedOver,
    TakeQuota,
)
from dunlinloft.settings import TimingBounds
from dunlinloft.transport.clock import now_ms

FULL_WAIT_MS = 30.0  # a patient request asks again after so long where no place was free


class Roles:
    """Answers nodes' asks. `hand_over` sends a message to another replica."""

    def __init__(
        self,
        address: str,
        bounds: TimingBounds,
        nodes: Nodes,
        replica: Callable[[], Replica],
        hand_over: Callable[[str, QuotasHandedOver], None],
    ) -> None:
        self._replica = replica
        self._hand_over = hand_over
        self._quotas = QuotaOwner(
            address,
            now_ms(),
            bounds.quota_bounds(),
            nodes,
            lambda owner, now: self._replica().lease_over(owner, now),
        )
        self.placements = Placements(random.Random(secrets.randbits(64)), 1_000.0 * bounds.again_s)

    def configure(self, configuration: Configuration) -> None:
        """Take the limits of tenants and the memory of servers that were committed."""
        tenants = (tenant for tenant in configuration.tenants if tenant.rate_per_s)
        limits = {tenant.name: QuotaLimit(tenant.rate_per_s, tenant.burst) for tenant in tenants}
        self._quotas.set_limits(limits)
        self.placements.set_memory(_memory(configuration.services))

    def follow(self, view: View) -> None:
        """Take the quotas that are this replica's by a view, and hand over those that no longer are."""
        chain = tuple(member.address for member in view.chain)
        for given_up in self._quotas.set_chain(view.epoch, chain, now_ms()):
            self._hand_over(given_up.owner, QuotasHandedOver(view.epoch, given_up.levels))

    def settle(self) -> None:
        """Fill quotas for the time that has passed; to be called often."""
        self._quotas.settle(self._replica().leased(now_ms()), now_ms())

    def forget(self) -> None:
        """Drop what has ended; to be called now and then."""
        self._quotas.forget(now_ms())

    # What nodes and other replicas tell and ask.

    def subscribed(self, node: str, uptime_ms: float, holdings: HoldsShares) -> None:
        """A node's stream began."""
        self._quotas.node_seen(uptime_ms, now_ms())
        self.holds(node, holdings)

    def holds(self, node: str, message: HoldsShares) -> None:
        """A node said what it holds of quotas."""
        holdings = NodeHoldings(message.epoch, message.shares, message.reserves)
        self._quotas.holds(node, holdings, now_ms())

    def handed_over(self, message: QuotasHandedOver) -> None:
        """Another replica gave quotas up."""
        self._quotas.hand_over(message.epoch, message.levels)

    def take_quota(self, node: str, message: TakeQuota) -> QuotaGranted:
        """A node asks for a part of a tenant's quota."""
        now = now_ms()
        replica = self._replica()
        if replica.view is not None:  # learned a moment ago, it ends what was owned by the one before
            self.follow(replica.view)
        ask = QuotaAsk(
            node,
            message.tenant,
            message.amount,
            message.reserve,
            message.share,
            message.alone,
            message.returned,
        )
        taken = self._quotas.take(ask, replica.leased(now), now)
        if taken is None:
            return QuotaGranted(message.number, message.tenant, 0.0, 0.0, 0.0, 0.0, False)
        amount = 0.0 if taken.wait_ms else message.amount
        return QuotaGranted(
            message.number,
            message.tenant,
            amount,
            taken.reserve,
            taken.share,
            taken.wait_ms,
            scarce=taken.scarce,
        )

    def place(self, stream: int, message: Place) -> Placed:
        """A node asks which server a request should go to."""
        needs = PlacementRequest(message.parts, message.answer_tokens, message.patient)
        ticket = (stream, message.number)
        placement = self.placements.service(message.service)
        server_id = placement.place(ticket, needs, message.avoided, now_ms())
        wait_ms = FULL_WAIT_MS if server_id is None and message.patient else 0.0
        return Placed(message.number, message.service, server_id or "", wait_ms)

    def chosen(self, stream: int, message: PlaceChosen) -> None:
        """A node chose by itself."""
        needs = PlacementRequest(message.parts, message.answer_tokens)
        placement = self.placements.service(message.service)
        placement.chosen((stream, message.number), needs, message.server_id, now_ms())

    def began(self, stream: int, message: PlaceBegan) -> None:
        """The first word of a placed request came."""
        self.placements.service(message.service).began((stream, message.number))

    def ended(self, stream: int, message: PlaceEnded) -> None:
        """A placed request is no longer out."""
        placement = self.placements.service(message.service)
        placement.ended((stream, message.number), message.failed, now_ms())

    def stream_lost(self, stream: int) -> None:
        """A node's stream ended: nothing more will be heard of its requests."""
        self.placements.stream_lost(stream, now_ms())


def _memory(services: tuple[Service, ...]) -> dict[str, int]:
    """Tokens of memory of each service's servers, where its runtime tells."""
    told = {service.name: (service.runtime or {}).get("kv_cache_tokens") for service in services}
    return {name: tokens for name, tokens in told.items() if isinstance(tokens, int) and tokens > 0}
