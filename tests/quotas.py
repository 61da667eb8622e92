"""Quotas of one tenant, for tests."""

from __future__ import annotations

from dunlinloft.coordination.nodes import Nodes
from dunlinloft.coordination.quotas import (
    NodeHoldings,
    QuotaAsk,
    QuotaBounds,
    QuotaLimit,
    QuotaOwner,
    owner_of,
)

BOUNDS = QuotaBounds(8.0, 0.1, 72_000.0)
LIMIT = QuotaLimit(100_000.0, 100_000.0)
LARGE = QuotaLimit(436_251.0, 436_251.0)
SMALL = QuotaLimit(18_000.0, 18_000.0)
CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


def ask(amount: float, tenant: str = "tenant", node: str = "node") -> QuotaAsk:
    """What a node asks for."""
    return QuotaAsk(node, tenant, amount, 0.0, 0.0, False)


def owner_address(chain: tuple[str, ...] = CHAIN) -> str:
    """The owner of the tenant's quota in a chain."""
    address = owner_of("tenant", chain)
    assert address is not None
    return address


def owner_at(address: str, limit: QuotaLimit = LIMIT) -> QuotaOwner:
    """An owner at an address, with one node that has told what it holds."""
    nodes = Nodes()
    nodes.heard("node", True, 0.0)
    owner = QuotaOwner(address, 0.0, BOUNDS, nodes)
    owner.set_limits({"tenant": limit})
    owner.set_chain(1, CHAIN, 0.0)
    owner.holds("node", NodeHoldings(1, {}, {}), 0.0)
    return owner
