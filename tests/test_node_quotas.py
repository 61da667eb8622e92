"""A node's asking for tenants' quotas: what it waits for, what it spends meanwhile, what it gives up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from msgspec import Struct

from dunlinloft.coordination.quota_holder import TELL_AFTER_MS, QuotaHolder
from dunlinloft.coordination.quotas import (
    HANDOVER_MS,
    NodeHoldings,
    QuotaAsk,
)
from dunlinloft.coordination.stream import QuotaGranted, Replicas, TakeQuota
from dunlinloft.dataplane.quota import AGAIN_TOTAL_MS, Granted, NodeQuotas, OverQuota, payment
from tests.quotas import BOUNDS, CHAIN, LIMIT, owner_address, owner_at
from tests.virtual_time import run_virtually


class _Asked:
    """A node's quotas before an owner that answers at once, or not at all."""

    def __init__(self) -> None:
        self.owner = owner_at(owner_address())
        self.reachable = True
        self.now = 0.0
        self.replicas = Replicas(1, CHAIN, CHAIN, 10)
        self.quotas = NodeQuotas(self, BOUNDS, lambda: self.now)

    def alive(self, _: str) -> bool:
        """Whether it is there."""
        return self.reachable

    def send(self, address: str, message: Struct) -> bool:
        assert isinstance(message, TakeQuota)
        if not self.reachable:
            return False
        ask = QuotaAsk("node", message.tenant, message.amount, message.reserve, message.share, message.alone)
        taken = self.owner.take(ask, True, self.now)
        assert taken is not None
        amount = 0.0 if taken.wait_ms else message.amount
        self.quotas.on_granted(
            QuotaGranted(message.number, "tenant", amount, taken.reserve, taken.share, taken.wait_ms)
        )
        return True

    async def pay(self, amount: float, now_ms: float) -> Granted | OverQuota:
        """Pay at a time."""
        self.now = now_ms
        return await self.quotas.pay(payment("tenant", amount, LIMIT, 200.0, 0.0, 2_000.0))


def test_a_node_tells_its_owner_that_it_spends_alone_and_that_no_longer() -> None:
    async def play() -> None:
        asked = _Asked()
        address = owner_address()
        for _ in range(2):  # the first tells its share, the second fills the reserve
            assert await asked.pay(100.0, 0.0) == Granted()
        assert asked.quotas.hears(address, 0.0)
        asked.reachable = False
        assert await asked.pay(100.0, 10.0) == Granted()
        assert asked.quotas.hears(address, 10.0)
        assert not asked.quotas.hears(address, 10.0 + TELL_AFTER_MS)
        asked.reachable = True
        assert await asked.pay(100.0, 500.0) == Granted()
        assert asked.quotas.hears(address, 500.0)

    asyncio.run(play())


class _Later:
    """An owner that answers after a while, in virtual time."""

    def __init__(self, replicas: Replicas | None, answer_ms: float, alive: bool = True) -> None:
        self.replicas = replicas
        self.answer_ms = answer_ms
        self.asked = 0
        self.granting = True
        self.scarce = False
        loop = asyncio.get_running_loop()
        self.clock: Callable[[], float] = lambda: 1_000.0 * loop.time()
        self.is_alive = alive
        self.quotas = NodeQuotas(self, BOUNDS, self.clock)

    def alive(self, _: str) -> bool:
        """Whether it is there."""
        return self.is_alive

    def send(self, address: str, message: Struct) -> bool:
        assert isinstance(message, TakeQuota)
        self.asked += 1
        amount = message.amount if self.granting else 0.0
        wait_ms = 0.0 if self.granting else 100.0
        answer = QuotaGranted(
            message.number, message.tenant, amount, message.reserve, 0.5, wait_ms, scarce=self.scarce
        )
        loop = asyncio.get_running_loop()
        loop.call_later(self.answer_ms / 1_000.0, self.quotas.on_granted, answer)
        return True

    async def pay(self, amount: float, waited_ms: float = 0.0) -> tuple[Granted | OverQuota, float]:
        """Pay with an objective of 200 ms; and how long that took."""
        began_ms = self.clock()
        paid = await self.quotas.pay(payment("tenant", amount, LIMIT, 200.0, waited_ms, 2_000.0))
        return paid, self.clock() - began_ms


def test_an_answer_that_is_late_is_waited_for_while_its_owner_is_there() -> None:
    async def play() -> None:
        later = _Later(Replicas(1, CHAIN, CHAIN, 72), 80.0)
        paid, took_ms = await later.pay(9_000.0)
        assert paid == Granted()
        assert took_ms == pytest.approx(80.0, abs=2.0)
        gone = _Later(Replicas(1, CHAIN, CHAIN, 72), 80.0, alive=False)
        paid, took_ms = await gone.pay(9_000.0)
        assert isinstance(paid, OverQuota)
        assert took_ms < 50.0, "its client is told to come back in a quarter of the objective"

    run_virtually(play())


def test_an_owner_that_answers_nobody_is_waited_for_a_moment_only() -> None:
    async def play() -> None:
        later = _Later(Replicas(1, CHAIN, CHAIN, 72), 10_000.0)
        first, took_first_ms = await later.pay(9_000.0)
        await asyncio.sleep(0.3)  # it isn't asked meanwhile
        second, took_second_ms = await later.pay(9_000.0)
        assert isinstance(first, OverQuota)
        assert isinstance(second, OverQuota)
        assert took_first_ms == pytest.approx(100.0, abs=5.0)
        assert took_second_ms == pytest.approx(30.0, abs=5.0), "a quarter of the objective is 50 ms"

    run_virtually(play())


def test_a_late_answer_adds_nothing_to_the_reserve() -> None:
    """The owner has not counted it as drawn: its bucket may hold as much again."""

    async def play() -> None:
        later = _Later(Replicas(1, CHAIN, CHAIN, 2), 1.0)
        for _ in range(2):  # the first tells its share, the second fills the reserve
            await later.pay(1_000.0)
        full = later.quotas.reserves()["tenant"]
        later.answer_ms = 80.0
        paid, took_ms = await later.pay(1_000.0)
        assert paid == Granted()
        assert took_ms < 50.0
        await asyncio.sleep(0.1)
        assert later.quotas.reserves()["tenant"] == full - 1_000.0

    run_virtually(play())


def test_a_client_that_leaves_while_its_quota_is_waited_for_leaves_nothing_behind() -> None:
    async def play() -> None:
        later = _Later(Replicas(1, CHAIN, CHAIN, 72), 80.0)
        paying = asyncio.create_task(later.pay(9_000.0))
        await asyncio.sleep(0.05)
        paying.cancel()
        await asyncio.wait((paying,))
        assert paying.cancelled()
        assert not later.quotas._waiting
        await asyncio.sleep(0.1)
        assert later.quotas.reserves() == {}

    run_virtually(play())


def test_a_request_that_came_back_waits_for_an_owner_and_a_first_try_does_not() -> None:
    async def play() -> None:
        later = _Later(None, 5.0)
        paid, took_ms = await later.pay(9_000.0)
        assert isinstance(paid, OverQuota)
        assert took_ms < 50.0
        asyncio.get_running_loop().call_later(0.4, setattr, later, "replicas", Replicas(1, CHAIN, CHAIN, 72))
        paid, took_ms = await later.pay(9_000.0, waited_ms=300.0)
        assert paid == Granted()
        assert 400.0 <= took_ms < 700.0

    run_virtually(play())


def test_a_long_deadline_is_not_waited_out() -> None:
    """Clients give a stream up after two seconds without a word, however long its deadline is."""
    assert payment("tenant", 1.0, LIMIT, 200.0, 300.0, 14_000.0).again_ms == AGAIN_TOTAL_MS
    assert payment("tenant", 1.0, LIMIT, 200.0, 300.0, 1_000.0).again_ms == pytest.approx(450.0)
    assert payment("tenant", 1.0, LIMIT, 200.0, 0.0, 14_000.0).again_ms == 0.0


def test_what_is_scarce_is_not_asked_for_again_and_what_is_only_short_is() -> None:
    async def play() -> None:
        for scarce in (True, False):
            later = _Later(Replicas(1, CHAIN, CHAIN, 72), 5.0)
            later.granting, later.scarce = False, scarce
            asyncio.get_running_loop().call_later(0.3, setattr, later, "granting", True)
            paid, took_ms = await later.pay(9_000.0, waited_ms=300.0)
            assert isinstance(paid, OverQuota if scarce else Granted)
            assert (took_ms < 10.0) == scarce

    run_virtually(play())


def test_no_reserve_is_asked_for_that_could_not_hold_a_request() -> None:
    holder = QuotaHolder(BOUNDS)
    holder.drawn("tenant", LIMIT, 0.0, 1.0 / 72.0, 0.0, 0.0)
    part = BOUNDS.reserve_most(LIMIT) / 72.0
    assert holder.wanted("tenant", LIMIT, 0.9 * part, 1.0) == pytest.approx(part)
    assert holder.wanted("tenant", LIMIT, 1.5 * part, 1.0) == pytest.approx(part), (
        "one that is larger is no matter"
    )
    for _ in range(10):
        wanted = holder.wanted("tenant", LIMIT, 1.5 * part, 1.0)
    assert wanted == 0.0
    assert holder.wanted("tenant", LIMIT, 1.0, 1.0) == 0.0, "nor is one that is smaller"


def test_what_is_in_no_reserve_is_in_the_bucket() -> None:
    owner = owner_at(owner_address())
    owner.settle(True, 0.0)
    bucket = owner._buckets["tenant"]
    whole = BOUNDS.bucket_least(LIMIT) + BOUNDS.reserve_most(LIMIT)
    assert bucket.most == whole
    bucket.level = bucket.most
    reserve = bucket.take_reserve(5_000.0)
    assert reserve == 5_000.0
    assert bucket.most == whole - reserve
    left = tuple(a for a in CHAIN if a != owner_address())
    heir = owner_at(owner_address(left))
    heir.set_chain(2, left, 1_000.0)
    heir.settle(True, 1_000.0 + HANDOVER_MS)
    assert heir._buckets["tenant"].most < whole, "its node has not told what it holds since"
    heir.holds("node", NodeHoldings(2, {}, {"tenant": reserve}), 1_800.0)
    heir.settle(True, 1_810.0)
    assert heir._buckets["tenant"].most == whole - reserve


def test_what_an_owner_refuses_is_told_with_a_wait() -> None:
    async def play() -> None:
        asked = _Asked()
        paid = await asked.pay(150_000.0, 0.0)
        assert isinstance(paid, OverQuota)
        assert paid.wait_ms > 0.0

    asyncio.run(play())
