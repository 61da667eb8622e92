"""Who is meant by a name in a scenario: nodes, servers, zones, shares of them.

Front nodes are `n1`, `n2`, ...; the servers of the first tier `a1`, `a2`, ..., of the second `b1`, ...;
the node of server `a1` is `a1/node`. A choice is a name, `zone:NAME`, `nodes`, `servers`, `callers`,
`share:0.2` (of the nodes or servers, whichever are asked for; the same at each run of a seed) or `*`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.scenario import AnyFault, Scenario

TIERS = "ab"
CALLERS = "callers"


class BadName(Exception):
    """Nobody is called so."""


class Names:
    """All that a scenario names, each with its zone."""

    def __init__(self, scenario: Scenario) -> None:
        zones = scenario.network.zones
        self.zones = zones
        self.nodes = {f"n{n + 1}": zones[n % len(zones)] for n in range(scenario.nodes.count)}
        self.tiers: list[dict[str, str]] = [
            {f"{TIERS[t]}{n + 1}": zones[n % len(zones)] for n in range(tier.servers)}
            for t, tier in enumerate(scenario.tiers)
        ]
        self.servers = {name: zone for tier in self.tiers for name, zone in tier.items()}
        inner = self.tiers[0] if len(self.tiers) > 1 else {}
        self.inner = {f"{name}/node": zone for name, zone in inner.items()}  # the nodes of the servers

    def zone(self, name: str) -> str:
        """The zone of a node, a server or the callers (who have none)."""
        return self.nodes.get(name) or self.servers.get(name) or self.inner.get(name, "")

    def choices(self, fault: AnyFault) -> Iterator[tuple[str, str]]:
        """Each choice that a fault names, with its key."""
        for key in ("nodes", "servers"):
            for choice in getattr(fault, key, ()):
                yield key, choice
        for key in ("source", "target"):
            if hasattr(fault, key):
                yield key, getattr(fault, key)
        for part in getattr(fault, "parts", ()):
            for choice in part:
                yield "parts", choice

    def pick(self, choice: str, key: str, seed: int = 0) -> list[str]:
        """Who is meant; `BadName` says what there would be."""
        pool = self._pool(key)
        if choice == "*":
            return list(pool)
        kind, _, value = choice.partition(":")
        if kind == "zone" and value in self.zones:
            return [name for name, zone in pool.items() if zone == value]
        if kind == "share" and key in ("nodes", "servers"):
            try:
                share = float(value)
            except ValueError:
                share = -1.0
            if 0.0 <= share <= 1.0:
                # Of the first tier's servers, as those of the second are hidden behind them.
                names = list(self.tiers[0] if key == "servers" else pool)
                return sorted(random.Random(f"{seed}{choice}").sample(names, round(share * len(names))))
        if choice in ("nodes", "servers", CALLERS) and key not in ("nodes", "servers"):
            groups = {"nodes": self.nodes | self.inner, "servers": self.servers, CALLERS: {CALLERS: ""}}
            return list(groups[choice])
        if choice in pool:
            return [choice]
        raise BadName(f"nobody is {choice!r}; expected one of {self._example(key)}")

    def _pool(self, key: str) -> dict[str, str]:
        if key == "nodes":
            return self.nodes
        if key == "servers":
            return self.servers
        return self.nodes | self.inner | self.servers | {CALLERS: ""}

    def _example(self, key: str) -> str:
        if key == "nodes":
            return f"n1 to n{len(self.nodes)}, zone:{self.zones[0]}, share:0.2, *"
        if key == "servers":
            ranges = [f"{TIERS[t]}1 to {TIERS[t]}{len(tier)}" for t, tier in enumerate(self.tiers)]
            return f"{', '.join(ranges)}, zone:{self.zones[0]}, share:0.2, *"
        return f"a name of a node or server, zone:{self.zones[0]}, nodes, servers, callers, *"
