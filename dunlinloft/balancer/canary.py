"""The cap on first attempts to servers of a new build, while a release is staged."""

from __future__ import annotations

import random
from collections.abc import Iterable

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.server import Server

CREDIT_MAX = 1.0  # first attempts that capped servers may have missed and still get

Weighted = list[tuple[Server, float]]


class CanaryCap:
    """Holds the servers of a new build to their share of each class's first attempts. Owned by `Balancer`.

    It is a bound on top of all others and never a reason to send.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.servers: frozenset[int] = frozenset()
        self.share = 1.0
        self._credit: dict[str, float] = {}  # by class: first attempts that capped servers may get now

    def set_limit(self, limit: api.CanaryLimit) -> None:
        """Take another limit; credit earned under another share is void."""
        if limit.share != self.share:
            self._credit = {}
        self.servers = limit.servers
        self.share = limit.share

    def binds(self, ready: Iterable[Server]) -> bool:
        """Whether there is a cap, and a server of the old build to hold it against."""
        return bool(self.servers) and self.share < 1.0 and any(s.id not in self.servers for s in ready)

    def weight_factor(self, ready: Iterable[Server], settings: api.Settings, now_ms: float) -> float:
        """What the cap leaves of the capped servers' weight: 1 where they are under the cap anyway.

        Without a server of the old build in service there is nothing to cap against.
        """
        if not self.servers or self.share >= 1.0:
            return 1.0
        new = 0.0
        old = 0.0
        for server in ready:
            weight = server.subset_share * server.slow_start_share(now_ms, settings)
            if server.id in self.servers:
                new += weight
            else:
                old += weight
        return min(1.0, self.share / (1.0 - self.share) * old / new) if new and old else 1.0

    def filter(
        self, call: Call, weight_factor: float, available: Weighted, crowded: Weighted
    ) -> tuple[Weighted, Weighted]:
        """Of the servers that may get a call, those that the cap leaves, available and crowded ones.

        The capped servers where it is their turn, else the old ones. A call that has to stay in its group
        may go to capped servers where the group has no other.
        """
        new = [pair for pair in available if pair[0].id in self.servers]
        old = [pair for pair in available if pair[0].id not in self.servers]
        if call.group is not None:
            return old or new, crowded
        crowded = [pair for pair in crowded if pair[0].id not in self.servers]
        if not self._may_go_to_canary(call):
            return old, crowded
        return (new, crowded) if new and weight_factor < 1.0 else (available, crowded)

    def _may_go_to_canary(self, call: Call) -> bool:
        """Whether it is a first attempt that the cap has room for.

        Replicas begin at random credits, so that of many replicas' few calls the new build gets its share
        too.
        """
        credit = self._credit.setdefault(call.cls.name, self._rng.random())
        return self.share > 0.0 and not call.attempts and credit + self.share >= 1.0

    def record_first_attempt(self, cls: str, server: Server) -> None:
        """A first attempt goes out: it earns its class credit, and a capped server uses one up."""
        if self.servers:
            credit = self._credit.get(cls, 0.0) + self.share - (server.id in self.servers)
            self._credit[cls] = max(0.0, min(credit, CREDIT_MAX))
