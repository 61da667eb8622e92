"""Invalid settings of a node are rejected with their name, or with their path in the file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.node.config import ConfigFileError, read_config, reread_config
from tests import peers
from tests.helpers import SAFE, Node, entries, final_answers, settings


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [SAFE, SAFE]}, "classes"),
        ({"classes": [api.RequestClass("a", 0.0, 100.0)]}, "aim_ms"),
        ({"classes": [api.RequestClass("a", 10.0, 100.0, late_value=1.5)]}, "late_worth"),
        ({"tick_ms": -1.0}, "tick_ms"),
        ({"slow_start_ms": float("nan")}, "ramp_time_ms"),
        ({"slow_start_initial_share": 1.1}, "start_capacity"),
        ({"retry_budget_ratio": -0.1}, "repeat_ratio"),
        ({"replicas": 0}, "nodes"),
        ({"tenants": [api.Tenant("t", 0.5, -1.0)]}, "quota_per_s"),
    ],
)
def test_invalid_settings_are_rejected_by_name(changes: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)


def test_node_handles_no_server_one_server_zero_weights_and_a_stopped_clock() -> None:
    empty = Node(servers=0)
    assert not [a for a in empty.request("a") if isinstance(a, api.Send)]
    for servers in ([api.ServerEntry(1)], entries(range(3), share=0.0)):
        node = Node(servers=0)
        node.set_server_list(servers)
        for n in range(30):
            node.request(f"{n}")
            if f"{n}" in node.sent:
                node.complete(f"{n}", [Result.SERVED, Result.ERROR, Result.TIMEOUT][n % 3], 0.0)
        assert node.sent or not any(s.share for s in servers)
        assert not final_answers(node.handle(api.TimerFired(0)))


INVALID_VALUES: list[tuple[tuple[str | int, ...], Any, str, str]] = [
    (("settings", "classes", 1, "objective_ms"), "soon", "settings.classes[1].objective_ms", "a number"),
    (("settings", "classes", 2), 7, "settings.classes[2]", "an object"),
    (("settings", "rules", "ramp_time_ms"), None, "settings.rules.ramp_time_ms", "a number"),
    (("settings", "permissions", "max_attempts"), 1.5, "settings.permissions.max_attempts", "a whole number"),
    (("settings", "tenants"), [{"name": 3}], "settings.tenants[0].name", "a string"),
    (("known", "endpoints", 0, "status"), "odd", "known.endpoints[0].status", "none of active"),
    (("listen",), "nowhere", "listen", "host:port"),
    (("limits", "sockets"), "many", "limits.sockets", "a whole number"),
]


@pytest.mark.parametrize(
    ("keys", "value", "path", "expected"), INVALID_VALUES, ids=[case[2] for case in INVALID_VALUES]
)
def test_invalid_value_is_reported_in_one_line_with_its_path_and_the_expected_type(
    keys: tuple[str | int, ...], value: Any, path: str, expected: str, tmp_path: Path
) -> None:
    entry = {"name": "s", "address": "127.0.0.1:1", "status": "active"}
    config: dict[str, Any] = {
        "name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c", "limits": {},
        "known": {"index": 1, "snapshot": True, "endpoints": [entry]}, "settings": peers.settings(),
    }  # fmt: skip
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    valid = read_config(str(file))
    container: Any = config
    for key in keys[:-1]:
        container = container[key]
    container[keys[-1]] = value
    file.write_text(json.dumps(config))
    for previous in (None, valid):
        with pytest.raises(ConfigFileError) as caught:
            read_config(str(file)) if previous is None else reread_config(str(file), previous)
        text = str(caught.value)
        assert text.startswith(f"{file}: {path}: ") and expected in text and "\n" not in text
