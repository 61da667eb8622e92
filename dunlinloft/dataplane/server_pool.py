"""The servers of one service as seen by this node: requests in flight, outlier ejection, local selection."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from boltons.cacheutils import LRU

from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.balancer.rotation import Rotation
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.fleet.rendezvous import rank

# Outlier ejection: how long a failed server is avoided; doubled with each consecutive failure.
EJECTION_BASE_MS = 400.0
MAX_EJECTION_DOUBLINGS = 4
OVERLOAD_BACKOFF_MS = 100.0  # how long a server is avoided after it declined because it was full

# A server is unresponsive if it has sent no response at all while a request was pending for longer than this
# multiple of the request's latency target, and for longer than the minimum.
UNRESPONSIVE_LATENCY_TARGETS = 3.0
MIN_UNRESPONSIVE_MS = 500.0

# Prefix affinity: a request whose shared prompt prefix has at least this many tokens goes to the server that
# has prefilled it, unless more requests are in flight there than the factor times the mean plus the excess.
MIN_AFFINITY_TOKENS = 256
AFFINITY_LOAD_FACTOR = 1.5
AFFINITY_LOAD_EXCESS = 4.0  # requests
MAX_CACHED_RANKINGS = 8_192  # rendezvous rankings remembered, by shared prefix

PromptSegment = tuple[str, int]  # name and tokens, as `PlacementQuery` encodes them


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server, and this node's observations of it."""

    record: ServerRecord
    rotation_weight: float | None = None  # kept by `Rotation`; None before its first round
    in_flight: int = 0
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0
    last_response_ms: float = 0.0
    pending_since_ms: dict[str, float] = field(default_factory=dict)  # by id of a request without a response

    def on_sent(self, request_id: str, now_ms: float) -> None:
        """Record that a request is sent to the server."""
        self.in_flight += 1
        self.pending_since_ms[request_id] = now_ms

    def on_response(self, request_id: str, now_ms: float) -> None:
        """Record that the head of a response was received."""
        self.pending_since_ms.pop(request_id, None)
        self.last_response_ms = now_ms
        self.consecutive_failures = 0

    def on_finished(self, request_id: str) -> None:
        """Record that a request is no longer in flight, whatever its outcome."""
        self.in_flight -= 1
        self.pending_since_ms.pop(request_id, None)

    def on_failure(self, now_ms: float) -> None:
        """Eject the server after a failed or broken connection, longer with each consecutive failure.

        Failures of a server that is already ejected belong to the same outage and don't extend the ejection.
        """
        ejection_ms = EJECTION_BASE_MS * 2.0 ** min(self.consecutive_failures, MAX_EJECTION_DOUBLINGS)
        if now_ms >= self.ejected_until_ms:
            self.consecutive_failures += 1
            self.ejected_until_ms = now_ms + ejection_ms

    def on_declined(self, now_ms: float) -> None:
        """Avoid the server briefly after it declined a request because it was full."""
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + OVERLOAD_BACKOFF_MS)

    def unresponsive(self, latency_target_ms: float, now_ms: float) -> bool:
        """Whether the server has sent no response for too long while a request is pending."""
        limit_ms = max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_LATENCY_TARGETS * latency_target_ms)
        for sent_ms in self.pending_since_ms.values():
            return now_ms - max(sent_ms, self.last_response_ms) > limit_ms
        return False


@dataclass(frozen=True, slots=True)
class ServerRequirements:
    """What a request requires of its server, as stated in the client's headers."""

    latency_target_ms: float
    shared_prefix: str | None = None  # name of the last prompt segment that other requests share
    shared_prefix_tokens: int = 0  # from the start of the prompt to the end of that segment
    prompt_segments: tuple[PromptSegment, ...] = ()  # in prompt order
    max_output_tokens: int = 0


class ServerPool:
    """The servers of one service, with its delay controller and this node's rotation."""

    def __init__(self, rng: random.Random) -> None:
        self.servers: dict[str, Server] = {}  # by id
        self.controller = DelayController()
        self._rotation = Rotation(rng)
        self._rankings: LRU[str, list[Server]] = LRU(MAX_CACHED_RANKINGS)

    def put(self, record: ServerRecord) -> None:
        """Add a server, or update the record of a known one."""
        server = self.servers.get(record.id)
        if server is None:
            self.servers[record.id] = Server(record)
            self._rankings.clear()
        else:
            server.record = record

    def remove(self, server_id: str) -> None:
        """Remove a server, if it is known."""
        if self.servers.pop(server_id, None) is not None:
            self._rankings.clear()

    def excluded_ids(
        self, latency_target_ms: float, max_in_flight: int, tried: Iterable[str], now_ms: float
    ) -> set[str]:
        """Ids of the servers on which the service's owner should not place a request.

        These are the servers that the request has already been sent to, and those that this node considers
        full, ejected or unresponsive.
        """
        return set(tried) | {
            server.record.id
            for server in self.servers.values()
            if server.in_flight >= max_in_flight
            or now_ms < server.ejected_until_ms
            or server.unresponsive(latency_target_ms, now_ms)
        }

    def select(
        self, requirements: ServerRequirements, max_in_flight: int, tried: Iterable[str], now_ms: float
    ) -> Server | None:
        """Choose a server locally; None if no server has a free slot.

        Uses weighted round-robin, restricted to the preferred server of the request's shared prefix if prefix
        affinity applies. Ejected servers are chosen only if no healthy one is available.
        """
        excluded = set(tried)
        available = [
            server
            for server in self.servers.values()
            if not server.record.draining
            and server.record.id not in excluded
            and server.in_flight < max_in_flight
        ]
        target_ms = requirements.latency_target_ms
        healthy = [
            s for s in available if now_ms >= s.ejected_until_ms and not s.unresponsive(target_ms, now_ms)
        ]
        candidates = healthy or available
        if not candidates:
            return None
        prefix = requirements.shared_prefix
        if prefix is not None and requirements.shared_prefix_tokens >= MIN_AFFINITY_TOKENS:
            candidates = self._preferred_by_affinity(prefix, candidates)
        return self._rotation.pick((server, _weight(server)) for server in candidates)

    def _ranking(self, prefix: str) -> list[Server]:
        """The servers in the prefix's rendezvous order, which is the same at every node."""
        ranking = self._rankings.get(prefix)
        if ranking is None:
            ranking = sorted(self.servers.values(), key=lambda s: rank(prefix, s.record.id), reverse=True)
            self._rankings[prefix] = ranking
        return ranking

    def _preferred_by_affinity(self, prefix: str, candidates: list[Server]) -> list[Server]:
        """The first server of the prefix's ranking that is not overloaded; all candidates if every one is."""
        available = set(candidates)
        mean = sum(server.in_flight for server in candidates) / len(candidates)
        bound = AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_EXCESS
        ranked: list[Server] = []
        for server in self._ranking(prefix):
            if server in available:
                ranked.append(server)
                if server.in_flight < bound:
                    return ranked[-1:]
        return ranked or candidates


def _weight(server: Server) -> float:
    """Rotation weight: the free slots known to this node; at least 1, so that the server is never starved."""
    return max(1.0, server.record.capacity - server.in_flight)
