"""Tests of the quota owner: grants within a window, retries, ownership changes and handover."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.quota.bounds import BucketStart, QuotaLimit
from dunlinloft.coordination.quota.demand import NotQuotaOwner, QuotaDecision
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.quota.ownership import HANDOVER_WAIT_MS, ReleasedQuotas
from lab.control.quota_cluster import QuotaWindow
from tests.quotas import BOUNDS, CHAIN, LIMIT, decide, make_demand, make_owner, owner_address

CHAIN_WITHOUT_OWNER = tuple(address for address in CHAIN if address != owner_address())


@pytest.fixture
def owner() -> QuotaOwner:
    """The owner of the tenant's quota in the first chain."""
    return make_owner(owner_address())


@pytest.fixture
def successor() -> QuotaOwner:
    """The owner of the tenant's quota after the first owner has left the chain."""
    return make_owner(owner_address(CHAIN_WITHOUT_OWNER))


class _ConnectedOwner:
    """An owner whose only node is always in contact with it."""

    def __init__(self, owner: QuotaOwner) -> None:
        self.owner = owner

    def request_wait_ms(self, amount: float, now_ms: float) -> float:
        """Request an amount; return the wait in ms, 0 if the amount was granted."""
        self.owner._nodes.on_message("node", True, now_ms)
        return decide(self.owner, make_demand(amount), now_ms).wait_ms


@pytest.fixture
def connected_owner(owner: QuotaOwner) -> _ConnectedOwner:
    """The owner of the tenant's quota, in contact with its node."""
    return _ConnectedOwner(owner)


def test_grants_stay_within_the_window_bound(connected_owner: _ConnectedOwner) -> None:
    window = QuotaWindow(BOUNDS, LIMIT)
    rng = random.Random(1)
    now = 0.0
    while now < 30_000.0:
        now += rng.uniform(0.0, 40.0)
        amount = rng.uniform(100.0, 30_000.0)
        if connected_owner.request_wait_ms(amount, now) == 0.0:
            window.spend(amount, now)
    assert window.total >= 0.95 * LIMIT.rate_per_s * 30.0


def test_usage_below_the_limit_is_rarely_rejected(connected_owner: _ConnectedOwner) -> None:
    rng = random.Random(2)
    now, rejected = 0.0, 0
    for _ in range(1_000):
        now += rng.expovariate(1.0 / 100.0)
        rejected += connected_owner.request_wait_ms(rng.uniform(2_000.0, 13_000.0), now) != 0.0
    assert rejected <= 10


def test_retry_is_granted_only_from_a_surplus(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 20_000.0
    retry = make_demand(9_000.0, is_retry=True)
    assert decide(owner, retry, 0.0).wait_ms > 0.0
    assert decide(owner, make_demand(9_000.0), 0.0).wait_ms == 0.0
    assert decide(owner, make_demand(300.0, is_retry=True), 0.0).wait_ms == 0.0
    owner._buckets["tenant"].level = 40_000.0
    assert decide(owner, retry, 0.0).wait_ms == 0.0


def test_quota_is_scarce_when_first_attempts_alone_exceed_the_rate(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 10_000.0
    retry = make_demand(9_000.0, is_retry=True)
    rejected = decide(owner, retry, 0.0)
    assert rejected.wait_ms > 0.0
    assert not rejected.scarce, "the quota is only short: the request may wait"
    for _ in range(100):
        rejected = decide(owner, retry, 0.0)
    assert not rejected.scarce, "retries do not count as demand"
    for _ in range(100):
        rejected = decide(owner, make_demand(9_000.0), 0.0)
    assert rejected.scarce


@pytest.mark.parametrize("address", CHAIN)
def test_only_the_owner_with_a_lease_grants(address: str) -> None:
    owner = make_owner(address)
    granted = owner.handle_request(make_demand(100.0), True, 0.0)
    assert isinstance(granted, QuotaDecision) == (address == owner_address())
    assert isinstance(granted, NotQuotaOwner) == (address != owner_address())
    assert owner.handle_request(make_demand(100.0), False, 0.0) == NotQuotaOwner()
    assert owner.handle_request(make_demand(100.0, "nobody"), True, 0.0) == NotQuotaOwner()


def test_new_owner_does_not_grant_before_the_handover_wait_has_passed(successor: QuotaOwner) -> None:
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, 1_000.0)
    too_early_ms = 1_000.0 + HANDOVER_WAIT_MS - 1.0
    assert successor.handle_request(make_demand(100.0), True, too_early_ms) == NotQuotaOwner()
    assert decide(successor, make_demand(100.0), 1_000.0 + HANDOVER_WAIT_MS)


def test_new_owner_starts_with_the_initial_level(successor: QuotaOwner) -> None:
    chain_changed_ms = 1_000.0 + 1_000.0 * BOUNDS.window_s
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, chain_changed_ms)
    now = chain_changed_ms + HANDOVER_WAIT_MS
    granted = 0
    while not decide(successor, make_demand(1_000.0), now).wait_ms:
        granted += 1
    initial_level = BOUNDS.initial_level(LIMIT, BucketStart.AFTER_LEASE_TIMEOUT)
    assert 0.9 * initial_level < 1_000.0 * granted <= initial_level


def test_previous_owner_hands_over_the_remaining_level(owner: QuotaOwner, successor: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 54_321.0
    released = owner.set_chain(2, CHAIN_WITHOUT_OWNER, 1_000.0)
    assert released == [ReleasedQuotas(owner_address(CHAIN_WITHOUT_OWNER), {"tenant": 54_321.0})]
    assert owner.handle_request(make_demand(1.0), True, 1_000.0) == NotQuotaOwner()
    successor.on_handover(2, released[0].levels)  # before the successor knows the epoch
    assert successor.handle_request(make_demand(1.0), True, 1_000.0) == NotQuotaOwner()
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, 1_001.0)
    assert decide(successor, make_demand(1.0), 1_002.0)
    assert successor._buckets["tenant"].level == pytest.approx(54_320.0, abs=200.0)


def test_handover_for_another_epoch_does_not_shorten_the_wait(successor: QuotaOwner) -> None:
    successor.on_handover(2, {"tenant": 54_321.0})
    successor.set_chain(3, CHAIN_WITHOUT_OWNER, 1_000.0)
    assert successor.handle_request(make_demand(1.0), True, 1_001.0) == NotQuotaOwner()


def test_owner_that_skipped_an_epoch_waits_again(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    assert owner.set_chain(3, CHAIN, 1_000.0) == []
    early = owner.handle_request(make_demand(1.0), True, 1_001.0)
    assert early == NotQuotaOwner(), "another replica may have owned the quota in between"
    assert decide(owner, make_demand(1.0), 1_000.0 + HANDOVER_WAIT_MS)


def test_subscription_of_an_older_node_revokes_the_fleet_restart_level(owner: QuotaOwner) -> None:
    assert decide(owner, make_demand(10_000.0), 500.0)
    owner.on_node_subscribed(60_000.0, 600.0)
    amount = BOUNDS.initial_level(LIMIT, BucketStart.AFTER_LEASE_TIMEOUT) + 11_000.0
    assert decide(owner, make_demand(amount), 600.0).wait_ms > 0.0


def test_lower_limit_discards_excess_tokens(connected_owner: _ConnectedOwner) -> None:
    assert connected_owner.request_wait_ms(10.0, 0.0) == 0.0
    connected_owner.owner.set_limits({"tenant": QuotaLimit(10.0, 10.0)})
    # An amount above the capacity is granted from a full bucket.
    assert connected_owner.request_wait_ms(100_000.0, 100_000.0) == 0.0
    assert connected_owner.request_wait_ms(10.0, 100_100.0)


def test_bucket_does_not_refill_without_a_lease(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    level = owner._buckets["tenant"].level
    owner.refill(False, 100.0)
    owner.refill(True, 200.0)
    assert owner._buckets["tenant"].level == level
