"""Owner side of tenant quotas: refills buckets, grants requests and accounts for what nodes hold.

The package docstring explains why usage in each window stays within its bound.
"""

from __future__ import annotations

from collections.abc import Callable

from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.quota.bounds import BucketStart, QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.bucket import QuotaBucket
from dunlinloft.coordination.quota.demand import NotQuotaOwner, QuotaDecision, QuotaDemand, QuotaHoldings
from dunlinloft.coordination.quota.node_counts import NodeCountHistory
from dunlinloft.coordination.quota.ownership import OwnershipChange, QuotaOwnership, ReleasedQuotas
from dunlinloft.coordination.quota.shares import MAX_SHARE_MULTIPLE, TenantShares

# A node that started at most this long before the owner counts as restarted together with it.
FLEET_RESTART_WINDOW_MS = 2_000.0
# Minimum time between refills, so that their cost depends on the number of nodes and not on the request rate.
REFILL_INTERVAL_MS = 10.0
# A retry is granted only if this multiple of its amount is available: it is late already, and a scarce quota
# goes to first attempts, which can still be answered in time (docs/deciding.md, round 11).
RETRY_LEVEL_MULTIPLE = 4.0
# A quota is scarce, and waiting for it useless, if first attempts alone request more than this multiple of
# the tenant's rate.
SCARCITY_DEMAND_MULTIPLE = 1.15


class QuotaOwner:
    """The quotas that one control plane owns.

    Owned by the control plane's `QuotaService`, which calls it for each message from a node or replica and on
    each tick. It has no clock of its own: the caller passes the current time. The host keeps the
    `NodeRegistry` up to date.
    """

    def __init__(
        self,
        address: str,
        started_ms: float,
        bounds: QuotaBounds,
        nodes: NodeRegistry,
        lease_expired: Callable[[str, float], bool] = lambda *_: False,
    ) -> None:
        """Start without limits and without a chain.

        Parameters
        ----------
        address
            Address of this control plane.
        started_ms
            Time when its process started.
        lease_expired
            Returns whether the lease of the previous owner, given by address, has expired at a time in ms.
        """
        self._started_ms = started_ms
        self._bounds = bounds
        self._nodes = nodes
        self._ownership = QuotaOwnership(address, lease_expired)
        self._limits: dict[str, QuotaLimit] = {}  # by tenant
        self._buckets: dict[str, QuotaBucket] = {}  # by tenant; only of quotas that this owner may grant
        self._holdings: dict[str, QuotaHoldings] = {}  # by node
        # As far as known, the owner and all nodes started together: nothing was spent while they were down.
        self._fleet_restarted = True
        self._refilled_ms = started_ms
        self._was_leased = False  # whether the lease was held at the last refill
        self._node_count = 1
        self._node_counts = NodeCountHistory(started_ms)

    # Updates from the host: nodes, limits and chains.

    def on_node_subscribed(self, uptime_ms: float, now_ms: float) -> None:
        """Handle a node's subscription; a node older than this owner may have spent in the meantime."""
        if now_ms - uptime_ms >= self._started_ms - FLEET_RESTART_WINDOW_MS:
            return
        if self._fleet_restarted:
            self._fleet_restarted = False
            for tenant, bucket in self._buckets.items():
                level = self._bounds.initial_level(self._limits[tenant], self._bucket_start(tenant, now_ms))
                bucket.level = min(bucket.level, level)

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        """Replace the limits; a tenant without an entry has none."""
        self._limits = limits
        for tenant in [name for name in self._buckets if name not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.base_capacity = self._bounds.base_capacity(limits[tenant])
            bucket.reserve_pool = self._bounds.reserve_pool(limits[tenant])
            bucket.level = min(bucket.level, bucket.capacity)

    def set_chain(self, epoch: int, chain: tuple[str, ...], now_ms: float) -> list[ReleasedQuotas]:
        """Set the control planes among which quotas are sharded from now on.

        Returns the quotas that this owner has to hand over to others. Gained quotas are granted only
        once the previous owner has stopped granting.
        """
        change = self._ownership.set_chain(epoch, chain, self._limits, now_ms)
        if change is None:
            return []
        released = self._release(change)
        for tenant in change.gained:
            self._buckets.pop(tenant, None)
        if change.gained and not change.first_chain:
            self._fleet_restarted = False
        return released

    def _release(self, change: OwnershipChange) -> list[ReleasedQuotas]:
        by_owner: dict[str, ReleasedQuotas] = {}
        for tenant, new_owner in change.lost.items():
            bucket = self._buckets.pop(tenant, None)
            if bucket is not None and new_owner is not None and not change.epoch_skipped:
                released = by_owner.setdefault(new_owner, ReleasedQuotas(new_owner))
                released.levels[tenant] = bucket.level
        return list(by_owner.values())

    def on_handover(self, epoch: int, levels: dict[str, float]) -> None:
        """Accept quotas that the previous owner handed over for an epoch, which may still be unknown here."""
        self._ownership.on_handover(epoch, levels)

    def on_holdings(self, node: str, holdings: QuotaHoldings, now_ms: float) -> None:
        """Handle a node's report of what it holds; a report from an older epoch is ignored."""
        known = self._holdings.get(node)
        if known is not None and known.epoch > holdings.epoch:
            return
        self._holdings[node] = holdings
        for tenant, bucket in self._buckets.items():
            self._apply_holdings(tenant, bucket, node, holdings, now_ms)

    def _apply_holdings(
        self, tenant: str, bucket: QuotaBucket, node: str, holdings: QuotaHoldings, now_ms: float
    ) -> None:
        """Count a node's holdings in a bucket, unless the report predates this owner's gain of the quota."""
        owned_since_epoch = self._ownership.owned_since_epoch(tenant)
        if holdings.epoch >= (self._ownership.epoch if owned_since_epoch is None else owned_since_epoch):
            bucket.shares.on_report(node, holdings.shares.get(tenant, 0.0), False, now_ms)
            # Only the first report counts: any later increase was drawn from this bucket.
            bucket.reported_reserves.setdefault(node, holdings.reserves.get(tenant, 0.0))

    # Periodic work.

    def refill(self, leased: bool, now_ms: float) -> None:
        """Refill the buckets for the time since the last call and open new ones; called on each tick.

        An interval counts only if the lease was held at its start and its end: without an owner, nodes may
        spend the full rate.
        """
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1_000.0
        if leased and self._was_leased:
            disconnected = self._nodes.disconnected(now_ms)
            for tenant, bucket in self._buckets.items():
                owner_share = 1.0 - bucket.shares.autonomous_fraction(disconnected)
                bucket.fill(self._limits[tenant].rate_per_s * owner_share * elapsed_s)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        self._was_leased = leased
        if leased:
            self._open_buckets(now_ms)
        self._update_unreported(now_ms)

    def _open_buckets(self, now_ms: float) -> None:
        for tenant, limit in self._limits.items():
            if tenant in self._buckets or not self._ownership.may_grant(tenant, now_ms):
                continue
            level = self._ownership.handed_over_level(tenant)
            if level is None:
                level = self._bounds.initial_level(limit, self._bucket_start(tenant, now_ms))
            pool = self._bounds.reserve_pool(limit)
            unreported = 0.0 if self._fleet_restarted else pool
            bucket = QuotaBucket(
                self._bounds.base_capacity(limit),
                pool,
                level,
                TenantShares(),
                unreported_reserves=unreported,
            )
            self._buckets[tenant] = bucket
            for node, holdings in self._holdings.items():
                self._apply_holdings(tenant, bucket, node, holdings, now_ms)

    def _bucket_start(self, tenant: str, now_ms: float) -> BucketStart:
        """Return how a bucket starts; only the first new owner in a window gets an initial level."""
        if self._fleet_restarted:
            return BucketStart.FLEET_RESTART
        window_ms = 1_000.0 * self._bounds.window_s
        if now_ms - self._started_ms < window_ms:
            return BucketStart.REPEATED_TAKEOVER  # owners before this process are unknown
        return self._ownership.bucket_start(tenant, window_ms)

    def _update_unreported(self, now_ms: float) -> None:
        """Update the upper bounds on what nodes hold that have not reported since a quota was gained."""
        nodes = self._nodes.active_names()
        self._node_count = max(1, len(nodes))
        self._node_counts.record(self._node_count, now_ms)
        min_count = self._node_counts.min_count(now_ms)
        reported_epochs = [self._holdings[node].epoch if node in self._holdings else -1 for node in nodes]
        for tenant, bucket in self._buckets.items():
            since_epoch = self._ownership.owned_since_epoch(tenant) or 0
            unreported_nodes = (
                0 if self._fleet_restarted else sum(epoch < since_epoch for epoch in reported_epochs)
            )
            bucket.shares.max_unreported = min(1.0, MAX_SHARE_MULTIPLE * unreported_nodes / min_count)
            bucket.unreported_reserves = bucket.reserve_pool * bucket.shares.max_unreported

    def expire(self, now_ms: float) -> None:
        """Drop expired shares and the holdings of nodes that have left; called periodically."""
        active_names = set(self._nodes.active_names())
        self._holdings = {node: holdings for node, holdings in self._holdings.items() if node in active_names}
        for bucket in self._buckets.values():
            bucket.shares.expire(now_ms)

    # Requests of nodes.

    def handle_request(
        self, demand: QuotaDemand, leased: bool, now_ms: float
    ) -> QuotaDecision | NotQuotaOwner:
        """Decide on a node's request; `leased` is whether this replica currently holds its lease."""
        limit = self._limits.get(demand.tenant)
        if limit is None or not leased or not self._ownership.may_grant(demand.tenant, now_ms):
            return NotQuotaOwner()
        if demand.tenant not in self._buckets or now_ms - self._refilled_ms >= REFILL_INTERVAL_MS:
            self.refill(leased, now_ms)
        bucket = self._buckets[demand.tenant]
        bucket.shares.on_report(demand.node, demand.current_share, demand.autonomous, now_ms)
        if not demand.is_retry:
            bucket.first_attempt_demand.add(demand.amount, now_ms)
        scarce = bucket.first_attempt_demand.rate_per_s(now_ms) > SCARCITY_DEMAND_MULTIPLE * limit.rate_per_s
        required_multiple = RETRY_LEVEL_MULTIPLE if demand.is_retry else 1.0
        wait_ms = bucket.try_consume(demand.amount, limit.rate_per_s, required_multiple)
        reserve = 0.0 if wait_ms else bucket.draw_reserve(demand.wanted_reserve)
        spent = 0.0 if wait_ms else demand.amount
        # After a restart of the whole fleet, no node holds a share from an owner that knew more nodes.
        may_grow = self._fleet_restarted or self._node_counts.has_discovered_nodes(now_ms)
        share = bucket.shares.grant(demand.node, spent, self._node_count, now_ms, may_grow)
        return QuotaDecision(wait_ms, reserve, share, scarce)
