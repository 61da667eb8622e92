"""The operator's configuration as the programs use it: typed, from a document that was checked before.

`dunlinloft.validation` does the checking, on the control plane alone: a node that starts need not load it.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from dunlinloft.coordination.messages import Document


class Backend(Struct, frozen=True):
    """A service that a route's requests may go to."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True):
    """Which requests go where, and how."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: float
    type: str = "unsafe"
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str | None = None
    backends: tuple[Backend, ...] = ()
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None

    def targets(self) -> tuple[Backend, ...]:
        """The services and their weights."""
        return self.backends or (Backend(self.service or ""),)


class Service(Struct, frozen=True):
    """A service that servers register for."""

    name: str
    health_check_path: str = "/"
    max_connections: int = 64
    runtime: dict[str, Any] | None = None


class Limits(Struct, frozen=True):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Tenant(Struct, frozen=True):
    """Who holds which keys, and what it may ask in a second."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    billing_unit: str = "requests"
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(Struct, frozen=True):
    """A whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


class NotTyped(Exception):
    """A document that the types don't fit; the text has the path."""


def typed(document: Document) -> Configuration:
    """The typed form of a checked document. Raises `NotTyped`."""
    try:
        return msgspec.convert(document, Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise NotTyped(str(error)) from None
