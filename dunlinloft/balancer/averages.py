"""Running averages and counts of what was observed; what follows from them is decided elsewhere."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from dunlinloft.balancer import interface as api


class DecayingRate:
    """Events a second, decayed exponentially with a time constant; the clock starts with the first event."""

    __slots__ = ("_time_constant_ms", "_updated_ms", "events", "span_s")

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._updated_ms = -math.inf
        self.events = 0.0
        self.span_s = 0.0

    def count(self, events: float, now_ms: float) -> None:
        """Add events, or none to let the clock run."""
        passed_ms = max(0.0, now_ms - self._updated_ms) if self._updated_ms > -math.inf else 0.0
        if passed_ms or self._updated_ms == -math.inf:
            self._updated_ms = now_ms
            decay = math.exp(-passed_ms / self._time_constant_ms)
            self.events *= decay
            self.span_s = self.span_s * decay + (1 - decay) * self._time_constant_ms / 1000.0
        self.events += events

    def skip(self, now_ms: float) -> None:
        """Exclude the time since the last call from the rate."""
        if self._updated_ms > -math.inf:
            self._updated_ms = max(self._updated_ms, now_ms)

    def per_s(self) -> float:
        """The rate as of the last call, never from less than a second's evidence."""
        return self.events / max(1.0, self.span_s)


class SlidingWindowCounter:
    """Events within the last `window_ms`, counted exactly, both ends included."""

    __slots__ = ("_times_ms", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque()

    def set_window(self, window_ms: float) -> None:
        """Use another window from now on; events already dropped stay dropped."""
        self._window_ms = window_ms

    def add(self, now_ms: float) -> None:
        """Count an event; old ones are dropped here too, as `count` may never be called."""
        self.count(now_ms)
        self._times_ms.append(now_ms)

    def count(self, now_ms: float) -> int:
        """The events in the window that ends now."""
        while self._times_ms and self._times_ms[0] < now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)


class ClassStatistics:
    """How each class of requests fares, averaged over about `samples` requests.

    Attributes
    ----------
    value
        Of an answer, by class.
    request_share
        Share of the requests that are of a class.
    on_time_share
        Share of a class answered within its latency target.
    latency_ms
        Mean latency of a class; 0: not measured yet.
    """

    def __init__(self, classes: Iterable[api.RequestClass], samples: float) -> None:
        self._samples = samples
        self._current: set[str] = set()  # classes that requests may still come for
        self.value: dict[str, float] = {}
        self.request_share: dict[str, float] = {}
        self.on_time_share: dict[str, float] = {}
        self.latency_ms: dict[str, float] = {}
        self.set_classes(classes)

    def set_classes(self, classes: Iterable[api.RequestClass]) -> None:
        """Take these for the current classes; one that vanished fades, as requests of it are in flight."""
        current = {cls.name: cls.value for cls in classes}
        even = 1.0 / len(current)
        for name in current:
            self.request_share.setdefault(name, even if not self._current else 1.0 / self._samples)
            self.on_time_share.setdefault(name, 1.0)
            self.latency_ms.setdefault(name, 0.0)
        self.value |= current
        self._current = set(current)

    def count_request(self, name: str) -> None:
        """A request of a class was accepted."""
        for other in self.request_share:
            self.request_share[other] += ((other == name) - self.request_share[other]) / self._samples

    def count_answer(self, name: str, on_time: bool) -> None:
        """A request of a class was answered, within its latency target or not."""
        self.on_time_share[name] += (on_time - self.on_time_share[name]) / self._samples

    def record_latency(self, name: str, latency_ms: float) -> None:
        """Take the latency of a served request; the first sample sets the mean."""
        mean_ms = self.latency_ms[name]
        self.latency_ms[name] += (latency_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def lowest_on_time_share(self) -> float:
        """The on-time share of the worst-served class."""
        return min(self.on_time_share[name] for name in self._current)

    def mean_value(self) -> float:
        """The value of a request on average."""
        mean = sum(self.request_share[name] * value for name, value in self.value.items())
        return mean or max(self.value.values()) or 1.0
