"""Selects the server for a call's next attempt."""

from __future__ import annotations

import math
import random

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.affinity import Member, choose_member
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.calls_in_flight import CallsInFlight
from dunlinloft.balancer.canary import CanaryCap, WeightedServers
from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.balancer.latency_baseline import LatencyBaseline
from dunlinloft.balancer.outlier_ejection import avoided_by_verdict
from dunlinloft.balancer.rotation import Rotation
from dunlinloft.balancer.server import Server
from dunlinloft.balancer.server_set import ServerSet

# A server is skipped if it has this many times its fair share of the calls in flight, and at least one.
FAIR_SHARE_FACTOR = 1.2
LATENCY_WEIGHT_SHARE_MIN = 0.5  # minimum share of the total weight that remains whatever the servers' latency
AFFINITY_LOAD_BOUND = 1.25  # maximum load of a server selected by affinity, as a multiple of its fair share
SLOW_START_BUDGET_SHARE = 0.5  # share of the configured overload budget that all replicas together use


# A server, its weight by capacity, and its latency weight. A plain tuple for speed, as one is created for
# each server and attempt.
_Candidate = tuple[Server, float, float]


class ServerSelection:
    """Selects by smooth weighted round robin, or by affinity if the call has a key. Owned by `Balancer`.

    Attributes
    ----------
    processes
        Number of processes that serve as this node and divide its slow start budgets among them.
    """

    def __init__(
        self,
        settings: api.Settings,
        server_set: ServerSet,
        controller: DelayController,
        baseline: LatencyBaseline,
        in_flight: CallsInFlight,
        canary: CanaryCap,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._server_set = server_set
        self._controller = controller
        self._baseline = baseline
        self._in_flight = in_flight
        self._canary = canary
        self._rotation = Rotation(rng)
        self._ready_weight = 0.0  # of all ready servers, as of the last selection from all of them
        self.processes = 1

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """Return the server for the call's next attempt; None if there is none."""
        candidates = self._candidates(call, now_ms)
        if call.affinity_key is None or not candidates:
            return self._rotation.pick(candidates)
        members = [Member(server.id, weight, server.in_flight) for server, weight in candidates]
        return candidates[choose_member(call.affinity_key, members, AFFINITY_LOAD_BOUND)][0]

    def _candidates(self, call: Call, now_ms: float) -> WeightedServers:
        """Return the servers that may get the call's next attempt, with their weights."""
        unrestricted = call.first_execution_ms is None and call.group is None
        ready = self._server_set.ready
        servers = ready if unrestricted else self._server_set.in_group(call.cls.dedup_scope, call.group)
        factor = self._canary.weight_factor(ready, self._settings, now_ms)
        capped = self._canary.is_active(ready)
        available, fallback = self._split(call, self._weigh(servers, factor, now_ms), unrestricted, now_ms)
        if capped:
            available, fallback = self._canary.filter(call, factor, available, fallback)
        available = available or [pair for pair in fallback if pair[0].in_flight < pair[0].concurrency_limit]
        if call.last_server is not None and len(available) > 1:  # a different server than before
            available = [pair for pair in available if pair[0] is not call.last_server]
        return available

    def _weigh(self, servers: list[Server], canary_factor: float, now_ms: float) -> list[_Candidate]:
        """Return the servers with their weights, without those whose slow start budget is used up."""
        candidates: list[_Candidate] = []
        usual_share = self._baseline.usual_share
        capped = self._canary.servers
        for server in servers:
            weight = server.subset_share
            if server.id in capped:
                weight *= canary_factor
            if server.started_ms is not None:
                share = server.slow_start_share(now_ms, self._settings)
                if share < 1.0 and self.slow_start_budget(server, share, now_ms) < 1.0:
                    continue
                weight *= share
            candidates.append((server, weight, server.latency_weight(now_ms, usual_share)))
        return candidates

    def _split(
        self, call: Call, candidates: list[_Candidate], unrestricted: bool, now_ms: float
    ) -> tuple[WeightedServers, WeightedServers]:
        """Split the candidates into those that can take another call and those to fall back to.

        The latter have more than their fair share of the calls, are ejected or excluded by a verdict.
        """
        capacity_weight = 0.0
        total_weight = 0.0
        for _, weight, latency_weight in candidates:
            capacity_weight += weight
            total_weight += weight * latency_weight
        # If most servers look slow, the tier as a whole is slow. Without blending the latency weights with
        # equal ones, the last server to answer fast would get all calls and be overloaded next.
        blend = (
            max(0.0, LATENCY_WEIGHT_SHARE_MIN * capacity_weight - total_weight)
            / (capacity_weight - total_weight)
            if capacity_weight > total_weight
            else 0.0
        )
        total_weight += blend * (capacity_weight - total_weight)
        available: WeightedServers = []
        fallback: WeightedServers = []
        in_flight = self._in_flight.count
        calls_per_weight = (
            FAIR_SHARE_FACTOR * in_flight / self._ready_weight if self._ready_weight else math.inf
        )
        for server, weight, latency_weight in candidates:
            weight *= latency_weight + blend * (1.0 - latency_weight)
            # Calls in flight pile up at a slow or hung server first: skip it until its peers have as many.
            has_capacity = server.in_flight < min(
                server.concurrency_limit, max(1.0, calls_per_weight * weight)
            )
            healthy = now_ms >= server.ejected_until_ms and not (
                server.verdict and avoided_by_verdict(server, call.cls.name)
            )
            (available if has_capacity and healthy else fallback).append((server, weight))
        if unrestricted:
            self._ready_weight = total_weight
        return available, fallback

    def slow_start_budget(self, server: Server, slow_start_share: float, now_ms: float) -> float:
        """Refill and return this replica's budget of attempts to a server in slow start (rule 4).

        The server's capacity is estimated from the answer rate of its peers, so that the budgets of any
        number of replicas add up to `SLOW_START_BUDGET_SHARE` of what the server can take.
        """
        share = server.subset_share
        per_s = self._controller.answer_rate.per_s() * share / max(self._ready_weight, share)
        capacity_per_ms = per_s / 1000.0
        factor = SLOW_START_BUDGET_SHARE * self._settings.overload_factor
        per_ms = factor * slow_start_share * capacity_per_ms / self.processes
        burst = max(1.0, per_ms * self._settings.overload_for_ms)
        return server.slow_start_budget.refill(per_ms, burst, now_ms)
