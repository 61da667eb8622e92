"""Shares of tenants' quotas by demand, whose sum stays within the quota without coordination.

Each process reports its demand and computes its own share by the same rule from what it has received. If the
quota covers the demand, it is divided in proportion, otherwise by max-min fairness. Shares grow late and
shrink at once: of its own demand a process takes the least that it reported within `DISSEMINATION_MS`, of the
others' the greatest that it received within it. If everything reported before that has reached all, then
every process takes for every other no less than that one takes for itself; a share falls with the demand of
others, so each share is no more than the rule gives for one and the same set of demands, and these add up to
the quota at most.

Beyond the bound on its age a member's demand counts as an even share, so the sides of a partition keep to the
even shares of the members on their side. With max-min fairness an even share is never taken from a process
that demands it, so a side that still receives the other's small demand can exceed the quota only for as long
as the bound.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from dunlinloft.fleet.shared_state.messages import Heartbeat

MAX_DEMAND_AGE_MS = 2_000.0  # a member whose demand may be older counts with an even share
DISSEMINATION_MS = 1_200.0  # within which a reported value has reached all members, without a partition
DEMAND_TIME_CONSTANT_MS = 4_000.0  # of the exponential average
# A change of less than this share of the reported demand, or than one standard deviation by chance, is not
# reported.
REPORT_HYSTERESIS = 0.08
# Of an even share, that each process counts with at least: its next request may come at any time.
MIN_DEMAND_SHARE = 0.1
MIN_MEASURED_RESPONSES = 3.0  # a second, from which a retry controller's rate counts


class ReportedDemand(NamedTuple):
    """A demand in requests a second, and from when it was in force."""

    since_ms: float
    per_s: float


def _append(reported: deque[ReportedDemand], per_s: float, now: float) -> None:
    """Add the latest value, and keep those that were in force within the last `DISSEMINATION_MS`."""
    if not reported or reported[-1].per_s != per_s:
        reported.append(ReportedDemand(now, per_s))
    while len(reported) > 1 and reported[1].since_ms <= now - DISSEMINATION_MS:
        reported.popleft()


class Demand:
    """The rate of a tenant's requests at this process, and what was reported of it."""

    __slots__ = ("_count", "_started_ms", "_updated_ms", "reported")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_ms = now
        self._started_ms = now
        self.reported: deque[ReportedDemand] = deque()

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._count = self._count * math.exp((self._updated_ms - now) / DEMAND_TIME_CONSTANT_MS) + 1.0
        self._updated_ms = now

    def per_s(self, now: float) -> float:
        """Requests a second, averaged over a second at least."""
        span_ms = DEMAND_TIME_CONSTANT_MS * (
            1.0 - math.exp((self._started_ms - now) / DEMAND_TIME_CONSTANT_MS)
        )
        decay = math.exp((self._updated_ms - now) / DEMAND_TIME_CONSTANT_MS)
        return 1000.0 * self._count * decay / max(1000.0, span_ms)


def quota_share(quota: float, own: float, others: list[float]) -> float:
    """One process's share of a quota, by its own demand and the others'.

    Grows with its own and falls with any other's; the shares of all add up to the quota at most.
    """
    total = own + sum(others)
    if total <= quota:
        # The quotient first: for subnormal demands the product loses its digits, and gave more than all.
        return max(own, quota * (own / total)) if total else quota / (1 + len(others))
    remaining = quota
    count = 1 + len(others)
    for demand in sorted((own, *others)):
        level = remaining / count
        if demand >= level:
            return min(own, level)
        remaining -= demand
        count -= 1
    return own


class QuotaAllocator:
    """Computes one process's shares of all quotas."""

    def __init__(self, name: str, quotas: dict[str, float], now: float) -> None:
        self._name = name
        self._started_ms = now
        self.quotas = dict(quotas)  # by tenant, requests a second
        self._own: dict[str, Demand] = {}
        self._received: dict[str, dict[str, deque[ReportedDemand]]] = {}  # by process and tenant
        self.fallback = True  # some members count with an even share
        self.known_count = 0  # members whose demand is known, this process included

    def request_received(self, tenant: str, now: float) -> None:
        """Count a tenant's request."""
        if tenant in self.quotas:
            self._own.setdefault(tenant, Demand(now)).add_request(now)

    def report_demand(self, now: float) -> dict[str, float]:
        """The demand to report (requests a second, by tenant); it counts as reported from now on."""
        found: dict[str, float] = {}
        for tenant, demand in self._own.items():
            value = round(demand.per_s(now), 1)
            before = demand.reported[-1].per_s if demand.reported else 0.0
            deviation = math.sqrt(500.0 * before / DEMAND_TIME_CONSTANT_MS)
            if before and abs(value - before) < max(REPORT_HYSTERESIS * before, deviation):
                value = before
            _append(demand.reported, value, now)
            if value:
                found[tenant] = value
        return found

    def update_demand(self, heartbeats: Iterable[tuple[str, Heartbeat]], now: float) -> set[str]:
        """Take the others' demand from heartbeats within the bound; the members whose demand is known."""
        writers = set()
        for writer, heartbeat in heartbeats:
            writers.add(writer)
            received = self._received.setdefault(writer, {})
            for tenant in self.quotas:
                if tenant in heartbeat.demand or tenant in received:
                    reported = received.setdefault(tenant, deque())
                    _append(reported, heartbeat.demand.get(tenant, 0.0), now)
        for writer in self._received.keys() - writers:
            del self._received[writer]
        return writers

    def shares(
        self, counted: frozenset[str], member_count: int, fresh: set[str], now: float
    ) -> dict[str, float]:
        """This process's share of each quota, in requests a second.

        Parameters
        ----------
        counted
            The other members that count, by name.
        member_count
            All that count, this process and those known by number only included.
        fresh
            Members whose demand is known, from `update_demand`.
        """
        known = fresh & counted
        unknown_count = max(0, member_count - 1 - len(known))
        starting = now - self._started_ms < DISSEMINATION_MS  # others may not know of this process yet
        self.fallback = unknown_count > 0 or starting
        self.known_count = len(known) + 1
        found = {}
        for tenant, quota in self.quotas.items():
            even = quota / max(1, member_count)
            least = MIN_DEMAND_SHARE * even
            others = [even] * unknown_count
            for name in known:
                reported = self._received[name].get(tenant)
                others.append(least + max((d.per_s for d in reported), default=0.0) if reported else least)
            demand = self._own.get(tenant)
            own = min((d.per_s for d in demand.reported), default=0.0) if demand is not None else 0.0
            share = quota_share(quota, least + own, others)
            found[tenant] = min(even, share) if starting else share
        return found


def retry_share(heartbeats: Iterable[Heartbeat]) -> float:
    """The share of retries that all retry controllers together allow; 1 if too little is known.

    A controller that has measured little allows all retries; the others know better.
    """
    allowed = 0.0
    measured = 0.0
    for heartbeat in heartbeats:
        if heartbeat.measured_responses >= MIN_MEASURED_RESPONSES:
            allowed += heartbeat.allowed_retries
            measured += heartbeat.measured_responses
    return min(1.0, allowed / measured) if measured else 1.0
