"""Tenants' quotas over all nodes: each tenant's is owned by one control plane, found by rendezvous hashing.

What all nodes spend in a window stays within the rule's limit by construction, whoever is cut off, killed
or newly elected (`docs/control-state.md`, "Sums over all machines"):

- An owner grants from a bucket that fills at the tenant's rate, and only under its lease. A new owner waits
  until the old one's lease has ended: so long that it must have, or until a majority shows it. It begins
  with little, or with what the old one says that it left: who learns that it is owner no more hands it over.
- Each node may hold a reserve that it drew from the bucket before; nothing but a draw refills it. What
  isn't out in reserves is the bucket's own: where a node's part is too small for a request, none is drawn.
- A node that is out of its owner's reach spends its reserve and, later, its standing share of the rate
  (`quota_shares.py`). The owner's bucket fills by that much less for every node that it doesn't hear.

All amounts are in what the tenant's quota counts: requests or tokens.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from dunlinloft.coordination.nodes import Nodes
from dunlinloft.coordination.quota_shares import MOST_X, TenantShares
from dunlinloft.coordination.recent_use import Use
from dunlinloft.fleet.rendezvous import rank

HANDOVER_MS = 750.0  # a new owner waits so long; the old one stops `LEASE_MS` after it was last confirmed
EXTRA_SHARE = 0.1  # of what a window may exceed the rate by, that a bucket holds beside the burst
RESERVE_SHARE, RESERVE_TOLERANCE = 0.6, 0.6  # of that, and of the tolerance, in all nodes' reserves together
FIRST_SECONDS = 0.3  # of the rate that a new owner begins with: nodes spent none of it for longer,
SOONER_SECONDS = 0.2  # and where it begins as soon as the lease before is over
FIRST_TOLERANCE = 0.2  # of the tolerance that it begins with, too
TOGETHER_SECONDS = 1.0  # of the rate it begins with where no node runs longer than it: all had been down
TOGETHER_MS = 2_000.0  # a node that began no earlier than this before its owner began together with it
SETTLE_MS = 10.0  # buckets fill in steps of so long: what that takes grows with nodes, not with requests
RETURNED_X = 4.0  # times its amount that has to be there for a request that was refused before: it is late
SCARCE_X = 1.15  # times a tenant's rate that first tries ask for, from where on waiting is of no use
RESERVE_ABOVE = 0.3  # a reserve is filled only while the bucket holds more than this share of its most


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The rule's figures, as the deployment states them."""

    interval_s: float
    overshoot: float
    tolerance: float

    def spare(self, limit: QuotaLimit) -> float:
        """By how much a window may exceed rate and burst, beside the tolerance."""
        return self.overshoot * (limit.rate_per_s * self.interval_s + limit.burst)

    def bucket_least(self, limit: QuotaLimit) -> float:
        """The most that a bucket holds while all that reserves may hold is out in them."""
        return limit.burst + EXTRA_SHARE * self.spare(limit)

    def reserve_most(self, limit: QuotaLimit) -> float:
        """The most that all nodes' reserves hold together."""
        return RESERVE_SHARE * self.spare(limit) + RESERVE_TOLERANCE * self.tolerance

    def first_level(self, limit: QuotaLimit, together: bool, sooner: bool = False) -> float:
        """What a bucket begins with: `together` with all nodes, or `sooner` than after the whole wait."""
        seconds = TOGETHER_SECONDS if together else SOONER_SECONDS if sooner else FIRST_SECONDS
        level = seconds * limit.rate_per_s + FIRST_TOLERANCE * self.tolerance
        return min(level, self.bucket_least(limit))


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """What a node asks its owner for."""

    node: str
    tenant: str
    amount: float
    reserve: float  # that it would like to keep beside it
    share: float  # of the rate that it holds
    alone: bool  # it spends that share now
    returned: bool = False  # its client was refused before, so that it is late anyway


@dataclass(frozen=True, slots=True)
class NodeHoldings:
    """The shares that a node holds, by tenant, as it learned of an epoch or subscribed."""

    epoch: int  # from then on it takes shares from that epoch's owners alone
    shares: dict[str, float]
    reserves: dict[str, float]


@dataclass(frozen=True, slots=True)
class GivenUp:
    """Tenants' quotas that have another owner from now on, and what is left of each."""

    owner: str  # its address
    levels: dict[str, float] = field(default_factory=dict)  # by tenant


@dataclass(frozen=True, slots=True)
class HandedOver:
    """What an owner had left of a tenant's quota as it gave it up: it has granted nothing since."""

    epoch: int  # that it gave it up for; it was the owner in the one before
    level: float


@dataclass(frozen=True, slots=True)
class QuotaTaken:
    """An owner's answer: the amount was taken where there is no wait."""

    wait_ms: float
    reserve: float  # taken beside it, for the node to keep
    share: float  # of the rate that the node holds from now on
    scarce: bool = False  # more is asked for than the quota allows: waiting would take it from others


def owner_of(tenant: str, addresses: Sequence[str]) -> str | None:
    """The control plane that owns a tenant's quota."""
    return max(addresses, key=lambda address: rank(f"quota/{tenant}", address), default=None)


@dataclass(slots=True)
class QuotaBucket:
    """What is left of a tenant's quota."""

    least: float  # the most that it holds while all reserves are full,
    pool: float  # and what reserves may hold together: what isn't out in them is the bucket's own
    level: float
    shares: TenantShares
    told: dict[str, float] = field(default_factory=dict)  # by node: the reserve that it held when this began
    unknown: float = 0.0  # of the pool: what nodes may hold that have not told
    drawn: float = 0.0  # into reserves since; they may be full of it
    asked: Use = field(default_factory=Use)  # by first tries, granted or not

    @property
    def most(self) -> float:
        """The most that it holds now."""
        out = self.unknown + sum(self.told.values()) + self.drawn
        return self.least + max(0.0, self.pool - out)

    def fill(self, amount: float) -> None:
        """Add what has come since."""
        self.level = min(self.most, self.level + amount)

    def take(self, amount: float, rate_per_s: float, times: float = 1.0) -> float:
        """Take an amount where `times` as much is there; the wait in ms until then, 0 where it was taken."""
        needed = min(times * amount, self.most)  # a request larger than the whole needs a full bucket
        if self.level >= needed:
            self.level -= amount
            return 0.0
        return 1.0 + 1_000.0 * (needed - self.level) / rate_per_s if rate_per_s else 1_000.0

    def take_reserve(self, wanted: float) -> float:
        """Take for a node's reserve what isn't needed here."""
        spare = self.level - RESERVE_ABOVE * self.most
        taken = max(0.0, min(wanted, spare))
        self.level -= taken
        self.drawn += taken
        return taken


class QuotaOwner:
    """The quotas that one control plane owns. `nodes` is kept up to date by the host."""

    def __init__(
        self,
        address: str,
        began_ms: float,
        bounds: QuotaBounds,
        nodes: Nodes,
        lease_over: Callable[[str, float], bool] = lambda *_: False,
    ) -> None:
        """`lease_over` tells whether the owner before, at an address, can grant no more at a time."""
        self._lease_over = lease_over
        self._owner_before: dict[str, str] = {}  # by tenant that came over and is waited for
        self._sooner: set[str] = set()  # tenants that came over and whose wait ended early
        self._handed: dict[str, HandedOver] = {}  # by tenant: what its owner before left
        self._address = address
        self._began_ms = began_ms
        self._bounds = bounds
        self._nodes = nodes
        self._epoch = 0
        self._owned_since: dict[str, int] = {}  # by tenant: the epoch in which it came here
        self._holdings: dict[str, NodeHoldings] = {}  # by node
        self._together = True  # owner and nodes began together: nothing was used while they were down
        self._limits: dict[str, QuotaLimit] = {}
        self._chain: tuple[str, ...] = ()
        self._buckets: dict[str, QuotaBucket] = {}
        self._may_from_ms: dict[str, float] = {}
        self._settled_ms = began_ms
        self._leased = False
        self._node_count = 1

    def node_seen(self, uptime_ms: float, now_ms: float) -> None:
        """A node subscribed. One that ran before this owner may have spent meanwhile."""
        if now_ms - uptime_ms >= self._began_ms - TOGETHER_MS:
            return
        if self._together:
            self._together = False
            for tenant, bucket in self._buckets.items():
                bucket.level = min(bucket.level, self._bounds.first_level(self._limits[tenant], False))

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        """The tenants that have a limit."""
        self._limits = limits
        for tenant in [name for name in self._buckets if name not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.least = self._bounds.bucket_least(limits[tenant])
            bucket.pool = self._bounds.reserve_most(limits[tenant])
            bucket.level = min(bucket.level, bucket.most)

    def set_chain(self, epoch: int, chain: tuple[str, ...], now_ms: float) -> list[GivenUp]:
        """The control planes among which quotas are sharded now; what comes over is waited for.

        What this owner gives up by that is to be handed over.
        """
        if epoch == self._epoch:
            return []
        began = not self._chain  # a restart: in this epoch nobody but this replica granted what is its own
        skipped = not began and epoch != self._epoch + 1  # in between there may have been another owner
        old, self._chain, self._epoch = self._chain, chain, epoch
        given_up: dict[str, GivenUp] = {}
        for tenant in self._limits:
            owner = owner_of(tenant, chain)
            if owner != self._address:
                bucket = self._buckets.pop(tenant, None)
                self._owned_since.pop(tenant, None)
                if bucket is not None and owner is not None and not skipped:
                    given_up.setdefault(owner, GivenUp(owner)).levels[tenant] = bucket.level
            elif skipped or owner_of(tenant, old) != self._address:
                self._buckets.pop(tenant, None)
                self._owned_since[tenant] = epoch
                if not began:
                    self._together = False
                    self._may_from_ms[tenant] = now_ms + HANDOVER_MS
                    self._sooner.discard(tenant)
                    self._owner_before[tenant] = "" if skipped else owner_of(tenant, old) or ""
        return list(given_up.values())

    def hand_over(self, epoch: int, levels: dict[str, float]) -> None:
        """The owner before gave these tenants' quotas up for an epoch, which may not be known here yet."""
        for tenant, level in levels.items():
            known = self._handed.get(tenant)
            if known is None or known.epoch < epoch:
                self._handed[tenant] = HandedOver(epoch, level)

    def _left_for(self, tenant: str) -> HandedOver | None:
        """What was handed over for the epoch in which a tenant came here."""
        handed = self._handed.get(tenant)
        return handed if handed is not None and handed.epoch == self._owned_since.get(tenant) else None

    def holds(self, node: str, holdings: NodeHoldings, now_ms: float) -> None:
        """A node said which shares it holds."""
        known = self._holdings.get(node)
        if known is not None and known.epoch > holdings.epoch:
            return
        self._holdings[node] = holdings
        for tenant, bucket in self._buckets.items():
            self._account(tenant, bucket, node, holdings, now_ms)

    def _account(
        self, tenant: str, bucket: QuotaBucket, node: str, holdings: NodeHoldings, now_ms: float
    ) -> None:
        if holdings.epoch >= self._owned_since.get(tenant, self._epoch):
            bucket.shares.heard(node, holdings.shares.get(tenant, 0.0), False, now_ms)
            # Whatever it holds more by now was drawn here since, and counts as that.
            bucket.told.setdefault(node, holdings.reserves.get(tenant, 0.0))

    def _follow_unknown(self) -> None:
        """How much those nodes may hold that have not told since a tenant's quota came here."""
        nodes = self._nodes.names()
        self._node_count = max(1, len(nodes))
        told = [self._holdings[node].epoch if node in self._holdings else -1 for node in nodes]
        for tenant, bucket in self._buckets.items():
            since = self._owned_since.get(tenant, 0)
            untold = 0 if self._together else sum(epoch < since for epoch in told)
            bucket.shares.unknown_most = min(1.0, MOST_X * untold / max(1, len(nodes)))
            bucket.unknown = bucket.pool * bucket.shares.unknown_most

    def settle(self, leased: bool, now_ms: float) -> None:
        """Fill the buckets for the time since the last call; to be called often.

        Time counts only where the lease held at both its ends: without an owner, nodes spend the whole rate.
        """
        passed_s = max(0.0, now_ms - self._settled_ms) / 1_000.0
        if leased and self._leased:
            disconnected = self._nodes.disconnected(now_ms)
            for tenant, bucket in self._buckets.items():
                share = 1.0 - bucket.shares.spent_elsewhere(disconnected)
                bucket.fill(self._limits[tenant].rate_per_s * share * passed_s)
        self._settled_ms = max(self._settled_ms, now_ms)
        self._leased = leased
        if leased:
            self._begin_buckets(now_ms)
        self._follow_unknown()

    def _begin_buckets(self, now_ms: float) -> None:
        for tenant, limit in self._limits.items():
            if tenant in self._buckets or not self._may_grant(tenant, now_ms):
                continue
            handed = self._left_for(tenant)
            if handed is None:
                level = self._bounds.first_level(limit, self._together, tenant in self._sooner)
            else:
                level = handed.level
            least, pool = self._bounds.bucket_least(limit), self._bounds.reserve_most(limit)
            unknown = 0.0 if self._together else pool
            bucket = QuotaBucket(least, pool, level, TenantShares(), unknown=unknown)
            self._buckets[tenant] = bucket
            for node, holdings in self._holdings.items():
                self._account(tenant, bucket, node, holdings, now_ms)

    def _may_grant(self, tenant: str, now_ms: float) -> bool:
        if owner_of(tenant, self._chain) != self._address:
            return False
        if now_ms >= self._may_from_ms.get(tenant, 0.0):
            return True
        over = self._left_for(tenant) is not None or self._lease_over(
            self._owner_before.get(tenant, ""), now_ms
        )
        if not over:
            return False
        self._may_from_ms[tenant] = now_ms
        self._sooner.add(tenant)
        return True

    def forget(self, now_ms: float) -> None:
        """Drop shares that have ended, and what gone nodes held; to be called now and then."""
        names = set(self._nodes.names())
        self._holdings = {node: held for node, held in self._holdings.items() if node in names}
        for bucket in self._buckets.values():
            bucket.shares.forget(now_ms)

    def take(self, ask: QuotaAsk, leased: bool, now_ms: float) -> QuotaTaken | None:
        """Take from a quota; None where this isn't its owner now."""
        limit = self._limits.get(ask.tenant)
        if limit is None or not leased or not self._may_grant(ask.tenant, now_ms):
            return None
        if ask.tenant not in self._buckets or now_ms - self._settled_ms >= SETTLE_MS:
            self.settle(leased, now_ms)
        bucket = self._buckets[ask.tenant]
        bucket.shares.heard(ask.node, ask.share, ask.alone, now_ms)
        if not ask.returned:
            bucket.asked.count(ask.amount, now_ms)
        scarce = bucket.asked.per_s(now_ms) > SCARCE_X * limit.rate_per_s
        times = RETURNED_X if ask.returned else 1.0
        wait_ms = bucket.take(ask.amount, limit.rate_per_s, times)
        reserve = 0.0 if wait_ms else bucket.take_reserve(ask.reserve)
        spent = 0.0 if wait_ms else ask.amount
        share = bucket.shares.give(ask.node, spent, self._node_count, now_ms)
        return QuotaTaken(wait_ms, reserve, share, scarce)
