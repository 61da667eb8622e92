"""Numbers in clients' headers: malformed ones are ignored and reach neither arithmetic nor the control plane.

The faults that these tests guard against: a deadline of `nan` gave 500, as did an endless number of tokens; a
prompt segment of 400 digits ended the node's stream to the owner, and a negative number of tokens was
subtracted from the tenant's consumption.
"""

from __future__ import annotations

import math
import random
from types import SimpleNamespace
from typing import cast

import msgspec
import pytest
from aiohttp.web_request import BaseRequest
from multidict import CIMultiDict

from dunlinloft.configuration import Configuration, Route, Service, Tenant
from dunlinloft.coordination.stream import PlacementQuery
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.frontend import _remaining_ms
from dunlinloft.dataplane.header_numbers import finite_number, token_count
from dunlinloft.dataplane.routing import RoutingTable, quota_cost
from dunlinloft.dataplane.server_pool import ServerRequirements

LATENCY_TARGET_MS = 1_000.0
TOKEN_BILLED = Tenant("t", billing_unit="token_based", uncached_tokens=200.0)
MALFORMED_COUNTS = ["", "-5", "+5", "1e3", "nan", "9" * 13, "9" * 400, "9" * 5_000, "٣", "\udcff"]


def _request(**headers: str) -> BaseRequest:
    """Return a request with these headers, in whose names `_` stands for `-`."""
    names = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
    return cast(BaseRequest, SimpleNamespace(headers=names))


def _requirements(segments: str, token_usage: str = "8,1") -> ServerRequirements:
    route = Route("r", "a.example", "/", 1_000.0, service="pool")
    active = RoutingTable(Configuration(1, (route,), (Service("pool"),)), random.Random(1)).match(
        "a.example", "/"
    )
    assert active is not None
    http = _request(X_Prompt_Prefix=segments, X_Token_Usage=token_usage)
    return ClientRequest(http, "POST", "/", b"", active, None, 0.0, 1_000.0, 0.0).requirements()


@pytest.mark.parametrize(
    ("stated", "remaining_ms"),
    [
        ("250", 250.0),
        ("1e3", 1_000.0),
        ("-1", -1.0),
        ("nan", math.inf),
        ("inf", math.inf),
        ("-inf", math.inf),
    ],
)
def test_a_deadline_that_is_not_a_finite_number_is_ignored(stated: str, remaining_ms: float) -> None:
    assert _remaining_ms(_request(X_Deadline_Ms=stated)) == remaining_ms


def test_without_a_deadline_the_remaining_time_is_infinite() -> None:
    assert _remaining_ms(_request()) == math.inf


@pytest.mark.parametrize("count", MALFORMED_COUNTS)
def test_a_malformed_number_of_tokens_is_ignored(count: str) -> None:
    with pytest.raises(ValueError, match=r"number|float"):
        token_count(count)
    assert quota_cost(TOKEN_BILLED, f"{count},1") == TOKEN_BILLED.uncached_tokens
    without_prompt = ServerRequirements(LATENCY_TARGET_MS)
    assert _requirements(f"5c1e:{count},91bd:410") == without_prompt
    assert _requirements("5c1e:800,91bd:410", f"8,{count}") == without_prompt


@pytest.mark.parametrize("name", ["\udcff", "a\ud83d"])
def test_a_prompt_segment_whose_name_can_not_be_encoded_is_ignored(name: str) -> None:
    """Its bytes were no UTF-8; the query to the owner can't be encoded with it."""
    assert _requirements(f"{name}:800,91bd:410") == ServerRequirements(LATENCY_TARGET_MS)


def test_prompt_segments_reach_the_owner_as_sent() -> None:
    requirements = _requirements("5c1e:800, 91bd:410,e4:" + "9" * 12, "1460, 80")
    assert requirements.prompt_segments == (("5c1e", 800), ("91bd", 410), ("e4", 10**12 - 1))
    assert requirements.max_output_tokens == 80
    query = PlacementQuery(1, "pool", requirements.prompt_segments, 80, (), False)
    assert msgspec.json.decode(msgspec.json.encode(query), type=PlacementQuery) == query
    assert quota_cost(TOKEN_BILLED, "1460, 80") == 1_540.0


@pytest.mark.parametrize("text", ["", "x", "nan", "inf", "-Infinity", "1e400"])
def test_only_finite_numbers_are_numbers(text: str) -> None:
    with pytest.raises(ValueError, match=r"number|float"):
        finite_number(text)
