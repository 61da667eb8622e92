"""Passes the results of attempts on to the components that measure the tier and its servers."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.admission import Admission
from dunlinloft.balancer.averages import ClassStatistics
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.balancer.idle_connections import IdleConnections
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.latency_baseline import LatencyBaseline
from dunlinloft.balancer.outlier_ejection import OutlierEjection
from dunlinloft.balancer.server import Server

# Results that don't prove that the server responded.
NO_RESPONSE = (Result.TIMEOUT, Result.UNREACHABLE, Result.CANCELLED, Result.NOT_SENT)


class Measurements:
    """Passes each result on to the components of the balancer that use it. Owned by `Balancer`."""

    def __init__(
        self,
        controller: DelayController,
        baseline: LatencyBaseline,
        statistics: ClassStatistics,
        admission: Admission,
        outlier_ejection: OutlierEjection,
        idle_connections: IdleConnections,
    ) -> None:
        self._controller = controller
        self._baseline = baseline
        self._statistics = statistics
        self._admission = admission
        self._outlier_ejection = outlier_ejection
        self._idle_connections = idle_connections

    def record_result(
        self,
        event: api.AttemptCompleted,
        call: Call | None,
        server: Server,
        already_measured: bool,
        now_ms: float,
    ) -> None:
        """Record a result for its server and for idle connections.

        `already_measured`: the response was streamed and counted as a success when it started.
        """
        if event.result not in NO_RESPONSE:
            server.last_response_ms = now_ms
        server.record_report(event.report, now_ms)
        server.last_used_ms = now_ms
        if call is not None and call.idle_ms:
            self._idle_connections.record_result(call.idle_ms, event.result)
        if not already_measured:
            self._outlier_ejection.record_result(server, event.result, now_ms)

    def record_outcome(
        self,
        event: api.AttemptCompleted,
        call: Call,
        server: Server | None,
        already_measured: bool,
        stuck: bool,
        now_ms: float,
    ) -> None:
        """Record a result for the tier's delay.

        A timeout is a sample of its own duration. If the call was stuck at an unresponsive server, it counts
        for that server only, as it says nothing about the tier.
        """
        if event.result in (Result.SERVED, Result.TIMEOUT) and not already_measured:
            if stuck:
                self._compare_delay(call, server, event.duration_ms, now_ms)
            else:
                served = event.result is Result.SERVED
                self.record_delay(call, server, event.duration_ms, served, now_ms)
        elif event.result is Result.REJECTED:  # counts as a delay of the whole latency target
            target_ms = call.cls.latency_target_ms
            self._controller.record_answer(target_ms, target_ms, now_ms, False)

    def record_delay(
        self, call: Call, server: Server | None, delay_ms: float, served: bool, now_ms: float
    ) -> None:
        """Add a call's delay as a sample of the tier's delay and of its server's."""
        self._baseline.record(delay_ms / call.cls.latency_target_ms)
        if self._baseline.established:
            self._controller.target_share = self._baseline.target_share()
        self._controller.record_answer(delay_ms, call.cls.latency_target_ms, now_ms, served)
        self._compare_delay(call, server, delay_ms, now_ms)

    def _compare_delay(self, call: Call, server: Server | None, delay_ms: float, now_ms: float) -> None:
        """Record a call's delay, relative to the usual one, for its server."""
        usual_share = self._baseline.usual_share
        if server is not None and usual_share:
            server.record_latency(delay_ms / call.cls.latency_target_ms / usual_share, now_ms)

    def record_answer(self, call: Call, delay_ms: float, now_ms: float) -> None:
        """Record that a request was answered, or that its response has started to stream."""
        self._admission.record_answer(now_ms)
        on_time = now_ms - call.arrived_ms <= call.cls.latency_target_ms
        self._statistics.count_answer(call.cls.name, on_time)
        self._statistics.record_latency(call.cls.name, delay_ms)
