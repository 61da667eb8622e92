"""Tenants' quotas at a node: each request is paid for at the owner; without it, from the node's reserve."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from msgspec import Struct

from dunlinloft.coordination.quota_holder import QuotaHolder
from dunlinloft.coordination.quotas import QuotaBounds, QuotaLimit, owner_of
from dunlinloft.coordination.stream import QuotaGranted, Replicas, TakeQuota

ASK_S = 0.03  # the owner's answer is waited for so long
SILENT_MS = 250.0  # an owner that did not answer isn't waited for during so long
DENY_MOST_MS = 60.0  # so long a refusal of the owner stands for further requests


class Granted(Struct, frozen=True):
    """The request is within the quota."""


class OverQuota(Struct, frozen=True):
    """It isn't; ask again after the wait."""

    wait_ms: float


class _Denial(Struct, frozen=True):
    """What an owner refused a moment ago: less than that is asked for."""

    until_ms: float
    amount: float


class NodeQuotas:
    """Pays for requests."""

    def __init__(
        self,
        replicas: Callable[[], Replicas | None],
        send: Callable[[str, Struct], bool],
        bounds: QuotaBounds,
    ) -> None:
        self._replicas = replicas
        self._send = send
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

    def on_granted(self, message: QuotaGranted) -> None:
        """An owner's answer; one that comes too late was paid for nothing."""
        future = self._waiting.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def pay(self, tenant: str, amount: float, limit: QuotaLimit, now_ms: float) -> Granted | OverQuota:
        """Pay for a request."""
        denial = self._denials.get(tenant)
        if denial is not None and now_ms < denial.until_ms and amount >= denial.amount:
            return OverQuota(denial.until_ms - now_ms)
        replicas = self._replicas()
        owner = None if replicas is None else owner_of(tenant, replicas.chain)
        answer = await self._ask(owner, tenant, amount, limit, now_ms)
        if owner is None or answer is None or not answer.owner or not self._is_owner(owner, tenant):
            wait_ms = self._holder.spend_alone(tenant, limit, amount, now_ms)
            return OverQuota(wait_ms) if wait_ms else Granted()
        self._holder.answered(owner, tenant)
        self._holder.drawn(tenant, limit, answer.reserve, answer.share, now_ms, now_ms)
        if answer.amount < amount:
            self._denials[tenant] = _Denial(now_ms + min(answer.wait_ms, DENY_MOST_MS), amount)
            return OverQuota(answer.wait_ms)
        return Granted()

    def _is_owner(self, address: str, tenant: str) -> bool:
        """Whether who answered still is the owner: this node has told the next one what it holds."""
        replicas = self._replicas()
        return replicas is not None and owner_of(tenant, replicas.chain) == address

    async def _ask(
        self, owner: str | None, tenant: str, amount: float, limit: QuotaLimit, now_ms: float
    ) -> QuotaGranted | None:
        if owner is None or now_ms < self._silent_until_ms.get(owner, 0.0):
            return None
        number = next(self._numbers)
        future: asyncio.Future[QuotaGranted] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        answer = None
        try:
            reserve = self._holder.wanted(tenant, limit, now_ms)
            share, alone = self._holder.held(tenant, now_ms), self._holder.alone(tenant, now_ms)
            if self._send(owner, TakeQuota(number, tenant, amount, reserve, share, alone)):
                async with asyncio.timeout(ASK_S):
                    answer = await future
        except TimeoutError:
            self._silent_until_ms[owner] = now_ms + 1_000.0 * ASK_S + SILENT_MS
        finally:
            self._waiting.pop(number, None)
        if answer is None or not answer.owner:
            self._holder.unanswered(owner, tenant, now_ms)
        return answer
