"""The simulations behave as recorded: compares digests for a subset of the runs of each group.

`python -m lab.behaviour --check tests/fixtures/behaviour-digests.json --jobs 8` checks all runs.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest

from lab.behaviour import GROUPS, Digests, differences, record
from lab.control.cluster import Cluster
from lab.observation import Recorder, encoded, observing

RECORDED: Digests = json.loads(
    (Path(__file__).parent / "fixtures" / "behaviour-digests.json").read_text(encoding="utf-8")
)


@pytest.mark.parametrize("group", GROUPS)
def test_a_groups_digests_match_the_recorded_ones(group: str) -> None:
    found = record([(group, run) for run in GROUPS[group].subset], jobs=1)
    assert differences(RECORDED, found) == []


@pytest.mark.parametrize("group", GROUPS)
def test_every_run_of_a_group_is_recorded(group: str) -> None:
    assert tuple(RECORDED[group]) == GROUPS[group].runs


def test_a_changed_digest_and_an_unrecorded_run_are_reported_as_differences() -> None:
    recorded = {"a": {"1": "x"}}
    assert differences(recorded, {"a": {"1": "x"}}) == []
    assert differences(recorded, {"a": {"1": "z"}}) == ["a 1: x recorded, z found"]
    assert differences(recorded, {"a": {"1": "x", "2": "y"}}) == ["a 2: not recorded, y found"]


class _Level(Enum):
    LOW = "low"


class _Code(IntEnum):
    LOW = 3


@dataclass
class _Pair:
    first: Any
    second: Any


class _NamedPair(NamedTuple):
    one: Any
    other: Any


class _RenamedFieldMessage(msgspec.Struct, tag="told"):
    new_name: int = msgspec.field(name="old")


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (_Level.LOW, "low"),
        (_Code.LOW, 3),
        (_Pair(1, "a"), (1, "a")),
        (_Pair(1, "a"), _NamedPair(1, "a")),
        (frozenset({"b", "a"}), {"a", "b"}),
    ],
)
def test_type_names_and_container_kinds_do_not_affect_the_encoding(one: Any, other: Any) -> None:
    assert encoded(one) == encoded(other)


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ((1, "a"), ("a", 1)),
        (0.1 + 0.2, 0.3),
        ("1", 1),
        ({"a": 1, "b": 2}, {"b": 2, "a": 1}),
        (((1,), 2), ((1, 2),)),
        (("a", "b"), ("a', 'b",)),
    ],
)
def test_values_and_their_order_affect_the_encoding(one: Any, other: Any) -> None:
    assert encoded(one) != encoded(other)


def test_a_message_is_encoded_as_its_bytes_on_the_wire() -> None:
    assert encoded(_RenamedFieldMessage(7)) == b'{"type":"told","old":7}'


def test_an_object_of_an_unsupported_type_is_rejected() -> None:
    with pytest.raises(TypeError, match="no encoding without names"):
        encoded(object())


def _reverse_actions(actions: list[Any], cluster: Cluster) -> list[Any]:
    return actions[::-1]


def _consume_random_number(actions: list[Any], cluster: Cluster) -> list[Any]:
    cluster.rng.random()
    return actions


@pytest.mark.parametrize("change", [_reverse_actions, _consume_random_number])
def test_a_reversed_action_list_or_an_extra_random_draw_changes_the_digest(
    change: Callable[[list[Any], Cluster], list[Any]],
) -> None:
    def digest(change_after_ms: float) -> str:
        """Digest a run of two seconds; the first list of several actions after a given time is changed."""
        recorder = Recorder()
        with observing(recorder):
            cluster = Cluster(5)
            perform, applied = cluster._perform, False

            def perform_changed(machine: Any, actions: list[Any]) -> None:
                nonlocal applied
                if not applied and cluster.now > change_after_ms and len(actions) > 1:
                    applied, actions = True, change(actions, cluster)
                perform(machine, actions)

            cluster._perform = perform_changed  # type: ignore[method-assign]
            cluster.run(2_000.0)
        assert applied or change_after_ms > 2_000.0
        return recorder.digest()

    unchanged = digest(3_000.0)
    assert digest(3_000.0) == unchanged
    assert digest(1_000.0) != unchanged


def test_observing_restores_the_observed_methods_on_exit() -> None:
    before = dict(vars(Cluster))
    with observing(Recorder()):
        assert dict(vars(Cluster)) != before
    assert dict(vars(Cluster)) == before
