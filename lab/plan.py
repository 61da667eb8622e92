"""Everything drawn from a seed before a run: arrivals, request work and machine properties.

Both hosts run the same plan, so a seed means the same traffic on both. Each purpose has its own random
stream, so that an additional draw for one purpose does not change the others.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

import numpy as np

from lab.names import Names
from lab.scenario import Scenario, Span


def stream(seed: int, purpose: str) -> np.random.Generator:
    """Return the random stream for a purpose."""
    return np.random.default_rng([seed, zlib.crc32(purpose.encode())])


def draw(span: Span, random: np.random.Generator) -> float:
    """Draw one value from a span."""
    return float(random.uniform(span[0], span[1])) if isinstance(span, list) else float(span)


def lognormal(mean: float, cv: float, size: int, random: np.random.Generator) -> np.ndarray:
    """Draw lognormal values with this mean and coefficient of variation."""
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return random.lognormal(math.log(mean) - sigma * sigma / 2.0, sigma, size) if mean else np.zeros(size)


@dataclass(slots=True)
class Arrival:
    """One request of a caller, as planned."""

    at_ms: float
    node: str  # home node, used while it accepts callers
    cls: int  # index in the scenario
    tenant: int  # index in the scenario; -1: none
    work_ms: float  # over all tiers
    leaves_ms: float  # delay until the caller disconnects; inf: never
    honours: bool  # whether the caller honours `Retry-After`


class Plan:
    """All random draws made in advance for a scenario and a seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.names = Names(scenario)
        machines = stream(seed, "machines")
        network = scenario.network
        self.same_ms, self.cross_ms = draw(network.same_ms, machines), draw(network.cross_ms, machines)
        self.speeds = {
            name: draw(tier.speed, machines)
            for tier, names in zip(scenario.tiers, self.names.tiers, strict=True)
            for name in names
        }
        classes = stream(seed, "classes")
        self.work_ms = [draw(cls.work_ms, classes) for cls in scenario.classes]
        shares = np.array([cls.share for cls in scenario.classes])
        self.mix = shares / shares.sum()
        self.mean_work_ms = float(np.dot(self.mix, self.work_ms))
        self.notice_ms = 1000.0 * draw(scenario.callers.notice_s, classes)
        self.backoff_ms = draw(scenario.callers.backoff_ms, classes)
        self.rate_per_s = self._rate(classes)
        self.weights = self._weights(stream(seed, "skew"))
        self.arrivals = self._arrivals(stream(seed, "arrivals"))

    def capacity_per_s(self, tier: int) -> float:
        """Return the maximum request rate of a tier's warm servers, in requests per second."""
        spec = self.scenario.tiers[tier]
        calls = math.prod(t.calls for t in self.scenario.tiers[:tier])
        speed = sum(self.speeds[name] for name in self.names.tiers[tier])
        return 1000.0 * spec.cores * speed / max(1e-9, self.mean_work_ms * spec.work * calls)

    def _rate(self, random: np.random.Generator) -> float:
        arrivals = self.scenario.arrivals
        load = draw(arrivals.load, random)
        return arrivals.rate_per_s or load * self.capacity_per_s(0)

    def _weights(self, random: np.random.Generator) -> np.ndarray:
        """Return each node's share of the traffic: the busiest gets `skew` times the mean."""
        count, skew = len(self.names.nodes), self.scenario.arrivals.skew
        # A geometric series whose first term is `skew` times the mean; its ratio is found by bisection.
        low, high = 0.0, 1.0
        for _ in range(60):
            ratio = (low + high) / 2.0
            first = count * (1.0 - ratio) / (1.0 - ratio**count) if ratio < 1.0 else 1.0
            low, high = (ratio, high) if first > min(skew, count) else (low, ratio)
        weights = np.power(high, np.arange(count)) if skew > 1.0 else np.ones(count)
        random.shuffle(weights)
        return np.asarray(weights / weights.sum())

    def rate_at(self, at_s: np.ndarray) -> np.ndarray:
        """Return the arrival rate at these times, in requests per second."""
        arrivals = self.scenario.arrivals
        rate = self.rate_per_s * (1.0 + arrivals.swing * np.sin(2.0 * math.pi * at_s / arrivals.swing_s))
        for burst in arrivals.bursts:
            inside = (at_s >= burst.at_s) & (at_s < burst.at_s + burst.for_s)
            rate = np.where(inside, rate * burst.times, rate)
        return np.asarray(rate)

    def _arrivals(self, random: np.random.Generator) -> list[Arrival]:
        scenario, length_s = self.scenario, self.scenario.day.length_s
        sample_times = np.linspace(0.0, length_s, 2000)
        peak_rate = float(self.rate_at(sample_times).max())
        # Thinning (Lewis and Shedler, 1979): draw at the peak rate, keep each with probability rate / peak.
        times = np.sort(random.uniform(0.0, length_s, random.poisson(peak_rate * length_s)))
        times = times[random.uniform(0.0, peak_rate, len(times)) < self.rate_at(times)]
        count = len(times)
        nodes = random.choice(len(self.weights), count, p=self.weights)
        classes = random.choice(len(self.mix), count, p=self.mix)
        tenants = np.full(count, -1)
        if scenario.tenants:
            shares = np.array([tenant.share for tenant in scenario.tenants])
            tenants = random.choice(len(shares), count, p=shares / shares.sum())
        work_ms = np.empty(count)
        for n, cls in enumerate(scenario.classes):
            of_class = classes == n
            work_ms[of_class] = lognormal(self.work_ms[n], cls.cv, int(of_class.sum()), random)
        leave_delays = np.where(
            random.uniform(size=count) < scenario.callers.impatient,
            random.uniform(5.0, 1500.0, count),
            math.inf,
        )
        honours = random.uniform(size=count) < scenario.callers.honours
        names = list(self.names.nodes)
        return [
            Arrival(
                float(at) * 1000.0, names[node], int(cls), int(tenant), float(work), float(leave), bool(kind)
            )
            for at, node, cls, tenant, work, leave, kind in zip(
                times, nodes, classes, tenants, work_ms, leave_delays, honours, strict=True
            )
        ]
