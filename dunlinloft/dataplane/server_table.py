"""All servers by service, merged from the listings of all subscribed control-plane replicas."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from dunlinloft.coordination.digests import RangeDigests, range_of
from dunlinloft.coordination.server_tombstones import ServerTombstones
from dunlinloft.coordination.stream import ServerRecord, ServerUpdates
from dunlinloft.dataplane.server_pool import ServerPool

# How long a server whose heartbeats have stopped at the control plane is kept after its last response.
RECENT_RESPONSE_MS = 2_000.0


class ServerTable:
    """The service discovery state of one node.

    A server whose heartbeats stopped is kept as long as any replica lists it or it responds to this node. A
    server that deregistered is removed at once and for good, whichever replica reports it: one that was down
    or cut off meanwhile may go on listing the server. `NodeState` passes it the control plane's messages;
    pools are read on each request. Times are milliseconds of the monotonic clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.pools: dict[str, ServerPool] = {}  # by service
        self._listed: dict[str, dict[str, ServerRecord]] = {}  # by replica, then by server id
        # Listed by a replica before it restarted but not since; by replica, then by server id.
        self._unconfirmed: dict[str, dict[str, ServerRecord]] = {}
        self._stream_lost_ms: dict[str, float] = {}  # by replica whose stream has ended
        self._unlisted: dict[str, str] = {}  # service, by id of a server kept only because it responds
        self._tombstones = ServerTombstones()
        self.complete = False  # whether any replica has listed all existing servers

    def pool(self, service: str) -> ServerPool:
        """The pool of a service; created empty if it doesn't exist."""
        pool = self.pools.get(service)
        if pool is None:
            pool = ServerPool(self._rng)
            self.pools[service] = pool
        return pool

    def digests(self) -> tuple[int, ...]:
        """Digests of all known servers by id range; a replica sends only the ranges whose digests differ."""
        return RangeDigests(self._known_records()).values()

    def _known_records(self) -> Iterable[ServerRecord]:
        return (server.record for pool in self.pools.values() for server in pool.servers.values())

    def on_listing(
        self, replica: str, complete: bool, ranges: Collection[int], records: tuple[ServerRecord, ...]
    ) -> None:
        """Handle a replica's listing of all servers that it knows in `ranges`.

        Its other ranges are equal to this table's. Servers missing from the listing are removed only if the
        replica has been running long enough to know all servers (`complete`).
        """
        self._stream_lost_ms.pop(replica, None)
        records = self._registered(records)
        old = self._listed.get(replica, {})
        listed_ranges = frozenset(ranges)
        new = {
            record.id: record for record in self._known_records() if range_of(record.id) not in listed_ranges
        }
        new.update({record.id: record for record in records})
        self._unconfirmed[replica] = {i: record for i, record in old.items() if i not in new}
        self._listed[replica] = {**old, **new}
        for record in records:
            self._put(record)
        if complete:
            self.on_complete(replica)

    def on_complete(self, replica: str) -> None:
        """Handle the completion of a replica's listing: remove servers listed only before its restart."""
        self.complete = True
        for server_id, record in self._unconfirmed.pop(replica, {}).items():
            self._listed[replica].pop(server_id, None)
            self._remove(server_id, record.service)

    def on_update(self, replica: str, update: ServerUpdates, now_ms: float) -> None:
        """Apply the changes that a replica reports."""
        listed = self._listed.setdefault(replica, {})
        unconfirmed = self._unconfirmed.get(replica, {})
        for record in self._registered(update.changed):
            listed[record.id] = record
            unconfirmed.pop(record.id, None)
            self._put(record)
        for server_id in update.removed:
            if server_id in update.timed_out:
                self._on_timed_out(listed, server_id, now_ms)
            else:
                self.on_deregistered((server_id,), now_ms)

    def _on_timed_out(self, listed: dict[str, ServerRecord], server_id: str, now_ms: float) -> None:
        """Remove a server whose heartbeats stopped from a replica's listing; keep it while it responds."""
        listing = listed.pop(server_id, None)
        service = self._unlisted.get(server_id) if listing is None else listing.service
        if service is None:
            return
        if self._responds(server_id, service, now_ms):
            self._unlisted[server_id] = service
        else:
            self._remove(server_id, service)

    def on_deregistered(self, server_ids: Collection[str], now_ms: float) -> None:
        """Remove servers for good, from the listings of all replicas too."""
        for server_id in server_ids:
            self._tombstones.add(server_id, now_ms)
            self._unlisted.pop(server_id, None)
            for listing in (*self._listed.values(), *self._unconfirmed.values()):
                listing.pop(server_id, None)
            for pool in self.pools.values():
                pool.remove(server_id)

    def _registered(self, records: Collection[ServerRecord]) -> tuple[ServerRecord, ...]:
        """Return the records of servers that are not known to have deregistered."""
        return tuple(record for record in records if record.id not in self._tombstones)

    def expire_tombstones(self, now_ms: float) -> None:
        """Forget servers that deregistered long ago; called on each tick."""
        self._tombstones.expire(now_ms)

    def on_stream_lost(self, replica: str, now_ms: float) -> None:
        """Record that a replica's stream ended; its listing is kept until `expire_lost_listings` drops it."""
        self._stream_lost_ms.setdefault(replica, now_ms)

    def _responds(self, server_id: str, service: str, now_ms: float) -> bool:
        """Whether a server has responded to this node recently."""
        server = self.pool(service).servers.get(server_id)
        return (
            server is not None
            and server.last_response_ms > 0.0
            and now_ms - server.last_response_ms <= RECENT_RESPONSE_MS
        )

    def expire_unlisted(self, now_ms: float) -> None:
        """Remove servers that have stopped both heartbeats and responses; called on each tick."""
        for server_id, service in list(self._unlisted.items()):
            if not self._responds(server_id, service, now_ms):
                self._remove(server_id, service)

    def expire_lost_listings(self, retention_ms: float, now_ms: float) -> None:
        """Drop the listings of streams lost for longer than `retention_ms`, if another stream is up."""
        if len(self._stream_lost_ms) >= len(self._listed):
            return
        expired = [r for r, lost_ms in self._stream_lost_ms.items() if now_ms - lost_ms > retention_ms]
        for replica in expired:
            del self._stream_lost_ms[replica]
            for record in self._listed.pop(replica, {}).values():
                self._remove(record.id, record.service)

    def _put(self, record: ServerRecord) -> None:
        known = self.pool(record.service).servers.get(record.id)
        self._unlisted.pop(record.id, None)
        if known is None or record.sequence > known.record.sequence:
            self.pool(record.service).put(record)

    def _remove(self, server_id: str, service: str) -> None:
        """Remove a server that timed out, unless a replica still lists it."""
        self._unlisted.pop(server_id, None)
        if not any(server_id in listed for listed in self._listed.values()):
            self.pool(service).remove(server_id)
