"""Octiles of a class's latencies, estimated online by stochastic approximation (Robbins and Monro 1951)."""

from __future__ import annotations

import bisect

from dunlinloft.fleet.releases.messages import LATENCY_BUCKETS

MIN_STEP = 0.03  # relative step by which one latency moves an octile at most, once many were observed
MIN_SAMPLES = 30  # latencies before the octiles are used


class LatencyQuantiles:
    """The seven boundaries between eight buckets of equal probability, for warm old servers."""

    __slots__ = ("_count", "boundaries_ms")

    def __init__(self, first_ms: float) -> None:
        self.boundaries_ms = [first_ms] * (LATENCY_BUCKETS - 1)
        self._count = 1

    def observe(self, latency_ms: float) -> None:
        """Add one latency."""
        self._count += 1
        step = max(MIN_STEP, 1.0 / self._count)
        for n, boundary in enumerate(self.boundaries_ms):
            quantile = (n + 1) / LATENCY_BUCKETS
            direction = quantile if latency_ms > boundary else quantile - 1.0
            self.boundaries_ms[n] = max(0.01, boundary * (1.0 + step * direction))
        self.boundaries_ms.sort()

    def bucket_of(self, latency_ms: float) -> int:
        """Return the index (0 to 7) of the bucket that contains a latency."""
        return bisect.bisect_left(self.boundaries_ms, latency_ms)

    def is_ready(self) -> bool:
        """Whether enough latencies were observed for the boundaries to be used."""
        return self._count >= MIN_SAMPLES
