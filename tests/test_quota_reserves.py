"""Reserves of quotas that nodes draw from an owner: their size, and what the owner counts for them."""

from __future__ import annotations

import pytest

from dunlinloft.coordination.quota_holder import QuotaHolder
from dunlinloft.coordination.quotas import HANDOVER_MS, NodeHoldings
from tests.quotas import BOUNDS, CHAIN, LIMIT, owner_address, owner_at


def test_no_reserve_is_requested_that_could_not_hold_a_usual_request() -> None:
    holder = QuotaHolder(BOUNDS)
    holder.drawn("tenant", LIMIT, 0.0, 1.0 / 72.0, 0.0, 0.0)
    node_share = BOUNDS.reserve_most(LIMIT) / 72.0
    assert holder.wanted("tenant", LIMIT, 0.9 * node_share, 1.0) == pytest.approx(node_share)
    assert holder.wanted("tenant", LIMIT, 1.5 * node_share, 1.0) == pytest.approx(node_share), (
        "one that is larger is no matter"
    )
    for _ in range(10):
        wanted = holder.wanted("tenant", LIMIT, 1.5 * node_share, 1.0)
    assert wanted == 0.0
    assert holder.wanted("tenant", LIMIT, 1.0, 1.0) == 0.0, "nor is one that is smaller"


def test_bucket_holds_what_is_in_no_reserve() -> None:
    owner = owner_at(owner_address())
    owner.settle(True, 0.0)
    bucket = owner._buckets["tenant"]
    full = BOUNDS.bucket_least(LIMIT) + BOUNDS.reserve_most(LIMIT)
    assert bucket.most == full
    bucket.level = bucket.most
    reserve = bucket.take_reserve(5_000.0)
    assert reserve == 5_000.0
    assert bucket.most == full - reserve
    remaining = tuple(a for a in CHAIN if a != owner_address())
    next_owner = owner_at(owner_address(remaining))
    next_owner.set_chain(2, remaining, 1_000.0)
    next_owner.settle(True, 1_000.0 + HANDOVER_MS)
    assert next_owner._buckets["tenant"].most < full, "its node has not told what it holds since"
    next_owner.holds("node", NodeHoldings(2, {}, {"tenant": reserve}), 1_800.0)
    next_owner.settle(True, 1_810.0)
    assert next_owner._buckets["tenant"].most == full - reserve
