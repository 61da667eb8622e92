"""Canary cap: limits the first attempts that go to servers of a new build during a staged release."""

from __future__ import annotations

import random
from collections.abc import Iterable

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.server import Server

CREDIT_MAX = 1.0  # maximum credit of first attempts that canary servers may catch up on

WeightedServers = list[tuple[Server, float]]


class CanaryCap:
    """Limits canary servers to a share of each class's first attempts. Owned by `Balancer`.

    The cap is an upper bound in addition to all others; it never sends more calls to canary servers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.servers: frozenset[int] = frozenset()
        self.share = 1.0
        self._credit: dict[str, float] = {}  # by class: first attempts that canary servers may get now

    def set_limit(self, limit: api.CanaryLimit) -> None:
        """Set the limit; a new share resets the credit."""
        if limit.share != self.share:
            self._credit = {}
        self.servers = limit.servers
        self.share = limit.share

    def is_active(self, ready: Iterable[Server]) -> bool:
        """Return whether there is a cap, and a stable server to send the remaining calls to."""
        return bool(self.servers) and self.share < 1.0 and any(s.id not in self.servers for s in ready)

    def weight_factor(self, ready: Iterable[Server], settings: api.Settings, now_ms: float) -> float:
        """Return the factor that lowers the canary servers' weight to the cap; 1 if it is below the cap.

        Without a stable server in service nothing is capped, as there is no other server to use.
        """
        if not self.servers or self.share >= 1.0:
            return 1.0
        canary_weight = 0.0
        stable_weight = 0.0
        for server in ready:
            weight = server.subset_share * server.slow_start_share(now_ms, settings)
            if server.id in self.servers:
                canary_weight += weight
            else:
                stable_weight += weight
        return (
            min(1.0, self.share / (1.0 - self.share) * stable_weight / canary_weight)
            if canary_weight and stable_weight
            else 1.0
        )

    def filter(
        self, call: Call, weight_factor: float, available: WeightedServers, fallback: WeightedServers
    ) -> tuple[WeightedServers, WeightedServers]:
        """Return the available and fallback servers that the cap leaves for a call.

        These are the canary servers if they have credit for it, else the stable ones. A call that is bound to
        a deduplication group may go to canary servers if the group has no others.
        """
        canary = [pair for pair in available if pair[0].id in self.servers]
        stable = [pair for pair in available if pair[0].id not in self.servers]
        if call.group is not None:
            return stable or canary, fallback
        fallback = [pair for pair in fallback if pair[0].id not in self.servers]
        if not self._may_go_to_canary(call):
            return stable, fallback
        return (canary, fallback) if canary and weight_factor < 1.0 else (available, fallback)

    def _may_go_to_canary(self, call: Call) -> bool:
        """Return whether the call is a first attempt that the cap has credit for.

        Replicas start with random credit, so that canary servers get their share even if each of many
        replicas sends only a few calls.
        """
        credit = self._credit.setdefault(call.cls.name, self._rng.random())
        return self.share > 0.0 and not call.attempts and credit + self.share >= 1.0

    def record_first_attempt(self, cls: str, server: Server) -> None:
        """Add the credit that a first attempt earns, and spend one if it goes to a canary server."""
        if self.servers:
            credit = self._credit.get(cls, 0.0) + self.share - (server.id in self.servers)
            self._credit[cls] = max(0.0, min(credit, CREDIT_MAX))
