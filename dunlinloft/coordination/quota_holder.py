"""A node's side of tenants' quotas: what it may spend without the owner.

Its reserve of a tenant was drawn from the owner's bucket before. Once it has been without the owner for
`ALONE_AFTER_MS`, its standing share of the rate is added: by then the owner, if there is one, counts this
node among those that it doesn't hear (`nodes.CONTACT_MS`), and fills its bucket by so much less. The share
ends on this node's own clock. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.coordination.nodes import CONTACT_MS
from dunlinloft.coordination.quota_shares import SHARE_VALID_MS
from dunlinloft.coordination.quotas import QuotaBounds, QuotaLimit

TELL_AFTER_MS = 150.0  # without its owner, before the node tells it so: most silences are shorter
LATE_MS = 100.0  # without any answer from an owner, until when the next one is waited for
ALONE_AFTER_MS = CONTACT_MS + 50.0  # before the standing share is added
USEFUL_X = 1.0  # times the mean request of late that a reserve has to be able to hold, to be of any use
SIZE_WEIGHT = 0.1  # of a request in that mean
WAIT_LEAST_MS, WAIT_MOST_MS = 100.0, 1_000.0  # that a refused request is told to wait


@dataclass(slots=True)
class Reserve:
    """What one node holds of one tenant's quota."""

    level: float = 0.0
    share: float = 0.0  # of the rate; until
    share_until_ms: float = 0.0
    filled_ms: float = 0.0  # up to when the share has been added to the level
    alone_since_ms: float | None = None  # when what no owner has answered since was asked
    mean: float = 0.0  # request of late

    def share_at(self, now_ms: float) -> float:
        """The share that is held now."""
        return self.share if now_ms < self.share_until_ms else 0.0


@dataclass(slots=True)
class QuotaHolder:
    """One node's reserves and shares, and the owners that it is out of reach of."""

    bounds: QuotaBounds
    _reserves: dict[str, Reserve] = field(default_factory=dict)
    _silent_since_ms: dict[str, float] = field(default_factory=dict)  # by owner

    def hears(self, owner: str, now_ms: float) -> bool:
        """Whether an owner answers; told to it with each word."""
        return _short(self._silent_since_ms.get(owner), now_ms)

    def answers(self, owner: str, now_ms: float) -> bool:
        """Whether an owner answered what was asked a moment ago: a further answer may only be late."""
        since_ms = self._silent_since_ms.get(owner)
        return since_ms is None or now_ms - since_ms < LATE_MS

    def alone(self, tenant: str, now_ms: float) -> bool:
        """Whether a tenant's quota is, or soon will be, spent here without its owner; told with each ask."""
        return not _short(self._reserve(tenant).alone_since_ms, now_ms)

    def unanswered(self, owner: str, tenant: str, asked_ms: float) -> None:
        """An owner did not answer, or isn't one."""
        self._silent_since_ms.setdefault(owner, asked_ms)
        reserve = self._reserve(tenant)
        if reserve.alone_since_ms is None:
            reserve.alone_since_ms = asked_ms

    def answered(self, owner: str, tenant: str) -> None:
        """The owner answered: this node no longer spends without it."""
        self._silent_since_ms.pop(owner, None)
        self._reserve(tenant).alone_since_ms = None

    def held(self, tenant: str, now_ms: float) -> float:
        """The share that is held now."""
        return self._reserve(tenant).share_at(now_ms)

    def shares(self, now_ms: float) -> dict[str, float]:
        """All shares that are held now, by tenant."""
        held = {tenant: reserve.share_at(now_ms) for tenant, reserve in self._reserves.items()}
        return {tenant: share for tenant, share in held.items() if share}

    def wanted(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """How much more the reserve should hold, as a request of an amount comes.

        None where it could hold no usual request: it would only keep from others what nobody can spend.
        """
        reserve = self._reserve(tenant)
        reserve.mean += (amount - reserve.mean) * (SIZE_WEIGHT if reserve.mean else 1.0)
        most = self._most(reserve, limit, now_ms)
        return max(0.0, most - reserve.level) if most >= USEFUL_X * reserve.mean else 0.0

    def reserves(self) -> dict[str, float]:
        """All reserves, by tenant."""
        return {tenant: reserve.level for tenant, reserve in self._reserves.items() if reserve.level}

    def drawn(
        self, tenant: str, limit: QuotaLimit, amount: float, share: float, asked_ms: float, now_ms: float
    ) -> None:
        """The owner added to the reserve, and gave a share."""
        reserve = self._reserve(tenant)
        reserve.share = share
        reserve.share_until_ms = asked_ms + SHARE_VALID_MS
        reserve.level = min(self._most(reserve, limit, now_ms), reserve.level + amount)

    def spend_alone(self, tenant: str, limit: QuotaLimit, amount: float, now_ms: float) -> float:
        """Spend without the owner; the wait in ms until it may be tried again, 0 where it was spent."""
        reserve = self._reserve(tenant)
        share_per_s = limit.rate_per_s * reserve.share
        since_ms = now_ms if reserve.alone_since_ms is None else reserve.alone_since_ms
        begins_ms = max(since_ms + ALONE_AFTER_MS, reserve.filled_ms)
        ends_ms = min(now_ms, reserve.share_until_ms)
        if ends_ms > begins_ms:
            most = max(self._most(reserve, limit, now_ms), amount)
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

    def _most(self, reserve: Reserve, limit: QuotaLimit, now_ms: float) -> float:
        return self.bounds.reserve_most(limit) * reserve.share_at(now_ms)


def _short(since_ms: float | None, now_ms: float) -> bool:
    """Whether a silence, if there is one, has been too short to be told."""
    return since_ms is None or now_ms - since_ms < TELL_AFTER_MS
