"""What is checked of an operator's configuration before it is taken."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError, field_validator, model_validator

from dunlinloft.configuration import NotTyped, typed
from dunlinloft.coordination.calls import Invalid, Valid
from dunlinloft.coordination.durable import changed
from dunlinloft.coordination.messages import Document, Order

ERRORS_SHOWN = 3


class Part(BaseModel):
    """A part of a configuration; fields that are not known are kept aside."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Backend(Part):
    """A service that a route's requests may go to."""

    service: str
    weight: float = 1.0

    @field_validator("weight")
    @classmethod
    def _not_negative(cls, weight: float) -> float:
        if weight < 0.0:
            raise ValueError("a weight of 0 or more expected")
        return weight


class Route(Part):
    """Which requests go where, and how."""

    name: str
    hostname: str
    path_prefix: str
    type: str = "unsafe"
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str | None = None
    backends: tuple[Backend, ...] = ()
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None

    @field_validator("timeout_ms")
    @classmethod
    def _some_time(cls, timeout_ms: float) -> float:
        if timeout_ms <= 0.0:
            raise ValueError("more than 0 expected")
        return timeout_ms

    @model_validator(mode="after")
    def _goes_somewhere(self) -> Route:
        if self.service is None and not sum(backend.weight for backend in self.backends) > 0.0:
            raise ValueError("a service, or backends whose weights don't sum to 0, expected")
        return self

    def targets(self) -> tuple[Backend, ...]:
        """The services and their weights."""
        return self.backends or (Backend(service=self.service or ""),)


class Service(Part):
    """A service that servers register for."""

    name: str
    health_check_path: str = "/"
    max_connections: int = 64
    runtime: dict[str, Any] | None = None


class Limits(Part):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Tenant(Part):
    """Who holds which keys, and what it may ask in a second."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    billing_unit: str = "requests"
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(Part):
    """A whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()

    @model_validator(mode="after")
    def _consistent(self) -> Configuration:
        services = {service.name for service in self.services}
        places: set[tuple[str, str]] = set()
        for route in self.routes:
            for backend in route.targets():
                if backend.service not in services:
                    raise ValueError(f"routes.{route.name}: service {backend.service!r} is not known")
            place = (route.hostname.lower(), route.path_prefix)
            if place in places:
                raise ValueError(f"routes.{route.name}: another route has this host and prefix")
            places.add(place)
        holders: dict[str, str] = {}
        for tenant in self.tenants:
            for key in tenant.api_keys:
                if holders.setdefault(key, tenant.name) != tenant.name:
                    raise ValueError(f"tenants.{tenant.name}: shares a key with {holders[key]}")
        return self


def parsed(document: Document) -> Configuration | Invalid:
    """The typed form of a document, or what is wrong with it, each error with its path."""
    try:
        return Configuration.model_validate(document)
    except ValidationError as error:
        return Invalid("; ".join(_error_line(e) for e in error.errors()[:ERRORS_SHOWN]))


def _error_line(error: Any) -> str:
    path = ".".join(str(step) for step in error["loc"])
    return f"{path}: {error['msg']}" if path else str(error["msg"])


def judge(document: Document, order: Order) -> Valid | Invalid:
    """Whether an order may be taken on top of a document."""
    version = order.body.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        return Invalid("version: a whole number expected")
    if order.kind == "update":
        wrong = _update_error(order.body)
        if wrong is not None:
            return Invalid(wrong)
    elif not isinstance(order.body.get("routes"), list) or not isinstance(order.body.get("services"), list):
        return Invalid("routes, services: lists expected")
    after = changed(document, order)
    result = parsed(after)
    if isinstance(result, Invalid):
        return result
    try:
        typed(after)
    except NotTyped as error:
        return Invalid(str(error))
    return Valid(version)


def _update_error(body: Document) -> str | None:
    upsert, delete = body.get("upsert", {}), body.get("delete", {})
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        return "upsert, delete: objects expected"
    for name, items in upsert.items():
        if isinstance(items, list):
            if not all(isinstance(i, dict) and isinstance(i.get("name"), str) for i in items):
                return f"upsert.{name}: items with a name expected"
        elif not isinstance(items, dict):
            return f"upsert.{name}: a list expected"
    for name, names in delete.items():
        if not isinstance(names, list) or not all(isinstance(item, str) for item in names):
            return f"delete.{name}: a list of names expected"
    return None
