"""Quotas over all nodes: what owners grant adds up to no more than a window leaves open."""

from __future__ import annotations

import asyncio
import random

import pytest
from msgspec import Struct

from dunlinloft.coordination.quotas import HANDOVER_MS, QuotaOwner, owner_of
from dunlinloft.coordination.stream import QuotaGranted, Replicas, TakeQuota
from dunlinloft.dataplane import quota as node_quotas
from dunlinloft.dataplane.quota import Granted, NodeQuotas, OverQuota

RATE, BURST = 100_000.0, 100_000.0
WINDOW_MS = 8_000.0
TOLERANCE = 72_000.0
CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


def _most_in_window(taken: list[tuple[float, float]]) -> float:
    """The most taken in any window."""
    most = 0.0
    for start, _ in taken:
        most = max(most, sum(amount for at, amount in taken if start <= at < start + WINDOW_MS))
    return most


ALLOWED = (RATE * WINDOW_MS / 1_000.0 + BURST) * 1.1 + TOLERANCE


def _owner(address: str, now: float = 0.0) -> QuotaOwner:
    owner = QuotaOwner(address, now)
    owner.set_limits({"tenant": (RATE, BURST)})
    owner.set_chain(CHAIN, now)
    return owner


def test_an_owner_grants_no_more_than_a_window_allows() -> None:
    address = owner_of("tenant", CHAIN)
    assert address is not None
    owner = _owner(address)
    rng = random.Random(1)
    taken = []
    now = 0.0
    while now < 30_000.0:
        now += rng.uniform(0.0, 40.0)
        amount = rng.uniform(100.0, 30_000.0)
        if owner.take("tenant", amount, True, now) == 0.0:
            taken.append((now, amount))
    assert _most_in_window(taken) <= ALLOWED
    assert sum(amount for _, amount in taken) >= 0.95 * RATE * 30.0


def test_what_is_under_the_limit_is_granted() -> None:
    address = owner_of("tenant", CHAIN)
    assert address is not None
    owner = _owner(address)
    rng = random.Random(2)
    now, refused = 0.0, 0
    for _ in range(1_000):
        now += rng.expovariate(1.0 / 100.0)
        refused += owner.take("tenant", rng.uniform(2_000.0, 13_000.0), True, now) != 0.0
    assert refused <= 10


def test_only_the_owner_grants_and_only_with_a_lease() -> None:
    for address in CHAIN:
        owner = _owner(address)
        granted = owner.take("tenant", 100.0, True, 0.0)
        assert (granted == 0.0) == (address == owner_of("tenant", CHAIN))
        assert owner.take("tenant", 100.0, False, 0.0) is None
        assert owner.take("nobody", 100.0, True, 0.0) is None


def test_a_new_owner_waits_until_the_old_one_can_grant_no_more() -> None:
    address = owner_of("tenant", CHAIN)
    left = tuple(a for a in CHAIN if a != address)
    successor = owner_of("tenant", left)
    assert successor is not None
    owner = _owner(successor)
    owner.set_chain(left, 1_000.0)
    assert owner.take("tenant", 100.0, True, 1_000.0 + HANDOVER_MS - 1.0) is None
    assert owner.take("tenant", 100.0, True, 1_000.0 + HANDOVER_MS) == 0.0


def test_an_owner_that_began_alone_starts_with_little() -> None:
    address = owner_of("tenant", CHAIN)
    assert address is not None
    for uptime_ms, granted in ((500.0, 12), (60_000.0, 5)):
        owner = _owner(address)
        owner.node_seen(uptime_ms, 500.0)
        assert sum(owner.take("tenant", 10_000.0, True, 500.0) == 0.0 for _ in range(20)) == granted


def test_a_node_that_ran_before_takes_back_what_a_common_start_would_grant() -> None:
    address = owner_of("tenant", CHAIN)
    assert address is not None
    owner = _owner(address)
    owner.node_seen(100.0, 500.0)
    assert owner.take("tenant", 10_000.0, True, 500.0) == 0.0
    owner.node_seen(60_000.0, 600.0)
    assert sum(owner.take("tenant", 10_000.0, True, 600.0) == 0.0 for _ in range(20)) == 5


def test_a_lower_limit_takes_saved_tokens_away() -> None:
    address = owner_of("tenant", CHAIN)
    assert address is not None
    owner = _owner(address)
    assert owner.take("tenant", 10.0, True, 0.0) == 0.0
    owner.set_limits({"tenant": (10.0, 10.0)})
    assert owner.take("tenant", 10_000.0, True, 100_000.0) == 0.0  # larger than all: with a full bucket
    assert owner.take("tenant", 10.0, True, 100_100.0)


class _Fleet:
    """Nodes and one owner, in virtual time; the owner may be out of reach."""

    def __init__(self, nodes: int) -> None:
        address = owner_of("tenant", CHAIN)
        assert address is not None
        self.owner = _owner(address)
        self.reachable = True
        self.now = 0.0
        replicas = Replicas(1, CHAIN, CHAIN, nodes)
        self.nodes = [NodeQuotas(lambda: replicas, self._sender(n), TOLERANCE) for n in range(nodes)]

    def _sender(self, number: int):  # type: ignore[no-untyped-def]
        def send(address: str, message: Struct) -> bool:
            assert isinstance(message, TakeQuota)
            if not self.reachable:
                return False
            wait_ms = self.owner.take(message.tenant, message.amount, True, self.now)
            assert wait_ms is not None
            granted = QuotaGranted(message.number, "tenant", 0.0 if wait_ms else message.amount, wait_ms)
            self.nodes[number].on_granted(granted)
            return True

        return send


@pytest.mark.parametrize("seed", range(6))
def test_nodes_without_their_owner_stay_within_what_a_window_allows(seed: int) -> None:
    async def play() -> tuple[list[tuple[float, float]], int]:
        fleet = _Fleet(10)
        rng = random.Random(seed)
        taken, granted_alone = [], 0
        gone_ms = rng.uniform(6_000.0, 12_000.0)
        while fleet.now < 25_000.0:
            fleet.now += rng.expovariate(1.0 / 25.0)
            fleet.reachable = not gone_ms <= fleet.now < gone_ms + 1_200.0
            amount = rng.uniform(1_000.0, 16_000.0)
            node = rng.choice(fleet.nodes)
            paid = await node.pay("tenant", amount, RATE, fleet.now)
            if isinstance(paid, Granted):
                taken.append((fleet.now, amount))
                granted_alone += not fleet.reachable
            else:
                assert isinstance(paid, OverQuota)
                assert paid.wait_ms > 0.0
        return taken, granted_alone

    taken, granted_alone = asyncio.run(play())
    assert _most_in_window(taken) <= ALLOWED
    assert granted_alone > 0


def test_a_node_that_is_cut_off_for_long_falls_back_to_little() -> None:
    async def play() -> float:
        fleet = _Fleet(10)
        fleet.reachable = False
        total = 0.0
        while fleet.now < 30_000.0:
            fleet.now += 20.0
            paid = await fleet.nodes[0].pay("tenant", 5_000.0, RATE, fleet.now)
            if isinstance(paid, Granted) and fleet.now > 10_000.0:
                total += 5_000.0
        return total

    assert asyncio.run(play()) <= 20.0 * node_quotas.ALONE_SHARE * RATE / 10.0 + 10_000.0
