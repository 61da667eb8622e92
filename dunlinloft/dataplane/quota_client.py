"""The client side of tenants' quotas: charges requests at the quota's owner or to this node's reserve."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from collections.abc import Callable

from msgspec import Struct

from dunlinloft.coordination.quota.bounds import QuotaBounds
from dunlinloft.coordination.quota.ownership import quota_owner_address
from dunlinloft.coordination.quota.reserves import NodeReserves
from dunlinloft.coordination.stream import QuotaGrant, QuotaRequest
from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.control_streams import ControlStreams
from dunlinloft.dataplane.quota_charge import OWNER_TIMEOUT_S, Granted, OverQuota, QuotaCharge
from dunlinloft.transport.clock import now_ms

OWNER_SUSPENSION_MS = 250.0  # how long an owner gets no requests after a timeout
MAX_DENIAL_CACHE_MS = 60.0  # how long a denial applies to further requests that are no smaller
# Bounds of the jittered interval between two charges of a request that is retried at this node.
MIN_RETRY_INTERVAL_MS = 20.0
MAX_RETRY_INTERVAL_MS = 150.0
MIN_RETRY_JITTER = 0.75
MAX_RETRY_JITTER = 1.25


class _Denial(Struct, frozen=True):
    """An owner's recent denial; it applies to requests of at least this amount."""

    until_ms: float
    amount: float
    scarce: bool


class _Unanswered(enum.Enum):
    """The owner has not responded, and the reserve was not charged instead."""

    UNANSWERED = "unanswered"


class QuotaClient:
    """Charges requests to tenants' quotas; used by the frontend, gets grants from `NodeState`.

    Parameters
    ----------
    clock
        The monotonic clock, in milliseconds.
    """

    def __init__(
        self,
        streams: ControlStreams,
        bounds: QuotaBounds,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self._clock = clock
        self._streams = streams
        self._reserves = NodeReserves(bounds)
        self._denials: dict[str, _Denial] = {}  # by tenant
        self._pending: dict[int, asyncio.Future[QuotaGrant]] = {}  # by request id
        self._request_ids = itertools.count(1)
        self._suspended_until_ms: dict[str, float] = {}  # by owner

    def owner_responds(self, owner: str, now_ms: float) -> bool:
        """Whether an owner responds to this node."""
        return self._reserves.receives_replies(owner, now_ms)

    def shares(self, now_ms: float) -> dict[str, float]:
        """This node's standing shares of tenants' rates, by tenant."""
        return self._reserves.shares(now_ms)

    def reserves(self) -> dict[str, float]:
        """Amounts that this node drew from owners and has not spent, by tenant."""
        return self._reserves.reserves()

    def on_grant(self, message: QuotaGrant) -> None:
        """Handle an owner's response; a late one is dropped, although its amount is charged.

        The amount must not be added to the reserve: the owner has not counted it as drawn, and its bucket may
        refill by the same amount.
        """
        future = self._pending.pop(message.request_id, None)
        if future is not None and not future.done():
            future.set_result(message)

    async def charge(self, charge: QuotaCharge) -> Granted | OverQuota:
        """Charge a request, with retries for up to the charge's retry duration."""
        deadline_ms = self._clock() + charge.retry_duration_ms
        while True:
            result = await self._charge_once(charge)
            if isinstance(result, Granted) or result.final:
                return result
            interval_ms = min(MAX_RETRY_INTERVAL_MS, max(MIN_RETRY_INTERVAL_MS, result.wait_ms))
            wait_ms = interval_ms * random.uniform(MIN_RETRY_JITTER, MAX_RETRY_JITTER)
            if self._clock() + wait_ms >= deadline_ms:
                return result
            await asyncio.sleep(wait_ms / 1_000.0)

    async def _charge_once(self, charge: QuotaCharge) -> Granted | OverQuota:
        tenant = charge.tenant
        denial = self._denials.get(tenant)
        if denial is not None and self._clock() < denial.until_ms and charge.amount >= denial.amount:
            return OverQuota(denial.until_ms - self._clock(), Cause.QUOTA_RECENT, denial.scarce)
        view = self._streams.view
        owner = None if view is None else quota_owner_address(tenant, view.chain)
        requested_ms = self._clock()
        response = await self._request(owner, charge)
        if isinstance(response, Granted):
            return response
        if (
            owner is None
            or isinstance(response, _Unanswered)
            or not response.is_owner
            or not self._is_owner(owner, tenant)
        ):
            return self._charge_reserve(charge)
        self._reserves.on_owner_reply(owner, tenant)
        self._reserves.on_grant(
            tenant, charge.limit, response.reserve, response.share, requested_ms, self._clock()
        )
        if response.amount < charge.amount:
            if not charge.is_retry:  # an amount denied to a retry may be available to others
                until_ms = self._clock() + min(response.wait_ms, MAX_DENIAL_CACHE_MS)
                self._denials[tenant] = _Denial(until_ms, charge.amount, response.scarce)
            return OverQuota(response.wait_ms, Cause.QUOTA_OWNER, response.scarce)
        return Granted()

    def _charge_reserve(self, charge: QuotaCharge) -> Granted | OverQuota:
        """Charge this node's reserve without the owner."""
        wait_ms = self._reserves.spend_without_owner(
            charge.tenant, charge.limit, charge.amount, self._clock()
        )
        return OverQuota(wait_ms, Cause.QUOTA_ALONE) if wait_ms else Granted()

    def _is_owner(self, address: str, tenant: str) -> bool:
        """Whether the replica that responded is still the owner.

        If not, this node has already reported its shares and reserves to the next owner.
        """
        view = self._streams.view
        return view is not None and quota_owner_address(tenant, view.chain) == address

    async def _request(self, owner: str | None, charge: QuotaCharge) -> QuotaGrant | Granted | _Unanswered:
        """The owner's response, or `Granted` if the reserve was charged because the owner responded late."""
        if owner is None or self._clock() < self._suspended_until_ms.get(owner, 0.0):
            return _Unanswered.UNANSWERED
        request_id = next(self._request_ids)
        requested_ms = self._clock()
        future: asyncio.Future[QuotaGrant] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            if not self._streams.send(owner, self._message(request_id, charge)):
                self._reserves.on_owner_unavailable(owner, charge.tenant, requested_ms)
                return _Unanswered.UNANSWERED
            response = await self._await_response(owner, charge, future, requested_ms)
        finally:
            self._pending.pop(request_id, None)
        if isinstance(response, QuotaGrant) and not response.is_owner:
            self._reserves.on_owner_unavailable(owner, charge.tenant, requested_ms)
        return response

    def _message(self, request_id: int, charge: QuotaCharge) -> QuotaRequest:
        tenant = charge.tenant
        now = self._clock()
        reserve = self._reserves.wanted_reserve(tenant, charge.limit, charge.amount, now)
        share = self._reserves.current_share(tenant, now)
        autonomous = self._reserves.autonomous(tenant, now)
        return QuotaRequest(request_id, tenant, charge.amount, reserve, share, autonomous, charge.is_retry)

    async def _await_response(
        self, owner: str, charge: QuotaCharge, future: asyncio.Future[QuotaGrant], requested_ms: float
    ) -> QuotaGrant | Granted | _Unanswered:
        await asyncio.wait((future,), timeout=OWNER_TIMEOUT_S)
        if future.done():
            return future.result()
        self._reserves.on_owner_unavailable(owner, charge.tenant, requested_ms)
        result = self._charge_reserve(charge)
        if isinstance(result, Granted):
            return result
        if self._streams.alive(owner) and self._reserves.replied_recently(owner, self._clock()):
            # The owner is alive: waiting for its late response is better than a refusal.
            await asyncio.wait((future,), timeout=charge.late_response_timeout_ms / 1_000.0 - OWNER_TIMEOUT_S)
            if future.done():
                return future.result()
        self._suspended_until_ms[owner] = self._clock() + OWNER_SUSPENSION_MS
        return _Unanswered.UNANSWERED
