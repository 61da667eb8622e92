"""The operator's configuration: its fields, types and defaults, defined once.

`dunlinloft.validation` makes the model from these types that checks an operator's document. It runs on the
control plane alone, and this module imports nothing of it: a node that starts must not load pydantic.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec
from msgspec import Struct

from dunlinloft.coordination.state import Document
from dunlinloft.exceptions import ConfigurationError

# What model servers of a service are started with; passed on as it is, and read by nobody here.
RuntimeOptions: TypeAlias = dict[str, Any]


class Backend(Struct, frozen=True):
    """A service that a route's requests may go to, and its weight among the route's others."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True, rename={"inter_token_latency_target_ms": "gap_aim_ms"}):
    """Which requests go to which service, with their time limit and retry policy."""

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
    inter_token_latency_target_ms: float | None = None

    def targets(self) -> tuple[Backend, ...]:
        """The services that requests may go to, with their weights."""
        return self.backends or (Backend(self.service or ""),)


class Service(Struct, frozen=True):
    """A service that model servers register for."""

    name: str
    health_check_path: str = "/"
    max_connections: int = 64
    runtime: RuntimeOptions | None = None


class Limits(Struct, frozen=True):
    """Limits on what a client may send, and on how long it may take to."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Tenant(Struct, frozen=True):
    """A customer: its API keys and its rate limit, in requests or tokens a second."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    billing_unit: str = "requests"
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(Struct, frozen=True):
    """A complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


def to_configuration(document: Document) -> Configuration:
    """The typed form of a document that was validated before. Raises `ConfigurationError`."""
    try:
        return msgspec.convert(document, Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error)) from None
