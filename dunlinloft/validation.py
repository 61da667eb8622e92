"""Validation of an operator's configuration change before the control plane accepts it.

The pydantic models are derived from the types of `dunlinloft.configuration`, so that fields and defaults are
defined once; this module adds the constraints that types can't express. `validate` is passed to `Replica`.

Only the control plane, the lab and tests may import this module, because it loads pydantic.
"""

from __future__ import annotations

import math
import types
import typing
from collections.abc import Callable
from typing import Annotated, Any, TypeAlias, TypeVar

import msgspec
from msgspec import NODEFAULT, Struct
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    create_model,
    model_validator,
)
from pydantic_core import ErrorDetails

from dunlinloft.configuration import (
    KV_CACHE_TOKENS_OPTION,
    MAX_NUMBER,
    Backend,
    Configuration,
    Route,
    Service,
    Tenant,
    to_configuration,
)
from dunlinloft.coordination.document_changes import apply_change
from dunlinloft.coordination.state import ChangeKind, ConfigurationChange, Document
from dunlinloft.coordination.verdicts import Invalid, Valid
from dunlinloft.exceptions import ConfigurationError

MAX_ERRORS_SHOWN = 3

Value = TypeVar("Value")
Annotation: TypeAlias = Any  # a field's type: a class, a generic alias or a union
# A rule raises `ValueError` with a message for operators.
FieldRule: TypeAlias = Callable[[float], float]
ModelRule: TypeAlias = Callable[[Any], None]


def _check_non_negative(weight: float) -> float:
    if weight < 0.0:
        raise ValueError("a weight of 0 or more expected")
    return weight


def _check_positive(timeout_ms: float) -> float:
    if timeout_ms <= 0.0:
        raise ValueError("more than 0 expected")
    return timeout_ms


def _check_target(route: Route) -> None:
    total_weight = sum(backend.weight for backend in route.backends)
    has_target = total_weight > 0.0 if route.backends else route.service is not None
    if not has_target:
        raise ValueError("a service, or backends whose weights don't sum to 0, expected")
    if not math.isfinite(total_weight):
        raise ValueError("backends whose weights have a finite sum expected")


def _check_runtime(service: Service) -> None:
    """Check the one runtime option that the control plane computes with; the others are only passed on."""
    stated = (service.runtime or {}).get(KV_CACHE_TOKENS_OPTION)
    if isinstance(stated, int | float) and not -MAX_NUMBER <= stated <= MAX_NUMBER:
        raise ValueError(f"runtime.{KV_CACHE_TOKENS_OPTION}: a number of at most {MAX_NUMBER} expected")


def _check_consistency(configuration: Configuration) -> None:
    """Check that routes name known services and don't collide, and that tenants share no API key."""
    services = {service.name for service in configuration.services}
    matches: set[tuple[str, str]] = set()
    for route in configuration.routes:
        for service in _named_services(route):
            if service not in services:
                raise ValueError(f"routes.{route.name}: service {service!r} is not known")
        match = (route.hostname.lower(), route.path_prefix)
        if match in matches:
            raise ValueError(f"routes.{route.name}: another route has this host and prefix")
        matches.add(match)
    owners: dict[str, Tenant] = {}
    for tenant in configuration.tenants:
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant)
            if owner is not tenant:
                raise ValueError(f"tenants.{tenant.name}: shares a key with {owner.name}")


def _named_services(route: Route) -> list[str]:
    """Return all services that a route names; `service` is one of them even if `backends` replace it."""
    names = [backend.service for backend in route.backends]
    return names if route.service is None else [route.service, *names]


FIELD_RULES: dict[tuple[type[Struct], str], FieldRule] = {
    (Backend, "weight"): _check_non_negative,
    (Route, "timeout_ms"): _check_positive,
}
# Fields that are checked before the other fields of their type, because only the first errors are reported.
CHECKED_FIRST: dict[type[Struct], tuple[str, ...]] = {Route: ("name", "hostname", "path_prefix", "type")}
MODEL_RULES: dict[type[Struct], ModelRule] = {
    Route: _check_target,
    Service: _check_runtime,
    Configuration: _check_consistency,
}


class _Model(BaseModel):
    """Base class of all models. Unknown fields are ignored here; the stored document keeps them.

    Numbers have to be finite: JSON has no other ones, so that replicas and nodes could not read them. Their
    magnitude is bounded by `MAX_NUMBER`.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class _ModelFactory:
    """Creates the pydantic models of a msgspec type and of the types that its fields refer to."""

    def __init__(self) -> None:
        self._models: dict[type[Struct], type[BaseModel]] = {}

    def model_of(self, struct: type[Struct]) -> type[BaseModel]:
        """Return the model with the fields, encoded names, defaults and rules of `struct`."""
        if struct not in self._models:
            self._models[struct] = self._make(struct)
        return self._models[struct]

    def _make(self, struct: type[Struct]) -> type[BaseModel]:
        annotations = typing.get_type_hints(struct)
        fields: dict[str, Any] = {}
        checked_first = CHECKED_FIRST.get(struct, ())
        for field in sorted(
            msgspec.structs.fields(struct), key=lambda field: field.name not in checked_first
        ):
            annotation = self._model_annotation(annotations[field.name])
            if rule := FIELD_RULES.get((struct, field.name)):
                annotation = Annotated[annotation, AfterValidator(rule)]
            default = ... if field.default is NODEFAULT else field.default
            fields[field.name] = (annotation, Field(default, alias=field.encode_name))
        validators: dict[str, Any] = {}
        if model_rule := MODEL_RULES.get(struct):
            validators["check"] = model_validator(mode="after")(_as_validator(model_rule))
        return create_model(struct.__name__, __base__=_Model, __validators__=validators, **fields)

    def _model_annotation(self, annotation: Annotation) -> Annotation:
        """Replace each msgspec type in an annotation by its model, and bound its numbers."""
        if isinstance(annotation, type) and issubclass(annotation, Struct):
            return self.model_of(annotation)
        if annotation in (int, float):
            return Annotated[annotation, Field(ge=-MAX_NUMBER, le=MAX_NUMBER)]
        arguments = typing.get_args(annotation)
        if not arguments:
            return annotation
        is_union = isinstance(annotation, types.UnionType)
        origin: Annotation = typing.Union if is_union else typing.get_origin(annotation)
        return origin[tuple(map(self._model_annotation, arguments))]


def _as_validator(rule: ModelRule) -> Callable[[Value], Value]:
    """Adapt a rule to a pydantic validator."""

    def check(model: Value) -> Value:
        """Apply the rule; pydantic reports its `ValueError` with the model's path."""
        rule(model)
        return model

    return check


_CONFIGURATION_MODEL = _ModelFactory().model_of(Configuration)


def validate(document: Document, change: ConfigurationChange) -> Valid | Invalid:
    """Decide whether a change to a document is acceptable; `Invalid` carries the errors for the operator."""
    try:
        version = _version_of(change.body)
        if change.kind == ChangeKind.UPDATE:
            _check_update(change.body)
        else:
            _check_replacement(change.body)
        _check_document(apply_change(document, change))
    except ConfigurationError as error:
        return Invalid(str(error))
    return Valid(version)


def _version_of(body: Document) -> int:
    version = body.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        raise ConfigurationError("version: a whole number expected")
    return version


def _check_replacement(body: Document) -> None:
    if not isinstance(body.get("routes"), list) or not isinstance(body.get("services"), list):
        raise ConfigurationError("routes, services: lists expected")


def _check_update(body: Document) -> None:
    """Raise `ConfigurationError` for a body that can't be applied to a document."""
    upsert = body.get("upsert", {})
    delete = body.get("delete", {})
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        raise ConfigurationError("upsert, delete: objects expected")
    for name, items in upsert.items():
        if isinstance(items, list):
            if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
                raise ConfigurationError(f"upsert.{name}: items with a name expected")
        elif not isinstance(items, dict):
            raise ConfigurationError(f"upsert.{name}: a list expected")
    for name, names in delete.items():
        if not isinstance(names, list) or not all(isinstance(item, str) for item in names):
            raise ConfigurationError(f"delete.{name}: a list of names expected")


def _check_document(document: Document) -> None:
    """Raise `ConfigurationError` with the paths of the first `MAX_ERRORS_SHOWN` errors."""
    try:
        _CONFIGURATION_MODEL.model_validate(document)
    except ValidationError as error:
        texts = (_error_text(details) for details in error.errors()[:MAX_ERRORS_SHOWN])
        raise ConfigurationError("; ".join(texts)) from None
    to_configuration(document)


def _error_text(details: ErrorDetails) -> str:
    path = ".".join(str(step) for step in details["loc"])
    return f"{path}: {details['msg']}" if path else details["msg"]
