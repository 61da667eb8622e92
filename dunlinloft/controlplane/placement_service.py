"""Placement decisions for data-plane nodes: which server a request should be sent to.

Services are sharded over the chain by name. Decisions are advisory and need no lease: two replicas that
decide for the same service at the same time do no harm. The rules are in
`dunlinloft.coordination.placement`.
"""

from __future__ import annotations

from dunlinloft.configuration import Configuration, Service
from dunlinloft.coordination.placement.demand import PlacementDemand
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.placement.service import PlacementId
from dunlinloft.coordination.stream import (
    LocalPlacement,
    PlacementCompleted,
    PlacementQuery,
    PlacementReply,
    PrefillCompleted,
)
from dunlinloft.transport.clock import now_ms

NO_CAPACITY_RETRY_DELAY_MS = 30.0  # for a request that waits while no server has a free slot


class PlacementService:
    """Answers placement queries, and tracks which requests are in flight on which server.

    A request is identified by the stream on which it arrived (`stream_number`) and its request ID there.
    """

    def __init__(self, placements: PlacementDirectory) -> None:
        self._placements = placements

    def configure(self, configuration: Configuration) -> None:
        """Apply the prefix cache sizes of the servers from a committed configuration."""
        self._placements.set_kv_cache_tokens(_cache_tokens_by_service(configuration.services))

    def choose_server(self, stream_number: int, message: PlacementQuery) -> PlacementReply:
        """Choose the server for a request."""
        request = PlacementDemand(
            message.prompt_segments, message.max_output_tokens, message.wait_for_capacity
        )
        placement_id = PlacementId(stream_number, message.request_id)
        service = self._placements.service(message.service)
        server_id = service.assign(placement_id, request, message.excluded_servers, now_ms())
        wait_ms = NO_CAPACITY_RETRY_DELAY_MS if server_id is None and message.wait_for_capacity else 0.0
        return PlacementReply(message.request_id, message.service, server_id or "", wait_ms)

    def on_local_placement(self, stream_number: int, message: LocalPlacement) -> None:
        """Record that a node chose a server itself because no placement reply arrived in time."""
        request = PlacementDemand(message.prompt_segments, message.max_output_tokens)
        service = self._placements.service(message.service)
        placement_id = PlacementId(stream_number, message.request_id)
        service.on_local_placement(placement_id, request, message.server_id, now_ms())

    def on_prefill_completed(self, stream_number: int, message: PrefillCompleted) -> None:
        """Record that a placed request produced its first token, which ends its prefill."""
        self._placements.service(message.service).on_prefill_completed(
            PlacementId(stream_number, message.request_id)
        )

    def on_completed(self, stream_number: int, message: PlacementCompleted) -> None:
        """Record that a placed request is no longer in flight."""
        service = self._placements.service(message.service)
        service.on_completed(PlacementId(stream_number, message.request_id), message.server_failed, now_ms())

    def on_stream_closed(self, stream_number: int) -> None:
        """Drop the requests of a closed stream, since no further messages about them can arrive."""
        self._placements.on_stream_lost(stream_number, now_ms())


def _cache_tokens_by_service(services: tuple[Service, ...]) -> dict[str, int]:
    """KV cache size in tokens per server of each service whose runtime settings state it."""
    stated = {service.name: service.kv_cache_tokens for service in services}
    return {name: tokens for name, tokens in stated.items() if tokens is not None}
