"""A node's quota client: how long it waits for an owner, when it charges its reserve, and when it refuses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from msgspec import Struct

from dunlinloft.coordination.quota.demand import QuotaDecision, QuotaDemand
from dunlinloft.coordination.quota.reserves import UNANSWERED_REPORT_DELAY_MS
from dunlinloft.coordination.stream import ControlPlaneView, QuotaGrant, QuotaRequest
from dunlinloft.dataplane.quota_charge import MAX_RETRY_DURATION_MS, Granted, OverQuota, quota_charge
from dunlinloft.dataplane.quota_client import QuotaClient
from tests.quotas import BOUNDS, CHAIN, LIMIT, make_owner, owner_address
from tests.virtual_time import run_in_virtual_time

FEW_NODES = ControlPlaneView(1, CHAIN, CHAIN, 2)
MANY_NODES = ControlPlaneView(1, CHAIN, CHAIN, 72)


class _PromptOwner:
    """Control streams to an owner that responds at once or is unreachable."""

    def __init__(self) -> None:
        self.owner = make_owner(owner_address())
        self.reachable = True
        self.now = 0.0
        self.view = ControlPlaneView(1, CHAIN, CHAIN, 10)
        self.client = QuotaClient(self, BOUNDS, lambda: self.now)

    def alive(self, _: str) -> bool:
        """Whether the owner is reachable."""
        return self.reachable

    def send(self, address: str, message: Struct) -> bool:
        assert isinstance(message, QuotaRequest)
        if not self.reachable:
            return False
        demand = QuotaDemand(
            "node",
            message.tenant,
            message.amount,
            message.wanted_reserve,
            message.current_share,
            message.autonomous,
        )
        decision = self.owner.handle_request(demand, True, self.now)
        assert isinstance(decision, QuotaDecision)
        amount = 0.0 if decision.wait_ms else message.amount
        self.client.on_grant(
            QuotaGrant(
                message.request_id, "tenant", amount, decision.reserve, decision.share, decision.wait_ms
            )
        )
        return True

    async def charge(self, amount: float, now_ms: float) -> Granted | OverQuota:
        """Charge a first attempt at the given time."""
        self.now = now_ms
        return await self.client.charge(quota_charge("tenant", amount, LIMIT, 200.0, 0.0, 2_000.0))


def test_unreachable_owner_is_reported_until_it_responds_again() -> None:
    async def scenario() -> None:
        streams = _PromptOwner()
        address = owner_address()
        for _ in range(2):  # the first reports its share, the second fills the reserve
            assert await streams.charge(100.0, 0.0) == Granted()
        assert streams.client.owner_responds(address, 0.0)
        streams.reachable = False
        assert await streams.charge(100.0, 10.0) == Granted()
        assert streams.client.owner_responds(address, 10.0)
        assert not streams.client.owner_responds(address, 10.0 + UNANSWERED_REPORT_DELAY_MS)
        streams.reachable = True
        assert await streams.charge(100.0, 500.0) == Granted()
        assert streams.client.owner_responds(address, 500.0)

    asyncio.run(scenario())


class _SlowOwner:
    """Control streams to an owner that responds after a delay, in virtual time."""

    def __init__(self, view: ControlPlaneView | None, response_ms: float, alive: bool = True) -> None:
        self.view = view
        self.response_ms = response_ms
        self.requests = 0
        self.granting = True
        self.scarce = False
        loop = asyncio.get_running_loop()
        self.clock: Callable[[], float] = lambda: 1_000.0 * loop.time()
        self.is_alive = alive
        self.client = QuotaClient(self, BOUNDS, self.clock)

    def alive(self, _: str) -> bool:
        """Whether the owner's stream is up."""
        return self.is_alive

    def send(self, address: str, message: Struct) -> bool:
        assert isinstance(message, QuotaRequest)
        self.requests += 1
        amount = message.amount if self.granting else 0.0
        wait_ms = 0.0 if self.granting else 100.0
        response = QuotaGrant(
            message.request_id,
            message.tenant,
            amount,
            message.wanted_reserve,
            0.5,
            wait_ms,
            scarce=self.scarce,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(self.response_ms / 1_000.0, self.client.on_grant, response)
        return True

    async def charge(self, amount: float, waited_ms: float = 0.0) -> tuple[Granted | OverQuota, float]:
        """Charge with a latency target of 200 ms; returns the result and the elapsed time."""
        started_ms = self.clock()
        result = await self.client.charge(quota_charge("tenant", amount, LIMIT, 200.0, waited_ms, 2_000.0))
        return result, self.clock() - started_ms


def test_late_response_is_awaited_while_its_owner_is_alive() -> None:
    async def scenario() -> None:
        streams = _SlowOwner(MANY_NODES, 80.0)
        result, took_ms = await streams.charge(9_000.0)
        assert result == Granted()
        assert took_ms == pytest.approx(80.0, abs=2.0)
        dead = _SlowOwner(MANY_NODES, 80.0, alive=False)
        result, took_ms = await dead.charge(9_000.0)
        assert isinstance(result, OverQuota)
        assert took_ms < 50.0, "the refusal takes less than a quarter of the latency target"

    run_in_virtual_time(scenario())


def test_owner_that_never_responds_is_awaited_only_briefly() -> None:
    async def scenario() -> None:
        streams = _SlowOwner(MANY_NODES, 10_000.0)
        first, first_took_ms = await streams.charge(9_000.0)
        await asyncio.sleep(0.3)  # the suspension of the owner ends meanwhile
        second, second_took_ms = await streams.charge(9_000.0)
        assert isinstance(first, OverQuota)
        assert isinstance(second, OverQuota)
        assert first_took_ms == pytest.approx(100.0, abs=5.0)
        assert second_took_ms == pytest.approx(30.0, abs=5.0), "less than a quarter of the latency target"

    run_in_virtual_time(scenario())


def test_late_response_adds_nothing_to_the_reserve() -> None:
    """The owner has not counted the amount as drawn, so its bucket may hold the same amount again."""

    async def scenario() -> None:
        streams = _SlowOwner(FEW_NODES, 1.0)
        for _ in range(2):  # the first reports its share, the second fills the reserve
            await streams.charge(1_000.0)
        full = streams.client.reserves()["tenant"]
        streams.response_ms = 80.0
        result, took_ms = await streams.charge(1_000.0)
        assert result == Granted()
        assert took_ms < 50.0
        await asyncio.sleep(0.1)
        assert streams.client.reserves()["tenant"] == full - 1_000.0

    run_in_virtual_time(scenario())


def test_cancelled_charge_leaves_no_pending_request_and_no_reserve() -> None:
    async def scenario() -> None:
        streams = _SlowOwner(MANY_NODES, 80.0)
        charging = asyncio.create_task(streams.charge(9_000.0))
        await asyncio.sleep(0.05)
        charging.cancel()
        await asyncio.wait((charging,))
        assert charging.cancelled()
        assert not streams.client._pending
        await asyncio.sleep(0.1)
        assert streams.client.reserves() == {}

    run_in_virtual_time(scenario())


def test_retry_waits_for_an_owner_and_a_first_attempt_does_not() -> None:
    async def scenario() -> None:
        streams = _SlowOwner(None, 5.0)
        result, took_ms = await streams.charge(9_000.0)
        assert isinstance(result, OverQuota)
        assert took_ms < 50.0
        asyncio.get_running_loop().call_later(0.4, setattr, streams, "view", MANY_NODES)
        result, took_ms = await streams.charge(9_000.0, waited_ms=300.0)
        assert result == Granted()
        assert 400.0 <= took_ms < 700.0

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("waited_ms", "remaining_ms", "retry_duration_ms"),
    [(300.0, 14_000.0, MAX_RETRY_DURATION_MS), (300.0, 1_000.0, pytest.approx(450.0)), (0.0, 14_000.0, 0.0)],
)
def test_retry_duration_of_a_charge_is_limited_for_long_deadlines(
    waited_ms: float, remaining_ms: float, retry_duration_ms: float
) -> None:
    """Clients abandon a stream after two seconds without data, regardless of its deadline."""
    charge = quota_charge("tenant", 1.0, LIMIT, 200.0, waited_ms, remaining_ms)
    assert charge.retry_duration_ms == retry_duration_ms


@pytest.mark.parametrize("scarce", [True, False])
def test_denied_charge_is_retried_unless_the_quota_is_scarce(scarce: bool) -> None:
    async def scenario() -> None:
        streams = _SlowOwner(MANY_NODES, 5.0)
        streams.granting = False
        streams.scarce = scarce
        asyncio.get_running_loop().call_later(0.3, setattr, streams, "granting", True)
        result, took_ms = await streams.charge(9_000.0, waited_ms=300.0)
        assert isinstance(result, OverQuota if scarce else Granted)
        assert (took_ms < 10.0) == scarce

    run_in_virtual_time(scenario())


def test_denial_by_an_owner_states_a_wait() -> None:
    async def scenario() -> None:
        streams = _PromptOwner()
        result = await streams.charge(150_000.0, 0.0)
        assert isinstance(result, OverQuota)
        assert result.wait_ms > 0.0

    asyncio.run(scenario())
