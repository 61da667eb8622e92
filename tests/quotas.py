"""One tenant's quota, for tests: bounds and limits, an owner with one node, and requests to it."""

from __future__ import annotations

from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.demand import QuotaDecision, QuotaDemand, QuotaHoldings
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.quota.ownership import quota_owner_address

BOUNDS = QuotaBounds(8.0, 0.1, 72_000.0)
LIMIT = QuotaLimit(100_000.0, 100_000.0)
LARGE = QuotaLimit(436_251.0, 436_251.0)
SMALL = QuotaLimit(18_000.0, 18_000.0)
CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


def demand(amount: float, tenant: str = "tenant", node: str = "node", is_retry: bool = False) -> QuotaDemand:
    """A node's request that asks for no reserve."""
    return QuotaDemand(node, tenant, amount, 0.0, 0.0, False, is_retry)


def decision(owner: QuotaOwner, request: QuotaDemand, now_ms: float) -> QuotaDecision:
    """What an owner that holds its lease decides; it must be the owner."""
    decided = owner.handle_request(request, True, now_ms)
    assert isinstance(decided, QuotaDecision)
    return decided


def owner_address(chain: tuple[str, ...] = CHAIN) -> str:
    """The owner of the tenant's quota in a chain."""
    address = quota_owner_address("tenant", chain)
    assert address is not None
    return address


def owner_at(address: str, limit: QuotaLimit = LIMIT) -> QuotaOwner:
    """An owner at an address, with one node that has reported what it holds."""
    nodes = NodeRegistry()
    nodes.on_message("node", True, 0.0)
    owner = QuotaOwner(address, 0.0, BOUNDS, nodes)
    owner.set_limits({"tenant": limit})
    owner.set_chain(1, CHAIN, 0.0)
    owner.on_holdings("node", QuotaHoldings(1, {}, {}), 0.0)
    return owner
