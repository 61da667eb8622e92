"""The owner of tenants' quotas: what it grants in a window, to whom, and from when as a new owner."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.quota.bounds import BucketStart, QuotaLimit
from dunlinloft.coordination.quota.demand import NotQuotaOwner, QuotaDecision
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.quota.ownership import HANDOVER_WAIT_MS, ReleasedQuotas
from lab.control.quota_cluster import QuotaWindow
from tests.quotas import BOUNDS, CHAIN, LIMIT, decision, demand, owner_address, owner_at

CHAIN_WITHOUT_OWNER = tuple(address for address in CHAIN if address != owner_address())


@pytest.fixture
def owner() -> QuotaOwner:
    """The tenant's owner in the first chain."""
    return owner_at(owner_address())


@pytest.fixture
def successor() -> QuotaOwner:
    """The tenant's owner once the first one has left the chain."""
    return owner_at(owner_address(CHAIN_WITHOUT_OWNER))


class _ConnectedOwner:
    """An owner whose one node is in contact all the time."""

    def __init__(self, owner: QuotaOwner) -> None:
        self.owner = owner

    def take(self, amount: float, now_ms: float) -> float:
        """Take from the quota; the wait in ms, 0 where the amount was granted."""
        self.owner._nodes.on_message("node", True, now_ms)
        return decision(self.owner, demand(amount), now_ms).wait_ms


@pytest.fixture
def connected(owner: QuotaOwner) -> _ConnectedOwner:
    """The tenant's owner, in contact with its node."""
    return _ConnectedOwner(owner)


def test_an_owner_grants_no_more_than_a_window_allows(connected: _ConnectedOwner) -> None:
    window = QuotaWindow(BOUNDS, LIMIT)
    rng = random.Random(1)
    now = 0.0
    while now < 30_000.0:
        now += rng.uniform(0.0, 40.0)
        amount = rng.uniform(100.0, 30_000.0)
        if connected.take(amount, now) == 0.0:
            window.spend(amount, now)
    assert window.total >= 0.95 * LIMIT.rate_per_s * 30.0


def test_what_is_under_the_limit_is_granted(connected: _ConnectedOwner) -> None:
    rng = random.Random(2)
    now, refused = 0.0, 0
    for _ in range(1_000):
        now += rng.expovariate(1.0 / 100.0)
        refused += connected.take(rng.uniform(2_000.0, 13_000.0), now) != 0.0
    assert refused <= 10


def test_a_retry_takes_nothing_from_first_attempts(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 20_000.0
    retry = demand(9_000.0, is_retry=True)
    assert decision(owner, retry, 0.0).wait_ms > 0.0
    assert decision(owner, demand(9_000.0), 0.0).wait_ms == 0.0
    assert decision(owner, demand(300.0, is_retry=True), 0.0).wait_ms == 0.0
    owner._buckets["tenant"].level = 40_000.0
    assert decision(owner, retry, 0.0).wait_ms == 0.0


def test_a_quota_is_scarce_once_first_attempts_alone_demand_more_than_its_rate(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 10_000.0
    retry = demand(9_000.0, is_retry=True)
    refused = decision(owner, retry, 0.0)
    assert refused.wait_ms > 0.0
    assert not refused.scarce, "it is only short: the request may wait"
    for _ in range(100):
        refused = decision(owner, retry, 0.0)
    assert not refused.scarce, "retries request again and again"
    for _ in range(100):
        refused = decision(owner, demand(9_000.0), 0.0)
    assert refused.scarce


@pytest.mark.parametrize("address", CHAIN)
def test_only_the_owner_grants_and_only_with_a_lease(address: str) -> None:
    owner = owner_at(address)
    granted = owner.handle_request(demand(100.0), True, 0.0)
    assert isinstance(granted, QuotaDecision) == (address == owner_address())
    assert isinstance(granted, NotQuotaOwner) == (address != owner_address())
    assert owner.handle_request(demand(100.0), False, 0.0) == NotQuotaOwner()
    assert owner.handle_request(demand(100.0, "nobody"), True, 0.0) == NotQuotaOwner()


def test_a_new_owner_waits_until_the_old_one_can_grant_no_more(successor: QuotaOwner) -> None:
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, 1_000.0)
    too_early_ms = 1_000.0 + HANDOVER_WAIT_MS - 1.0
    assert successor.handle_request(demand(100.0), True, too_early_ms) == NotQuotaOwner()
    assert decision(successor, demand(100.0), 1_000.0 + HANDOVER_WAIT_MS)


def test_a_new_owner_starts_with_the_initial_level(successor: QuotaOwner) -> None:
    learned_ms = 1_000.0 + 1_000.0 * BOUNDS.window_s
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, learned_ms)
    now = learned_ms + HANDOVER_WAIT_MS
    granted = 0
    while not decision(successor, demand(1_000.0), now).wait_ms:
        granted += 1
    initial_level = BOUNDS.initial_level(LIMIT, BucketStart.AFTER_LEASE_TIMEOUT)
    assert 0.9 * initial_level < 1_000.0 * granted <= initial_level


def test_an_owner_that_loses_a_quota_hands_over_what_is_left(
    owner: QuotaOwner, successor: QuotaOwner
) -> None:
    owner.refill(True, 0.0)
    owner._buckets["tenant"].level = 54_321.0
    released = owner.set_chain(2, CHAIN_WITHOUT_OWNER, 1_000.0)
    assert released == [ReleasedQuotas(owner_address(CHAIN_WITHOUT_OWNER), {"tenant": 54_321.0})]
    assert owner.handle_request(demand(1.0), True, 1_000.0) == NotQuotaOwner()
    successor.on_handover(2, released[0].levels)  # before it knows of the epoch
    assert successor.handle_request(demand(1.0), True, 1_000.0) == NotQuotaOwner()
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, 1_001.0)
    assert decision(successor, demand(1.0), 1_002.0)
    assert successor._buckets["tenant"].level == pytest.approx(54_320.0, abs=200.0)


def test_a_handover_for_another_epoch_shortens_no_wait(successor: QuotaOwner) -> None:
    successor.on_handover(2, {"tenant": 54_321.0})
    successor.set_chain(3, CHAIN_WITHOUT_OWNER, 1_000.0)
    assert successor.handle_request(demand(1.0), True, 1_001.0) == NotQuotaOwner()


def test_an_owner_that_missed_an_epoch_starts_anew(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    assert owner.set_chain(3, CHAIN, 1_000.0) == []
    early = owner.handle_request(demand(1.0), True, 1_001.0)
    assert early == NotQuotaOwner(), "another may have owned the quota in between"
    assert decision(owner, demand(1.0), 1_000.0 + HANDOVER_WAIT_MS)


def test_a_node_that_ran_before_takes_back_what_a_restart_of_the_fleet_would_grant(owner: QuotaOwner) -> None:
    assert decision(owner, demand(10_000.0), 500.0)
    owner.on_node_subscribed(60_000.0, 600.0)
    amount = BOUNDS.initial_level(LIMIT, BucketStart.AFTER_LEASE_TIMEOUT) + 11_000.0
    assert decision(owner, demand(amount), 600.0).wait_ms > 0.0


def test_a_lower_limit_takes_saved_tokens_away(connected: _ConnectedOwner) -> None:
    assert connected.take(10.0, 0.0) == 0.0
    connected.owner.set_limits({"tenant": QuotaLimit(10.0, 10.0)})
    assert connected.take(100_000.0, 100_000.0) == 0.0  # larger than the capacity: with a full bucket
    assert connected.take(10.0, 100_100.0)


def test_without_a_lease_a_bucket_does_not_fill(owner: QuotaOwner) -> None:
    owner.refill(True, 0.0)
    level = owner._buckets["tenant"].level
    owner.refill(False, 100.0)
    owner.refill(True, 200.0)
    assert owner._buckets["tenant"].level == level
