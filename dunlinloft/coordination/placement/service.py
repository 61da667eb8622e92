"""Server selection for the requests of one service."""

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

# A server takes part in the rotation if its cost exceeds the lowest cost by at most this fraction of the
# lowest cost plus `NEAR_BEST_TOKENS`.
NEAR_BEST_FRACTION = 0.15
# Cost reduction at the affinity server of a shared prefix (the first in rendezvous order), as a fraction of
# the prefix's tokens.
PREFIX_AFFINITY_FRACTION = 0.5
# Maximum number of requests in flight that are tracked; beyond it no server is advised.
MAX_IN_FLIGHT_REQUESTS = 100_000


class PlacementId(NamedTuple):
    """Identifies a placed request by the stream of its query and the request id within that stream."""

    stream: int
    request_id: int


class ServicePlacement:
    """The servers of one service and their requests in flight; owned by `PlacementDirectory`.

    Called for each placement message from a node and on each change of the servers.
    """

    def __init__(self, rng: random.Random, reuse_window_ms: float = 0.0) -> None:
        """Start without servers; see `RecentSegments` for `reuse_window_ms`."""
        self._kv_cache_tokens = DEFAULT_KV_CACHE_TOKENS
        self._recent_segments = RecentSegments(reuse_window_ms)
        self._loads: dict[str, ServerLoad] = {}  # by server id
        self._in_flight: dict[PlacementId, InFlightRequest] = {}
        self._rotation = Rotation(rng)

    def set_kv_cache_tokens(self, tokens: int) -> None:
        """Set the KV cache memory of each server, in tokens."""
        self._kv_cache_tokens = tokens
        for load in self._loads.values():
            load.set_kv_cache_tokens(tokens)

    def update_servers(self, records: Iterable[ServerRecord]) -> None:
        """Replace the servers by `records`; known servers keep their load."""
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
        """Choose a server for a request and count the request as in flight there.

        Returns the server's id. Returns None if there is no server to advise, or if the request waits for
        capacity and no server has any.
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
        assert chosen is not None, "the server with the lowest cost is always a candidate"
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
        """Count a request for which the node chose the server itself."""
        load = self._loads.get(server_id)
        if load is None or len(self._in_flight) >= MAX_IN_FLIGHT_REQUESTS:
            return
        request = demand.with_cache_keys()
        self._recent_segments.record_use(request.keys, now_ms)
        self._in_flight[placement_id] = load.on_sent(request, now_ms)

    def on_prefill_completed(self, placement_id: PlacementId) -> None:
        """Record the first output of a request."""
        request = self._in_flight.get(placement_id)
        if request is not None:
            request.server.on_prefill_completed(request)

    def on_completed(self, placement_id: PlacementId, server_failed: bool, now_ms: float) -> None:
        """Record the end of a request; has no effect if the request is not in flight."""
        request = self._in_flight.pop(placement_id, None)
        if request is not None:
            request.server.on_completed(request, server_failed, now_ms)

    def on_stream_lost(self, stream: int, now_ms: float) -> None:
        """Drop the requests of a node's stream that ended: no further messages about them can arrive."""
        for placement_id in [each for each in self._in_flight if each.stream == stream]:
            self.on_completed(placement_id, False, now_ms)


def _affinity_index(loads: Sequence[ServerLoad], shared_prefix: SharedPrefix) -> int:
    """Return the index of the affinity server of a shared prefix.

    All owners and nodes compute the same server, so cached segments stay useful after a change of owner.
    """
    return max(range(len(loads)), key=lambda index: rank(shared_prefix.name, loads[index].record.id))
