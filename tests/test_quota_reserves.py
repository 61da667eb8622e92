"""Tests of quota reserves: their size, the owner's accounting, and spending without an owner."""

from __future__ import annotations

import pytest

from dunlinloft.coordination.quota.demand import QuotaHoldings
from dunlinloft.coordination.quota.ownership import HANDOVER_WAIT_MS
from dunlinloft.coordination.quota.reserves import AUTONOMY_DELAY_MS, NodeReserves
from dunlinloft.coordination.quota.shares import SHARE_LIFETIME_MS
from tests.quotas import BOUNDS, CHAIN, LIMIT, make_owner, owner_address


@pytest.fixture
def reserves() -> NodeReserves:
    """The reserves of a node that has drawn nothing yet."""
    return NodeReserves(BOUNDS)


def test_node_without_owner_spends_its_reserve_then_its_share(
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


def test_share_expires_by_the_nodes_clock(reserves: NodeReserves) -> None:
    reserves.on_grant("tenant", LIMIT, 0.0, 0.1, 0.0, 0.0)
    reserves.on_owner_unavailable("owner", "tenant", 0.0)
    now, last_spent_ms = 0.0, 0.0
    while now < 40_000.0:
        now += 20.0
        if not reserves.spend_without_owner("tenant", LIMIT, 500.0, now):
            last_spent_ms = now
    assert SHARE_LIFETIME_MS - 500.0 < last_spent_ms < SHARE_LIFETIME_MS + 500.0
    assert reserves.current_share("tenant", SHARE_LIFETIME_MS) == 0.0


def test_reserve_too_small_for_a_typical_request_is_not_requested(reserves: NodeReserves) -> None:
    reserves.on_grant("tenant", LIMIT, 0.0, 1.0 / 72.0, 0.0, 0.0)
    capacity = BOUNDS.reserve_pool(LIMIT) / 72.0
    assert reserves.wanted_reserve("tenant", LIMIT, 0.9 * capacity, 1.0) == pytest.approx(capacity)
    assert reserves.wanted_reserve("tenant", LIMIT, 1.5 * capacity, 1.0) == pytest.approx(capacity), (
        "a single large request hardly changes the mean"
    )
    for _ in range(10):
        wanted = reserves.wanted_reserve("tenant", LIMIT, 1.5 * capacity, 1.0)
    assert wanted == 0.0
    assert reserves.wanted_reserve("tenant", LIMIT, 1.0, 1.0) == 0.0, "one small request does not change that"


def test_bucket_capacity_excludes_drawn_and_reported_reserves() -> None:
    owner = make_owner(owner_address())
    owner.refill(True, 0.0)
    bucket = owner._buckets["tenant"]
    full_capacity = BOUNDS.base_capacity(LIMIT) + BOUNDS.reserve_pool(LIMIT)
    assert bucket.capacity == full_capacity
    bucket.level = bucket.capacity
    reserve = bucket.draw_reserve(5_000.0)
    assert reserve == 5_000.0
    assert bucket.capacity == full_capacity - reserve
    remaining_chain = tuple(address for address in CHAIN if address != owner_address())
    successor = make_owner(owner_address(remaining_chain))
    successor.set_chain(2, remaining_chain, 1_000.0)
    successor.refill(True, 1_000.0 + HANDOVER_WAIT_MS)
    assert successor._buckets["tenant"].capacity < full_capacity, (
        "its node has not reported its holdings since the takeover"
    )
    successor.on_holdings("node", QuotaHoldings(2, {}, {"tenant": reserve}), 1_800.0)
    successor.refill(True, 1_810.0)
    assert successor._buckets["tenant"].capacity == full_capacity - reserve
