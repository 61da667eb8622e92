"""The simulated worlds do what they did when the digests were recorded: a part of the runs of each group.

`python -m lab.behaviour --check tests/fixtures/behaviour-digests.json --jobs 8` checks them all.
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
def test_a_group_does_what_was_recorded(group: str) -> None:
    found = record([(group, run) for run in GROUPS[group].subset], jobs=1)
    assert differences(RECORDED, found) == []


@pytest.mark.parametrize("group", GROUPS)
def test_every_run_of_a_group_is_recorded(group: str) -> None:
    assert tuple(RECORDED[group]) == GROUPS[group].runs


def test_another_digest_or_a_run_without_a_record_is_a_difference() -> None:
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


class _Couple(NamedTuple):
    one: Any
    other: Any


class _Told(msgspec.Struct, tag="told"):
    new_name: int = msgspec.field(name="old")


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (_Level.LOW, "low"),
        (_Code.LOW, 3),
        (_Pair(1, "a"), (1, "a")),
        (_Pair(1, "a"), _Couple(1, "a")),
        (frozenset({"b", "a"}), {"a", "b"}),
    ],
)
def test_names_and_shapes_of_plain_data_do_not_count(one: Any, other: Any) -> None:
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
def test_values_and_their_order_count(one: Any, other: Any) -> None:
    assert encoded(one) != encoded(other)


def test_a_message_counts_as_its_bytes_on_the_wire() -> None:
    assert encoded(_Told(7)) == b'{"type":"told","old":7}'


def test_an_object_of_unknown_kind_is_refused() -> None:
    with pytest.raises(TypeError, match="no encoding without names"):
        encoded(object())


def _swap(actions: list[Any], cluster: Cluster) -> list[Any]:
    return actions[::-1]


def _draw(actions: list[Any], cluster: Cluster) -> list[Any]:
    cluster.rng.random()
    return actions


@pytest.mark.parametrize("change", [_swap, _draw])
def test_a_swapped_order_or_one_draw_more_changes_the_digest(
    change: Callable[[list[Any], Cluster], list[Any]],
) -> None:
    def digest(changed_ms: float) -> str:
        """The digest of two seconds in which one list of actions, after a time, is changed."""
        recorder = Recorder()
        with observing(recorder):
            cluster = Cluster(5)
            perform, done = cluster._perform, False

            def planted(machine: Any, actions: list[Any]) -> None:
                nonlocal done
                if not done and cluster.now > changed_ms and len(actions) > 1:
                    done, actions = True, change(actions, cluster)
                perform(machine, actions)

            cluster._perform = planted  # type: ignore[method-assign]
            cluster.run(2_000.0)
        assert done or changed_ms > 2_000.0
        return recorder.digest()

    unchanged = digest(3_000.0)
    assert digest(3_000.0) == unchanged
    assert digest(1_000.0) != unchanged


def test_nothing_is_watched_once_the_recording_is_over() -> None:
    before = dict(vars(Cluster))
    with observing(Recorder()):
        assert dict(vars(Cluster)) != before
    assert dict(vars(Cluster)) == before
