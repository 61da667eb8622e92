"""Affinity of keyed requests to groups: each key has a home group, so most retries are routed statelessly.

A retry of a call that may have run has to go to the group of the first attempt, whichever process receives
it. The first attempt therefore goes to the key's home group, which all processes compute alike (rendezvous
hashing, Thaler and Ravishankar 1998, over the configured groups). A process binds a key to another group only
while its home is unavailable, and only after the other processes know that it may; it then reports the bound
keys. A process that cannot know a key's group refuses the retry, which is harmless, and counts the refusal.
`docs/shared.md` explains why this is safe.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from dunlinloft.fleet.shared_state.messages import (
    AffinityBindings,
    BoundKey,
    KnownEpoch,
)
from dunlinloft.fleet.shared_state.store import MAX_CLOCK_DRIFT

# Without heartbeats from a majority that are no older than this, the process may be isolated.
MAX_HEARTBEAT_AGE_MS = 3_000.0
UNAVAILABLE_AFTER_MS = 800.0  # how long a group is unhealthy before it is announced as unavailable
AVAILABLE_AFTER_MS = 3_000.0  # how long it is healthy again before it is available
# A group is unhealthy below this ratio of its healthy servers to the servers of the largest group.
MIN_HEALTHY_SHARE = 0.3
MAX_BOUND_KEYS = 60  # keys bound away from home at a time; requests for more are refused


class RefusalReason(StrEnum):
    """Why a keyed request is refused; the values appear in statistics."""

    NONE = ""
    ISOLATED = "cut off"  # this process has no fresh heartbeats from a majority
    BINDINGS_UNKNOWN = "not told"  # another process may have bound the key, and its bindings are not known
    TOO_MANY_KEYS = "too many"  # `MAX_BOUND_KEYS` are bound already


@dataclass(slots=True)
class KeyRoute:
    """The group that a keyed request is sent to; empty if the request is refused."""

    group: str
    refusal: RefusalReason = RefusalReason.NONE


class Binding(NamedTuple):
    """A key's group away from home, and when the binding expires."""

    group: str
    expires_ms: float


@dataclass(slots=True)
class PeerBindings:
    """What is known of the bindings of another process."""

    epoch: int  # the latest known
    read_epoch: int = -1  # the latest whose bindings were received
    unavailable: frozenset[str] = frozenset()
    keys: dict[int, Binding] = field(default_factory=dict)
    expires_ms: float = 0.0  # when this row is removed


@dataclass(slots=True)
class Quorum:
    """When the heartbeats of the other members that count expire, one entry per member."""

    fresh_until: list[float]
    acked_until: list[float]  # only of members whose heartbeat acknowledges this process's epoch
    member_count: int  # all members that count, including this process


def preference(key: int, groups: list[str]) -> list[str]:
    """The groups in the key's order of preference (rendezvous hashing); the first is its home."""
    data = key.to_bytes(8, "big")
    return sorted(groups, key=lambda g: hashlib.blake2b(data + g.encode(), digest_size=8).digest())


def _majority_until(ends: list[float], member_count: int) -> float:
    """Until when these members and this process form a majority."""
    needed = member_count // 2  # besides this process
    if not needed:
        return math.inf
    return sorted(ends, reverse=True)[needed - 1] if len(ends) >= needed else -math.inf


class Affinity:
    """One process's bindings, and the known bindings of its peers.

    Parameters
    ----------
    groups
        All configured groups; the same at all processes.
    window_ms
        The time for which a retry has to go to the group of the first attempt.
    """

    def __init__(self, groups: list[str], window_ms: float) -> None:
        self.groups = sorted(groups)
        self._window_ms = window_ms
        self.epoch = 0
        # Groups announced as unavailable, and from when their keys may be bound elsewhere.
        self.unavailable: dict[str, float] = {}
        self._unhealthy_since: dict[str, float] = {}
        self._healthy_since: dict[str, float] = {}
        self.keys: dict[int, Binding] = {}  # bound away from home by this process
        self.peers: dict[tuple[str, int], PeerBindings] = {}  # by name and incarnation
        self.fresh_until_ms = -math.inf  # until when a majority's heartbeats are fresh
        self.acked_until_ms = -math.inf  # until when a majority acknowledges this process's epoch
        self.counts: Counter[str] = Counter()  # keys bound elsewhere, and refusals by reason

    def route(self, key: int, retry: bool, now: float) -> KeyRoute:
        """Return the group for a request with this key; `retry` if its caller has sent it before."""
        home, *others = preference(key, self.groups)
        own = self.keys.get(key)
        if own is not None:
            return KeyRoute(own.group)
        if retry:
            return self._route_retry(key, home, now)
        if now < self.unavailable.get(home, math.inf) or now >= self.acked_until_ms:
            return KeyRoute(home)  # it is available, or the peers would not know of a binding
        return self._bind(key, home, others, now)

    def _route_retry(self, key: int, home: str, now: float) -> KeyRoute:
        if now >= self.fresh_until_ms:
            return self._refuse(RefusalReason.ISOLATED)
        for peer in self.peers.values():
            if key in peer.keys:
                return KeyRoute(peer.keys[key].group)
        for peer in self.peers.values():
            if home in peer.unavailable or peer.read_epoch < peer.epoch:
                return self._refuse(RefusalReason.BINDINGS_UNKNOWN)
        return KeyRoute(home)

    def _bind(self, key: int, home: str, others: list[str], now: float) -> KeyRoute:
        healthy = [group for group in others if group not in self._unhealthy_since]
        if not healthy:
            return KeyRoute(home)
        if len(self.keys) >= MAX_BOUND_KEYS:
            return self._refuse(RefusalReason.TOO_MANY_KEYS)
        self.keys[key] = Binding(healthy[0], now + self._window_ms * (1.0 + MAX_CLOCK_DRIFT))
        self.counts["elsewhere"] += 1
        return KeyRoute(healthy[0])

    def _refuse(self, reason: RefusalReason) -> KeyRoute:
        self.counts[reason.value] += 1
        return KeyRoute("", reason)

    # State of groups and peers

    def update(
        self, groups: dict[str, tuple[int, int]], quorum: Quorum, alive: dict[str, int], now: float
    ) -> AffinityBindings | None:
        """Update from the state of groups and members; return the bindings to report if they changed.

        Parameters
        ----------
        groups
            Healthy servers and servers in service, by group.
        quorum
            Expiry times of the fresh heartbeats.
        alive
            The other members that are alive, with their incarnations.
        """
        before = self.epoch, frozenset(self.keys)
        self.keys = {key: bound for key, bound in self.keys.items() if now < bound.expires_ms}
        for (name, incarnation), peer in self.peers.items():
            peer.keys = {key: bound for key, bound in peer.keys.items() if now < bound.expires_ms}
            if alive.get(name) == incarnation and (peer.unavailable or peer.read_epoch < peer.epoch):
                peer.expires_ms = self._expiry(now)
        self.peers = {who: peer for who, peer in self.peers.items() if now < peer.expires_ms}
        self._update_groups(groups, now)
        self._update_quorum(quorum, before[0] == self.epoch, now)
        return self.bindings(now) if before != (self.epoch, frozenset(self.keys)) else None

    def _update_quorum(self, quorum: Quorum, same_epoch: bool, now: float) -> None:
        self.fresh_until_ms = _majority_until(quorum.fresh_until, quorum.member_count)
        acked = _majority_until(quorum.acked_until, quorum.member_count) if same_epoch else -math.inf
        if now >= acked:  # no majority acknowledges the epoch: bind no key elsewhere until one does again
            self.unavailable = dict.fromkeys(self.unavailable, math.inf)
        elif now >= self.acked_until_ms:
            # After this delay every fresh heartbeat of these members was written with the epoch known.
            ready_ms = now + MAX_HEARTBEAT_AGE_MS * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
            self.unavailable = {group: min(at, ready_ms) for group, at in self.unavailable.items()}
        self.acked_until_ms = acked

    def bindings(self, now: float) -> AffinityBindings:
        """Return the bindings that this process reports."""
        keys = [BoundKey(key, bound.group, int(bound.expires_ms - now)) for key, bound in self.keys.items()]
        return AffinityBindings(self.epoch, sorted(self.unavailable), keys)

    def _update_groups(self, groups: dict[str, tuple[int, int]], now: float) -> None:
        """Mark groups as unavailable or available, each after its delay."""
        largest = max((in_service for _, in_service in groups.values()), default=0)
        changed = False
        for group in self.groups:
            healthy, _ = groups.get(group, (0, 0))
            if healthy < MIN_HEALTHY_SHARE * largest:
                self._unhealthy_since.setdefault(group, now)
                self._healthy_since.pop(group, None)
            else:
                self._unhealthy_since.pop(group, None)
                self._healthy_since.setdefault(group, now)
            unhealthy_ms = now - self._unhealthy_since.get(group, now)
            healthy_ms = now - self._healthy_since.get(group, now)
            if group not in self.unavailable and unhealthy_ms >= UNAVAILABLE_AFTER_MS:
                self.unavailable[group] = math.inf
                changed = True
            elif group in self.unavailable and healthy_ms >= AVAILABLE_AFTER_MS:
                del self.unavailable[group]
                changed = True
        self.epoch += changed

    def bindings_received(self, name: str, incarnation: int, bindings: AffinityBindings, now: float) -> None:
        """Merge the bindings of another process."""
        if not bindings.epoch:
            return
        peer = self._peer(name, incarnation, bindings.epoch, now)
        if bindings.epoch >= peer.read_epoch:
            peer.read_epoch = bindings.epoch
            peer.unavailable = frozenset(bindings.unavailable)
            peer.keys |= {
                key: Binding(group, now + remaining_ms * (1.0 + MAX_CLOCK_DRIFT))
                for key, group, remaining_ms in bindings.keys
            }

    def epoch_received(self, name: str, incarnation: int, epoch: int, now: float) -> None:
        """Record an epoch of another process that a member's heartbeat reports as known."""
        self._peer(name, incarnation, epoch, now)

    def _peer(self, name: str, incarnation: int, epoch: int, now: float) -> PeerBindings:
        peer = self.peers.get((name, incarnation))
        if peer is None:
            peer = PeerBindings(epoch, expires_ms=self._expiry(now))
            self.peers[name, incarnation] = peer
        if epoch > peer.epoch:
            peer.epoch = epoch
            peer.expires_ms = self._expiry(now)
        return peer

    def _expiry(self, now: float) -> float:
        return now + (self._window_ms + 2.0 * MAX_HEARTBEAT_AGE_MS) * (1.0 + 2.0 * MAX_CLOCK_DRIFT)

    def known_epochs(self, alive: dict[str, int]) -> list[KnownEpoch]:
        """Return the known epochs, also of former incarnations, for this process's heartbeat."""
        return [
            KnownEpoch(name, incarnation, peer.epoch, alive.get(name) == incarnation)
            for (name, incarnation), peer in self.peers.items()
        ]
