"""Node side of tenant quotas: the amounts that a node may spend without the owner.

A node's reserve was drawn from the owner's bucket in advance. After `AUTONOMY_DELAY_MS` without a reply from
the owner, the reserve also refills at the node's standing share of the rate. By then the owner, if there is
one, counts this node as disconnected (`node_registry.NODE_CONTACT_TIMEOUT_MS`) and refills its bucket by that
much less. The share expires by this node's own clock. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.node_registry import NODE_CONTACT_TIMEOUT_MS
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.shares import SHARE_LIFETIME_MS

# Time without a reply from the owner after which the node reports the gap; most gaps are shorter.
UNANSWERED_REPORT_DELAY_MS = 150.0
# Time without any reply from an owner after which the node no longer waits for a late reply to its next
# request (docs/deciding.md, round 10).
LATE_REPLY_GRACE_MS = 100.0
# Time without a reply until the standing share is used; by then the owner counts this node as disconnected.
AUTONOMY_DELAY_MS = NODE_CONTACT_TIMEOUT_MS + 50.0
# A reserve is useful only if its capacity is at least this multiple of the mean recent request.
USEFUL_RESERVE_MULTIPLE = 1.0
MEAN_REQUEST_WEIGHT = 0.1  # weight of the latest request in the moving average
# Bounds of the wait before a rejected request is retried.
RETRY_WAIT_MIN_MS = 100.0
RETRY_WAIT_MAX_MS = 1_000.0


@dataclass(slots=True)
class Reserve:
    """The part of one tenant's quota that one node holds.

    Attributes
    ----------
    level
        Amount that the node may still spend.
    share
        Standing share of the rate, valid until `share_expires_ms`.
    refilled_ms
        Time up to which the share has been added to the level.
    autonomous_since_ms
        Time when the first unanswered request was sent; None while the owner replies.
    mean_request
        Moving average of the requested amounts.
    """

    level: float = 0.0
    share: float = 0.0
    share_expires_ms: float = 0.0
    refilled_ms: float = 0.0
    autonomous_since_ms: float | None = None
    mean_request: float = 0.0

    def share_at(self, now_ms: float) -> float:
        """Return the share, or 0 if it has expired."""
        return self.share if now_ms < self.share_expires_ms else 0.0


@dataclass(slots=True)
class NodeReserves:
    """One node's reserves and shares, and the owners that do not reply to it; owned by the data plane."""

    bounds: QuotaBounds
    _reserves: dict[str, Reserve] = field(default_factory=dict)  # by tenant
    _unanswered_since_ms: dict[str, float] = field(default_factory=dict)  # by owner

    def receives_replies(self, owner: str, now_ms: float) -> bool:
        """Return whether an owner replies to this node; reported to the owner with each keepalive."""
        return _below_report_delay(self._unanswered_since_ms.get(owner), now_ms)

    def replied_recently(self, owner: str, now_ms: float) -> bool:
        """Return whether an owner replied recently, so that a missing reply may just be late."""
        since_ms = self._unanswered_since_ms.get(owner)
        return since_ms is None or now_ms - since_ms < LATE_REPLY_GRACE_MS

    def autonomous(self, tenant: str, now_ms: float) -> bool:
        """Return whether this node spends a tenant's quota without the owner, or is about to.

        Reported with each request.
        """
        return not _below_report_delay(self._reserve(tenant).autonomous_since_ms, now_ms)

    def on_owner_unavailable(self, owner: str, tenant: str, sent_ms: float) -> None:
        """Record that an owner did not answer a request sent at `sent_ms`, or does not own the quota."""
        self._unanswered_since_ms.setdefault(owner, sent_ms)
        reserve = self._reserve(tenant)
        if reserve.autonomous_since_ms is None:
            reserve.autonomous_since_ms = sent_ms

    def on_owner_reply(self, owner: str, tenant: str) -> None:
        """Record a reply from the owner: this node no longer spends without it."""
        self._unanswered_since_ms.pop(owner, None)
        self._reserve(tenant).autonomous_since_ms = None

    def current_share(self, tenant: str, now_ms: float) -> float:
        """Return this node's currently valid share of a tenant's rate."""
        return self._reserve(tenant).share_at(now_ms)

    def shares(self, now_ms: float) -> dict[str, float]:
        """Return all currently valid shares by tenant."""
        shares = {tenant: reserve.share_at(now_ms) for tenant, reserve in self._reserves.items()}
        return {tenant: share for tenant, share in shares.items() if share}

    def reserves(self) -> dict[str, float]:
        """Return the levels of all non-empty reserves by tenant."""
        return {tenant: reserve.level for tenant, reserve in self._reserves.items() if reserve.level}

    def wanted_reserve(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """Return the amount to draw into the reserve along with a request for `amount`.

        Returns 0 if the reserve is too small for a typical request: it would only withhold from other nodes
        what this node can never spend.
        """
        reserve = self._reserve(tenant)
        weight = MEAN_REQUEST_WEIGHT if reserve.mean_request else 1.0
        reserve.mean_request += (amount - reserve.mean_request) * weight
        capacity = self._capacity(reserve, limit, now_ms)
        if capacity < USEFUL_RESERVE_MULTIPLE * reserve.mean_request:
            return 0.0
        return max(0.0, capacity - reserve.level)

    def on_grant(
        self, tenant: str, limit: QuotaLimit, amount: float, share: float, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the reserve and the share from an owner's reply to a request sent at `sent_ms`."""
        reserve = self._reserve(tenant)
        reserve.share = share
        reserve.share_expires_ms = sent_ms + SHARE_LIFETIME_MS
        reserve.level = min(self._capacity(reserve, limit, now_ms), reserve.level + amount)

    def spend_without_owner(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """Spend an amount from the reserve and the standing share.

        Returns 0 if the amount was spent, otherwise the time in ms to wait before a retry.
        """
        reserve = self._reserve(tenant)
        self._add_share(reserve, limit, amount, now_ms)
        if reserve.level >= amount:
            reserve.level -= amount
            return 0.0
        share_per_s = limit.rate_per_s * reserve.share
        if not share_per_s:
            return RETRY_WAIT_MAX_MS
        wait_ms = 1_000.0 * (amount - reserve.level) / share_per_s
        return min(RETRY_WAIT_MAX_MS, max(RETRY_WAIT_MIN_MS, wait_ms))

    def _add_share(self, reserve: Reserve, limit: QuotaLimit, amount: float, now_ms: float) -> None:
        """Refill the reserve at the standing share for the time without an owner.

        The capacity is raised to `amount` if it is smaller, so that the request can be served at all.
        """
        since_ms = now_ms if reserve.autonomous_since_ms is None else reserve.autonomous_since_ms
        start_ms = max(since_ms + AUTONOMY_DELAY_MS, reserve.refilled_ms)
        end_ms = min(now_ms, reserve.share_expires_ms)
        if end_ms <= start_ms:
            return
        capacity = max(self._capacity(reserve, limit, now_ms), amount)
        added = limit.rate_per_s * reserve.share * (end_ms - start_ms) / 1_000.0
        reserve.level = max(reserve.level, min(capacity, reserve.level + added))
        reserve.refilled_ms = end_ms

    def _reserve(self, tenant: str) -> Reserve:
        reserve = self._reserves.get(tenant)
        if reserve is None:
            reserve = Reserve()
            self._reserves[tenant] = reserve
        return reserve

    def _capacity(self, reserve: Reserve, limit: QuotaLimit, now_ms: float) -> float:
        return self.bounds.reserve_pool(limit) * reserve.share_at(now_ms)


def _below_report_delay(since_ms: float | None, now_ms: float) -> bool:
    """Return whether an owner's replies have no gap, or one too short to be reported."""
    return since_ms is None or now_ms - since_ms < UNANSWERED_REPORT_DELAY_MS
