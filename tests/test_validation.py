"""Tests of the validation of operators' configurations and of the reported errors."""

from __future__ import annotations

import math
from typing import Any

import pytest

from dunlinloft.configuration import to_configuration
from dunlinloft.controlplane.exceptions import InvalidJsonError
from dunlinloft.controlplane.json_input import decode_document
from dunlinloft.coordination.document_changes import apply_change
from dunlinloft.coordination.state import ConfigurationChange, Document
from dunlinloft.coordination.verdicts import Invalid, Valid
from dunlinloft.exceptions import ConfigurationError
from dunlinloft.validation import validate


def route(name: str = "r", **changes: Any) -> dict[str, Any]:
    """Return a valid route with some fields changed."""
    fields = {
        "name": name,
        "hostname": "a.example",
        "path_prefix": f"/{name}/",
        "timeout_ms": 100,
        "service": "s",
    }
    return {**fields, **changes}


def document_with(**changes: Any) -> Document:
    """Return a valid configuration with some fields changed."""
    body: Document = {
        "version": 3,
        "routes": [route()],
        "services": [{"name": "s", "max_connections": 5, "shape": "kept"}],
        "tenants": [{"name": "t", "api_keys": ["k"]}],
    }
    return {**body, **changes}


def validate_body(body: Document, kind: str = "replace", document: Document | None = None) -> Valid | Invalid:
    """Validate a change with this body to a document."""
    return validate(document or {}, ConfigurationChange(kind, 0, "digest", body))


def test_valid_configuration_with_unknown_fields_is_accepted() -> None:
    assert validate_body(document_with(later={"a": 1})) == Valid(3)
    split: dict[str, Any] = {
        "service": None,
        "backends": [{"service": "s", "weight": 90}, {"service": "s", "weight": 0}],
    }
    assert validate_body(document_with(routes=[route(**split)])) == Valid(3)


@pytest.mark.parametrize(
    ("invalid", "path"),
    [
        ({"version": "3"}, "version"),
        ({"version": True}, "version"),
        ({"routes": None}, "routes, services"),
        ({"services": {}}, "routes, services"),
        ({"routes": [route(service="nobody")]}, "routes.r: service 'nobody'"),
        ({"routes": [route(), route("q", path_prefix="/r/")]}, "routes.q: another route"),
        ({"routes": [route(), route("q", path_prefix="/r/", hostname="A.example")]}, "routes.q"),
        ({"routes": [route(timeout_ms=0)]}, "routes.0.timeout_ms"),
        ({"routes": [route(service=None)]}, "routes.0"),
        ({"routes": [route(service=None, backends=[{"service": "s", "weight": 0}])]}, "routes.0"),
        ({"routes": [{"name": "r"}]}, "routes.0.hostname"),
        ({"tenants": [{"name": "t", "api_keys": ["k"]}, {"name": "u", "api_keys": ["k"]}]}, "tenants.u"),
        ({"tenants": [{"name": "t", "api_keys": ["k"]}, {"name": "t", "api_keys": ["k"]}]}, "tenants.t"),
    ],
)
def test_invalid_configuration_is_rejected_with_path(invalid: Document, path: str) -> None:
    verdict = validate_body(document_with(**invalid))
    assert isinstance(verdict, Invalid)
    assert path in verdict.reason


@pytest.mark.parametrize("weights", [[0], [0, 0], [0.0]])
@pytest.mark.parametrize("service", ["s", None])
def test_weights_that_sum_to_zero_are_rejected_with_and_without_a_service(
    weights: list[float], service: str | None
) -> None:
    """A route with a service was accepted with them; each of its requests would fail with 500 (review/3)."""
    backends = [{"service": "s", "weight": weight} for weight in weights]
    verdict = validate_body(document_with(routes=[route(service=service, backends=backends)]))
    assert isinstance(verdict, Invalid)
    assert "routes.0: Value error" in verdict.reason


def test_weights_whose_sum_is_not_finite_are_rejected() -> None:
    """No rotation can be computed from them."""
    backends = [{"service": "s", "weight": 1.5e308}, {"service": "s", "weight": 1.5e308}]
    assert isinstance(validate_body(document_with(routes=[route(backends=backends)])), Invalid)


@pytest.mark.parametrize(
    "fields", [{"service": "nobody"}, {"service": "s", "backends": [{"service": "nobody", "weight": 0}]}]
)
def test_unknown_service_is_rejected_beside_known_ones(fields: dict[str, Any]) -> None:
    """An unknown `service` was accepted if the route also had `backends`."""
    valid_backend = {"service": "s", "weight": 1}
    fields = {**fields, "backends": [*fields.get("backends", []), valid_backend]}
    verdict = validate_body(document_with(routes=[route(**fields)]))
    assert verdict == Invalid("Value error, routes.r: service 'nobody' is not known")


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf, "NaN", "Infinity", "-inf", 10**400])
@pytest.mark.parametrize(
    ("section", "item", "name"),
    [
        ("routes", route(), "timeout_ms"),
        ("routes", route(), "target_latency_ms"),
        ("routes", route(), "gap_aim_ms"),
        ("tenants", {"name": "t"}, "rate_per_s"),
        ("tenants", {"name": "t"}, "burst"),
        ("tenants", {"name": "t"}, "uncached_tokens"),
    ],
)
def test_numbers_that_are_not_finite_are_rejected_with_path(
    section: str, item: dict[str, Any], name: str, number: Any
) -> None:
    """`NaN` was accepted as a rate; nodes read `null` and refused every later change (review/3)."""
    verdict = validate_body(document_with(**{section: [{**item, name: number}]}))
    assert isinstance(verdict, Invalid)
    assert name in verdict.reason


@pytest.mark.parametrize("number", [1e308, -1e308, 2**54, 10**400])
@pytest.mark.parametrize(
    ("section", "item", "name"),
    [
        ("routes", route(), "timeout_ms"),
        ("routes", route(), "gap_aim_ms"),
        ("routes", route(), "priority"),
        ("routes", route(), "max_attempts"),
        ("services", {"name": "s"}, "max_connections"),
        ("tenants", {"name": "t"}, "rate_per_s"),
        ("tenants", {"name": "t"}, "priority"),
    ],
)
def test_numbers_that_overflow_where_they_are_used_are_rejected(
    section: str, item: dict[str, Any], name: str, number: float
) -> None:
    """A rate of 1e308 was accepted and each request refused; a timeout of 1e308 answered each with 500."""
    verdict = validate_body(document_with(**{section: [{**item, name: number}]}))
    assert isinstance(verdict, Invalid)
    assert f"{section}.0.{name}" in verdict.reason
    assert validate_body(document_with(**{section: [{**item, name: 2**53}]})) == Valid(3)


@pytest.mark.parametrize("number", [10**309, -(10**309), 1e308, 2**53 + 1, math.inf])
def test_a_kv_cache_size_that_the_control_plane_can_not_compute_with_is_rejected(number: float) -> None:
    """10**309 was accepted, and ended the control planes at the commit and at each start (review/8)."""
    service = {"name": "s", "runtime": {"kv_cache_tokens": number}}
    verdict = validate_body(document_with(services=[service]))
    assert isinstance(verdict, Invalid)
    assert "services.0: Value error, runtime.kv_cache_tokens: " in verdict.reason


@pytest.mark.parametrize(
    "runtime",
    [
        {"kv_cache_tokens": 2**53},
        {"kv_cache_tokens": 0},
        {"kv_cache_tokens": "all"},
        {"kv_cache_tokens": None, "seed": 2**64},
    ],
    ids=str,
)
def test_runtime_options_that_are_only_passed_on_are_accepted(runtime: dict[str, Any]) -> None:
    services = [{"name": "s", "runtime": runtime}]
    assert validate_body(document_with(services=services)) == Valid(3)


@pytest.mark.parametrize("name", ["header_timeout_ms", "idle_timeout_ms"])
def test_limits_that_are_not_finite_are_rejected(name: str) -> None:
    verdict = validate_body(document_with(limits={name: math.nan}))
    assert isinstance(verdict, Invalid)
    assert f"limits.{name}" in verdict.reason


@pytest.mark.parametrize("data", [b"", b'{"version":', b"[1]", b"\xff\xfe", b"[" * 100_000])
def test_malformed_request_body_is_rejected(data: bytes) -> None:
    with pytest.raises(InvalidJsonError):
        decode_document(data)


def test_update_leaves_other_items_unchanged() -> None:
    document = document_with()
    update = {
        "version": 5,
        "upsert": {"routes": [route("new"), route(timeout_ms=7)]},
        "delete": {"tenants": ["t"]},
    }
    assert validate_body(update, "update", document) == Valid(5)
    after = apply_change(document, ConfigurationChange("update", 3, "d", update))
    assert [(route["name"], route["timeout_ms"]) for route in after["routes"]] == [("r", 7), ("new", 100)]
    assert after["tenants"] == []
    assert after["services"] == document["services"]
    assert document["tenants"]


@pytest.mark.parametrize(
    "update",
    [
        {"version": 5, "upsert": []},
        {"version": 5, "upsert": {"routes": "r"}},
        {"version": 5, "upsert": {"routes": [{"hostname": "x"}]}},
        {"version": 5, "delete": {"routes": "r"}},
        {"version": 5, "delete": {"routes": [1]}},
        {"version": 5, "delete": {"services": ["s"]}},
        {"version": 5, "upsert": {"routes": [route("new", path_prefix="/r/")]}},
        {"version": 5, "upsert": {"limits": [{"name": "x"}]}},
    ],
)
def test_update_with_invalid_result_is_rejected(update: Document) -> None:
    assert isinstance(validate_body(update, "update", document_with(limits={"max_body_bytes": 10})), Invalid)


@pytest.mark.parametrize(
    ("invalid", "texts"),
    [
        (route(gap_aim_ms=None), []),
        (
            route(gap_aim_ms="x"),
            ["routes.0.gap_aim_ms: Input should be a valid number, unable to parse string as a number"],
        ),
        (
            {"name": "r", "service": "s"},
            [
                "routes.0.hostname: Field required",
                "routes.0.path_prefix: Field required",
                "routes.0.timeout_ms: Field required",
            ],
        ),
        (
            route(type=1, timeout_ms=None),
            [
                "routes.0.type: Input should be a valid string",
                "routes.0.timeout_ms: Input should be a valid number",
            ],
        ),
        (route(timeout_ms=-1), ["routes.0.timeout_ms: Value error, more than 0 expected"]),
        (
            route(backends=[{"service": "s", "weight": -1}]),
            ["routes.0.backends.0.weight: Value error, a weight of 0 or more expected"],
        ),
        (
            route(service=None),
            ["routes.0: Value error, a service, or backends whose weights don't sum to 0, expected"],
        ),
        (7, ["routes.0: Input should be a valid dictionary or instance of Route"]),
        (route(priority=True), ["Expected `int`, got `bool` - at `$.routes[0].priority`"]),
        (route(service="x"), ["Value error, routes.r: service 'x' is not known"]),
    ],
)
def test_route_errors_name_path_and_expected_value(invalid: Any, texts: list[str]) -> None:
    assert validate_body(document_with(routes=[invalid])) == (
        Invalid("; ".join(texts)) if texts else Valid(3)
    )


@pytest.mark.parametrize(
    ("invalid", "texts"),
    [
        (
            {"limits": {"max_body_bytes": 2.5}},
            ["limits.max_body_bytes: Input should be a valid integer, got a number with a fractional part"],
        ),
        (
            {"tenants": [{"api_keys": "k"}]},
            ["tenants.0.name: Field required", "tenants.0.api_keys: Input should be a valid tuple"],
        ),
        (
            {"routes": [{}], "services": [{}]},
            [
                "routes.0.name: Field required",
                "routes.0.hostname: Field required",
                "routes.0.path_prefix: Field required",
            ],
        ),
    ],
    ids=["limits", "tenants", "first three errors"],
)
def test_document_errors_name_their_paths(invalid: Document, texts: list[str]) -> None:
    assert validate_body(document_with(**invalid)) == Invalid("; ".join(texts))


def test_encoded_field_names_are_decoded() -> None:
    configuration = to_configuration(document_with(routes=[route(gap_aim_ms=40)]))
    assert configuration.routes[0].inter_token_latency_target_ms == 40.0
    assert configuration.tenants[0].api_keys == ("k",)
    with pytest.raises(ConfigurationError, match=r"\$\.routes\[0\]\.gap_aim_ms"):
        to_configuration(document_with(routes=[route(gap_aim_ms=[])]))
