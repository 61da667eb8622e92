"""Tests of quota takeovers: initial levels of new owners, and shares of nodes that they cannot reach."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.quota.bounds import BucketStart
from dunlinloft.coordination.quota.demand import QuotaDemand, QuotaHoldings
from dunlinloft.coordination.quota.node_counts import HISTORY_MS, NODE_DISCOVERY_MS, NodeCountHistory
from dunlinloft.coordination.quota.owner import QuotaOwner
from dunlinloft.coordination.quota.ownership import HANDOVER_WAIT_MS
from dunlinloft.coordination.quota.shares import MAX_SHARE_MULTIPLE, TenantShares
from tests.quotas import BOUNDS, CHAIN, LIMIT, decide, make_demand, make_owner, owner_address

WINDOW_MS = 1_000.0 * BOUNDS.window_s
CHAIN_WITHOUT_OWNER = tuple(address for address in CHAIN if address != owner_address())
SUCCESSOR = owner_address(CHAIN_WITHOUT_OWNER)


def _level_after_takeovers(chain_changes_ms: list[float]) -> float:
    """Return the initial level of the successor's bucket after chain changes; the last makes it the owner."""
    successor = make_owner(SUCCESSOR)
    epoch = 1
    for number, now in enumerate(chain_changes_ms):
        epoch += 1
        is_last = number == len(chain_changes_ms) - 1
        toward_successor = (len(chain_changes_ms) - 1 - number) % 2 == 0
        successor.set_chain(epoch, CHAIN_WITHOUT_OWNER if toward_successor else CHAIN, now)
        assert not is_last or toward_successor
    now = chain_changes_ms[-1] + HANDOVER_WAIT_MS
    successor.refill(True, now)
    return successor._buckets["tenant"].level


def test_first_new_owner_in_a_window_starts_with_the_initial_level() -> None:
    level = _level_after_takeovers([WINDOW_MS + 1_000.0])
    assert level == pytest.approx(BOUNDS.initial_level(LIMIT, BucketStart.AFTER_LEASE_TIMEOUT))


@pytest.mark.parametrize("gap_ms", [1_000.0, WINDOW_MS - 1.0])
def test_repeated_takeover_in_a_window_starts_at_zero(gap_ms: float) -> None:
    first_ms = WINDOW_MS + 1_000.0
    assert _level_after_takeovers([first_ms, first_ms + gap_ms, first_ms + 2.0 * gap_ms]) == 0.0


def test_takeovers_more_than_a_window_apart_start_with_a_level() -> None:
    first_ms = WINDOW_MS + 1_000.0
    gap_ms = WINDOW_MS + 1.0
    assert _level_after_takeovers([first_ms, first_ms + gap_ms, first_ms + 2.0 * gap_ms]) > 0.0


def test_new_process_in_a_running_fleet_starts_at_zero() -> None:
    """The new process does not know whether other owners started in the same window."""
    assert _level_after_takeovers([WINDOW_MS - HANDOVER_WAIT_MS - 1.0]) == 0.0


def test_restarted_fleet_starts_with_a_level_immediately() -> None:
    owner = make_owner(owner_address())
    owner.refill(True, 0.0)
    assert owner._buckets["tenant"].level == pytest.approx(
        BOUNDS.initial_level(LIMIT, BucketStart.FLEET_RESTART)
    )
    owner.on_node_subscribed(60_000.0, 100.0)
    assert owner._buckets["tenant"].level == 0.0, "a node was up before, so the fleet was not restarted"


# Node counts.


@pytest.mark.parametrize("seed", range(5))
def test_min_count_is_the_minimum_over_the_history(seed: int) -> None:
    rng = random.Random(seed)
    history = NodeCountHistory(0.0)
    counts: list[tuple[float, int]] = []
    now = 0.0
    for _ in range(400):
        now += rng.uniform(0.0, 300.0)
        count = rng.randint(1, 12)
        history.record(count, now)
        counts.append((now, count))
        if now < HISTORY_MS:
            assert history.min_count(now) == 1
            continue
        expected = min(count for at, count in counts if at >= now - HISTORY_MS)
        assert history.min_count(now) == expected


def test_new_process_has_not_discovered_all_nodes() -> None:
    history = NodeCountHistory(5_000.0)
    assert not history.has_discovered_nodes(5_000.0 + NODE_DISCOVERY_MS - 1.0)
    assert history.has_discovered_nodes(5_000.0 + NODE_DISCOVERY_MS)


def test_share_that_may_not_grow_is_capped_at_the_reported_share() -> None:
    shares = TenantShares()
    shares.max_unreported = 0.0
    shares.on_report("a", 0.2, False, 0.0)
    assert shares.grant("a", 100.0, 1, 0.0, may_grow=False) == pytest.approx(0.2)
    shares.on_report("b", 0.0, False, 0.0)
    assert shares.grant("b", 100.0, 1, 0.0, may_grow=False) == 0.0
    assert shares.grant("b", 100.0, 1, 0.0) > 0.0


class _Fleet:
    """Nodes that join while two owners learn of them at different times."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = HISTORY_MS + 1_000.0
        self.nodes: dict[str, float] = {}  # share by node name
        self.owner_nodes = NodeRegistry()  # learns of new nodes late
        self.successor_nodes = NodeRegistry()

    def join(self, name: str) -> None:
        """Start a node that only the successor knows at first."""
        self.nodes[name] = 0.0
        self.successor_nodes.on_message(name, True, self.now)

    def exchange_nodes(self) -> None:
        """Let both owners receive a message from every node."""
        for name in self.nodes:
            self.owner_nodes.on_message(name, True, self.now)
            self.successor_nodes.on_message(name, True, self.now)

    def spend(self, owner: QuotaOwner, name: str) -> None:
        """Let a node spend from the owner's quota and store the granted share."""
        self.owner_nodes.on_message(name, True, self.now)
        request = QuotaDemand(name, "tenant", 1_000.0, 0.0, self.nodes[name], False)
        self.nodes[name] = decide(owner, request, self.now).share


def _held_and_counted_share(seed: int) -> tuple[float, float]:
    """Return the share of a node that the successor cannot reach, and the share it counts for the node."""
    fleet = _Fleet(seed)
    owner = QuotaOwner(owner_address(), 0.0, BOUNDS, fleet.owner_nodes)
    successor = QuotaOwner(SUCCESSOR, 0.0, BOUNDS, fleet.successor_nodes)
    for each in (owner, successor):
        each.set_limits({"tenant": LIMIT})
        each.set_chain(1, CHAIN, 0.0)
    owner._fleet_restarted = successor._fleet_restarted = False
    for number in range(fleet.rng.randint(2, 5)):
        fleet.join(f"old-{number}")
    fleet.exchange_nodes()
    for name in fleet.nodes:
        owner.on_holdings(name, QuotaHoldings(1, {}, {}), fleet.now)
    for _ in range(40):
        fleet.now += 20.0
        owner.refill(True, fleet.now)
        successor.refill(True, fleet.now)
        busy = "old-0" if fleet.rng.random() < 0.9 else fleet.rng.choice(sorted(fleet.nodes))
        fleet.spend(owner, busy)
    for number in range(fleet.rng.randint(1, 12)):
        fleet.join(f"new-{number}")
    fleet.now += 500.0
    successor.refill(True, fleet.now)
    successor.set_chain(2, CHAIN_WITHOUT_OWNER, fleet.now)
    for name, share in fleet.nodes.items():
        if name != "old-0":
            successor.on_holdings(name, QuotaHoldings(2, {"tenant": share}, {}), fleet.now)
    fleet.now += HANDOVER_WAIT_MS
    fleet.exchange_nodes()
    successor.refill(True, fleet.now)
    bucket = successor._buckets["tenant"]
    return fleet.nodes["old-0"], bucket.shares.autonomous_fraction(())


@pytest.mark.parametrize("seed", range(12))
def test_share_of_an_unreachable_node_is_counted_while_the_fleet_grows(seed: int) -> None:
    held_share, counted_share = _held_and_counted_share(seed)
    assert held_share > 0.0
    assert counted_share >= held_share - 1e-9


def test_bound_from_the_current_node_count_is_too_small(monkeypatch: pytest.MonkeyPatch) -> None:
    """Injects the fault that the history prevents: a bound of 3/N with the current node count N."""
    monkeypatch.setattr(NodeCountHistory, "min_count", lambda self, _: self._counts[-1].nodes)
    results = [_held_and_counted_share(seed) for seed in range(12)]
    assert any(counted_share < held_share - 1e-9 for held_share, counted_share in results)


def test_unreported_bound_uses_the_minimum_node_count() -> None:
    owner = QuotaOwner(owner_address(), -HISTORY_MS, BOUNDS, NodeRegistry())
    for number in range(6):
        owner._nodes.on_message(f"node-{number}", True, 0.0)
    owner.set_limits({"tenant": LIMIT})
    owner.set_chain(1, CHAIN, 0.0)
    owner._fleet_restarted = False
    for number in range(5):
        owner.on_holdings(f"node-{number}", QuotaHoldings(1, {"tenant": 0.0}, {}), 0.0)
    owner.refill(True, 1.0)
    assert owner._buckets["tenant"].shares.max_unreported == pytest.approx(MAX_SHARE_MULTIPLE / 6.0)
    assert not isinstance(owner.handle_request(make_demand(1.0, node="node-0"), True, 2.0), str)
