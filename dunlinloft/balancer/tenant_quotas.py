"""Tenant quotas: a token bucket for this replica's share of each tenant's quota."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.token_bucket import TokenBucket

QUOTA_BURST_MS = 1_000.0  # the burst size is the quota of this time


@dataclass(slots=True)
class QuotaCounts:
    """Number of a tenant's requests within and over its quota."""

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
        Request counts of the tenants that have a quota and have sent requests.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._shares: dict[str, float] = {}  # requests per second; empty unless shared by demand
        self._quotas: dict[str | None, _Quota] = {}
        self.counts: dict[str | None, QuotaCounts] = {}
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new quotas and keep the buckets' tokens; tenants without a share are divided equally."""
        self._settings = settings
        quotas: dict[str | None, _Quota] = {}
        for tenant in settings.tenants:
            if tenant.quota_per_s:
                equal_share = tenant.quota_per_s / settings.replicas
                previous = self._quotas.get(tenant.name)
                bucket = TokenBucket(math.inf, 0.0) if previous is None else previous.bucket
                quotas[tenant.name] = _Quota(self._shares.get(tenant.name, equal_share) / 1000.0, bucket)
        self._quotas = quotas

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set this replica's shares, in requests per second."""
        self._shares = dict(shares)
        self.reconfigure(self._settings)

    def take(self, tenant: str | None, now_ms: float) -> bool:
        """Count a request of a tenant and return whether it exceeds the tenant's quota."""
        quota = self._quotas.get(tenant)
        if quota is None:
            return False
        over_quota = not quota.bucket.take(quota.per_ms, max(1.0, QUOTA_BURST_MS * quota.per_ms), now_ms)
        counts = self.counts.setdefault(tenant, QuotaCounts())
        if over_quota:
            counts.over += 1
        else:
            counts.within += 1
        return over_quota
