"""The routing table that is in force: built aside, then swapped whole."""

from __future__ import annotations

import random
from dataclasses import dataclass

from dunlinloft.balancer.logic import Rotation
from dunlinloft.configuration import Backend, Configuration, Route, Service, Tenant


@dataclass(slots=True, eq=False)
class Branch:
    """One service of a route, with its place in the route's rotation."""

    backend: Backend
    turn: float | None = None


@dataclass(slots=True, eq=False)
class ActiveRoute:
    """A route in force, and the rotation between its services."""

    route: Route
    branches: list[Branch]
    rotation: Rotation

    def service(self) -> str:
        """The service of the next first send, by the route's weights."""
        if len(self.branches) == 1:
            return self.branches[0].backend.service
        picked = self.rotation.pick((branch, branch.backend.weight) for branch in self.branches)
        assert picked is not None
        return picked.backend.service


class RoutingTable:
    """A configuration, indexed by host, prefix and key."""

    def __init__(self, configuration: Configuration, rng: random.Random) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.limits = configuration.limits
        self.services: dict[str, Service] = {service.name: service for service in configuration.services}
        self._active: dict[tuple[str, str], ActiveRoute] = {}
        for route in configuration.routes:
            branches = [Branch(backend) for backend in route.targets() if backend.weight > 0.0]
            self._active[(route.hostname.lower(), route.path_prefix)] = ActiveRoute(
                route, branches, Rotation(rng)
            )
        self._holders: dict[str, Tenant] = {
            key: tenant for tenant in configuration.tenants for key in tenant.api_keys
        }
        self.has_tenants = bool(configuration.tenants)

    def find(self, host: str, path: str) -> ActiveRoute | None:
        """The route of a host whose prefix begins the path and is longest."""
        host = host.lower()
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            active = self._active.get((host, path[: end + 1]))
            if active is not None:
                return active

    def holder(self, key: str) -> Tenant | None:
        """The tenant that holds a key."""
        return self._holders.get(key)


def cost_of(tenant: Tenant, usage: str | None) -> float:
    """What a request takes of its tenant's quota."""
    if tenant.billing_unit != "token_based":
        return 1.0
    if usage is None:
        return tenant.uncached_tokens
    try:
        return float(sum(int(part) for part in usage.split(",")))
    except ValueError:
        return tenant.uncached_tokens
