"""Reserves of quotas: their size, what the owner counts for them, what a node spends without an owner."""

from __future__ import annotations

import pytest

from dunlinloft.coordination.quota.demand import QuotaHoldings
from dunlinloft.coordination.quota.ownership import HANDOVER_WAIT_MS
from dunlinloft.coordination.quota.reserves import AUTONOMY_DELAY_MS, NodeReserves
from dunlinloft.coordination.quota.shares import SHARE_LIFETIME_MS
from tests.quotas import BOUNDS, CHAIN, LIMIT, owner_address, owner_at


@pytest.fixture
def reserves() -> NodeReserves:
    """A node that has drawn nothing yet."""
    return NodeReserves(BOUNDS)


def test_without_its_owner_a_node_spends_its_reserve_first_and_its_share_later(
    reserves: NodeReserves,
) -> None:
    capacity = BOUNDS.reserve_pool(LIMIT) / 10.0
    assert reserves.wanted_reserve("tenant", LIMIT, 100.0, 0.0) == 0.0
    reserves.on_grant("tenant", LIMIT, 10.0 * capacity, 0.1, 0.0, 0.0)
    assert reserves.wanted_reserve("tenant", LIMIT, 100.0, 0.0) == 0.0
    reserves.on_owner_unavailable("owner", "tenant", 0.0)
    assert reserves.spend_without_owner("tenant", LIMIT, capacity, 1.0) == 0.0
    assert reserves.wanted_reserve("tenant", LIMIT, 100.0, 1.0) == capacity
    assert reserves.spend_without_owner("tenant", LIMIT, 100.0, AUTONOMY_DELAY_MS) > 0.0
    later_ms = AUTONOMY_DELAY_MS + 11.0
    assert reserves.spend_without_owner("tenant", LIMIT, 100.0, later_ms) == 0.0
    assert reserves.spend_without_owner("tenant", LIMIT, 100.0, later_ms) > 0.0


def test_a_share_expires_on_its_nodes_clock(reserves: NodeReserves) -> None:
    reserves.on_grant("tenant", LIMIT, 0.0, 0.1, 0.0, 0.0)
    reserves.on_owner_unavailable("owner", "tenant", 0.0)
    now, last_spent_ms = 0.0, 0.0
    while now < 40_000.0:
        now += 20.0
        if not reserves.spend_without_owner("tenant", LIMIT, 500.0, now):
            last_spent_ms = now
    assert SHARE_LIFETIME_MS - 500.0 < last_spent_ms < SHARE_LIFETIME_MS + 500.0
    assert reserves.current_share("tenant", SHARE_LIFETIME_MS) == 0.0


def test_no_reserve_is_requested_that_is_too_small_for_a_usual_request(reserves: NodeReserves) -> None:
    reserves.on_grant("tenant", LIMIT, 0.0, 1.0 / 72.0, 0.0, 0.0)
    capacity = BOUNDS.reserve_pool(LIMIT) / 72.0
    assert reserves.wanted_reserve("tenant", LIMIT, 0.9 * capacity, 1.0) == pytest.approx(capacity)
    assert reserves.wanted_reserve("tenant", LIMIT, 1.5 * capacity, 1.0) == pytest.approx(capacity), (
        "one that is larger is no matter"
    )
    for _ in range(10):
        wanted = reserves.wanted_reserve("tenant", LIMIT, 1.5 * capacity, 1.0)
    assert wanted == 0.0
    assert reserves.wanted_reserve("tenant", LIMIT, 1.0, 1.0) == 0.0, "nor is one that is smaller"


def test_a_bucket_holds_what_is_in_no_reserve() -> None:
    owner = owner_at(owner_address())
    owner.refill(True, 0.0)
    bucket = owner._buckets["tenant"]
    full = BOUNDS.base_capacity(LIMIT) + BOUNDS.reserve_pool(LIMIT)
    assert bucket.capacity == full
    bucket.level = bucket.capacity
    reserve = bucket.draw_reserve(5_000.0)
    assert reserve == 5_000.0
    assert bucket.capacity == full - reserve
    remaining = tuple(address for address in CHAIN if address != owner_address())
    successor = owner_at(owner_address(remaining))
    successor.set_chain(2, remaining, 1_000.0)
    successor.refill(True, 1_000.0 + HANDOVER_WAIT_MS)
    assert successor._buckets["tenant"].capacity < full, "its node has not reported what it holds since"
    successor.on_holdings("node", QuotaHoldings(2, {}, {"tenant": reserve}), 1_800.0)
    successor.refill(True, 1_810.0)
    assert successor._buckets["tenant"].capacity == full - reserve
