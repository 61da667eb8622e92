"""Where a call's next attempt goes."""

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

# A server holding this many times its share of the calls in flight, and one, is passed over.
CROWDED_FACTOR = 1.2
LATENCY_WEIGHT_SHARE_MIN = 0.5  # of all weight stays in turns, whatever the servers' latency
AFFINITY_LOAD_BOUND = 1.25  # times its share of the load that a server may hold of those that belong to it
SLOW_START_BUDGET_SHARE = 0.5  # of the stated budget that all replicas together use


# A server, its weight by capacity, and the share of it that its latency leaves. A plain tuple for speed, as
# one is made for each server and attempt.
_Candidate = tuple[Server, float, float]


class ServerSelection:
    """Picks by smooth weighted rotation, or by affinity where the call has a key. Owned by `Balancer`.

    Attributes
    ----------
    processes
        That serve as this one node and share its slow start budgets.
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
        self._ready_weight = 0.0  # of all ready servers, as of the last selection among them
        self.processes = 1

    def reconfigure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._settings = settings

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """The server of the call's next attempt; None where none may get it."""
        candidates = self._candidates(call, now_ms)
        if call.affinity_key is None or not candidates:
            return self._rotation.pick(candidates)
        members = [Member(server.id, weight, server.in_flight) for server, weight in candidates]
        return candidates[choose_member(call.affinity_key, members, AFFINITY_LOAD_BOUND)][0]

    def _candidates(self, call: Call, now_ms: float) -> WeightedServers:
        """The servers that may get the call's next attempt, with their weights."""
        unbound = call.first_execution_ms is None and call.group is None
        ready = self._server_set.ready
        servers = ready if unbound else self._server_set.in_group(call.cls.dedup_scope, call.group)
        factor = self._canary.weight_factor(ready, self._settings, now_ms)
        capped = self._canary.is_active(ready)
        available, crowded = self._split(call, self._weigh(servers, factor, now_ms), unbound, now_ms)
        if capped:
            available, crowded = self._canary.filter(call, factor, available, crowded)
        available = available or [pair for pair in crowded if pair[0].in_flight < pair[0].concurrency_limit]
        if call.last_server is not None and len(available) > 1:  # another than last time
            available = [pair for pair in available if pair[0] is not call.last_server]
        return available

    def _weigh(self, servers: list[Server], canary_factor: float, now_ms: float) -> list[_Candidate]:
        """The servers that are not held back by slow start, with their weights."""
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
        self, call: Call, candidates: list[_Candidate], unbound: bool, now_ms: float
    ) -> tuple[WeightedServers, WeightedServers]:
        """The candidates that can take one more call, and those that are crowded, ejected or warned of."""
        full = 0.0
        total = 0.0
        for _, weight, latency_weight in candidates:
            full += weight
            total += weight * latency_weight
        # Where most look slow it is the tier that is slow: whoever answered last would get all calls, and
        # choke next.
        even = max(0.0, LATENCY_WEIGHT_SHARE_MIN * full - total) / (full - total) if full > total else 0.0
        total += even * (full - total)
        available: WeightedServers = []
        crowded: WeightedServers = []
        in_flight = self._in_flight.count
        fair = CROWDED_FACTOR * in_flight / self._ready_weight if self._ready_weight else math.inf
        for server, weight, latency_weight in candidates:
            weight *= latency_weight + even * (1.0 - latency_weight)
            # A slow or stuck server shows first by what it holds: passed over until its peers hold as much.
            has_capacity = server.in_flight < min(server.concurrency_limit, max(1.0, fair * weight))
            fit = now_ms >= server.ejected_until_ms and not (
                server.verdict and avoided_by_verdict(server, call.cls.name)
            )
            (available if has_capacity and fit else crowded).append((server, weight))
        if unbound:
            self._ready_weight = total
        return available, crowded

    def slow_start_budget(self, server: Server, slow_start_share: float, now_ms: float) -> float:
        """This replica's share of a server's budget while in slow start, in attempts (rule 4).

        The server's capacity is estimated from what its peers answer, so that the shares of any number of
        replicas add up to a part of the budget times the load.
        """
        share = server.subset_share
        per_s = self._controller.answer_rate.per_s() * share / max(self._ready_weight, share)
        bearable = per_s / 1000.0
        factor = SLOW_START_BUDGET_SHARE * self._settings.overload_factor
        per_ms = factor * slow_start_share * bearable / self.processes
        burst = max(1.0, per_ms * self._settings.overload_for_ms)
        return server.slow_start_budget.refill(per_ms, burst, now_ms)
