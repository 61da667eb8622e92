"""A node's side of tenants' quotas: what it may spend without the owner.

Its reserve of a tenant was drawn from the owner's bucket before. Once the owner has not answered it for
`AUTONOMY_DELAY_MS`, its standing share of the rate is added: by then the owner, if there is one, counts this
node among those that are disconnected (`node_registry.NODE_CONTACT_TIMEOUT_MS`), and fills its bucket by so
much less. The share expires on this node's own clock. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.node_registry import NODE_CONTACT_TIMEOUT_MS
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from dunlinloft.coordination.quota.shares import SHARE_LIFETIME_MS

# Without an answer of its owner for so long, the node reports that: most gaps are shorter.
UNANSWERED_REPORT_DELAY_MS = 150.0
# Without any answer of an owner for so long, a late reply to the next request is no longer waited for
# (docs/deciding.md, round 10).
LATE_REPLY_GRACE_MS = 100.0
# Before the standing share is added: by then the owner, if there is one, counts this node as disconnected.
AUTONOMY_DELAY_MS = NODE_CONTACT_TIMEOUT_MS + 50.0
# Multiple of the mean recent request that a reserve has to be able to hold, to be of any use.
USEFUL_RESERVE_MULTIPLE = 1.0
MEAN_REQUEST_WEIGHT = 0.1  # of the latest request in the moving average
# Bounds of the wait before a rejected request is retried.
RETRY_WAIT_MIN_MS = 100.0
RETRY_WAIT_MAX_MS = 1_000.0


@dataclass(slots=True)
class Reserve:
    """What one node holds of one tenant's quota.

    Attributes
    ----------
    level
        What it may still spend.
    share
        Standing share of the rate, valid until `share_expires_ms`.
    refilled_ms
        Up to when the share has been added to the level.
    autonomous_since_ms
        When the first request was sent that no owner has answered since; None while an owner answers.
    mean_request
        Moving average of requested amounts.
    """

    level: float = 0.0
    share: float = 0.0
    share_expires_ms: float = 0.0
    refilled_ms: float = 0.0
    autonomous_since_ms: float | None = None
    mean_request: float = 0.0

    def share_at(self, now_ms: float) -> float:
        """Return the share that is valid now."""
        return self.share if now_ms < self.share_expires_ms else 0.0


@dataclass(slots=True)
class NodeReserves:
    """One node's reserves and shares, and the owners that do not answer it; owned by the data plane."""

    bounds: QuotaBounds
    _reserves: dict[str, Reserve] = field(default_factory=dict)  # by tenant
    _unanswered_since_ms: dict[str, float] = field(default_factory=dict)  # by owner

    def receives_replies(self, owner: str, now_ms: float) -> bool:
        """Return whether an owner answers; reported to it with each keepalive."""
        return _below_report_delay(self._unanswered_since_ms.get(owner), now_ms)

    def replied_recently(self, owner: str, now_ms: float) -> bool:
        """Return whether an owner answered lately, so that a missing reply may only be late."""
        since_ms = self._unanswered_since_ms.get(owner)
        return since_ms is None or now_ms - since_ms < LATE_REPLY_GRACE_MS

    def autonomous(self, tenant: str, now_ms: float) -> bool:
        """Return whether a tenant's quota is, or soon will be, spent here without its owner.

        Reported with each request.
        """
        return not _below_report_delay(self._reserve(tenant).autonomous_since_ms, now_ms)

    def on_owner_unavailable(self, owner: str, tenant: str, sent_ms: float) -> None:
        """Note that an owner did not answer a request sent at a time, or does not own the quota."""
        self._unanswered_since_ms.setdefault(owner, sent_ms)
        reserve = self._reserve(tenant)
        if reserve.autonomous_since_ms is None:
            reserve.autonomous_since_ms = sent_ms

    def on_owner_reply(self, owner: str, tenant: str) -> None:
        """Note that the owner answered: this node no longer spends without it."""
        self._unanswered_since_ms.pop(owner, None)
        self._reserve(tenant).autonomous_since_ms = None

    def current_share(self, tenant: str, now_ms: float) -> float:
        """Return the share of a tenant's rate that is valid now."""
        return self._reserve(tenant).share_at(now_ms)

    def shares(self, now_ms: float) -> dict[str, float]:
        """Return all shares that are valid now, by tenant."""
        shares = {tenant: reserve.share_at(now_ms) for tenant, reserve in self._reserves.items()}
        return {tenant: share for tenant, share in shares.items() if share}

    def reserves(self) -> dict[str, float]:
        """Return the levels of all reserves, by tenant."""
        return {tenant: reserve.level for tenant, reserve in self._reserves.items() if reserve.level}

    def wanted_reserve(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """Return how much more the reserve should hold, as a request of an amount comes.

        That is 0 where the reserve could not hold a usual request: it would only keep from others what this
        node can never spend.
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
        """Take the reserve and the share of an owner's reply to a request sent at a time."""
        reserve = self._reserve(tenant)
        reserve.share = share
        reserve.share_expires_ms = sent_ms + SHARE_LIFETIME_MS
        reserve.level = min(self._capacity(reserve, limit, now_ms), reserve.level + amount)

    def spend_without_owner(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """Spend an amount of the reserve and the standing share.

        Returns 0 where it was spent, else the wait in ms until it may be tried again.
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
        """Add the standing share for the time without an owner, up to what a request of `amount` needs."""
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
    """Return whether there is no gap in an owner's answers, or one too short to be reported."""
    return since_ms is None or now_ms - since_ms < UNANSWERED_REPORT_DELAY_MS
