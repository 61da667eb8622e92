"""Standing shares of a tenant's rate: they follow usage, and never add up to more than the rate."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.quota.shares import (
    MAX_SHARE_MULTIPLE,
    SHARE_ACCOUNTING_MS,
    SHARE_LIFETIME_MS,
    TenantShares,
)


@pytest.fixture
def shares() -> TenantShares:
    """Shares of which no previous owner granted any."""
    shares = TenantShares()
    shares.max_unreported = 0.0
    return shares


def _grant(shares: TenantShares, current: dict[str, float], node: str, spent: float, now_ms: float) -> None:
    """A node reports its share, and gets the next one."""
    shares.on_report(node, current[node], False, now_ms)
    current[node] = shares.grant(node, spent, len(current), now_ms)


@pytest.mark.parametrize("seed", range(5))
def test_shares_follow_usage_and_never_add_up_to_more_than_one(shares: TenantShares, seed: int) -> None:
    rng = random.Random(seed)
    current = dict.fromkeys("abcdef", 0.0)
    busy = "a"
    for step in range(600):
        if step % 200 == 0:
            busy = rng.choice("abcdef")
        node = busy if rng.random() < 0.8 else rng.choice("abcdef")
        _grant(shares, current, node, rng.uniform(1.0, 100.0), 50.0 * step)
        assert sum(current.values()) <= 1.0 + 1e-9
    assert current[busy] == max(current.values())


def test_a_previous_owners_grants_count_until_their_nodes_have_reported() -> None:
    shares = TenantShares()
    assert shares.max_unreported == 1.0
    current = {"a": 0.6, "b": 0.3}
    assert shares.autonomous_fraction(()) == 1.0
    _grant(shares, current, "a", 10.0, 1.0)
    assert current["a"] <= 0.6
    assert shares.autonomous_fraction(()) == pytest.approx(0.4)
    assert shares.autonomous_fraction(("a",)) == pytest.approx(1.0)
    _grant(shares, current, "b", 10.0, 2.0)
    assert shares.autonomous_fraction(()) == pytest.approx(0.1)
    shares.max_unreported = 0.0
    assert shares.autonomous_fraction(()) == 0.0


def test_a_share_is_granted_to_others_only_after_it_has_expired_at_its_node(shares: TenantShares) -> None:
    current = {"stopped": 0.0, "running": 0.0}
    _grant(shares, current, "stopped", 100.0, 0.0)
    assert current["stopped"] > 0.8  # of two nodes, three times an even split is more than all
    for now in range(0, int(SHARE_LIFETIME_MS), 500):
        _grant(shares, current, "running", 100.0, float(now))
        assert current["running"] <= 1.0 - current["stopped"] + 1e-9
    shares.expire(SHARE_ACCOUNTING_MS + 1.0)
    _grant(shares, current, "running", 100.0, SHARE_ACCOUNTING_MS + 1.0)
    assert current["running"] > 0.8


def test_a_share_is_at_most_a_few_times_an_even_split(shares: TenantShares) -> None:
    current = dict.fromkeys("abcdefghij", 0.0)
    _grant(shares, current, "a", 100.0, 0.0)
    assert current["a"] == pytest.approx(MAX_SHARE_MULTIPLE / 10.0)
