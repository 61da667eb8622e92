"""The servers of one service at a node: outlier ejection and unresponsive servers."""

from __future__ import annotations

import random

import pytest

from dunlinloft.dataplane.server_pool import ServerPool, ServerRequirements
from tests.server_records import server_record


@pytest.fixture
def pool() -> ServerPool:
    """An empty pool."""
    return ServerPool(random.Random(1))


def test_failed_server_is_ejected_unless_all_are(pool: ServerPool) -> None:
    for number in range(3):
        pool.put(server_record(number))
    requirements = ServerRequirements(200.0)
    pool.servers["i-0"].on_failure(0.0)
    selected = {server.record.id for _ in range(30) if (server := pool.select(requirements, 10, (), 10.0))}
    assert selected == {"i-1", "i-2"}
    for server in pool.servers.values():
        server.on_failure(10.0)
    assert pool.select(requirements, 10, (), 20.0) is not None
    all_selected = {pool.select(requirements, 10, (), 5_000.0 + n) for n in range(30)}
    assert all_selected == set(pool.servers.values())


def test_unresponsive_server_is_excluded_until_it_responds(pool: ServerPool) -> None:
    for number in range(2):
        pool.put(server_record(number))
    pool.servers["i-0"].on_sent("a", 0.0)
    assert pool.excluded_ids(200.0, 10, (), 400.0) == set()
    assert pool.excluded_ids(200.0, 10, (), 700.0) == {"i-0"}
    pool.servers["i-0"].on_response("a", 800.0)
    assert pool.excluded_ids(200.0, 10, (), 900.0) == set()
