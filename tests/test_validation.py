"""What is taken of an operator's configurations, and what is refused with its place."""

from __future__ import annotations

from typing import Any

import pytest

from dunlinloft.controlplane.http_api import parse_document
from dunlinloft.coordination.calls import Invalid, Valid
from dunlinloft.coordination.durable import changed
from dunlinloft.coordination.messages import Document, Order
from dunlinloft.validation import judge


def _route(name: str = "r", **more: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "hostname": "a.example",
        "path_prefix": f"/{name}/",
        "timeout_ms": 100,
        "service": "s",
    }
    return {**route, **more}


def _document(**more: Any) -> Document:
    body: Document = {
        "version": 3,
        "routes": [_route()],
        "services": [{"name": "s", "max_connections": 5, "shape": "kept"}],
        "tenants": [{"name": "t", "api_keys": ["k"]}],
    }
    return {**body, **more}


def _judged(body: Document, kind: str = "replace", document: Document | None = None) -> Valid | Invalid:
    return judge(document or {}, Order(kind, 0, "digest", body))


def test_a_proper_configuration_is_taken_with_fields_that_are_not_known() -> None:
    assert _judged(_document(later={"a": 1})) == Valid(3)
    split: dict[str, Any] = {
        "service": None,
        "backends": [{"service": "s", "weight": 90}, {"service": "s", "weight": 0}],
    }
    assert _judged(_document(routes=[_route(**split)])) == Valid(3)


@pytest.mark.parametrize(
    ("wrong", "place"),
    [
        ({"version": "3"}, "version"),
        ({"version": True}, "version"),
        ({"routes": None}, "routes, services"),
        ({"services": {}}, "routes, services"),
        ({"routes": [_route(service="nobody")]}, "routes.r: service 'nobody'"),
        ({"routes": [_route(), _route("q", path_prefix="/r/")]}, "routes.q: another route"),
        ({"routes": [_route(), _route("q", path_prefix="/r/", hostname="A.example")]}, "routes.q"),
        ({"routes": [_route(timeout_ms=0)]}, "routes.0.timeout_ms"),
        ({"routes": [_route(service=None)]}, "routes.0"),
        ({"routes": [_route(service=None, backends=[{"service": "s", "weight": 0}])]}, "routes.0"),
        ({"routes": [{"name": "r"}]}, "routes.0.hostname"),
        ({"tenants": [{"name": "t", "api_keys": ["k"]}, {"name": "u", "api_keys": ["k"]}]}, "tenants.u"),
    ],
)
def test_an_invalid_one_is_refused_with_its_place(wrong: Document, place: str) -> None:
    verdict = _judged(_document(**wrong))
    assert isinstance(verdict, Invalid)
    assert place in verdict.reason


@pytest.mark.parametrize("data", [b"", b'{"version":', b"[1]", b"\xff\xfe", b"[" * 100_000])
def test_a_body_that_cannot_be_read_whole_is_refused(data: bytes) -> None:
    assert isinstance(parse_document(data), Invalid)


def test_an_update_changes_what_it_names_and_nothing_else() -> None:
    document = _document()
    update = {
        "version": 5,
        "upsert": {"routes": [_route("new"), _route(timeout_ms=7)]},
        "delete": {"tenants": ["t"]},
    }
    assert _judged(update, "update", document) == Valid(5)
    after = changed(document, Order("update", 3, "d", update))
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
        {"version": 5, "upsert": {"routes": [_route("new", path_prefix="/r/")]}},
        {"version": 5, "upsert": {"limits": [{"name": "x"}]}},
    ],
)
def test_an_update_whose_result_would_be_invalid_is_refused(update: Document) -> None:
    assert isinstance(_judged(update, "update", _document(limits={"max_body_bytes": 10})), Invalid)
