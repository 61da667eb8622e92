"""Parts of tenants' quotas, by demand: the sum over all processes stays under the quota without a word more.

Each tells its demand; each computes its own part by the same rule from what it has heard. Demand that is
met by the quota gets the quota shared in proportion, else the level that max-min fairness gives. Parts grow
late and shrink at once: of its own demand a process takes the least that it told within `SPREAD_MS`, of the
others' the most that it heard within it. If all that was told before that has come to all, then every
process takes for every other no less than that one takes for itself; a part falls with the demand of
others, so each part is no more than the rule gives for one and the same set of demands, and these add up
to the quota at most.

Beyond the bound a member counts with an even part, so those cut off from each other keep to even parts of
those on their side. With max-min fairness an even part is never taken from who wants it, so one side that
still hears of the other's small demand can't be surprised by more than the bound.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from dunlinloft.fleet.shared_state.messages import Pulse

BOUND_MS = 2_000.0  # a demand that may be older counts as an even part
SPREAD_MS = 1_200.0  # within which what was told has come to all, in a fleet that is whole
RATE_MS = 4_000.0  # time constant of a demand
STICKY = 0.08  # of what was told, or one standard deviation by chance: less than that is no news
FLOOR_SHARE = 0.1  # of an even part that each process counts with at least: its next request may come
ENOUGH = 3.0  # answers a second, tuned to, from which a loop's share is evidence


class Demand:
    """Requests a second for one tenant here, and what was told of it."""

    __slots__ = ("_at_ms", "_begun_ms", "_count", "told")

    def __init__(self, now: float) -> None:
        self._count, self._at_ms, self._begun_ms = 0.0, now, now
        self.told: deque[tuple[float, float]] = deque()  # when, and how much, the last SPREAD_MS

    def asked(self, now: float) -> None:
        """One more."""
        self._count = self._count * math.exp((self._at_ms - now) / RATE_MS) + 1.0
        self._at_ms = now

    def per_s(self, now: float) -> float:
        """The rate, from no less than a second's evidence."""
        span = RATE_MS * (1.0 - math.exp((self._begun_ms - now) / RATE_MS))
        return 1000.0 * self._count * math.exp((self._at_ms - now) / RATE_MS) / max(1000.0, span)


def _note(told: deque[tuple[float, float]], value: float, now: float) -> None:
    """Remember a value as the latest, and those that were in force within the last `SPREAD_MS`."""
    if not told or told[-1][1] != value:
        told.append((now, value))
    while len(told) > 1 and told[1][0] <= now - SPREAD_MS:
        told.popleft()


def part(quota: float, own: float, others: list[float]) -> float:
    """One process's part of a quota, by its own demand and the others'.

    Grows with its own and falls with any other's; the parts of all add up to the quota at most.
    """
    total = own + sum(others)
    if total <= quota:
        # The quotient first: of the least of demands the product has no digits, and gave more than all.
        return max(own, quota * (own / total)) if total else quota / (1 + len(others))
    left, count = quota, 1 + len(others)
    for demand in sorted((own, *others)):
        level = left / count
        if demand >= level:
            return min(own, level)
        left, count = left - demand, count - 1
    return own


class Limits:
    """One process's parts."""

    def __init__(self, name: str, quotas: dict[str, float], now: float) -> None:
        self._name, self._begun_ms = name, now
        self.quotas = dict(quotas)
        self._own: dict[str, Demand] = {}
        self._heard: dict[str, dict[str, deque[tuple[float, float]]]] = {}  # by process and tenant
        self.fallback = True  # some count with an even part
        self.known = 0  # whose demand is known, this process too

    def asked(self, tenant: str, now: float) -> None:
        """A request has come."""
        if tenant in self.quotas:
            self._own.setdefault(tenant, Demand(now)).asked(now)

    def demand(self, now: float) -> dict[str, float]:
        """What to tell; from now on it is what was told."""
        found: dict[str, float] = {}
        for tenant, demand in self._own.items():
            value = round(demand.per_s(now), 1)
            before = demand.told[-1][1] if demand.told else 0.0
            if before and abs(value - before) < max(STICKY * before, math.sqrt(500.0 * before / RATE_MS)):
                value = before
            _note(demand.told, value, now)
            if value:
                found[tenant] = value
        return found

    def hear(self, pulses: Iterable[tuple[str, Pulse]], now: float) -> set[str]:
        """Take what others tell, none of it beyond the bound; whose demand is known by it."""
        fresh = set()
        for writer, pulse in pulses:
            fresh.add(writer)
            mine = self._heard.setdefault(writer, {})
            for tenant in self.quotas:
                if tenant in pulse.demand or tenant in mine:
                    _note(mine.setdefault(tenant, deque()), pulse.demand.get(tenant, 0.0), now)
        for writer in self._heard.keys() - fresh:
            del self._heard[writer]
        return fresh

    def parts(self, counted: frozenset[str], base: int, fresh: set[str], now: float) -> dict[str, float]:
        """Parts of each quota, in requests a second, where so many count, and these by name."""
        known = fresh & counted
        unknown = max(0, base - 1 - len(known))
        young = now - self._begun_ms < SPREAD_MS  # others may not have heard of it yet
        self.fallback, self.known = unknown > 0 or young, len(known) + 1
        found = {}
        for tenant, quota in self.quotas.items():
            even = quota / max(1, base)
            floor = FLOOR_SHARE * even
            others = [even] * unknown
            for name in known:
                told = self._heard[name].get(tenant)
                others.append(floor + max((value for _, value in told), default=0.0) if told else floor)
            own = self._own.get(tenant)
            least = min((value for _, value in own.told), default=0.0) if own is not None else 0.0
            own_part = part(quota, floor + least, others)
            found[tenant] = min(even, own_part) if young else own_part
        return found


def retry_share(pulses: Iterable[Pulse]) -> float:
    """The share of retries that all loops together allow; 1 where too little is known.

    A loop that has measured little allows all; the others know better.
    """
    allowed = tuned = 0.0
    for pulse in pulses:
        if pulse.tuned >= ENOUGH:
            allowed, tuned = allowed + pulse.allowed, tuned + pulse.tuned
    return min(1.0, allowed / tuned) if tuned else 1.0
