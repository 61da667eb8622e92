"""Admission of first attempts at the clients' tier: the window, load shedding and who goes first.

Deeper tiers do neither, as a rejection there wastes the work done above.
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

RESERVED_SHARE = 0.15  # of the window, kept for the class of most value
# How long a call may queue for the window, over its latency target; deeper, giving up wastes more.
QUEUE_SHARE = 0.08
QUEUE_SHARE_DEEPER = 0.5


class Admission:
    """Bounds the calls in flight by the delay controller's window, and sheds those of least value first.

    Owned by `Balancer`, whose parts it reads.
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
        self._current: list[str] = []  # names of the classes that requests may come for
        # Of classes that have vanished too: their calls may be queued.
        self._latency_target_ms: dict[str, float] = {}
        self._measured_capacity = 0.0  # that the recent answers came from
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Take new settings; what was measured stays."""
        self._settings = settings
        self._current = list(dict.fromkeys(cls.name for cls in settings.classes))
        self._latency_target_ms |= {cls.name: cls.latency_target_ms for cls in settings.classes}

    def sheds(self, call: Call, now_ms: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed_share = 0.0 if self._settings.tier else self._controller.shed_share(now_ms)
        if not shed_share:
            return False
        values = {name: self.value(name, False) for name in self._current}
        own = self.value(call.cls.name, call.over_quota)
        request_share = self._statistics.request_share
        less_valuable = sum(request_share[name] for name, value in values.items() if value < own)
        return self._rng.random() * request_share[call.cls.name] < shed_share - less_valuable

    def window_full(self, call: Call, now_ms: float) -> bool:
        """Whether a call has to wait: the window is full, or what is left of it is reserved.

        The window is what the delay target bears, less what servers that left or restarted bore of it.
        """
        if self._settings.tier:
            return False
        if not self._in_flight.count:  # while nothing was in flight, nothing was measured
            self._controller.busy_answer_rate.skip(now_ms)
        window = self._controller.window(self._server_set.slice_size, now_ms)
        if self._measured_capacity:  # the rate's servers may have left or restarted by now
            window = max(1.0, window * min(1.0, self._capacity(now_ms) / self._measured_capacity))
        unreserved = (1.0 - RESERVED_SHARE) * window
        if self._in_flight.count < unreserved:
            return False
        self.record_stuck(now_ms)
        in_flight = self._in_flight.count - len(self._in_flight.stuck)
        if in_flight < unreserved:
            return False
        most = max(self.value(name, False) for name in self._current)
        return in_flight >= window or self.value(call.cls.name, call.over_quota) < most

    def queue_until_ms(self, call: Call) -> float:
        """Until when a call may queue so that an answer within its latency target is still possible."""
        share = QUEUE_SHARE_DEEPER if self._settings.tier else QUEUE_SHARE
        return min(call.arrived_ms + share * call.cls.latency_target_ms, call.deadline_ms)

    def value(self, cls: str, over_quota: bool) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes a server."""
        statistics = self._statistics
        value = statistics.value[cls] / statistics.mean_value()
        if statistics.on_time_share[cls] <= statistics.lowest_on_time_share():  # strict order would starve it
            request_share = max(statistics.request_share[cls], 1.0 / PEER_SAMPLES**2)
            value += self._settings.worst_class_weight / request_share
        if over_quota:  # a flooding tenant waits behind others
            value *= self._settings.over_quota_value
        usual_ms = statistics.latency_ms[cls] or self._baseline.usual_share * self._latency_target_ms[cls]
        return value / max(1.0, usual_ms)

    def record_stuck(self, now_ms: float) -> None:
        """Note which calls are stuck at servers that stopped responding."""
        self._in_flight.record_stuck(self._server_set.unresponsive(now_ms, self._baseline.usual_share))

    def record_answer(self, now_ms: float) -> None:
        """An answer was measured: the window follows the capacity that such answers came from."""
        change = self._capacity(now_ms) - self._measured_capacity
        self._measured_capacity += change / max(1.0, self._controller.answer_rate.events)

    def _capacity(self, now_ms: float) -> float:
        """What there is to take first attempts now, in servers; by share of those in slow start."""
        lost = self._server_set.unresponsive(now_ms, self._baseline.usual_share)
        ready = self._server_set.ready
        canary = self._canary
        factor = canary.weight_factor(ready, self._settings, now_ms)  # the rest may not be sent there
        capacity = 0.0
        for server in ready:  # a loop, as this is asked several times for each call
            if now_ms < server.ejected_until_ms or (lost and server in lost):
                continue
            own = server.subset_share
            if server.started_ms is not None:
                own *= server.slow_start_share(now_ms, self._settings)
            capacity += own * factor if server.id in canary.servers else own
        return capacity
