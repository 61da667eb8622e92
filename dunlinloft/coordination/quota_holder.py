"""A node's side of tenants' quotas: what it may spend without the owner.

Its reserve of a tenant was drawn from the owner's bucket before. Once it has been without the owner for
`ALONE_AFTER_MS`, its standing share of the rate is added: by then the owner, if there is one, counts this
node among those that it doesn't hear (`nodes.CONTACT_MS`), and fills its bucket by so much less. Times are
in milliseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.nodes import CONTACT_MS, FORGET_MS
from dunlinloft.coordination.quotas import QuotaBounds, QuotaLimit

ALONE_AFTER_MS = CONTACT_MS + 50.0  # without its owner, before the standing share is added
SHARE_VALID_MS = FORGET_MS - 5_000.0  # after the last word from any replica; then the share ends
WAIT_LEAST_MS, WAIT_MOST_MS = 100.0, 1_000.0  # that a refused request is told to wait


@dataclass(frozen=True, slots=True)
class Fleet:
    """What a node knows of the fleet that a quota is shared by."""

    nodes: int
    heard_ms: float  # the last word from any replica


@dataclass(slots=True)
class Reserve:
    """What one node holds of one tenant's quota."""

    level: float = 0.0
    filled_ms: float = 0.0  # up to when the standing share has been added


@dataclass(slots=True)
class QuotaHolder:
    """One node's reserves, and the owners that it is out of reach of."""

    bounds: QuotaBounds
    _reserves: dict[str, Reserve] = field(default_factory=dict)
    _alone_since_ms: dict[str, float] = field(default_factory=dict)  # by owner

    def alone(self, owner: str) -> bool:
        """Whether this node spends without an owner; told to it with each word."""
        return owner in self._alone_since_ms

    def unanswered(self, owner: str, asked_ms: float) -> bool:
        """An owner did not answer, or isn't one; whether this is news."""
        if owner in self._alone_since_ms:
            return False
        self._alone_since_ms[owner] = asked_ms
        return True

    def answered(self, owner: str) -> None:
        """The owner answered: this node no longer spends without it."""
        self._alone_since_ms.pop(owner, None)

    def wanted(self, tenant: str, limit: QuotaLimit, fleet: Fleet) -> float:
        """How much more the reserve should hold."""
        return max(0.0, self._most(limit, fleet) - self._reserve(tenant).level)

    def drawn(self, tenant: str, limit: QuotaLimit, amount: float, fleet: Fleet) -> None:
        """The owner added to the reserve."""
        reserve = self._reserve(tenant)
        reserve.level = min(self._most(limit, fleet), reserve.level + amount)

    def spend_alone(
        self, owner: str | None, tenant: str, limit: QuotaLimit, amount: float, fleet: Fleet, now_ms: float
    ) -> float:
        """Spend without the owner; the wait in ms until it may be tried again, 0 where it was spent."""
        reserve = self._reserve(tenant)
        share_per_s = limit.rate_per_s / fleet.nodes
        since_ms = now_ms if owner is None else self._alone_since_ms.get(owner, now_ms)
        begins_ms = max(since_ms + ALONE_AFTER_MS, reserve.filled_ms)
        ends_ms = min(now_ms, fleet.heard_ms + SHARE_VALID_MS)
        if ends_ms > begins_ms:
            most = max(self._most(limit, fleet), amount)
            added = share_per_s * (ends_ms - begins_ms) / 1_000.0
            reserve.level = max(reserve.level, min(most, reserve.level + added))
            reserve.filled_ms = ends_ms
        if reserve.level >= amount:
            reserve.level -= amount
            return 0.0
        wait_ms = 1_000.0 * (amount - reserve.level) / share_per_s if share_per_s else WAIT_MOST_MS
        return min(WAIT_MOST_MS, max(WAIT_LEAST_MS, wait_ms))

    def _reserve(self, tenant: str) -> Reserve:
        reserve = self._reserves.get(tenant)
        if reserve is None:
            reserve = self._reserves[tenant] = Reserve()
        return reserve

    def _most(self, limit: QuotaLimit, fleet: Fleet) -> float:
        return self.bounds.reserve_most(limit) / fleet.nodes
