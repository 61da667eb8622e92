"""Counters of one data-plane node, and their text in the Prometheus exposition format.

Counting is an increment of an integer. The library that writes the text is loaded at the first look, as a
start should not wait for it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from dunlinloft.dataplane.causes import Cause

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

PATH = "/metrics"
TEXT = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """What one node counts, from its start."""

    def __init__(self) -> None:
        self.requests: Counter[int] = Counter()  # by status of the final answer
        self.refusals: Counter[tuple[int, Cause]] = Counter()  # answers of our own, by status and cause
        self.attempts: Counter[str] = Counter()  # sends to servers: "first" or "further"
        self.placements: Counter[str] = Counter()  # first sends: "advised" or "own"
        self.inflight = 0

    def collect(self) -> Iterator[Metric]:
        """All figures, for the library."""
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
            attempts.add_metric([kind], count)
        yield attempts
        placements = CounterMetricFamily("dunlinloft_placements", "Who chose a server.", labels=["by"])
        for chooser, count in self.placements.items():
            placements.add_metric([chooser], count)
        yield placements
        yield GaugeMetricFamily("dunlinloft_inflight", "Requests under way.", value=self.inflight)

    def exposition(self) -> bytes:
        """The text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer a look."""
        if request.path != PATH:
            return Response(status=404, text="no such page")
        return Response(body=self.exposition(), headers={"Content-Type": TEXT})
