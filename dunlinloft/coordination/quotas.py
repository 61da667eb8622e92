"""Tenants' quotas over all nodes: each tenant's is owned by one control plane, found by rendezvous hashing.

The owner grants only while a majority is known to be in its epoch, and a new owner waits until the old one
can't grant any more: the epoch is the fencing token.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fleet.rendezvous import rank

HANDOVER_MS = 750.0  # a new owner waits so long; the old one stops `LEASE_MS` after it was last confirmed
EXTRA_SECONDS = 0.2  # of the rate that may be saved up beside the burst: under what windows leave open
FIRST_SECONDS = 0.5  # of the rate that a new owner begins with, where nodes have been running all the while
TOGETHER_MS = 2_000.0  # a node that began no earlier than this before its owner began together with it


def owner_of(tenant: str, addresses: Sequence[str]) -> str | None:
    """The control plane that owns a tenant's quota."""
    return max(addresses, key=lambda address: rank(f"quota/{tenant}", address), default=None)


@dataclass(slots=True)
class QuotaBucket:
    """What is left of a tenant's quota."""

    rate_per_ms: float
    most: float
    level: float
    at_ms: float

    def settle(self, now_ms: float) -> None:
        """Add what has come since."""
        self.level = min(self.most, self.level + self.rate_per_ms * max(0.0, now_ms - self.at_ms))
        self.at_ms = max(self.at_ms, now_ms)

    def take(self, amount: float, now_ms: float) -> float:
        """Take an amount; the wait in ms until something is there again, 0 where it was taken."""
        self.settle(now_ms)
        needed = min(amount, self.most)  # a request larger than the whole needs a full bucket
        if self.level >= needed:
            self.level -= amount
            return 0.0
        return 1.0 + (needed - self.level) / self.rate_per_ms if self.rate_per_ms else 1_000.0


class QuotaOwner:
    """The quotas that one control plane owns."""

    def __init__(self, address: str, began_ms: float) -> None:
        self._address = address
        self._began_ms = began_ms
        self._all_began_anew = True  # owner and nodes: then nothing was used while they were down
        self._limits: dict[str, tuple[float, float]] = {}
        self._chain: tuple[str, ...] = ()
        self._buckets: dict[str, QuotaBucket] = {}
        self._may_from_ms: dict[str, float] = {}

    def node_seen(self, uptime_ms: float, now_ms: float) -> None:
        """A node subscribed. One that ran before this owner may have used its own rate meanwhile."""
        if now_ms - uptime_ms >= self._began_ms - TOGETHER_MS:
            return
        self._all_began_anew = False
        for tenant, bucket in self._buckets.items():
            bucket.settle(now_ms)
            bucket.level = min(bucket.level, FIRST_SECONDS * self._limits[tenant][0])

    def set_limits(self, limits: dict[str, tuple[float, float]]) -> None:
        """Rate a second and burst by tenant; 0 is no limit."""
        self._limits = limits
        for tenant in [name for name in self._buckets if name not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.rate_per_ms, bucket.most = self._sizes(tenant)
            bucket.level = min(bucket.level, bucket.most)

    def _sizes(self, tenant: str) -> tuple[float, float]:
        rate, burst = self._limits[tenant]
        return rate / 1_000.0, burst + EXTRA_SECONDS * rate

    def set_chain(self, chain: tuple[str, ...], now_ms: float) -> None:
        """The control planes among which quotas are sharded now; what comes over is waited for."""
        old, self._chain = self._chain, chain
        if not old:
            return  # a restart: in this epoch nobody but this replica could grant what is its own
        for tenant in self._limits:
            mine = owner_of(tenant, chain) == self._address
            was_mine = owner_of(tenant, old) == self._address
            if mine and not was_mine:
                self._all_began_anew = False
                self._may_from_ms[tenant] = now_ms + HANDOVER_MS
            if not mine:
                self._buckets.pop(tenant, None)

    def take(self, tenant: str, amount: float, leased: bool, now_ms: float) -> float | None:
        """Take from a quota: the wait in ms, 0 where taken; None where this isn't its owner now."""
        if tenant not in self._limits:
            return None
        if not leased or owner_of(tenant, self._chain) != self._address:
            return None
        if now_ms < self._may_from_ms.get(tenant, 0.0):
            return None
        bucket = self._buckets.get(tenant)
        if bucket is None:
            rate, most = self._sizes(tenant)
            level = most if self._all_began_anew else min(most, FIRST_SECONDS * 1_000.0 * rate)
            bucket = self._buckets[tenant] = QuotaBucket(rate, most, level, now_ms)
        return bucket.take(amount, now_ms)
