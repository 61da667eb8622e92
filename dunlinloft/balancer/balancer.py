"""Dispatches each event (dunlinloft/balancer/interface.py) to its handler and returns the resulting actions.

The decisions are made in the modules that the balancer is built from: `delay_controller` (retries and window
by measured delay), `admission` (window, load shedding, priority), `selection` with `rotation`, `affinity` and
`canary` (choice of a server), `outlier_ejection` and `server` (health and weight), `retry_policy` (which
requests may be sent again), `attempt_timeout`, `tenant_quotas`, `idle_connections`, and `server_set` with
`subsetting`. `measurements` passes results on to them. `docs/design.md` names the published algorithms, the
changes made to them and the reasons. None of these modules does I/O, reads a clock or owns a socket.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.admission import Admission
from dunlinloft.balancer.attempt_timeout import attempt_timeout_ms
from dunlinloft.balancer.averages import ClassStatistics
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.calls_in_flight import CallsInFlight
from dunlinloft.balancer.canary import CanaryCap
from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.balancer.idle_connections import IdleConnections
from dunlinloft.balancer.interface import ListUpdateKind, Result
from dunlinloft.balancer.latency_baseline import PEER_SAMPLES, LatencyBaseline
from dunlinloft.balancer.measurements import Measurements
from dunlinloft.balancer.outlier_ejection import OutlierEjection
from dunlinloft.balancer.retry_policy import RetryPolicy
from dunlinloft.balancer.selection import ServerSelection
from dunlinloft.balancer.server import Server
from dunlinloft.balancer.server_set import ServerSet, ZoneCapacity
from dunlinloft.balancer.tenant_quotas import QuotaCounts, TenantQuotas

RESUBSCRIBE_SHARE = 0.1  # mean delay before subscribing again, as a share of the poll interval
# Maximum of that mean delay: whatever the interval, a node must know of a change within 6 s of discovery.
RESUBSCRIBE_MAX_MS = 500.0
RESUBSCRIBE_TOKEN = 0  # token of the timer for subscribing again; tokens of calls start at 1


class _QueueKey(NamedTuple):
    """The properties that calls in the same admission queue share."""

    cls: str
    over_quota: bool


class Balancer:
    """The load-balancing decisions of one replica.

    The caller passes events in chronological order and carries out the returned actions. Not thread-safe.
    Deterministic: the same settings, seed and events give the same actions. Used by the node (`node.node`),
    the simulator's adapter (`wirehost`) and `lab`.

    Attributes
    ----------
    settings, classes
        The current settings, and their request classes by name.
    controller, server_set, statistics, retry_policy, outlier_ejection
        Components that hosts and tests may inspect.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self._rng = random.Random(seed)
        self.controller = DelayController()
        self.statistics = ClassStatistics(settings.classes, PEER_SAMPLES)
        self.server_set = ServerSet(settings, self._rng)
        self.retry_policy = RetryPolicy(settings)
        self.outlier_ejection = OutlierEjection(self.server_set, self._rng)
        self._baseline = LatencyBaseline()
        self._quotas = TenantQuotas(settings)
        self._canary = CanaryCap(self._rng)
        self._idle_connections = IdleConnections()
        self._in_flight = CallsInFlight(self.server_set)
        self._admission = Admission(
            settings,
            self.server_set,
            self.controller,
            self._baseline,
            self.statistics,
            self._in_flight,
            self._canary,
            self._rng,
        )
        self._selection = ServerSelection(
            settings,
            self.server_set,
            self.controller,
            self._baseline,
            self._in_flight,
            self._canary,
            self._rng,
        )
        self._measurements = Measurements(
            self.controller,
            self._baseline,
            self.statistics,
            self._admission,
            self.outlier_ejection,
            self._idle_connections,
        )
        self._calls: dict[str, Call] = {}
        self._queues: dict[_QueueKey, deque[Call]] = {}  # first attempts waiting for the window
        self._timers: dict[int, Call] = {}  # by token
        self._last_token = RESUBSCRIBE_TOKEN
        self._actions: list[api.Action] = []

    @property
    def in_flight(self) -> int:
        """Number of calls that servers are processing for this replica."""
        return self._in_flight.count

    @property
    def quota_counts(self) -> dict[str | None, QuotaCounts]:
        """Number of requests within and over quota, by tenant."""
        return self._quotas.counts

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Process one event and return the resulting actions in order."""
        self._actions = []
        match event:
            case api.Request():
                self._handle_request(event, now_ms)
            case api.RequestComplete():
                self._handle_request_complete(event, now_ms)
            case api.StreamStarted():
                self._handle_stream_started(event, now_ms)
            case api.AttemptCompleted():
                self._handle_attempt_completed(event, now_ms)
            case api.TimerFired():
                self._handle_timer(event, now_ms)
            case api.ServerListUpdate():
                self._handle_server_list(event, now_ms)
            case api.ClientDisconnected():
                self._calls.pop(event.id, None)
            case api.Started():
                if self.settings.subscribes:
                    self._actions.append(api.Subscribe())
            case api.ProcessCount():
                self.retry_policy.processes = max(1, event.processes)
                self._selection.processes = max(1, event.processes)
            case api.Reconfigured():
                self._handle_settings(event.settings, now_ms)
            case api.PeerVerdicts():
                self.outlier_ejection.apply_verdicts(event.verdicts, now_ms)
                self._release_queued(now_ms)
            case api.QuotaShares():
                self._quotas.set_shares(event.quotas)
                self.controller.retry_share = event.retry_share
            case api.CanaryLimit():
                self._canary.set_limit(event)
                self._release_queued(now_ms)
        return self._actions

    # Status for hosts

    def excluded_count(self, now_ms: float) -> int:
        """Return how many listed servers are ejected, unresponsive or not in service."""
        return self.server_set.excluded_count(now_ms, self._baseline.usual_share)

    def unresponsive_servers(self, now_ms: float) -> list[int]:
        """Return the ids of servers that have been unresponsive for long enough to be reported to peers."""
        return self.server_set.reported_unresponsive(now_ms, self._baseline.usual_share)

    def zone_capacity(self, now_ms: float) -> dict[str, ZoneCapacity]:
        """Return the number of healthy and of all servers in service, by zone."""
        return self.server_set.zone_capacity(now_ms, self._baseline.usual_share)

    # Event handlers

    def _handle_settings(self, settings: api.Settings, now_ms: float) -> None:
        """Apply new settings; measurements are kept, and calls in flight keep their class."""
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.statistics.set_classes(settings.classes)
        self._admission.reconfigure(settings)
        self._selection.reconfigure(settings)
        self._quotas.reconfigure(settings)
        self.retry_policy.reconfigure(settings)
        self.server_set.reconfigure(settings)
        self._release_queued(now_ms)

    def _handle_server_list(self, event: api.ServerListUpdate, now_ms: float) -> None:
        if event.kind is ListUpdateKind.FAILED:  # jitter keeps replicas from subscribing in step
            mean_ms = min(RESUBSCRIBE_SHARE * self.settings.poll_interval_ms, RESUBSCRIBE_MAX_MS)
            wait_ms = mean_ms * (0.5 + self._rng.random())
            self._actions.append(api.SetTimer(RESUBSCRIBE_TOKEN, wait_ms))
            return
        self.server_set.apply(event, now_ms)
        self._release_queued(now_ms)

    def _handle_request(self, event: api.Request, now_ms: float) -> None:
        call = Call(event, self.classes[event.cls], now_ms)
        self._calls[event.id] = call
        self.statistics.count_request(event.cls)
        self.retry_policy.count_request(now_ms)
        call.over_quota = self._quotas.take(event.tenant, now_ms)
        if self._admission.should_shed(call, now_ms):
            self._end_unserved(call)
        else:
            self._start_attempt(call, now_ms)

    def _handle_request_complete(self, event: api.RequestComplete, now_ms: float) -> None:
        """Start the deadline of a request whose body is now complete, and count it as load on its server."""
        call = self._calls.get(event.id)
        if call is None or call.complete:
            return
        call.complete = True
        call.arrived_ms = now_ms
        call.deadline_ms = now_ms + call.ttl_ms
        uncounted = self._in_flight.uncounted
        if call.in_flight and not call.streaming and call.last_server and call.id in uncounted:
            uncounted.discard(call.id)
            self._in_flight.add(call, call.last_server, now_ms)

    def _handle_stream_started(self, event: api.StreamStarted, now_ms: float) -> None:
        """Measure a response as soon as it starts to stream, and stop counting it as load on its server."""
        call = self._calls.get(event.id)
        server = self.server_set.servers.get(event.server)
        self._in_flight.remove(event.id, server)
        self._in_flight.uncounted.add(event.id)
        if server is not None:
            server.last_response_ms = now_ms
            server.record_report(event.report, now_ms)
            self.outlier_ejection.record_result(server, Result.SERVED, now_ms)
        if call is not None:
            call.streaming = True
            self._measurements.record_delay(call, server, event.duration_ms, True, now_ms)
            self._measurements.record_answer(call, event.duration_ms, now_ms)
        self._release_queued(now_ms)

    def _handle_attempt_completed(self, event: api.AttemptCompleted, now_ms: float) -> None:
        call = self._calls.get(event.id)
        server = self.server_set.servers.get(event.server)
        if event.result is Result.TIMEOUT:
            self._admission.record_stuck(now_ms)
        stuck = event.id in self._in_flight.stuck
        self._in_flight.stuck.discard(event.id)
        self._in_flight.remove(event.id, server)
        self._in_flight.uncounted.discard(event.id)
        # A streamed response was measured when it started.
        already_measured = call is not None and call.streaming and event.result is Result.SERVED
        if server is not None:
            self._measurements.record_result(event, call, server, already_measured, now_ms)
        if call is not None:
            self._measurements.record_outcome(event, call, server, already_measured, stuck, now_ms)
            if event.final:
                del self._calls[event.id]
                if not call.streaming:
                    self._measurements.record_answer(call, event.duration_ms, now_ms)
            else:
                self._retry_or_end(event, call, now_ms)
        self._release_queued(now_ms)

    def _handle_timer(self, event: api.TimerFired, now_ms: float) -> None:
        if event.token == RESUBSCRIBE_TOKEN:
            self._actions.append(api.Subscribe())
        call = self._timers.pop(event.token, None)
        if call and call.timer_token == event.token and call.id in self._calls:
            if call.queued:
                self._end_unserved(call)
            else:
                self._start_attempt(call, now_ms)

    # Call lifecycle: queue, send, retry, end

    def _start_attempt(self, call: Call, now_ms: float) -> None:
        """Send the call's next attempt, queue the call, or retry after a back-off."""
        must_wait = self._admission.must_wait(call, now_ms)
        server = None if must_wait else self._selection.pick(call, now_ms)
        if must_wait or (server is None and call.first_execution_ms is None and self.server_set.ready):
            self._enqueue(call, now_ms)
        elif server is None or not self._send(call, server, now_ms):
            self._back_off_or_end(call, now_ms)

    def _enqueue(self, call: Call, now_ms: float) -> None:
        """Queue a call for as long as an answer within its latency target is still possible."""
        wait_ms = self._admission.queue_until_ms(call) - now_ms
        if wait_ms <= 2.0 * self.settings.tick_ms:
            self._end_unserved(call)
            return
        key = _QueueKey(call.cls.name, call.over_quota)
        self._queues.setdefault(key, deque()).append(call)
        call.queued = True
        self._set_timer(call, wait_ms - 2.0 * self.settings.tick_ms)

    def _release_queued(self, now_ms: float) -> None:
        """Send queued calls while the window has room, in descending order of value."""
        values = {key: self._admission.value(*key) for key, queue in self._queues.items() if queue}
        for key in sorted(values, key=values.__getitem__, reverse=True):
            queue = self._queues[key]
            while queue:
                call = queue[0]
                if call.queued and call.id in self._calls:
                    must_wait = self._admission.must_wait(call, now_ms)
                    server = None if must_wait else self._selection.pick(call, now_ms)
                    if server is None:
                        break
                    call.queued = False
                    call.timer_token = 0
                    if not self._send(call, server, now_ms):
                        self._back_off_or_end(call, now_ms)
                queue.popleft()

    def _send(self, call: Call, server: Server, now_ms: float) -> bool:
        """Send an attempt if every rule (1 to 6) allows it, and return whether it was sent.

        All attempts are sent from here. `tests.checker` lists the rules.
        """
        remaining_ms = call.deadline_ms - now_ms if call.complete else call.ttl_ms
        if not self._may_send(call, server, remaining_ms, now_ms):
            return False
        slow_start_share = server.slow_start_share(now_ms, self.settings)
        if slow_start_share < 1.0:  # the budget of a server in slow start (rule 4)
            if self._selection.slow_start_budget(server, slow_start_share, now_ms) < 1.0:
                return False
            server.slow_start_budget.tokens -= 1.0
        if server.verdict is not None and server.verdict.trial:
            server.verdict.trial = False
        if call.attempts:
            self.retry_policy.count_retry(now_ms)
        else:
            self._canary.record_first_attempt(call.cls.name, server)
        call.attempts += 1
        call.in_flight = True
        call.last_server = server
        call.sent_ms = now_ms
        self._check_idle(call, server, now_ms)
        if call.complete:
            self._in_flight.add(call, server, now_ms)
        else:
            self._in_flight.uncounted.add(call.id)
        last = self.retry_policy.is_last_attempt(call)
        timeout_ms = attempt_timeout_ms(call.cls, self._baseline, remaining_ms, last)
        window_ms = self.retry_policy.send_window_ms(call, now_ms)
        self._actions.append(api.Send(call.id, server.id, timeout_ms, window_ms))
        return True

    def _may_send(self, call: Call, server: Server, remaining_ms: float, now_ms: float) -> bool:
        """Check rules 1, 2, 3, 5 and 6; the slow start budget (rule 4) consumes a token and comes last."""
        # Neither answered, in flight nor past its deadline (rule 1).
        if call.id not in self._calls or call.in_flight or remaining_ms <= self.settings.tick_ms:
            return False
        if call.attempts >= self.settings.max_attempts or not self.retry_policy.may_send(call, now_ms):
            return False
        if call.group is not None and server.group(call.cls.dedup_scope) != call.group:  # rule 2
            return False
        if not server.in_service or self.server_set.servers.get(server.id) is not server:  # rule 3
            return False
        return not call.attempts or self.retry_policy.within_budget(now_ms)  # rule 5

    def _check_idle(self, call: Call, server: Server, now_ms: float) -> None:
        """Close the idle connections to a server if they have been idle for too long to be trusted."""
        call.idle_ms = 0.0 if server.outstanding else now_ms - server.last_used_ms
        if self._idle_connections.stale(call.idle_ms):
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0

    def _retry_or_end(self, event: api.AttemptCompleted, call: Call, now_ms: float) -> None:
        """Retry a failed attempt with the delay controller's probability, or end the call."""
        call.in_flight = False
        may_have_executed = event.result not in self.retry_policy.not_executed_results
        if call.first_execution_ms is None and call.last_server and may_have_executed:
            call.first_execution_ms = call.sent_ms
            call.group = call.last_server.group(call.cls.dedup_scope)
        if event.replayable and self._rng.random() < self.controller.retry_probability(now_ms):
            self._back_off_or_end(call, now_ms)
        else:
            self._end_unserved(call)

    def _back_off_or_end(self, call: Call, now_ms: float) -> None:
        """Retry after exponential back-off with jitter, or end the call if no retry is possible."""
        wait_ms = self.retry_policy.backoff_ms(call) * (0.5 + self._rng.random())
        starts_ms = now_ms + wait_ms + 2.0 * self.settings.tick_ms
        attempts_left = call.attempts < self.settings.max_attempts
        may_retry = attempts_left and self.retry_policy.may_send(call, starts_ms)
        if starts_ms < call.deadline_ms and may_retry:
            self._set_timer(call, wait_ms)
        else:
            self._end_unserved(call)

    def _end_unserved(self, call: Call) -> None:
        """End a request without an answer: reject it if the client may safely retry, else fail it.

        All unserved requests end here.
        """
        if self._calls.pop(call.id, None):
            self.statistics.count_answer(call.cls.name, False)
            if self.retry_policy.retry_is_safe(call):
                self._actions.append(api.Reject(call.id, self.retry_policy.backoff_ms(call)))
            else:
                self._actions.append(api.Fail(call.id))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._last_token += 1
        call.timer_token = self._last_token
        self._timers[call.timer_token] = call
        self._actions.append(api.SetTimer(call.timer_token, delay_ms))
