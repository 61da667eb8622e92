"""Shares of tenants' quotas by demand; their sum stays within the quota without coordination.

Each process reports its demand and computes its own share by the same rule from the demands it has received.
If the quota covers the total demand, it is divided in proportion to demand, otherwise by max-min fairness.
Shares grow with a delay and shrink at once: a process uses the smallest of its own demands that it reported
within `DISSEMINATION_MS`, and the greatest that it received from each other process within that time. If
every earlier report has reached all members, each process assumes for every other at least the demand that
the other assumes for itself. A share falls with the demand of others, so each share is at most what the rule
gives for one common set of demands, and those shares add up to the quota at most.

A member whose reported demand is older than the bound counts with an even share, so each side of a partition
stays within the even shares of its members. Max-min fairness never takes an even share from a process that
demands it, so a side that still uses the other side's small demand can exceed the quota only until the bound
on its age.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from dunlinloft.fleet.shared_state.messages import Heartbeat

MAX_DEMAND_AGE_MS = 2_000.0  # a member whose reported demand may be older counts with an even share
DISSEMINATION_MS = 1_200.0  # within which a reported value reaches all members, without a partition
DEMAND_TIME_CONSTANT_MS = 4_000.0  # of the exponential average
# A change is not reported if it is less than this share of the reported demand, or less than one standard
# deviation of the random variation.
REPORT_HYSTERESIS = 0.08
# Share of an even share that each process is given at least, as its next request may come at any time.
MIN_DEMAND_SHARE = 0.1
MIN_MEASURED_RESPONSES = 3.0  # per second, from which a retry controller's rate counts


class ReportedDemand(NamedTuple):
    """A demand in requests/s, and since when it has been reported."""

    since_ms: float
    per_s: float


def _append(reported: deque[ReportedDemand], per_s: float, now: float) -> None:
    """Append the latest value, and drop those replaced more than `DISSEMINATION_MS` ago."""
    if not reported or reported[-1].per_s != per_s:
        reported.append(ReportedDemand(now, per_s))
    while len(reported) > 1 and reported[1].since_ms <= now - DISSEMINATION_MS:
        reported.popleft()


class Demand:
    """The rate of a tenant's requests at this process, and the values reported of it."""

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
        """Return the rate in requests/s, averaged over at least a second."""
        span_ms = DEMAND_TIME_CONSTANT_MS * (
            1.0 - math.exp((self._started_ms - now) / DEMAND_TIME_CONSTANT_MS)
        )
        decay = math.exp((self._updated_ms - now) / DEMAND_TIME_CONSTANT_MS)
        return 1000.0 * self._count * decay / max(1000.0, span_ms)


def quota_share(quota: float, own: float, others: list[float]) -> float:
    """Return one process's share of a quota from its own demand and the others'.

    The share grows with its own demand and falls with any other's; all shares add up to the quota at most.
    """
    total = own + sum(others)
    if total <= quota:
        # Divide first: for subnormal demands the product loses precision, and the share exceeded the quota.
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
        self.quotas = dict(quotas)  # by tenant, in requests/s
        self._own: dict[str, Demand] = {}
        self._received: dict[str, dict[str, deque[ReportedDemand]]] = {}  # by process and tenant
        self.fallback = True  # whether some members count with an even share
        self.known_count = 0  # members whose demand is known, this process included

    def request_received(self, tenant: str, now: float) -> None:
        """Count a tenant's request."""
        if tenant in self.quotas:
            self._own.setdefault(tenant, Demand(now)).add_request(now)

    def report_demand(self, now: float) -> dict[str, float]:
        """Return the demand to report, in requests/s by tenant; it counts as reported from now on."""
        rates: dict[str, float] = {}
        for tenant, demand in self._own.items():
            value = round(demand.per_s(now), 1)
            before = demand.reported[-1].per_s if demand.reported else 0.0
            deviation = math.sqrt(500.0 * before / DEMAND_TIME_CONSTANT_MS)
            if before and abs(value - before) < max(REPORT_HYSTERESIS * before, deviation):
                value = before
            _append(demand.reported, value, now)
            if value:
                rates[tenant] = value
        return rates

    def update_demand(self, heartbeats: Iterable[tuple[str, Heartbeat]], now: float) -> set[str]:
        """Take the others' demand from heartbeats within the age bound; return who wrote them."""
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
        """Return this process's share of each quota, in requests/s.

        Parameters
        ----------
        counted
            Names of the other members that count.
        member_count
            All members that count, including this process and those known by number only.
        fresh
            Members whose demand is known, from `update_demand`.
        """
        known = fresh & counted
        unknown_count = max(0, member_count - 1 - len(known))
        starting = now - self._started_ms < DISSEMINATION_MS  # others may not know of this process yet
        self.fallback = unknown_count > 0 or starting
        self.known_count = len(known) + 1
        shares_by_tenant = {}
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
            shares_by_tenant[tenant] = min(even, share) if starting else share
        return shares_by_tenant


def retry_share(heartbeats: Iterable[Heartbeat]) -> float:
    """Return the share of retries that all retry controllers together allow; 1 if too little is known.

    Controllers that have measured few responses are left out, as they allow all retries.
    """
    allowed = 0.0
    measured = 0.0
    for heartbeat in heartbeats:
        if heartbeat.measured_responses >= MIN_MEASURED_RESPONSES:
            allowed += heartbeat.allowed_retries
            measured += heartbeat.measured_responses
    return min(1.0, allowed / measured) if measured else 1.0
