"""The listed servers, and the subset of them that this replica uses."""

from __future__ import annotations

import random
from typing import NamedTuple

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import DedupScope, Health, ListUpdateKind
from dunlinloft.balancer.server import Server
from dunlinloft.balancer.subsetting import subset_shares

# Number of slices of the fleet, each 1/replicas of it, that a replica uses at first. It is small, so that
# each server in use gets many calls.
INITIAL_SLICES = 4
UNRESPONSIVE_SHARE_MAX = 0.5  # if a larger share of the servers doesn't respond, the tier is slow as a whole
# Multiple of the time after which a server counts as unresponsive here, after which peers are told: single
# slow calls exceed the shorter time by chance.
REPORTED_UNRESPONSIVE_FACTOR = 3.0


class ZoneCapacity(NamedTuple):
    """Number of healthy and of all servers in service of a zone."""

    healthy: int
    in_service: int


class ServerSet:
    """All listed servers and this replica's subset.

    Attributes
    ----------
    servers
        All listed servers, by id.
    ready
        The servers in service that are in this replica's subset.
    slices, slice_size
        Number of slices of the fleet that the replica uses, and the size of a slice in servers.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self.replica_index = settings.replica_index
        self.replicas = settings.replicas
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.slices = INITIAL_SLICES
        self.slice_size = 0.0

    def apply(self, update: api.ServerListUpdate, now_ms: float) -> None:
        """Apply a delta or a complete list, and reset the subset to its initial size."""
        if update.kind is not ListUpdateKind.DELTA:
            listed = {entry.server for entry in update.entries}
            self.servers = {id: server for id, server in self.servers.items() if id in listed}
        for entry in update.entries:
            if entry.health is Health.TERMINATED:
                self.servers.pop(entry.server, None)
            elif entry.server in self.servers:
                self.servers[entry.server].update(entry)
            else:
                self.servers[entry.server] = Server(entry, now_ms, self._rng)
        self.use_slices(INITIAL_SLICES)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply a changed number of replicas or index among them."""
        if (settings.replica_index, settings.replicas) != (self.replica_index, self.replicas):
            self.replica_index = settings.replica_index
            self.replicas = settings.replicas
            self.use_slices(INITIAL_SLICES)

    def use_slices(self, slices: int) -> None:
        """Use this many slices of the fleet.

        If many replicas each used all servers, they would need more connections than the servers accept.
        """
        shares = {server.id: server.share for server in self.servers.values() if server.in_service}
        self.slices = slices
        self.slice_size = len(shares) / self.replicas
        subset = subset_shares(shares, self.replica_index, self.replicas, slices)
        self.ready = [self.servers[id] for id, share in subset.items() if share]
        for server in self.ready:
            server.subset_share = subset[server.id]

    def in_group(self, scope: DedupScope, group: str | int | None) -> list[Server]:
        """Return the servers of a deduplication group in service, including those outside the subset."""
        return [s for s in self.servers.values() if s.in_service and s.group(scope) == group]

    def unresponsive(self, now_ms: float, usual_share: float) -> list[Server]:
        """Return the unresponsive servers; none if that would be most of the servers."""
        unresponsive: list[Server] = []
        for server in self.servers.values():
            if server.outstanding and server.unresponsive(now_ms, usual_share):
                unresponsive.append(server)
        return unresponsive if len(unresponsive) <= UNRESPONSIVE_SHARE_MAX * len(self.ready) else []

    def reported_unresponsive(self, now_ms: float, usual_share: float) -> list[int]:
        """Return the ids of servers that have been unresponsive for long enough to be reported to peers."""
        usual_share *= REPORTED_UNRESPONSIVE_FACTOR
        busy = [server for server in self.servers.values() if server.outstanding]
        return [server.id for server in busy if server.unresponsive(now_ms, usual_share)]

    def excluded_count(self, now_ms: float, usual_share: float) -> int:
        """Return how many listed servers are ejected, unresponsive or not in service."""
        unresponsive = self.unresponsive(now_ms, usual_share)
        servers = self.servers.values()
        return sum(now_ms < s.ejected_until_ms or s in unresponsive or not s.in_service for s in servers)

    def zone_capacity(self, now_ms: float, usual_share: float) -> dict[str, ZoneCapacity]:
        """Return the number of healthy and of all servers in service, by zone."""
        unresponsive = self.unresponsive(now_ms, usual_share)
        zones: dict[str, ZoneCapacity] = {}
        for server in self.servers.values():
            if server.in_service:
                healthy_count, in_service_count = zones.get(server.zone, (0, 0))
                healthy = now_ms >= server.ejected_until_ms and server not in unresponsive
                zones[server.zone] = ZoneCapacity(healthy_count + healthy, in_service_count + 1)
        return zones
