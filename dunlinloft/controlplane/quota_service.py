"""Tenant quotas, served to data-plane nodes.

Quotas are sharded over the chain by tenant. Each has one owner, which grants quota only while it holds its
lease. The rules are in `dunlinloft.coordination.quota`.
"""

from __future__ import annotations

from collections.abc import Callable

from dunlinloft.configuration import Configuration
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.quota.bounds import QuotaLimit
from dunlinloft.coordination.quota.demand import NotQuotaOwner, QuotaDemand, QuotaHoldings
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.stream import QuotaGrant, QuotaHandover, QuotaHoldingsReport, QuotaRequest
from dunlinloft.coordination.views import View
from dunlinloft.quota_bounds import quota_bounds
from dunlinloft.settings import TimingBounds
from dunlinloft.transport.clock import now_ms


class QuotaService:
    """Answers quota requests of nodes, and transfers quotas to their new owner when the chain changes.

    Parameters
    ----------
    address:
        Address of this replica's internal listener, which identifies it in the chain.
    started_ms:
        Start time of this process on the `now_ms` clock.
    nodes:
        The known data-plane nodes, kept up to date by the caller.
    send:
        Sends a handover to the replica at an address; delivery is best effort.
    """

    def __init__(
        self,
        address: str,
        bounds: TimingBounds,
        started_ms: float,
        nodes: NodeRegistry,
        replica: Replica,
        send: Callable[[str, QuotaHandover], None],
    ) -> None:
        self._replica = replica
        self._send = send
        self._owner = QuotaOwner(address, started_ms, quota_bounds(bounds), nodes, replica.lease_expired)

    def configure(self, configuration: Configuration) -> None:
        """Apply the tenant limits of a committed configuration."""
        tenants = (tenant for tenant in configuration.tenants if tenant.rate_per_s)
        limits = {tenant.name: QuotaLimit(tenant.rate_per_s, tenant.burst) for tenant in tenants}
        self._owner.set_limits(limits)

    def apply_view(self, view: View) -> None:
        """Acquire the quotas that a view assigns to this replica, and hand over those it no longer owns."""
        chain = tuple(member.address for member in view.chain)
        for handover in self._owner.set_chain(view.epoch, chain, now_ms()):
            self._send(handover.new_owner, QuotaHandover(view.epoch, handover.levels))

    def refill(self) -> None:
        """Refill quotas for the elapsed time; called on every tick."""
        self._owner.refill(self._replica.has_lease(now_ms()), now_ms())

    def drop_expired(self) -> None:
        """Drop expired shares and holdings; called about once per second."""
        self._owner.expire(now_ms())

    def on_node_subscribed(self, node: str, uptime_ms: float, holdings: QuotaHoldingsReport) -> None:
        """Register a node that opened its stream."""
        self._owner.on_node_subscribed(uptime_ms, now_ms())
        self.on_holdings(node, holdings)

    def on_holdings(self, node: str, message: QuotaHoldingsReport) -> None:
        """Record a node's quota shares and reserves."""
        holdings = QuotaHoldings(message.epoch, message.shares, message.reserves)
        self._owner.on_holdings(node, holdings, now_ms())

    def on_handover(self, message: QuotaHandover) -> None:
        """Record the remaining levels of quotas received from their previous owner."""
        self._owner.on_handover(message.epoch, message.levels)

    def grant(self, node: str, message: QuotaRequest) -> QuotaGrant:
        """Answer a node's request for a portion of a tenant's quota."""
        now = now_ms()
        view = self._replica.view
        if view is not None:
            # A view received since the last tick ends the ownership under the previous one.
            self.apply_view(view)
        request = QuotaDemand(
            node,
            message.tenant,
            message.amount,
            message.wanted_reserve,
            message.current_share,
            message.autonomous,
            message.is_retry,
        )
        decision = self._owner.handle_request(request, self._replica.has_lease(now), now)
        if isinstance(decision, NotQuotaOwner):
            return QuotaGrant(message.request_id, message.tenant, 0.0, 0.0, 0.0, 0.0, False)
        amount = 0.0 if decision.wait_ms else message.amount
        return QuotaGrant(
            message.request_id,
            message.tenant,
            amount,
            decision.reserve,
            decision.share,
            decision.wait_ms,
            scarce=decision.scarce,
        )
