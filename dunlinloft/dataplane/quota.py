"""Tenants' quotas at a node: each request is paid for at the owner; without it, from the node's reserve."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from dunlinloft.coordination.quota_holder import QuotaHolder
from dunlinloft.coordination.quotas import QuotaBounds, QuotaLimit, owner_of
from dunlinloft.coordination.stream import QuotaGranted, TakeQuota
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.streams import ControlStreams
from dunlinloft.transport.clock import now_ms

ASK_S = 0.03  # the owner's answer is waited for so long before the node's reserve is spent instead
ANSWER_SHARE = 0.5  # of the objective, that the answer of an owner who is there is waited for
SILENT_MS = 250.0  # an owner that did not answer in time isn't asked during so long
DENY_MOST_MS = 60.0  # so long a refusal of the owner stands for further requests
AGAIN_SHARE = 0.45  # of the time left, that a request whose client has no further try is asked for again,
AGAIN_TOTAL_MS = 1_000.0  # and no longer: clients give up a stream that says nothing for two seconds
AGAIN_LEAST_MS, AGAIN_MOST_MS = 20.0, 150.0  # between two such asks


class Granted(Struct, frozen=True):
    """The request is within the quota."""


class OverQuota(Struct, frozen=True):
    """It isn't; ask again after the wait."""

    wait_ms: float
    cause: Cause
    final: bool = False  # waiting here is of no use


class _Denial(Struct, frozen=True):
    """What an owner refused a moment ago: less than that is asked for."""

    until_ms: float
    amount: float
    scarce: bool


@dataclass(frozen=True, slots=True)
class Payment:
    """What a request costs, and how long it may wait to be paid for. Times in milliseconds."""

    tenant: str
    amount: float  # in what the tenant's quota counts
    limit: QuotaLimit
    answer_ms: float  # that an owner's answer is waited for, as long as the owner is there
    again_ms: float  # that it is tried again; 0 where its client does that
    returned: bool = False  # its client was refused before


def payment(
    tenant: str, amount: float, limit: QuotaLimit, aim_ms: float, waited_ms: float, left_ms: float
) -> Payment:
    """The payment for a request that its client has waited for, in earlier tries, for so long.

    A first try that can't be paid for is refused at once: its client comes back when it is told to, and is
    still in time. One that came back has no further try, so it waits here, for an owner and for its quota.
    Where the quota is scarce it is refused at once: what comes in next is better spent on one in time.
    """
    again_ms = min(AGAIN_TOTAL_MS, AGAIN_SHARE * left_ms) if waited_ms > 0.0 else 0.0
    answer_ms = max(1_000.0 * ASK_S, ANSWER_SHARE * aim_ms)
    return Payment(tenant, amount, limit, answer_ms, again_ms, waited_ms > 0.0)


class NodeQuotas:
    """Pays for requests."""

    def __init__(
        self,
        streams: ControlStreams,
        bounds: QuotaBounds,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        """`clock` is steady, in milliseconds."""
        self._clock = clock
        self._streams = streams
        self._holder = QuotaHolder(bounds)
        self._denials: dict[str, _Denial] = {}
        self._waiting: dict[int, asyncio.Future[QuotaGranted]] = {}
        self._numbers = itertools.count(1)
        self._silent_until_ms: dict[str, float] = {}  # by owner

    def hears(self, owner: str, now_ms: float) -> bool:
        """Whether an owner answers this node."""
        return self._holder.hears(owner, now_ms)

    def shares(self, now_ms: float) -> dict[str, float]:
        """The shares of tenants' rates that this node holds."""
        return self._holder.shares(now_ms)

    def reserves(self) -> dict[str, float]:
        """What this node drew from owners and has not spent."""
        return self._holder.reserves()

    def on_granted(self, message: QuotaGranted) -> None:
        """An owner's answer; one that comes too late was paid for nothing.

        It must not go to the reserve: the owner has not counted it as drawn, and holds as much again.
        """
        future = self._waiting.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def pay(self, payment: Payment) -> Granted | OverQuota:
        """Pay for a request."""
        ends_ms = self._clock() + payment.again_ms
        while True:
            paid = await self._pay_once(payment)
            if isinstance(paid, Granted) or paid.final:
                return paid
            wait_ms = min(AGAIN_MOST_MS, max(AGAIN_LEAST_MS, paid.wait_ms)) * random.uniform(0.75, 1.25)
            if self._clock() + wait_ms >= ends_ms:
                return paid
            await asyncio.sleep(wait_ms / 1_000.0)

    async def _pay_once(self, payment: Payment) -> Granted | OverQuota:
        tenant, amount, limit = payment.tenant, payment.amount, payment.limit
        denial = self._denials.get(tenant)
        if denial is not None and self._clock() < denial.until_ms and amount >= denial.amount:
            return OverQuota(denial.until_ms - self._clock(), Cause.QUOTA_RECENT, denial.scarce)
        replicas = self._streams.replicas
        owner = None if replicas is None else owner_of(tenant, replicas.chain)
        asked_ms = self._clock()
        answer = await self._answer(owner, payment)
        if isinstance(answer, Granted):
            return answer
        if owner is None or answer is None or not answer.owner or not self._is_owner(owner, tenant):
            return self._from_reserve(payment)
        self._holder.answered(owner, tenant)
        self._holder.drawn(tenant, limit, answer.reserve, answer.share, asked_ms, self._clock())
        if answer.amount < amount:
            if not payment.returned:  # what is refused to one that returned may be there for others
                until_ms = self._clock() + min(answer.wait_ms, DENY_MOST_MS)
                self._denials[tenant] = _Denial(until_ms, amount, answer.scarce)
            return OverQuota(answer.wait_ms, Cause.QUOTA_OWNER, answer.scarce)
        return Granted()

    def _from_reserve(self, payment: Payment) -> Granted | OverQuota:
        wait_ms = self._holder.spend_alone(payment.tenant, payment.limit, payment.amount, self._clock())
        return OverQuota(wait_ms, Cause.QUOTA_ALONE) if wait_ms else Granted()

    def _is_owner(self, address: str, tenant: str) -> bool:
        """Whether who answered still is the owner: this node has told the next one what it holds."""
        replicas = self._streams.replicas
        return replicas is not None and owner_of(tenant, replicas.chain) == address

    async def _answer(self, owner: str | None, payment: Payment) -> QuotaGranted | Granted | None:
        """The owner's answer; or that the reserve was spent instead, as it took long; None without either."""
        if owner is None or self._clock() < self._silent_until_ms.get(owner, 0.0):
            return None
        number = next(self._numbers)
        asked_ms = self._clock()
        future: asyncio.Future[QuotaGranted] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            if not self._streams.send(owner, self._take_quota(number, payment)):
                self._holder.unanswered(owner, payment.tenant, asked_ms)
                return None
            answer = await self._waited(owner, payment, future, asked_ms)
        finally:
            self._waiting.pop(number, None)
        if isinstance(answer, QuotaGranted) and not answer.owner:
            self._holder.unanswered(owner, payment.tenant, asked_ms)
        return answer

    def _take_quota(self, number: int, payment: Payment) -> TakeQuota:
        tenant, now = payment.tenant, self._clock()
        wanted = self._holder.wanted(tenant, payment.limit, payment.amount, now)
        held, alone = self._holder.held(tenant, now), self._holder.alone(tenant, now)
        return TakeQuota(number, tenant, payment.amount, wanted, held, alone, payment.returned)

    async def _waited(
        self, owner: str, payment: Payment, future: asyncio.Future[QuotaGranted], asked_ms: float
    ) -> QuotaGranted | Granted | None:
        await asyncio.wait((future,), timeout=ASK_S)
        if future.done():
            return future.result()
        self._holder.unanswered(owner, payment.tenant, asked_ms)
        spent = self._from_reserve(payment)
        if isinstance(spent, Granted):
            return spent
        if self._streams.alive(owner) and self._holder.answers(owner, self._clock()):
            # It is there: the answer is only late, and better than a refusal.
            await asyncio.wait((future,), timeout=payment.answer_ms / 1_000.0 - ASK_S)
            if future.done():
                return future.result()
        self._silent_until_ms[owner] = self._clock() + SILENT_MS
        return None
