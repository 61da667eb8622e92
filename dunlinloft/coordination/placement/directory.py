"""The placement state of all services, and the ownership of services by control planes."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from dunlinloft.coordination.placement.service import ServicePlacement
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.fleet.rendezvous import rank


def placement_owner_address(service: str, addresses: Collection[str]) -> str | None:
    """Return the address of the control plane that owns a service's placement; None without addresses."""
    return max(addresses, key=lambda address: rank(f"placement/{service}", address), default=None)


class PlacementDirectory:
    """The `ServicePlacement` of each service; owned by the control plane's components."""

    def __init__(self, rng: random.Random, reuse_window_ms: float) -> None:
        """Start without services; see `RecentSegments` for `reuse_window_ms`."""
        self._rng = rng
        self._reuse_window_ms = reuse_window_ms
        self._services: dict[str, ServicePlacement] = {}

    def service(self, name: str) -> ServicePlacement:
        """Return a service's placement; that of a new service is created without servers."""
        placement = self._services.get(name)
        if placement is None:
            placement = ServicePlacement(self._rng, self._reuse_window_ms)
            self._services[name] = placement
        return placement

    def update_servers(self, records: Iterable[ServerRecord]) -> None:
        """Replace the servers of all services by `records`."""
        by_service: dict[str, list[ServerRecord]] = {name: [] for name in self._services}
        for record in records:
            by_service.setdefault(record.service, []).append(record)
        for name, service_records in by_service.items():
            self.service(name).update_servers(service_records)

    def set_kv_cache_tokens(self, tokens_by_service: dict[str, int]) -> None:
        """Set the KV cache memory per server for services whose configuration specifies it."""
        for name, tokens in tokens_by_service.items():
            self.service(name).set_kv_cache_tokens(tokens)

    def on_stream_lost(self, stream: int, now_ms: float) -> None:
        """Drop the requests in flight of a node's stream that ended."""
        for service in self._services.values():
            service.on_stream_lost(stream, now_ms)
