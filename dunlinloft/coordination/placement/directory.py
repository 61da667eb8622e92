"""All services that a control plane may advise on, and which control plane owns a service."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from dunlinloft.coordination.placement.service import ServicePlacement
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.fleet.rendezvous import rank


def placement_owner_address(service: str, addresses: Collection[str]) -> str | None:
    """Return the address of the control plane that advises on a service; None where there is none."""
    return max(addresses, key=lambda address: rank(f"placement/{service}", address), default=None)


class PlacementDirectory:
    """The placement of each service; owned by the control plane's components."""

    def __init__(self, rng: random.Random, reuse_window_ms: float) -> None:
        """Start without services; for `reuse_window_ms` see `RecentSegments`."""
        self._rng = rng
        self._reuse_window_ms = reuse_window_ms
        self._services: dict[str, ServicePlacement] = {}

    def service(self, name: str) -> ServicePlacement:
        """Return a service's placement, which begins without servers where the service is new."""
        placement = self._services.get(name)
        if placement is None:
            placement = ServicePlacement(self._rng, self._reuse_window_ms)
            self._services[name] = placement
        return placement

    def update_servers(self, records: Iterable[ServerRecord]) -> None:
        """Take all servers that there are now, of all services."""
        by_service: dict[str, list[ServerRecord]] = {name: [] for name in self._services}
        for record in records:
            by_service.setdefault(record.service, []).append(record)
        for name, service_records in by_service.items():
            self.service(name).update_servers(service_records)

    def set_kv_cache_tokens(self, tokens_by_service: dict[str, int]) -> None:
        """Take the KV cache memory of services' servers, where the configuration states it."""
        for name, tokens in tokens_by_service.items():
            self.service(name).set_kv_cache_tokens(tokens)

    def on_stream_lost(self, stream: int, now_ms: float) -> None:
        """Drop the requests of a node's stream that ended."""
        for service in self._services.values():
            service.on_stream_lost(stream, now_ms)
