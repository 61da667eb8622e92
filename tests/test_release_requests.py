"""Tests of requests to start a release, and of the plan that the state table stores."""

from __future__ import annotations

import pytest

from dunlinloft.fleet.leases.table_rows import MAX_VALUE_BYTES
from dunlinloft.fleet.releases.messages import (
    MAX_REASON_CHARS,
    MAX_SERVER_NAMES,
    MAX_STAGES,
    Plan,
    ReleaseState,
    decode_plan,
)
from dunlinloft.fleet.releases.request import InvalidReleaseRequest, parse_release_request


@pytest.mark.parametrize(
    ("parameters", "message"),
    [
        ({}, "names or since"),
        ({"names": "a", "since": "5"}, "names or since"),
        ({"since": "soon"}, "since: 'soon' is not a Unix time"),
        ({"names": ",".join(map(str, range(99)))}, "99 given, at most 12 allowed"),
        ({"names": "a", "stages": "5,1,100"}, "must increase"),
        ({"names": "a", "stages": "1,5"}, "must increase, from above 0 to 100"),
        ({"names": "a", "stages": "1,x,100"}, "stages: 'x'"),
        ({"names": "a", "bake": "0.1"}, "1 s to a day"),
        ({"names": "a", "backe": "3"}, "backe: unknown"),
    ],
)
def test_an_invalid_request_is_rejected_with_its_parameter_and_reason(
    parameters: dict[str, str], message: str
) -> None:
    with pytest.raises(InvalidReleaseRequest, match=message.replace("(", r"\(")):
        parse_release_request(parameters)


def test_the_longest_plan_fits_a_row_of_the_state_table_and_is_decoded() -> None:
    names = tuple(f"slot-{n:04d}" for n in range(MAX_SERVER_NAMES))
    stages = tuple(0.0125 * n for n in range(1, MAX_STAGES + 1))
    plan = Plan(
        9_999,
        ReleaseState.ROLLED_BACK,
        stages,
        86_400.0,
        7,
        0.0125,
        0.0,
        names,
        "x" * 30,
        "y" * MAX_REASON_CHARS,
        10**10,
    )
    assert len(plan.encode()) <= MAX_VALUE_BYTES and decode_plan(plan.encode()) == plan
    assert decode_plan(b"{") is None
