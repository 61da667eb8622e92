"""The state shared by all requests to one service at this node: servers, connections and retry budget."""

from __future__ import annotations

import random
from dataclasses import dataclass

from dunlinloft.dataplane.control_clients import ControlClients
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.placement_client import PlacementClient
from dunlinloft.dataplane.retry_budget import RetryBudget
from dunlinloft.dataplane.server_pool import ServerPool
from dunlinloft.dataplane.upstream import Upstream

DEFAULT_MAX_CONNECTIONS = 64  # of a service missing from the active configuration; as in `Service`
MIN_REQUESTS_PER_SERVER = 2  # in flight from one node at one server, regardless of the number of nodes


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What one exchange needs to reach its service; a snapshot taken when the request is forwarded."""

    service: str
    pool: ServerPool
    placement: PlacementClient
    upstream: Upstream
    budget: RetryBudget
    node_count: int  # number of nodes that share the retry budget
    rng: random.Random
    metrics: Metrics


class ServiceContexts:
    """Owns the connections and the retry budget of each service, created at its first request.

    `DataPlane` gets a context from it for each exchange.
    """

    def __init__(self, clients: ControlClients, rng: random.Random, metrics: Metrics) -> None:
        self._clients = clients
        self._rng = rng
        self._metrics = metrics
        self._upstreams: dict[str, Upstream] = {}  # by service
        self._budgets: dict[str, RetryBudget] = {}  # by service

    def context(self, service: str) -> ServiceContext:
        """The context of a service; requires an active configuration."""
        upstream = self._upstreams.get(service)
        if upstream is None:
            upstream = self._create_upstream(service)
            self._upstreams[service] = upstream
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._clients.settings.current.timing_bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_window_s, bounds.retry_allowance)
            self._budgets[service] = budget
        return ServiceContext(
            service,
            self._clients.servers.pool(service),
            self._clients.placement,
            upstream,
            budget,
            self._node_count(),
            self._rng,
            self._metrics,
        )

    def _create_upstream(self, service: str) -> Upstream:
        """Create a connection pool that uses this node's equal share of the connections to each server."""
        table = self._clients.configuration.table
        assert table is not None
        configured = table.services.get(service)
        max_connections = DEFAULT_MAX_CONNECTIONS if configured is None else configured.max_connections
        return Upstream(max(MIN_REQUESTS_PER_SERVER, max_connections // max(1, self._node_count())))

    def _node_count(self) -> int:
        """The number of nodes in the fleet, as announced by the control plane; 1 before the announcement."""
        view = self._clients.streams.view
        return 1 if view is None else view.node_count
