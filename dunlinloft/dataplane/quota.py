"""Tenants' quotas at a node: each request is paid for at the owner; without it, from what was used before."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.quotas import owner_of
from dunlinloft.coordination.stream import QuotaGranted, Replicas, TakeQuota
from nickelbridge.averages import Rate

ASK_S = 0.03  # the owner's answer is waited for so long
SILENT_MS = 250.0  # an owner that did not answer isn't waited for during so long
USED_MS = 4_000.0  # time constant of what this node has used
ALONE_MS = 2_500.0  # out of the owner's reach, a node goes on at its own rate for so long,
ALONE_SHARE = 0.1  # and then at this share of the limit, divided among all nodes;
FRESH_MS = 1_000.0  # one that has only just started goes on so long at its even part of the limit
ALONE_SECONDS = 0.2  # of its own rate that it may use at once when it loses the owner,
TOLERANCE_SHARE = 0.5  # and of what limits may be passed by, divided among all nodes
DENY_MOST_MS = 60.0  # so long a refusal of the owner stands for further requests


@dataclass(frozen=True, slots=True)
class Granted:
    """The request is within the quota."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """It isn't; ask again after the wait."""

    wait_ms: float


class _Tenant:
    """What is known of one tenant's quota here."""

    def __init__(self) -> None:
        self.used = Rate(USED_MS)  # tokens a second
        self.denied_until_ms = 0.0
        self.denied_amount = 0.0  # what was refused then; less than that is asked for
        self.alone_since_ms: float | None = None
        self.saved = 0.0  # tokens that may be used without the owner
        self.saved_ms = 0.0


class NodeQuotas:
    """Pays for requests."""

    def __init__(
        self,
        replicas: Callable[[], Replicas | None],
        send: Callable[[str, TakeQuota], bool],
        tolerance: float,
    ) -> None:
        self._replicas = replicas
        self._send = send
        self._tolerance = tolerance
        self._tenants: dict[str, _Tenant] = {}
        self._waiting: dict[int, asyncio.Future[QuotaGranted]] = {}
        self._numbers = itertools.count(1)
        self._silent_until_ms: dict[str, float] = {}  # by owner

    def on_granted(self, message: QuotaGranted) -> None:
        """An owner's answer."""
        future = self._waiting.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def pay(self, tenant: str, amount: float, rate_per_s: float, now_ms: float) -> Granted | OverQuota:
        """Pay for a request."""
        known = self._tenants.get(tenant)
        if known is None:
            known = self._tenants[tenant] = _Tenant()
        if now_ms < known.denied_until_ms and amount >= known.denied_amount:
            return OverQuota(known.denied_until_ms - now_ms)
        answer = await self._ask(tenant, amount, now_ms)
        if answer is None or not answer.owner:
            return self._pay_alone(known, amount, rate_per_s, now_ms)
        known.alone_since_ms = None
        if answer.amount < amount:
            known.denied_until_ms = now_ms + min(answer.wait_ms, DENY_MOST_MS)
            known.denied_amount = amount
            return OverQuota(answer.wait_ms)
        known.used.count(amount, now_ms)
        return Granted()

    async def _ask(self, tenant: str, amount: float, now_ms: float) -> QuotaGranted | None:
        replicas = self._replicas()
        owner = None if replicas is None else owner_of(tenant, replicas.chain)
        if owner is None or now_ms < self._silent_until_ms.get(owner, 0.0):
            return None
        number = next(self._numbers)
        future: asyncio.Future[QuotaGranted] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            if not self._send(owner, TakeQuota(number, tenant, amount)):
                return None
            async with asyncio.timeout(ASK_S):
                return await future
        except TimeoutError:
            self._silent_until_ms[owner] = now_ms + 1_000.0 * ASK_S + SILENT_MS
            return None
        finally:
            self._waiting.pop(number, None)

    def _pay_alone(
        self, known: _Tenant, amount: float, rate_per_s: float, now_ms: float
    ) -> Granted | OverQuota:
        """What nodes used before adds up to no more than the limit, so each may go on so for a while."""
        replicas = self._replicas()
        nodes = 1 if replicas is None else replicas.nodes
        if known.alone_since_ms is None:
            known.alone_since_ms = known.saved_ms = now_ms
            own = known.used.per_s() if known.used.events else rate_per_s / nodes
            known.saved = ALONE_SECONDS * own + TOLERANCE_SHARE * self._tolerance / nodes
        allowed = ALONE_SHARE * rate_per_s / nodes
        alone_ms = now_ms - known.alone_since_ms
        if known.used.events and alone_ms <= ALONE_MS:
            allowed = max(allowed, known.used.per_s())
        elif not known.used.events and alone_ms <= FRESH_MS:
            allowed = rate_per_s / nodes
        passed_s, known.saved_ms = (now_ms - known.saved_ms) / 1_000.0, now_ms
        known.saved = min(known.saved + allowed * passed_s, max(allowed, amount))
        if known.saved <= 0.0:
            return OverQuota(1_000.0 * -known.saved / allowed if allowed else 1_000.0)
        known.saved -= amount
        return Granted()
