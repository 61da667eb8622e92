"""Admission control for first attempts at the tier that clients call: window, load shedding and priority.

Deeper tiers neither limit nor shed first attempts, as a rejection there wastes the work done above.
"""

from __future__ import annotations

import random

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.averages import ClassStatistics
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.calls_in_flight import CallsInFlight
from dunlinloft.balancer.canary import CanaryCap
from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.balancer.latency_baseline import PEER_SAMPLES, LatencyBaseline
from dunlinloft.balancer.server_set import ServerSet

RESERVED_SHARE = 0.15  # share of the window that is reserved for the class of the highest value
# How long a call may queue for the window, as a share of its latency target. Deeper tiers wait longer, as
# giving up there wastes more work.
QUEUE_SHARE = 0.08
DEEPER_TIER_QUEUE_SHARE = 0.5


class Admission:
    """Bounds the calls in flight by the delay controller's window, and sheds calls of the lowest value first.

    Owned by `Balancer`, whose components it reads.
    """

    def __init__(
        self,
        settings: api.Settings,
        server_set: ServerSet,
        controller: DelayController,
        baseline: LatencyBaseline,
        statistics: ClassStatistics,
        in_flight: CallsInFlight,
        canary: CanaryCap,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._server_set = server_set
        self._controller = controller
        self._baseline = baseline
        self._statistics = statistics
        self._in_flight = in_flight
        self._canary = canary
        self._rng = rng
        self._current_classes: list[str] = []  # names of the configured classes
        # By class name. Removed classes keep their entry, as calls of them may still be queued.
        self._latency_target_ms: dict[str, float] = {}
        self._measured_capacity = 0.0  # capacity that served the recently measured answers, in servers
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings and keep the measurements."""
        self._settings = settings
        self._current_classes = list(dict.fromkeys(cls.name for cls in settings.classes))
        self._latency_target_ms |= {cls.name: cls.latency_target_ms for cls in settings.classes}

    def should_shed(self, call: Call, now_ms: float) -> bool:
        """Return whether to shed a call; the controller's shed share is filled from the lowest values up."""
        shed_share = 0.0 if self._settings.tier else self._controller.shed_share(now_ms)
        if not shed_share:
            return False
        values = {name: self.value(name, False) for name in self._current_classes}
        call_value = self.value(call.cls.name, call.over_quota)
        request_share = self._statistics.request_share
        less_valuable = sum(request_share[name] for name, value in values.items() if value < call_value)
        return self._rng.random() * request_share[call.cls.name] < shed_share - less_valuable

    def must_wait(self, call: Call, now_ms: float) -> bool:
        """Return whether a call has to wait, as the window is full or the rest of it is reserved.

        The window is the delay controller's, reduced by the part for servers that have left or restarted.
        """
        if self._settings.tier:
            return False
        if not self._in_flight.count:  # idle time must not lower the measured answer rate
            self._controller.busy_answer_rate.skip(now_ms)
        window = self._controller.window(self._server_set.slice_size, now_ms)
        if self._measured_capacity:  # servers that the rate was measured on may have left or restarted
            window = max(1.0, window * min(1.0, self._capacity(now_ms) / self._measured_capacity))
        unreserved = (1.0 - RESERVED_SHARE) * window
        if self._in_flight.count < unreserved:
            return False
        self.record_stuck(now_ms)
        in_flight = self._in_flight.count - len(self._in_flight.stuck)
        if in_flight < unreserved:
            return False
        highest_value = max(self.value(name, False) for name in self._current_classes)
        return in_flight >= window or self.value(call.cls.name, call.over_quota) < highest_value

    def queue_until_ms(self, call: Call) -> float:
        """Return until when a call may queue and still be answered within its latency target."""
        share = DEEPER_TIER_QUEUE_SHARE if self._settings.tier else QUEUE_SHARE
        return min(call.arrived_ms + share * call.cls.latency_target_ms, call.deadline_ms)

    def value(self, cls: str, over_quota: bool) -> float:
        """Return the value of an answer to a class per millisecond of server time."""
        statistics = self._statistics
        value = statistics.value[cls] / statistics.mean_value()
        # Strict priority by value would starve the worst-served class.
        if statistics.on_time_share[cls] <= statistics.lowest_on_time_share():
            request_share = max(statistics.request_share[cls], 1.0 / PEER_SAMPLES**2)
            value += self._settings.worst_class_weight / request_share
        if over_quota:  # a tenant that exceeds its quota waits behind the others
            value *= self._settings.over_quota_value
        usual_ms = statistics.latency_ms[cls] or self._baseline.usual_share * self._latency_target_ms[cls]
        return value / max(1.0, usual_ms)

    def record_stuck(self, now_ms: float) -> None:
        """Record which calls are stuck at unresponsive servers."""
        self._in_flight.record_stuck(self._server_set.unresponsive(now_ms, self._baseline.usual_share))

    def record_answer(self, now_ms: float) -> None:
        """Update the average capacity that the measured answers came from."""
        change = self._capacity(now_ms) - self._measured_capacity
        self._measured_capacity += change / max(1.0, self._controller.answer_rate.events)

    def _capacity(self, now_ms: float) -> float:
        """Return the capacity for first attempts, in servers; those in slow start count in part."""
        unresponsive = self._server_set.unresponsive(now_ms, self._baseline.usual_share)
        ready = self._server_set.ready
        canary = self._canary
        factor = canary.weight_factor(ready, self._settings, now_ms)  # share of canary capacity in use
        capacity = 0.0
        for server in ready:  # a plain loop for speed: this runs several times for each call
            if now_ms < server.ejected_until_ms or (unresponsive and server in unresponsive):
                continue
            share = server.subset_share
            if server.started_ms is not None:
                share *= server.slow_start_share(now_ms, self._settings)
            capacity += share * factor if server.id in canary.servers else share
        return capacity
