"""The operator's configuration: its fields, types and defaults, defined once.

`dunlinloft.validation` derives the pydantic models that check an operator's document from these types. This
module must not import it: only the control plane validates, and nodes start without loading pydantic.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec
from msgspec import Struct

from dunlinloft.coordination.state import Document
from dunlinloft.exceptions import ConfigurationError

# Bound of the magnitude of each number that the programs compute with: up to it a float holds every integer.
# Far larger ones overflow.
MAX_NUMBER = 2**53

# Options that a service's model servers are started with; passed through, and only `KV_CACHE_TOKENS_OPTION`
# is interpreted.
RuntimeOptions: TypeAlias = dict[str, Any]
KV_CACHE_TOKENS_OPTION = "kv_cache_tokens"


class Backend(Struct, frozen=True):
    """A service that a route sends requests to, and its weight relative to the route's other backends."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True, rename={"inter_token_latency_target_ms": "gap_aim_ms"}):
    """Matches requests to services, with their timeout and retry policy."""

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
        """Return the services that requests may be sent to, with their weights."""
        return self.backends or (Backend(self.service or ""),)


class Service(Struct, frozen=True):
    """A service that model servers register with."""

    name: str
    health_check_path: str = "/"
    max_connections: int = 64
    runtime: RuntimeOptions | None = None

    @property
    def kv_cache_tokens(self) -> int | None:
        """KV cache memory of each server, in tokens; None if the runtime options state no usable size.

        A configuration that an earlier release accepted may hold any value here.
        """
        stated = (self.runtime or {}).get(KV_CACHE_TOKENS_OPTION)
        if not isinstance(stated, int | float) or isinstance(stated, bool):
            return None
        return int(stated) if 1 <= stated <= MAX_NUMBER else None


class Limits(Struct, frozen=True):
    """Limits on the size of client requests and on the time to receive them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Tenant(Struct, frozen=True):
    """A customer: its API keys and its rate limit, in requests or tokens per second."""

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
    """Convert a validated document to its typed form. Raises `ConfigurationError`."""
    try:
        return msgspec.convert(document, Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error)) from None
