"""The choice of a server for each request of one service."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from dunlinloft.balancer.rotation import Rotation
from dunlinloft.coordination.placement.cost import FULL_SERVER_COST_TOKENS, NEAR_BEST_TOKENS, placement_cost
from dunlinloft.coordination.placement.demand import KeyedRequest, PlacementDemand, SharedPrefix
from dunlinloft.coordination.placement.recent_segments import RecentSegments
from dunlinloft.coordination.placement.server_load import (
    DEFAULT_KV_CACHE_TOKENS,
    InFlightRequest,
    ServerLoad,
)
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.fleet.rendezvous import rank

# A server takes part in the rotation if its cost exceeds the lowest by at most this fraction of it, and
# `NEAR_BEST_TOKENS`.
NEAR_BEST_FRACTION = 0.15
# Fraction of its shared tokens by which a prompt prefers its home, the first server in rendezvous order.
PREFIX_AFFINITY_FRACTION = 0.5
# Requests in flight that are counted; beyond, there is no advice.
MAX_IN_FLIGHT_REQUESTS = 100_000


class PlacementId(NamedTuple):
    """Identifies a placed request: the stream that its query came on, and the request's number there."""

    stream: int
    request_id: int


class ServicePlacement:
    """The servers of one service, and the requests in flight at them; owned by `PlacementDirectory`.

    Called with each placement message of a node, and with each change of the servers.
    """

    def __init__(self, rng: random.Random, reuse_window_ms: float = 0.0) -> None:
        """Start without servers; for `reuse_window_ms` see `RecentSegments`."""
        self._kv_cache_tokens = DEFAULT_KV_CACHE_TOKENS
        self._recent_segments = RecentSegments(reuse_window_ms)
        self._loads: dict[str, ServerLoad] = {}  # by server id
        self._in_flight: dict[PlacementId, InFlightRequest] = {}
        self._rotation = Rotation(rng)

    def set_kv_cache_tokens(self, tokens: int) -> None:
        """Take the KV cache memory of each server, in tokens."""
        self._kv_cache_tokens = tokens
        for load in self._loads.values():
            load.set_kv_cache_tokens(tokens)

    def update_servers(self, records: Iterable[ServerRecord]) -> None:
        """Take all servers that there are now."""
        current = {record.id: record for record in records}
        for server_id in self._loads.keys() - current.keys():
            del self._loads[server_id]
        for server_id, record in current.items():
            load = self._loads.get(server_id)
            if load is None:
                self._loads[server_id] = ServerLoad(record, self._kv_cache_tokens)
            else:
                load.record = record

    def assign(
        self,
        placement_id: PlacementId,
        demand: PlacementDemand,
        excluded_servers: Collection[str],
        now_ms: float,
    ) -> str | None:
        """Choose a server for a request, which counts as in flight there from now on.

        Returns the server's id; None where there is no server to advise, or none with free capacity for a
        request that waits for it.
        """
        loads = [
            load
            for load in self._loads.values()
            if not load.record.draining and load.record.id not in excluded_servers
        ]
        if not loads or len(self._in_flight) >= MAX_IN_FLIGHT_REQUESTS:
            return None
        request = demand.with_cache_keys()
        costs = self._costs(loads, request, demand.shared_prefix, now_ms)
        lowest_cost = min(costs)
        if demand.wait_for_capacity and lowest_cost >= FULL_SERVER_COST_TOKENS / 2.0:
            return None
        max_cost = lowest_cost + NEAR_BEST_FRACTION * abs(lowest_cost) + NEAR_BEST_TOKENS
        near_best = [load for load, cost in zip(loads, costs, strict=True) if cost <= max_cost]
        chosen = self._rotation.pick((load, max(1.0, load.free_capacity)) for load in near_best)
        assert chosen is not None, "the server of the lowest cost is among them"
        self._in_flight[placement_id] = chosen.on_sent(request, now_ms)
        return chosen.record.id

    def _costs(
        self,
        loads: Sequence[ServerLoad],
        request: KeyedRequest,
        shared_prefix: SharedPrefix | None,
        now_ms: float,
    ) -> list[float]:
        recent_segments = self._recent_segments.record_use(request.keys, now_ms)
        costs = [placement_cost(load, request, recent_segments, now_ms) for load in loads]
        if shared_prefix is not None:
            costs[_affinity_index(loads, shared_prefix)] -= PREFIX_AFFINITY_FRACTION * shared_prefix.tokens
        return costs

    def on_local_placement(
        self, placement_id: PlacementId, demand: PlacementDemand, server_id: str, now_ms: float
    ) -> None:
        """Count a request that a node sent to a server of its own choice."""
        load = self._loads.get(server_id)
        if load is None or len(self._in_flight) >= MAX_IN_FLIGHT_REQUESTS:
            return
        request = demand.with_cache_keys()
        self._recent_segments.record_use(request.keys, now_ms)
        self._in_flight[placement_id] = load.on_sent(request, now_ms)

    def on_prefill_completed(self, placement_id: PlacementId) -> None:
        """Note that the first output of a request came."""
        request = self._in_flight.get(placement_id)
        if request is not None:
            request.server.on_prefill_completed(request)

    def on_completed(self, placement_id: PlacementId, server_failed: bool, now_ms: float) -> None:
        """Note that a request is no longer in flight; a second call for it does nothing."""
        request = self._in_flight.pop(placement_id, None)
        if request is not None:
            request.server.on_completed(request, server_failed, now_ms)

    def on_stream_lost(self, stream: int, now_ms: float) -> None:
        """Drop the requests of a node's stream that ended: nothing more will be received of them."""
        for placement_id in [each for each in self._in_flight if each.stream == stream]:
            self.on_completed(placement_id, False, now_ms)


def _affinity_index(loads: Sequence[ServerLoad], shared_prefix: SharedPrefix) -> int:
    """Return the index of a shared prefix's home.

    It is the same at every owner and node: after a change of owner segments are where they were.
    """
    return max(range(len(loads)), key=lambda index: rank(shared_prefix.name, loads[index].record.id))
