"""The servers as this node sees them: what is out at each, which are kept away from, and whose turn it is."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from boltons.cacheutils import LRU

from dunlinloft.balancer.logic import DelayController, Rotation
from dunlinloft.coordination.digests import RangeDigests, range_of
from dunlinloft.coordination.stream import ServerNews, ServerRecord
from dunlinloft.fleet.rendezvous import rank

AVOID_MS = 400.0  # a server that failed is kept away from so long, doubling with each failure in a row
AVOID_DOUBLINGS = 4
FULL_MS = 100.0  # a server that was full is kept away from so long
SILENT_AIMS, SILENT_LEAST_MS = 3.0, 500.0  # a request out for so long without a word from its server
AFFINE_TOKENS = 256  # a shared part of so many tokens is worth going to where it was read
AFFINE_OVER = 1.5  # times the mean of what is out, and
AFFINE_MORE = 4.0  # so many requests more, that a part's home may hold before others share it
ANSWERED_MS = 2_000.0  # an answer so young keeps a server whose heartbeats have stopped
ORDERS_MOST = 8_192  # remembered orders of servers by shared part


@dataclass(slots=True, eq=False)
class Server:
    """One start of a server."""

    record: ServerRecord
    turn: float | None = None
    inflight: int = 0
    failures: int = 0  # in a row
    avoid_until_ms: float = 0.0
    heard_ms: float = 0.0
    unanswered: dict[str, float] = field(default_factory=dict)  # when each request without a word was sent

    def sent(self, request: str, now_ms: float) -> None:
        """A request goes out to it."""
        self.inflight += 1
        self.unanswered[request] = now_ms

    def heard(self, request: str, now_ms: float) -> None:
        """It answered something."""
        self.unanswered.pop(request, None)
        self.heard_ms = now_ms
        self.failures = 0

    def ended(self, request: str) -> None:
        """A request is no longer out."""
        self.inflight -= 1
        self.unanswered.pop(request, None)

    def failed(self, now_ms: float) -> None:
        """It couldn't be reached, or broke off."""
        wait_ms = AVOID_MS * 2.0 ** min(self.failures, AVOID_DOUBLINGS)
        if now_ms >= self.avoid_until_ms:
            self.failures += 1
            self.avoid_until_ms = now_ms + wait_ms

    def refused(self, now_ms: float) -> None:
        """It was full."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + FULL_MS)

    def silent(self, aim_ms: float, now_ms: float) -> bool:
        """Whether it leaves a request without a word for longer than any that is well."""
        limit_ms = max(SILENT_LEAST_MS, SILENT_AIMS * aim_ms)
        for sent_ms in self.unanswered.values():
            return now_ms - max(sent_ms, self.heard_ms) > limit_ms
        return False


@dataclass(frozen=True, slots=True)
class ServerNeeds:
    """What a request needs of its server."""

    aim_ms: float
    shared: tuple[str, int] | None = None  # the last part of its prompt that others share; tokens up to there
    parts: tuple[tuple[str, int], ...] = ()  # of its prompt, in order: name and tokens
    answer_tokens: int = 0  # at most


class ServicePool:
    """The servers of one service, its retry gate and its rotation."""

    def __init__(self, rng: random.Random) -> None:
        self.servers: dict[str, Server] = {}
        self.controller = DelayController()
        self._rotation = Rotation(rng)
        self._orders: LRU[str, list[Server]] = LRU(ORDERS_MOST)

    def put(self, record: ServerRecord) -> None:
        """A server came or changed."""
        server = self.servers.get(record.id)
        if server is None:
            self.servers[record.id] = Server(record)
            self._orders.clear()
        else:
            server.record = record

    def remove(self, server_id: str) -> None:
        """A server is gone."""
        if self.servers.pop(server_id, None) is not None:
            self._orders.clear()

    def avoided(self, aim_ms: float, limit: int, tried: Iterable[str], now_ms: float) -> set[str]:
        """The ids of those that a request had better not go to, as far as this node knows."""
        return set(tried) | {
            server.record.id
            for server in self.servers.values()
            if server.inflight >= limit or now_ms < server.avoid_until_ms or server.silent(aim_ms, now_ms)
        }

    def pick(self, needs: ServerNeeds, limit: int, tried: Iterable[str], now_ms: float) -> Server | None:
        """The server for a send: by rotation, among the homes of a shared part where that is worth it."""
        excluded = set(tried)
        able = [
            server
            for server in self.servers.values()
            if not server.record.draining and server.record.id not in excluded and server.inflight < limit
        ]
        well = [s for s in able if now_ms >= s.avoid_until_ms and not s.silent(needs.aim_ms, now_ms)]
        candidates = well or able
        if not candidates:
            return None
        if needs.shared is not None and needs.shared[1] >= AFFINE_TOKENS:
            candidates = self._homes(needs.shared[0], candidates)
        return self._rotation.pick((server, _weight(server)) for server in candidates)

    def _order(self, key: str) -> list[Server]:
        """The servers in the order of a key, the same at every node."""
        order = self._orders.get(key)
        if order is None:
            order = sorted(self.servers.values(), key=lambda s: rank(key, s.record.id), reverse=True)
            self._orders[key] = order
        return order

    def _homes(self, part: str, candidates: list[Server]) -> list[Server]:
        """The home of a shared part, and those after it while the ones before hold too much."""
        able = set(candidates)
        mean = sum(server.inflight for server in candidates) / len(candidates)
        bound = AFFINE_OVER * mean + AFFINE_MORE
        homes: list[Server] = []
        for server in self._order(part):
            if server in able:
                homes.append(server)
                if server.inflight < bound:
                    return homes[-1:]
        return homes or candidates


def _weight(server: Server) -> float:
    """Its free places as far as this node knows; never nothing, so that it keeps its turn."""
    return max(1.0, server.record.capacity - server.inflight)


class ServerTable:
    """All servers by service, merged from what each subscribed control plane lists."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.pools: dict[str, ServicePool] = {}
        self._listed: dict[str, dict[str, ServerRecord]] = {}  # by control plane
        self._unconfirmed: dict[str, dict[str, ServerRecord]] = {}  # listed before its restart, not since
        self._lost_ms: dict[str, float] = {}  # streams that ended, and when
        self._unlisted: dict[str, str] = {}  # kept as they answer, by id: their service
        self.complete = False

    def pool(self, service: str) -> ServicePool:
        """The pool of a service."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = ServicePool(self._rng)
        return pool

    def digests(self) -> tuple[int, ...]:
        """Of all servers known here."""
        return RangeDigests(self._known()).whole()

    def _known(self) -> Iterable[ServerRecord]:
        return (server.record for pool in self.pools.values() for server in pool.servers.values())

    def whole(
        self, source: str, complete: bool, ranges: Collection[int], records: tuple[ServerRecord, ...]
    ) -> None:
        """All that one control plane lists in these ranges; in others it lists what is known here.

        Until it has had time to hear of all, nothing is dropped for what it doesn't list.
        """
        self._lost_ms.pop(source, None)
        old = self._listed.get(source, {})
        new = {record.id: record for record in self._known() if range_of(record.id) not in set(ranges)}
        new.update({record.id: record for record in records})
        self._unconfirmed[source] = {i: record for i, record in old.items() if i not in new}
        self._listed[source] = {**old, **new}
        for record in records:
            self._put(record)
        if complete:
            self.now_complete(source)

    def now_complete(self, source: str) -> None:
        """A control plane has told of all: what it listed in a former life and not since is gone."""
        self.complete = True
        for server_id, record in self._unconfirmed.pop(source, {}).items():
            self._listed[source].pop(server_id, None)
            self._drop(server_id, record.service)

    def news(self, source: str, news: ServerNews, now_ms: float) -> None:
        """What changed at one control plane."""
        listed = self._listed.setdefault(source, {})
        unconfirmed = self._unconfirmed.get(source, {})
        for record in news.changed:
            listed[record.id] = record
            unconfirmed.pop(record.id, None)
            self._put(record)
        for server_id in news.gone:
            listing = listed.pop(server_id, None)
            service = self._unlisted.get(server_id) if listing is None else listing.service
            if service is None:
                continue
            if server_id in news.silent and self._answers(server_id, service, now_ms):
                self._unlisted[server_id] = service
            else:
                self._drop(server_id, service)

    def lost(self, source: str, now_ms: float) -> None:
        """A control plane's stream ended: what it listed stands until others have been heard for long."""
        self._lost_ms.setdefault(source, now_ms)

    def _answers(self, server_id: str, service: str, now_ms: float) -> bool:
        """Whether a server has answered this node a moment ago."""
        server = self.pool(service).servers.get(server_id)
        return server is not None and server.heard_ms > 0.0 and now_ms - server.heard_ms <= ANSWERED_MS

    def forget_unlisted(self, now_ms: float) -> None:
        """Drop servers whose heartbeats stopped, once they answer no more; to be called often."""
        for server_id, service in list(self._unlisted.items()):
            if not self._answers(server_id, service, now_ms):
                self._drop(server_id, service)

    def forget_lost(self, kept_ms: float, now_ms: float) -> None:
        """Drop what only lost streams list, once another has been up all the while."""
        if len(self._lost_ms) >= len(self._listed):
            return
        for source in [s for s, lost in self._lost_ms.items() if now_ms - lost > kept_ms]:
            del self._lost_ms[source]
            for record in self._listed.pop(source, {}).values():
                self._drop(record.id, record.service)

    def _put(self, record: ServerRecord) -> None:
        known = self.pool(record.service).servers.get(record.id)
        self._unlisted.pop(record.id, None)
        if known is None or record.sequence > known.record.sequence:
            self.pool(record.service).put(record)

    def _drop(self, server_id: str, service: str) -> None:
        self._unlisted.pop(server_id, None)
        if not any(server_id in listed for listed in self._listed.values()):
            self.pool(service).remove(server_id)
