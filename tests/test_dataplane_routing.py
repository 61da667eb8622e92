"""The routing table: route matching, the choice of a service, and the cost of a request."""

from __future__ import annotations

import random

from dunlinloft.configuration import Backend, Configuration, Route, Service, Tenant
from dunlinloft.dataplane.routing import RoutingTable, quota_cost


def _route(name: str, prefix: str, host: str = "a.example") -> Route:
    return Route(name, host, prefix, 1_000.0, service="pool")


def _table(*routes: Route) -> RoutingTable:
    configuration = Configuration(1, routes, (Service("pool"), Service("other")))
    return RoutingTable(configuration, random.Random(1))


def test_request_matches_the_longest_path_prefix_of_its_host() -> None:
    table = _table(
        _route("all", "/"), _route("a", "/a/"), _route("ab", "/a/b/"), _route("b", "/a/", "b.example")
    )
    matched = {
        path: active.route.name if (active := table.match("A.example", path)) else None
        for path in ("/", "/a", "/a/", "/a/b", "/a/b/c", "/ab/")
    }
    assert matched == {"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/c": "ab", "/ab/": "all"}
    active = table.match("b.example", "/a/x")
    assert active is not None and active.route.name == "b"
    assert table.match("b.example", "/x/") is None
    assert table.match("c.example", "/") is None


def test_requests_are_split_among_backends_by_weight() -> None:
    backends = (Backend("pool", 90.0), Backend("other", 10.0))
    route = Route("split", "a.example", "/", 1_000.0, backends=backends)
    active = _table(route).match("a.example", "/x")
    assert active is not None
    services = [active.next_service() for _ in range(1_000)]
    assert abs(services.count("other") - 100) <= 2


def test_request_costs_its_tokens_or_its_tenants_flat_charge() -> None:
    token_billed = Tenant("t", billing_unit="token_based", uncached_tokens=200.0)
    assert quota_cost(token_billed, "1460,80") == 1_540.0
    assert quota_cost(token_billed, None) == quota_cost(token_billed, "many") == 200.0
    assert quota_cost(Tenant("t"), "1460,80") == 1.0
