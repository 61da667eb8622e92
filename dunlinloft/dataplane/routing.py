"""The routing table: a configuration indexed by host, path prefix and API key."""

from __future__ import annotations

import random
from dataclasses import dataclass

from dunlinloft.balancer.rotation import Rotation
from dunlinloft.configuration import Backend, Configuration, Route, Service, Tenant
from dunlinloft.dataplane.header_numbers import token_count

TOKEN_BILLING = "token_based"  # value of a tenant's `billing_unit`; any other value bills by request


@dataclass(slots=True, eq=False)
class WeightedBackend:
    """A backend of a route, and its state in the route's rotation."""

    backend: Backend
    rotation_weight: float | None = None  # kept by `Rotation`; None before its first round


@dataclass(slots=True, eq=False)
class ActiveRoute:
    """A route of the active configuration, with the rotation among its backends."""

    route: Route
    backends: list[WeightedBackend]
    rotation: Rotation

    def next_service(self) -> str:
        """The service for the next request, chosen by smooth weighted round-robin among the backends."""
        if len(self.backends) == 1:
            return self.backends[0].backend.service
        selected = self.rotation.pick((backend, backend.backend.weight) for backend in self.backends)
        assert selected is not None
        return selected.backend.service


class RoutingTable:
    """One configuration, indexed for lookups; immutable once built."""

    def __init__(self, configuration: Configuration, rng: random.Random) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.limits = configuration.limits
        self.services: dict[str, Service] = {service.name: service for service in configuration.services}
        self._routes: dict[tuple[str, str], ActiveRoute] = {}  # by lower-case host and path prefix
        for route in configuration.routes:
            backends = [WeightedBackend(backend) for backend in route.targets() if backend.weight > 0.0]
            self._routes[(route.hostname.lower(), route.path_prefix)] = ActiveRoute(
                route, backends, Rotation(rng)
            )
        self._tenants: dict[str, Tenant] = {
            key: tenant for tenant in configuration.tenants for key in tenant.api_keys
        }
        self.has_tenants = bool(configuration.tenants)

    def match(self, host: str, path: str) -> ActiveRoute | None:
        """The route of the host with the longest matching path prefix; None if no route matches."""
        host = host.lower()
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            active = self._routes.get((host, path[: end + 1]))
            if active is not None:
                return active

    def tenant_of(self, api_key: str) -> Tenant | None:
        """The tenant that an API key belongs to; None if the key is unknown."""
        return self._tenants.get(api_key)


def quota_cost(tenant: Tenant, token_usage: str | None) -> float:
    """The amount of its tenant's quota that a request costs, in the tenant's billing unit.

    Parameters
    ----------
    token_usage
        The `X-Token-Usage` header: comma-separated token counts. Without a valid one, a request costs the
        tenant's configured `uncached_tokens`.
    """
    if tenant.billing_unit != TOKEN_BILLING:
        return 1.0
    if token_usage is None:
        return tenant.uncached_tokens
    try:
        return float(sum(token_count(count) for count in token_usage.split(",")))
    except ValueError:
        return tenant.uncached_tokens
