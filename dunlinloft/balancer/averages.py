"""Running averages and counters of observations; decisions based on them are made elsewhere."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from dunlinloft.balancer import interface as api


class DecayingRate:
    """Exponentially decayed rate of events per second, measured from the first event on."""

    __slots__ = ("_time_constant_ms", "_updated_ms", "events", "span_s")

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._updated_ms = -math.inf
        self.events = 0.0
        self.span_s = 0.0

    def count(self, events: float, now_ms: float) -> None:
        """Add events, and decay the rate by the time that has passed; 0 events only decay it."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms) if self._updated_ms > -math.inf else 0.0
        if elapsed_ms or self._updated_ms == -math.inf:
            self._updated_ms = now_ms
            decay = math.exp(-elapsed_ms / self._time_constant_ms)
            self.events *= decay
            self.span_s = self.span_s * decay + (1 - decay) * self._time_constant_ms / 1000.0
        self.events += events

    def skip(self, now_ms: float) -> None:
        """Exclude the time since the last update from the rate."""
        if self._updated_ms > -math.inf:
            self._updated_ms = max(self._updated_ms, now_ms)

    def per_s(self) -> float:
        """Return the rate as of the last update, averaged over at least one second."""
        return self.events / max(1.0, self.span_s)


class SlidingWindowCounter:
    """Exact number of events within the last `window_ms`, both ends included."""

    __slots__ = ("_times_ms", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque()

    def set_window(self, window_ms: float) -> None:
        """Change the window; events that were already dropped stay dropped."""
        self._window_ms = window_ms

    def add(self, now_ms: float) -> None:
        """Add an event, and drop expired ones, as `count` may never be called."""
        self.count(now_ms)
        self._times_ms.append(now_ms)

    def count(self, now_ms: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times_ms and self._times_ms[0] < now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)


class ClassStatistics:
    """Request statistics by class, averaged over about `samples` requests.

    Attributes
    ----------
    value
        Value of an answer, by class.
    request_share
        Share of all requests, by class.
    on_time_share
        Share of requests answered within their latency target, by class.
    latency_ms
        Mean latency, by class; 0 before the first measurement.
    """

    def __init__(self, classes: Iterable[api.RequestClass], samples: float) -> None:
        self._samples = samples
        self._current_classes: set[str] = set()  # names of the configured classes
        self.value: dict[str, float] = {}
        self.request_share: dict[str, float] = {}
        self.on_time_share: dict[str, float] = {}
        self.latency_ms: dict[str, float] = {}
        self.set_classes(classes)

    def set_classes(self, classes: Iterable[api.RequestClass]) -> None:
        """Set the current classes; statistics of a removed one stay, as its requests may be in flight."""
        current = {cls.name: cls.value for cls in classes}
        equal_share = 1.0 / len(current)
        for name in current:
            self.request_share.setdefault(
                name, equal_share if not self._current_classes else 1.0 / self._samples
            )
            self.on_time_share.setdefault(name, 1.0)
            self.latency_ms.setdefault(name, 0.0)
        self.value |= current
        self._current_classes = set(current)

    def count_request(self, name: str) -> None:
        """Count an accepted request."""
        for other in self.request_share:
            self.request_share[other] += ((other == name) - self.request_share[other]) / self._samples

    def count_answer(self, name: str, on_time: bool) -> None:
        """Count an answered request; `on_time`: within its latency target."""
        self.on_time_share[name] += (on_time - self.on_time_share[name]) / self._samples

    def record_latency(self, name: str, latency_ms: float) -> None:
        """Add the latency of a served request to the mean; the first sample sets it."""
        mean_ms = self.latency_ms[name]
        self.latency_ms[name] += (latency_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def lowest_on_time_share(self) -> float:
        """Return the on-time share of the worst-served class."""
        return min(self.on_time_share[name] for name in self._current_classes)

    def mean_value(self) -> float:
        """Return the mean value of a request."""
        mean = sum(self.request_share[name] * value for name, value in self.value.items())
        return mean or max(self.value.values()) or 1.0
