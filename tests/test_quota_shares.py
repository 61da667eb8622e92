"""Tests of standing shares: they follow usage and never add up to more than the tenant's rate."""

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
    """Shares without grants of a previous owner."""
    shares = TenantShares()
    shares.max_unreported = 0.0
    return shares


def _report_and_grant(
    shares: TenantShares, current_shares: dict[str, float], node: str, spent: float, now_ms: float
) -> None:
    """Report a node's share to the owner, and store the share that the owner grants."""
    shares.on_report(node, current_shares[node], False, now_ms)
    current_shares[node] = shares.grant(node, spent, len(current_shares), now_ms)


@pytest.mark.parametrize("seed", range(5))
def test_shares_follow_usage_and_sum_to_at_most_one(shares: TenantShares, seed: int) -> None:
    rng = random.Random(seed)
    current_shares = dict.fromkeys("abcdef", 0.0)
    busy_node = "a"
    for step in range(600):
        if step % 200 == 0:
            busy_node = rng.choice("abcdef")
        node = busy_node if rng.random() < 0.8 else rng.choice("abcdef")
        _report_and_grant(shares, current_shares, node, rng.uniform(1.0, 100.0), 50.0 * step)
        assert sum(current_shares.values()) <= 1.0 + 1e-9
    assert current_shares[busy_node] == max(current_shares.values())


def test_shares_of_a_previous_owner_count_until_their_nodes_report() -> None:
    shares = TenantShares()
    assert shares.max_unreported == 1.0
    current_shares = {"a": 0.6, "b": 0.3}
    assert shares.autonomous_fraction(()) == 1.0
    _report_and_grant(shares, current_shares, "a", 10.0, 1.0)
    assert current_shares["a"] <= 0.6
    assert shares.autonomous_fraction(()) == pytest.approx(0.4)
    assert shares.autonomous_fraction(("a",)) == pytest.approx(1.0)
    _report_and_grant(shares, current_shares, "b", 10.0, 2.0)
    assert shares.autonomous_fraction(()) == pytest.approx(0.1)
    shares.max_unreported = 0.0
    assert shares.autonomous_fraction(()) == 0.0


def test_share_is_reassigned_only_after_it_has_expired_at_its_node(shares: TenantShares) -> None:
    current_shares = {"stopped": 0.0, "running": 0.0}
    _report_and_grant(shares, current_shares, "stopped", 100.0, 0.0)
    assert current_shares["stopped"] > 0.8  # with two nodes, three times an even split exceeds the whole rate
    for now in range(0, int(SHARE_LIFETIME_MS), 500):
        _report_and_grant(shares, current_shares, "running", 100.0, float(now))
        assert current_shares["running"] <= 1.0 - current_shares["stopped"] + 1e-9
    shares.expire(SHARE_ACCOUNTING_MS + 1.0)
    _report_and_grant(shares, current_shares, "running", 100.0, SHARE_ACCOUNTING_MS + 1.0)
    assert current_shares["running"] > 0.8


def test_share_is_capped_at_a_multiple_of_an_even_split(shares: TenantShares) -> None:
    current_shares = dict.fromkeys("abcdefghij", 0.0)
    _report_and_grant(shares, current_shares, "a", 100.0, 0.0)
    assert current_shares["a"] == pytest.approx(MAX_SHARE_MULTIPLE / 10.0)
