"""Test helpers for tenant quotas: bounds, limits, and an owner with one node and requests to it."""

from __future__ import annotations

from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.demand import QuotaDecision, QuotaDemand, QuotaHoldings
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.quota.ownership import quota_owner_address

BOUNDS = QuotaBounds(8.0, 0.1, 72_000.0)
LIMIT = QuotaLimit(100_000.0, 100_000.0)
LARGE_LIMIT = QuotaLimit(436_251.0, 436_251.0)
SMALL_LIMIT = QuotaLimit(18_000.0, 18_000.0)
CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


def make_demand(
    amount: float, tenant: str = "tenant", node: str = "node", is_retry: bool = False
) -> QuotaDemand:
    """Return a node's request without a wanted reserve."""
    return QuotaDemand(node, tenant, amount, 0.0, 0.0, False, is_retry)


def decide(owner: QuotaOwner, request: QuotaDemand, now_ms: float) -> QuotaDecision:
    """Return the decision of a replica that holds its lease, and assert that it is the owner."""
    decided = owner.handle_request(request, True, now_ms)
    assert isinstance(decided, QuotaDecision)
    return decided


def owner_address(chain: tuple[str, ...] = CHAIN) -> str:
    """Return the address of the owner of the tenant's quota in a chain."""
    address = quota_owner_address("tenant", chain)
    assert address is not None
    return address


def make_owner(address: str, limit: QuotaLimit = LIMIT) -> QuotaOwner:
    """Create a quota owner at an address, with one node that has reported its holdings."""
    nodes = NodeRegistry()
    nodes.on_message("node", True, 0.0)
    owner = QuotaOwner(address, 0.0, BOUNDS, nodes)
    owner.set_limits({"tenant": limit})
    owner.set_chain(1, CHAIN, 0.0)
    owner.on_holdings("node", QuotaHoldings(1, {}, {}), 0.0)
    return owner
