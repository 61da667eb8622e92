"""Which requests exceed their tenant's quota: a token bucket for this replica's share of each."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.token_bucket import TokenBucket

QUOTA_BURST_MS = 1_000.0  # of its quota is what a tenant may send at once


@dataclass(slots=True)
class QuotaCounts:
    """A tenant's requests within its quota, and over it."""

    within: int = 0
    over: int = 0


@dataclass(slots=True)
class _Quota:
    per_ms: float
    bucket: TokenBucket


class TenantQuotas:
    """This replica's shares of the tenants' quotas. Owned by `Balancer`.

    Attributes
    ----------
    counts
        Requests of each tenant that has a quota and has sent any.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._shares: dict[str, float] = {}  # requests a second, where replicas share quotas by demand
        self._quotas: dict[str | None, _Quota] = {}
        self.counts: dict[str | None, QuotaCounts] = {}
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Take new quotas; what is left in the buckets stays. A tenant without a share has an even one."""
        self._settings = settings
        quotas: dict[str | None, _Quota] = {}
        for tenant in settings.tenants:
            if tenant.quota_per_s:
                even = tenant.quota_per_s / settings.replicas
                old = self._quotas.get(tenant.name)
                bucket = TokenBucket(math.inf, 0.0) if old is None else old.bucket
                quotas[tenant.name] = _Quota(self._shares.get(tenant.name, even) / 1000.0, bucket)
        self._quotas = quotas

    def set_shares(self, shares: dict[str, float]) -> None:
        """Take this replica's shares, in requests a second."""
        self._shares = dict(shares)
        self.reconfigure(self._settings)

    def take(self, tenant: str | None, now_ms: float) -> bool:
        """Count a request of a tenant; whether it exceeds the tenant's quota."""
        quota = self._quotas.get(tenant)
        if quota is None:
            return False
        over = not quota.bucket.take(quota.per_ms, max(1.0, QUOTA_BURST_MS * quota.per_ms), now_ms)
        counts = self.counts.setdefault(tenant, QuotaCounts())
        if over:
            counts.over += 1
        else:
            counts.within += 1
        return over
