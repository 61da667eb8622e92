"""A member's part in a release: applies the controller's orders, and counts calls to new and old servers.

`shared_state.core` owns the follower of a process, passes orders to it and takes tallies from it.
"""

from __future__ import annotations

from enum import StrEnum

from dunlinloft.fleet.releases.latency_quantiles import LatencyQuantiles
from dunlinloft.fleet.releases.messages import NO_ORDER, CallCounts, Order, Tally, empty_counts

MAX_COUNTS = 20  # entries (by class and zone) of a tally, so that it fits a datagram
# An order that was not repeated for so long is stale: its controller is unreachable. It stays in force.
MAX_ORDER_AGE_MS = 5_000.0


class AttemptOutcome(StrEnum):
    """The outcome of an attempt at a server."""

    GOOD = "good"
    ERROR = "error"
    LOST = "lost"  # the connection failed
    FULL = "full"  # the server refused the request for lack of capacity


class ObservedServer:
    """A server as a member knows it: zone id, start (Unix ms), current weight, and whether it warms up."""

    __slots__ = ("started_ms", "warming_up", "weight", "zone_id")

    def __init__(self, zone_id: int, started_ms: float, weight: float, warming_up: bool) -> None:
        self.zone_id = zone_id
        self.started_ms = started_ms
        self.weight = weight
        self.warming_up = warming_up


class ReleaseFollower:
    """One member's part in a release; `tier` is that of its servers. Ids are short hashes of names."""

    def __init__(self, tier: int) -> None:
        self._tier = tier
        self.order = NO_ORDER
        self._last_order_ms = -1e18  # when the controller last repeated this order, as far as is known
        self.servers: dict[int, ObservedServer] = {}
        self._last_start_ms: dict[int, float] = {}  # of each new server
        self._counts: dict[tuple[int, int], CallCounts] = {}  # by class and zone
        self._quantiles: dict[int, LatencyQuantiles] = {}  # by class
        self.restarts = 0
        self.new_servers_changed = False  # since the owner last read `new_servers`

    def apply_order(self, order: Order, age_ms: float, now: float) -> None:
        """Apply an order from its controller or from another member; outdated orders are ignored."""
        if order.version() < self.order.version():
            return
        self._last_order_ms = max(self._last_order_ms, now - age_ms)
        if order == self.order:
            return
        if order.release_id != self.order.release_id:
            self._counts = {}
            self._last_start_ms = {}
            self.restarts = 0
        self.order = order
        self.new_servers_changed = True
        self._count_restarts()

    def set_servers(self, servers: dict[int, ObservedServer]) -> None:
        """Replace the list of servers."""
        starts = {server_id: server.started_ms for server_id, server in servers.items()}
        known_starts = {server_id: server.started_ms for server_id, server in self.servers.items()}
        self.new_servers_changed = self.new_servers_changed or starts != known_starts
        self.servers = servers
        self._count_restarts()

    def _count_restarts(self) -> None:
        """Count restarts of new servers: a build that crashes never becomes warm enough to be judged."""
        if not self.order.active:
            return
        for server_id, server in self.servers.items():
            if self.is_new(server_id):
                previous_ms = self._last_start_ms.get(server_id)
                self.restarts += previous_ms is not None and server.started_ms > previous_ms
                self._last_start_ms[server_id] = server.started_ms

    def is_new(self, server_id: int) -> bool:
        """Whether a server runs the new build."""
        order = self.order
        server = self.servers.get(server_id)
        if not order.release_id or server is None:
            return False
        started_since = bool(order.started_since_ms and server.started_ms >= order.started_since_ms)
        return server_id in order.server_ids or started_since

    def new_servers(self) -> frozenset[int]:
        """Return the ids of the listed servers that run the new build."""
        return frozenset(server_id for server_id in self.servers if self.is_new(server_id))

    def attempt_completed(self, server_id: int, class_id: int, outcome: str, latency_ms: float) -> None:
        """Count an attempt; `outcome` is an `AttemptOutcome`.

        A server that is warming up may be slow, or lose or refuse calls, for that reason alone, so its
        latencies and these outcomes are not counted.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        new = self.is_new(server_id)
        good = outcome == AttemptOutcome.GOOD
        bucket = self._bucket(server, class_id, latency_ms, learn=good and not new)
        unready = outcome in (AttemptOutcome.LOST, AttemptOutcome.FULL)
        if not self.order.active or (server.warming_up and unready):
            return
        key = class_id, server.zone_id
        if key not in self._counts and len(self._counts) >= MAX_COUNTS:
            return
        counts = self._counts.setdefault(key, empty_counts(*key))
        if new:
            counts.new += 1
            counts.new_failed += not good
        else:
            counts.old += 1
            counts.old_failed += not good
        if good and not server.warming_up and bucket is not None:
            (counts.new_latencies if new else counts.old_latencies)[bucket] += 1

    def _bucket(
        self, server: ObservedServer, class_id: int, latency_ms: float, learn: bool
    ) -> int | None:  # fmt: skip
        """Return the latency's bucket if enough latencies were observed before; `learn`: then observe it."""
        quantiles = self._quantiles.get(class_id)
        bucket = quantiles.bucket_of(latency_ms) if quantiles is not None and quantiles.is_ready() else None
        if learn and not server.warming_up:
            if quantiles is None:
                # The first latency initialises the boundaries and counts as an observation as well.
                quantiles = LatencyQuantiles(latency_ms)
                self._quantiles[class_id] = quantiles
            quantiles.observe(latency_ms)
        return bucket

    def tally(self) -> Tally:
        """Return the report to the controller."""
        new = sum(s.weight for server_id, s in self.servers.items() if self.is_new(server_id))
        old = sum(s.weight for server_id, s in self.servers.items() if not self.is_new(server_id))
        counts = [self._counts[key] for key in sorted(self._counts)]
        return Tally(self.order, self._tier, counts, round(new, 2), round(old, 2), self.restarts)

    def is_stale(self, now: float) -> bool:
        """Whether the controller has been unreachable for long; its last order stays in force."""
        return self.order.active and now - self._last_order_ms > MAX_ORDER_AGE_MS
