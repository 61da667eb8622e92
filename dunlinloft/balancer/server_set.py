"""The servers that discovery lists, and the subset of them that this replica uses."""

from __future__ import annotations

import random
from typing import NamedTuple

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import DedupScope, Health, ListUpdateKind
from dunlinloft.balancer.server import Server
from dunlinloft.balancer.subsetting import subset_shares

# Slices of the fleet that a replica begins with, each 1/replicas of it: few servers, so that each is used
# often.
INITIAL_SLICES = 4
UNRESPONSIVE_SHARE_MAX = 0.5  # of the servers may be taken for lost: where more are silent, the tier is slow
# Peers are told of a server once it has been silent this many times as long as to be taken for lost here: by
# chance one call in many takes that long.
REPORTED_UNRESPONSIVE_FACTOR = 3.0


class ZoneCapacity(NamedTuple):
    """Of a zone's servers in service, how many are fit to take calls here, and how many there are."""

    fit: int
    listed: int


class ServerSet:
    """All servers as last listed, and this replica's subset.

    Attributes
    ----------
    servers
        All that are listed, by id.
    ready
        Those in service that are in this replica's subset.
    slices, slice_size
        How many slices of the fleet the replica uses, and how many servers one is worth.
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
        """Take a delta, or a complete list that replaces the old one; the subset starts small again."""
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
        """Take another number of replicas, or another index among them."""
        if (settings.replica_index, settings.replicas) != (self.replica_index, self.replicas):
            self.replica_index = settings.replica_index
            self.replicas = settings.replicas
            self.use_slices(INITIAL_SLICES)

    def use_slices(self, slices: int) -> None:
        """Use this many slices of the fleet.

        Many replicas that all use all servers need more connections than these accept.
        """
        shares = {server.id: server.share for server in self.servers.values() if server.in_service}
        self.slices = slices
        self.slice_size = len(shares) / self.replicas
        subset = subset_shares(shares, self.replica_index, self.replicas, slices)
        self.ready = [self.servers[id] for id, share in subset.items() if share]
        for server in self.ready:
            server.subset_share = subset[server.id]

    def in_group(self, scope: DedupScope, group: str | int | None) -> list[Server]:
        """All that a keyed call which may have run can still go to, beyond the subset too."""
        return [s for s in self.servers.values() if s.in_service and s.group(scope) == group]

    def unresponsive(self, now_ms: float, usual_share: float) -> list[Server]:
        """The servers that stopped responding, of those that hold calls, while most of the others answer."""
        found: list[Server] = []
        for server in self.servers.values():
            if server.outstanding and server.unresponsive(now_ms, usual_share):
                found.append(server)
        return found if len(found) <= UNRESPONSIVE_SHARE_MAX * len(self.ready) else []

    def reported_unresponsive(self, now_ms: float, usual_share: float) -> list[int]:
        """The ids of those that hold calls and have been silent for so long that peers should know."""
        usual_share *= REPORTED_UNRESPONSIVE_FACTOR
        holding = [server for server in self.servers.values() if server.outstanding]
        return [server.id for server in holding if server.unresponsive(now_ms, usual_share)]

    def excluded_count(self, now_ms: float, usual_share: float) -> int:
        """How many listed servers get nothing new now: ejected, unresponsive, or not in service."""
        lost = self.unresponsive(now_ms, usual_share)
        servers = self.servers.values()
        return sum(now_ms < s.ejected_until_ms or s in lost or not s.in_service for s in servers)

    def zone_capacity(self, now_ms: float, usual_share: float) -> dict[str, ZoneCapacity]:
        """For each zone, how many of its servers in service are fit to take calls here."""
        lost = self.unresponsive(now_ms, usual_share)
        zones: dict[str, ZoneCapacity] = {}
        for server in self.servers.values():
            if server.in_service:
                fit, listed = zones.get(server.zone, (0, 0))
                healthy = now_ms >= server.ejected_until_ms and server not in lost
                zones[server.zone] = ZoneCapacity(fit + healthy, listed + 1)
        return zones
