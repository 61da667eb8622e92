"""Resolves the names in a scenario to nodes and servers.

Front nodes are `n1`, `n2`, ...; the servers of the first tier `a1`, `a2`, ..., of the second `b1`, ...;
the node of server `a1` is `a1/node`. A selector is a name, `zone:NAME`, `nodes`, `servers`, `callers`,
`share:0.2` (of the nodes or of the servers, depending on the key; constant for a seed) or `*`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.scenario import AnyFault, Scenario

TIERS = "ab"
CALLERS = "callers"


class UnknownNameError(Exception):
    """A selector matches no node or server."""


class Names:
    """All nodes and servers of a scenario, with their zones."""

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
        self.server_nodes = {
            f"{name}/node": zone for name, zone in inner.items()
        }  # nodes that run beside first-tier servers

    def zone(self, name: str) -> str:
        """Return the zone of a node or a server; "" for the callers."""
        return self.nodes.get(name) or self.servers.get(name) or self.server_nodes.get(name, "")

    def selectors(self, fault: AnyFault) -> Iterator[tuple[str, str]]:
        """Yield the key and value of each selector in a fault."""
        for key in ("nodes", "servers"):
            for selector in getattr(fault, key, ()):
                yield key, selector
        for key in ("source", "target"):
            if hasattr(fault, key):
                yield key, getattr(fault, key)
        for part in getattr(fault, "parts", ()):
            for selector in part:
                yield "parts", selector

    def pick(self, selector: str, key: str, seed: int = 0) -> list[str]:
        """Return the names that a selector matches; raises `UnknownNameError` listing the valid ones."""
        pool = self._pool(key)
        if selector == "*":
            return list(pool)
        kind, _, value = selector.partition(":")
        if kind == "zone" and value in self.zones:
            return [name for name, zone in pool.items() if zone == value]
        if kind == "share" and key in ("nodes", "servers"):
            try:
                share = float(value)
            except ValueError:
                share = -1.0
            if 0.0 <= share <= 1.0:
                # Only first-tier servers count, since nodes do not reach the second tier directly.
                names = list(self.tiers[0] if key == "servers" else pool)
                return sorted(random.Random(f"{seed}{selector}").sample(names, round(share * len(names))))
        if selector in ("nodes", "servers", CALLERS) and key not in ("nodes", "servers"):
            groups = {
                "nodes": self.nodes | self.server_nodes,
                "servers": self.servers,
                CALLERS: {CALLERS: ""},
            }
            return list(groups[selector])
        if selector in pool:
            return [selector]
        raise UnknownNameError(f"nothing is named {selector!r}; expected one of {self._example(key)}")

    def _pool(self, key: str) -> dict[str, str]:
        if key == "nodes":
            return self.nodes
        if key == "servers":
            return self.servers
        return self.nodes | self.server_nodes | self.servers | {CALLERS: ""}

    def _example(self, key: str) -> str:
        if key == "nodes":
            return f"n1 to n{len(self.nodes)}, zone:{self.zones[0]}, share:0.2, *"
        if key == "servers":
            ranges = [f"{TIERS[t]}1 to {TIERS[t]}{len(tier)}" for t, tier in enumerate(self.tiers)]
            return f"{', '.join(ranges)}, zone:{self.zones[0]}, share:0.2, *"
        return f"a name of a node or server, zone:{self.zones[0]}, nodes, servers, callers, *"
