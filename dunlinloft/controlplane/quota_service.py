"""Tenants' quotas as this control plane serves them to data-plane nodes.

Quotas are sharded over the chain by tenant; each has one owner, which grants only under its lease. The rules
are in `dunlinloft.coordination.quotas`.
"""

from __future__ import annotations

from collections.abc import Callable

from dunlinloft.configuration import Configuration
from dunlinloft.coordination.nodes import Nodes
from dunlinloft.coordination.quotas import NodeHoldings, QuotaAsk, QuotaLimit, QuotaOwner
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.stream import HoldsShares, QuotaGranted, QuotasHandedOver, TakeQuota
from dunlinloft.coordination.views import View
from dunlinloft.quota_bounds import quota_bounds
from dunlinloft.settings import TimingBounds
from dunlinloft.transport.clock import now_ms


class QuotaService:
    """Answers nodes' requests for quota, and hands quotas over to their next owner when the chain changes.

    Parameters
    ----------
    address:
        This replica's internal listener, by which the chain names it.
    started_ms:
        When this process started.
    nodes:
        The data-plane nodes known here, kept up to date by the caller.
    send:
        Sends a handover to the replica at an address, best effort.
    """

    def __init__(
        self,
        address: str,
        bounds: TimingBounds,
        started_ms: float,
        nodes: Nodes,
        replica: Replica,
        send: Callable[[str, QuotasHandedOver], None],
    ) -> None:
        self._replica = replica
        self._send = send
        self._owner = QuotaOwner(address, started_ms, quota_bounds(bounds), nodes, replica.lease_expired)

    def configure(self, configuration: Configuration) -> None:
        """Apply the tenants' limits of a committed configuration."""
        tenants = (tenant for tenant in configuration.tenants if tenant.rate_per_s)
        limits = {tenant.name: QuotaLimit(tenant.rate_per_s, tenant.burst) for tenant in tenants}
        self._owner.set_limits(limits)

    def follow_view(self, view: View) -> None:
        """Take over the quotas that this replica owns by a view, and hand over those it no longer owns."""
        chain = tuple(member.address for member in view.chain)
        for given_up in self._owner.set_chain(view.epoch, chain, now_ms()):
            self._send(given_up.owner, QuotasHandedOver(view.epoch, given_up.levels))

    def refill(self) -> None:
        """Refill quotas for the time that has passed; called with every tick."""
        self._owner.settle(self._replica.has_lease(now_ms()), now_ms())

    def drop_expired(self) -> None:
        """Drop shares and holdings that have ended; called every second or so."""
        self._owner.forget(now_ms())

    def node_subscribed(self, node: str, uptime_ms: float, holdings: HoldsShares) -> None:
        """Register a node whose stream began."""
        self._owner.node_seen(uptime_ms, now_ms())
        self.set_holdings(node, holdings)

    def set_holdings(self, node: str, message: HoldsShares) -> None:
        """Record a node's quota shares and reserves."""
        holdings = NodeHoldings(message.epoch, message.shares, message.reserves)
        self._owner.holds(node, holdings, now_ms())

    def on_handed_over(self, message: QuotasHandedOver) -> None:
        """Record the remaining levels of quotas that another replica owned until now."""
        self._owner.hand_over(message.epoch, message.levels)

    def grant(self, node: str, message: TakeQuota) -> QuotaGranted:
        """Answer a node's request for a part of a tenant's quota."""
        now = now_ms()
        view = self._replica.view
        if view is not None:
            # The view may have been learned since the last tick: it ends what was owned by the one before.
            self.follow_view(view)
        request = QuotaAsk(
            node,
            message.tenant,
            message.amount,
            message.reserve,
            message.share,
            message.alone,
            message.returned,
        )
        taken = self._owner.take(request, self._replica.has_lease(now), now)
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
