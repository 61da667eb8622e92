"""Which control plane owns a tenant's quota, and from when a new owner may grant.

Ownership follows the chain by rendezvous hashing. Two owners must never grant at once, so a replica to which
a quota came over waits until the previous owner's lease has ended, unless that one handed the quota over.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from dunlinloft.coordination.quota.bounds import BucketStart
from dunlinloft.fleet.rendezvous import rank

# A new owner waits for so long after it learned of its chain. The previous owner stops `LEASE_MS` (600 ms,
# `failure_detector`) after a majority last confirmed it; the rest is margin.
HANDOVER_WAIT_MS = 750.0


def quota_owner_address(tenant: str, addresses: Sequence[str]) -> str | None:
    """Return the address of the control plane that owns a tenant's quota; None where there is none."""
    return max(addresses, key=lambda address: rank(f"quota/{tenant}", address), default=None)


@dataclass(frozen=True, slots=True)
class HandedOverLevel:
    """What the previous owner had left of a tenant's quota when it gave it up; it has granted nothing since.

    `epoch` is that of the chain for which it gave the quota up; it was the owner in the epoch before.
    """

    epoch: int
    level: float


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """What a new chain changes for one replica.

    Attributes
    ----------
    lost
        By tenant that this replica does not own: the present owner's address, None where there is none.
    gained
        Tenants that came over, each with the wait before the first grant already under way.
    first_chain
        This replica has just started: nobody but itself owned in this epoch what it gained.
    epoch_skipped
        This replica missed an epoch, in which there may have been another owner: nothing that it has may be
        kept or handed over.
    """

    lost: dict[str, str | None]
    gained: tuple[str, ...]
    first_chain: bool
    epoch_skipped: bool


@dataclass(frozen=True, slots=True)
class TransferTimes:
    """When a tenant's quota last moved to another owner, and when before that; in ms."""

    latest_ms: float
    previous_ms: float


@dataclass(frozen=True, slots=True)
class ReleasedQuotas:
    """Tenants' quotas that moved to another owner, to be handed over to it with what is left of each."""

    new_owner: str  # its address
    levels: dict[str, float] = field(default_factory=dict)  # by tenant


class QuotaOwnership:
    """The tenants' quotas that one replica owns, and from when it may grant of each; used by `QuotaOwner`."""

    def __init__(self, address: str, lease_expired: Callable[[str, float], bool]) -> None:
        """Own nothing until the first chain.

        Parameters
        ----------
        address
            This replica's.
        lease_expired
            Tells whether a majority shows that the owner at an address can grant no more at a time in ms.
        """
        self._address = address
        self._lease_expired = lease_expired
        self._epoch = 0
        self._chain: tuple[str, ...] = ()
        self._owned_since: dict[str, int] = {}  # by tenant: the epoch in which it came over
        self._previous_owner: dict[str, str] = {}  # by tenant: whose lease is waited for; "" if not known
        self._grants_from_ms: dict[str, float] = {}  # by tenant
        self._lease_confirmed_expired: set[str] = set()  # tenants whose wait ended early
        self._handed_over: dict[str, HandedOverLevel] = {}  # by tenant
        self._transfers: dict[str, TransferTimes] = {}  # by tenant

    def set_chain(
        self, epoch: int, chain: tuple[str, ...], tenants: Iterable[str], now_ms: float
    ) -> OwnershipChange | None:
        """Take the chain of an epoch; None where the epoch is the present one."""
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
                self._owned_since.pop(tenant, None)
                continue
            previous_owner = quota_owner_address(tenant, previous_chain)
            if epoch_skipped or previous_owner != self._address:
                gained.append(tenant)
                self._owned_since[tenant] = epoch
                if not first_chain:
                    self._grants_from_ms[tenant] = now_ms + HANDOVER_WAIT_MS
                    self._lease_confirmed_expired.discard(tenant)
                    self._previous_owner[tenant] = "" if epoch_skipped else previous_owner or ""
        return OwnershipChange(lost, tuple(gained), first_chain, epoch_skipped)

    def _record_transfer(self, tenant: str, transferred: bool, now_ms: float) -> None:
        """Note when a tenant's quota moved to another owner, whoever that is."""
        if transferred:
            transfers = self._transfers.get(tenant)
            self._transfers[tenant] = TransferTimes(
                now_ms, -math.inf if transfers is None else transfers.latest_ms
            )

    def on_handover(self, epoch: int, levels: dict[str, float]) -> None:
        """Take what a previous owner gave up for an epoch, which may not be known here yet."""
        for tenant, level in levels.items():
            known = self._handed_over.get(tenant)
            if known is None or known.epoch < epoch:
                self._handed_over[tenant] = HandedOverLevel(epoch, level)

    def handed_over_level(self, tenant: str) -> float | None:
        """Return the level handed over for the epoch in which a tenant came here; None without one."""
        handed_over = self._handed_over.get(tenant)
        if handed_over is None or handed_over.epoch != self._owned_since.get(tenant):
            return None
        return handed_over.level

    def bucket_start(self, tenant: str, window_ms: float) -> BucketStart:
        """Return how a tenant that came over with no level handed over is started."""
        transfers = self._transfers.get(tenant)
        if transfers is not None and transfers.latest_ms - transfers.previous_ms < window_ms:
            return BucketStart.REPEATED_TAKEOVER
        if tenant in self._lease_confirmed_expired:
            return BucketStart.AFTER_LEASE_EXPIRED
        return BucketStart.AFTER_LEASE_TIMEOUT

    def owned_since_epoch(self, tenant: str) -> int | None:
        """Return the epoch in which a tenant came here; None where it did not."""
        return self._owned_since.get(tenant)

    @property
    def epoch(self) -> int:
        """The present chain's epoch."""
        return self._epoch

    def may_grant(self, tenant: str, now_ms: float) -> bool:
        """Return whether this replica owns a tenant's quota and no earlier owner can grant any more."""
        if quota_owner_address(tenant, self._chain) != self._address:
            return False
        if now_ms >= self._grants_from_ms.get(tenant, 0.0):
            return True
        handed_over = self.handed_over_level(tenant) is not None
        if not handed_over and not self._lease_expired(self._previous_owner.get(tenant, ""), now_ms):
            return False
        self._grants_from_ms[tenant] = now_ms
        self._lease_confirmed_expired.add(tenant)
        return True
