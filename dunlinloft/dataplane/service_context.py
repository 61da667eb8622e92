"""What serves the requests of one service at this node: its servers, connections and retry budget."""

from __future__ import annotations

import random
from dataclasses import dataclass

from dunlinloft.dataplane.control_clients import ControlClients
from dunlinloft.dataplane.metrics import Metrics
from dunlinloft.dataplane.placement_client import PlacementClient
from dunlinloft.dataplane.retry_budget import RetryBudget
from dunlinloft.dataplane.server_pool import ServerPool
from dunlinloft.dataplane.upstream import Upstream

DEFAULT_MAX_CONNECTIONS = 64  # of a service that the active configuration no longer names; as in `Service`
MIN_REQUESTS_PER_SERVER = 2  # that a node may have in flight at one server, however many nodes there are


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What one exchange uses of its service, as it was when the request was forwarded."""

    service: str
    pool: ServerPool
    placement: PlacementClient
    upstream: Upstream
    budget: RetryBudget
    node_count: int  # nodes that share the retry budget
    rng: random.Random
    metrics: Metrics


class ServiceContexts:
    """Owns the connections and the retry budget of each service, created with its first request.

    `DataPlane` takes a context from here for each exchange.
    """

    def __init__(self, clients: ControlClients, rng: random.Random, metrics: Metrics) -> None:
        self._clients = clients
        self._rng = rng
        self._metrics = metrics
        self._upstreams: dict[str, Upstream] = {}  # by service
        self._budgets: dict[str, RetryBudget] = {}  # by service

    def context(self, service: str) -> ServiceContext:
        """The context of a service; only called while a configuration is active."""
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
        """Divide the connections that a server accepts evenly among the nodes."""
        table = self._clients.configuration.table
        assert table is not None
        configured = table.services.get(service)
        max_connections = DEFAULT_MAX_CONNECTIONS if configured is None else configured.max_connections
        return Upstream(max(MIN_REQUESTS_PER_SERVER, max_connections // max(1, self._node_count())))

    def _node_count(self) -> int:
        """The number of nodes in the fleet, as the control plane announces it; 1 before that."""
        view = self._clients.streams.view
        return 1 if view is None else view.node_count
