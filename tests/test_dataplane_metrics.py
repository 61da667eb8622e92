"""A node's metrics: refusals are counted by cause, and the exposition format can be parsed."""

from __future__ import annotations

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.metrics import Metrics
from lab.router.bare_node import BareNode
from tests.virtual_time import run_in_virtual_time

ROUTE = {
    "name": "r",
    "hostname": "host.example",
    "path_prefix": "/a/",
    "type": "safe",
    "timeout_ms": 500,
    "target_latency_ms": 100,
    "service": "pool",
    "max_attempts": 1,
    "public": True,
}


def test_refusals_are_counted_by_cause() -> None:
    async def scenario() -> None:
        node = BareNode([ROUTE], [])
        await node.start()
        headers = {"Host": "host.example", "X-Attempt-Id": "1"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for path in ("/a/1", "/a/2", "/b/"):
                async with session.get(node.url + path) as response:
                    await response.read()
        assert node.metrics.refusals == {(503, Cause.NO_SERVER): 2, (404, Cause.NO_ROUTE): 1}
        assert node.metrics.requests == {503: 2, 404: 1}
        assert node.metrics.in_flight == 0
        await node.stop()

    run_in_virtual_time(scenario())


def test_exposition_can_be_parsed() -> None:
    metrics = Metrics()
    metrics.requests[200] += 3
    metrics.refusals[429, Cause.QUOTA_ALONE] += 2
    families = {
        family.name: family for family in text_string_to_metric_families(metrics.exposition().decode())
    }
    (sample,) = [s for s in families["dunlinloft_refusals"].samples if s.name.endswith("_total")]
    assert sample.labels == {"status": "429", "cause": "quota_alone"}
    assert sample.value == 2.0
    assert all(family.documentation for family in families.values())
