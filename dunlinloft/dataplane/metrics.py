"""Counters of one node and their text in the Prometheus exposition format.

Counting only increments integers. The library that renders the text is imported at the first scrape, to keep
the start of the process short.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from dunlinloft.dataplane.causes import Cause

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_PATH = "/metrics"
EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class AttemptKind(enum.StrEnum):
    """The `kind` label of `dunlinloft_attempts_total`."""

    FIRST = "first"
    RETRY = "further"


class PlacementSource(enum.StrEnum):
    """Who chose a server: the `by` label of `dunlinloft_placements_total`."""

    OWNER = "advised"  # the service's owner in the control plane
    NODE = "own"  # this node, without a placement from the owner


class Metrics:
    """The counters of one node since its start; incremented on the request path, read by scrapes."""

    def __init__(self) -> None:
        self.requests: Counter[int] = Counter()  # by status of the final response
        self.refusals: Counter[tuple[int, Cause]] = Counter()  # by status and cause
        self.attempts: Counter[AttemptKind] = Counter()
        self.placements: Counter[PlacementSource] = Counter()
        self.in_flight = 0

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; called by the registry of prometheus_client."""
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

        requests = CounterMetricFamily("dunlinloft_requests", "Final answers, by status.", labels=["status"])
        for status, count in self.requests.items():
            requests.add_metric([str(status)], count)
        yield requests
        labels = ["status", "cause"]
        refusals = CounterMetricFamily("dunlinloft_refusals", "Answers of this node's own.", labels=labels)
        for (status, cause), count in self.refusals.items():
            refusals.add_metric([str(status), cause.value], count)
        yield refusals
        attempts = CounterMetricFamily("dunlinloft_attempts", "Requests sent to servers.", labels=["kind"])
        for kind, count in self.attempts.items():
            attempts.add_metric([kind.value], count)
        yield attempts
        placements = CounterMetricFamily("dunlinloft_placements", "Who chose a server.", labels=["by"])
        for source, count in self.placements.items():
            placements.add_metric([source.value], count)
        yield placements
        yield GaugeMetricFamily("dunlinloft_inflight", "Requests under way.", value=self.in_flight)

    def exposition(self) -> bytes:
        """Render all metrics as text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Respond to a scrape; the request handler of the metrics listener."""
        if request.path != METRICS_PATH:
            return Response(status=404, text="no such page")
        return Response(body=self.exposition(), headers={"Content-Type": EXPOSITION_CONTENT_TYPE})
