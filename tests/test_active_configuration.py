"""A node's active configuration: identified by version and history, and never replaced by an older one."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from dunlinloft.coordination.stream import ConfigurationDelta, ConfigurationId, FullConfiguration
from dunlinloft.dataplane.active_configuration import CONFIRMATION_WAIT_MS, ActiveConfiguration

Start = Callable[..., ActiveConfiguration]


def _snapshot(version: int, history: str = "one", confirmed: bool = True) -> FullConfiguration:
    return FullConfiguration(ConfigurationId(version, history), confirmed, {"version": version, "note": ""})


@pytest.fixture
def start() -> Start:
    """Starts a node that receives the given snapshots immediately."""

    def started(*snapshots: FullConfiguration) -> ActiveConfiguration:
        configuration = ActiveConfiguration(random.Random(1))
        for snapshot in snapshots:
            configuration.on_snapshot(snapshot, 0.0)
        return configuration

    return started


def test_older_configuration_is_never_activated(start: Start) -> None:
    configuration = start(_snapshot(5), _snapshot(4), _snapshot(5, "one", False))
    assert configuration.id == ConfigurationId(5, "one")


def test_confirmed_configuration_replaces_another_of_the_same_version(start: Start) -> None:
    configuration = start(_snapshot(5, "lost"))
    configuration.on_snapshot(_snapshot(5, "taken", confirmed=False), 1.0)
    assert configuration.id.history_digest == "lost"
    configuration.on_snapshot(_snapshot(5, "taken"), 2.0)
    assert configuration.id.history_digest == "taken"


def test_delta_to_another_history_is_not_applied(start: Start) -> None:
    configuration = start(_snapshot(5, "lost"))
    next_id = ConfigurationId(6, "next")
    configuration.on_delta(ConfigurationDelta(ConfigurationId(5, "taken"), next_id, True, {"version": 6}))
    assert configuration.id.version == 5
    configuration.on_delta(ConfigurationDelta(ConfigurationId(5, "lost"), next_id, True, {"version": 6}))
    assert configuration.id == next_id


def test_starting_node_waits_for_a_confirmed_configuration(start: Start) -> None:
    configuration = start(_snapshot(3, confirmed=False), _snapshot(2, confirmed=False))
    assert configuration.table is None
    assert not configuration.on_tick(CONFIRMATION_WAIT_MS - 1.0)
    configuration.on_snapshot(_snapshot(7), 100.0)
    assert configuration.id.version == 7
    assert not configuration.on_tick(CONFIRMATION_WAIT_MS)


def test_newest_unconfirmed_configuration_is_activated_after_the_wait(start: Start) -> None:
    configuration = start(_snapshot(3, confirmed=False), _snapshot(2, confirmed=False))
    assert configuration.on_tick(CONFIRMATION_WAIT_MS)
    assert configuration.id.version == 3
    configuration.on_snapshot(_snapshot(4, confirmed=False), CONFIRMATION_WAIT_MS)
    assert configuration.id.version == 4
