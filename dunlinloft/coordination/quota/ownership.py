"""Ownership of tenant quotas: which control plane owns a quota, and when a new owner may start to grant.

Rendezvous hashing over the chain determines the owner. Two owners must never grant at the same time, so a
replica that gains a quota waits until the previous owner's lease has expired, unless the previous owner
handed the quota over.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from dunlinloft.coordination.quota.bounds import BucketStart
from dunlinloft.fleet.rendezvous import rank

# Wait of a new owner after it has received the new chain. The previous owner stops granting `LEASE_MS`
# (600 ms, `failure_detector`) after a majority last confirmed its lease; the rest is a safety margin.
HANDOVER_WAIT_MS = 750.0


def quota_owner_address(tenant: str, addresses: Sequence[str]) -> str | None:
    """Return the address of the control plane that owns a tenant's quota; None if there are no addresses."""
    return max(addresses, key=lambda address: rank(f"quota/{tenant}", address), default=None)


@dataclass(frozen=True, slots=True)
class HandedOverLevel:
    """Bucket level that the previous owner handed over; it has granted nothing since.

    `epoch` is the epoch of the chain that moved the quota. The sender owned the quota in the epoch before.
    """

    epoch: int
    level: float


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """The effect of a new chain on the quotas of one replica.

    Attributes
    ----------
    lost
        Address of the current owner by tenant, for all quotas that this replica does not own; None if there
        is no owner.
    gained
        Tenants whose quotas this replica has gained; the wait before their first grant has started.
    first_chain
        Whether this is the first chain since the replica started: no other replica owned the gained quotas in
        this epoch.
    epoch_skipped
        Whether this replica missed an epoch. Another replica may have been the owner in it, so no bucket may
        be kept or handed over.
    """

    lost: dict[str, str | None]
    gained: tuple[str, ...]
    first_chain: bool
    epoch_skipped: bool


@dataclass(frozen=True, slots=True)
class TransferTimes:
    """Times in ms of the latest two transfers of a tenant's quota to another owner."""

    latest_ms: float
    previous_ms: float


@dataclass(frozen=True, slots=True)
class ReleasedQuotas:
    """Quotas that moved to another owner, with the remaining bucket levels to hand over to it."""

    new_owner: str  # address
    levels: dict[str, float] = field(default_factory=dict)  # by tenant


class QuotaOwnership:
    """The quotas that one replica owns, and the time from which it may grant each; used by `QuotaOwner`."""

    def __init__(self, address: str, lease_expired: Callable[[str, float], bool]) -> None:
        """Start without any quotas; the first chain assigns them.

        Parameters
        ----------
        address
            Address of this replica.
        lease_expired
            Returns whether a majority confirms that the lease of the owner at an address has expired at a
            time in ms.
        """
        self._address = address
        self._lease_expired = lease_expired
        self._epoch = 0
        self._chain: tuple[str, ...] = ()
        self._owned_since_epoch: dict[str, int] = {}  # by tenant
        self._previous_owner: dict[str, str] = {}  # by tenant: whose lease must expire; "" if unknown
        self._grants_from_ms: dict[str, float] = {}  # by tenant
        self._wait_ended_early: set[str] = set()  # tenants granted before the full handover wait had passed
        self._handed_over: dict[str, HandedOverLevel] = {}  # by tenant
        self._transfers: dict[str, TransferTimes] = {}  # by tenant

    def set_chain(
        self, epoch: int, chain: tuple[str, ...], tenants: Iterable[str], now_ms: float
    ) -> OwnershipChange | None:
        """Set the chain of an epoch and return the changes; None if the epoch is the current one."""
        if epoch == self._epoch:
            return None
        first_chain = not self._chain
        epoch_skipped = not first_chain and epoch != self._epoch + 1
        previous_chain = self._chain
        self._chain = chain
        self._epoch = epoch
        lost: dict[str, str | None] = {}
        gained: list[str] = []
        for tenant in tenants:
            owner = quota_owner_address(tenant, chain)
            self._record_transfer(
                tenant, epoch_skipped or owner != quota_owner_address(tenant, previous_chain), now_ms
            )
            if owner != self._address:
                lost[tenant] = owner
                self._owned_since_epoch.pop(tenant, None)
                continue
            previous_owner = quota_owner_address(tenant, previous_chain)
            if epoch_skipped or previous_owner != self._address:
                gained.append(tenant)
                self._owned_since_epoch[tenant] = epoch
                if not first_chain:
                    self._grants_from_ms[tenant] = now_ms + HANDOVER_WAIT_MS
                    self._wait_ended_early.discard(tenant)
                    self._previous_owner[tenant] = "" if epoch_skipped else previous_owner or ""
        return OwnershipChange(lost, tuple(gained), first_chain, epoch_skipped)

    def _record_transfer(self, tenant: str, transferred: bool, now_ms: float) -> None:
        """Record the time of a transfer between any two owners, if the tenant's quota was transferred."""
        if transferred:
            transfers = self._transfers.get(tenant)
            self._transfers[tenant] = TransferTimes(
                now_ms, -math.inf if transfers is None else transfers.latest_ms
            )

    def on_handover(self, epoch: int, levels: dict[str, float]) -> None:
        """Store levels that a previous owner handed over for an epoch, which may still be unknown here."""
        for tenant, level in levels.items():
            known = self._handed_over.get(tenant)
            if known is None or known.epoch < epoch:
                self._handed_over[tenant] = HandedOverLevel(epoch, level)

    def handed_over_level(self, tenant: str) -> float | None:
        """Return the level handed over for the epoch in which the quota was gained; None if there is none."""
        handed_over = self._handed_over.get(tenant)
        if handed_over is None or handed_over.epoch != self._owned_since_epoch.get(tenant):
            return None
        return handed_over.level

    def bucket_start(self, tenant: str, window_ms: float) -> BucketStart:
        """Return how the bucket starts of a gained quota for which no level was handed over."""
        transfers = self._transfers.get(tenant)
        if transfers is not None and transfers.latest_ms - transfers.previous_ms < window_ms:
            return BucketStart.REPEATED_TAKEOVER
        if tenant in self._wait_ended_early:
            return BucketStart.AFTER_LEASE_EXPIRED
        return BucketStart.AFTER_LEASE_TIMEOUT

    def owned_since_epoch(self, tenant: str) -> int | None:
        """Return the epoch in which this replica gained the quota; None if it does not own it."""
        return self._owned_since_epoch.get(tenant)

    @property
    def epoch(self) -> int:
        """Epoch of the current chain."""
        return self._epoch

    def may_grant(self, tenant: str, now_ms: float) -> bool:
        """Return whether this replica owns the quota and no previous owner can still grant from it."""
        if quota_owner_address(tenant, self._chain) != self._address:
            return False
        if now_ms >= self._grants_from_ms.get(tenant, 0.0):
            return True
        handed_over = self.handed_over_level(tenant) is not None
        if not handed_over and not self._lease_expired(self._previous_owner.get(tenant, ""), now_ms):
            return False
        self._grants_from_ms[tenant] = now_ms
        self._wait_ended_early.add(tenant)
        return True
