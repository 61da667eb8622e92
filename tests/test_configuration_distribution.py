"""`NodePublisher`: which configurations are sent to nodes, and in which form (full, delta, announcement)."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher, NodeSubscription
from dunlinloft.coordination.history import next_entry, rejection_entry, state_after
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from dunlinloft.coordination.stream import ConfigurationAnnouncement, ConfigurationId, ServerSnapshot

EMPTY_ID = ConfigurationId()
NO_SERVERS = ServerSnapshot(True, (), ())


class _RecordingWriter:
    """A fake stream writer that records the sent messages."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Struct) -> None:
        """Record a message."""
        self.sent.append(message)

    def send_frame(self, frame: bytes) -> None:
        """Record an encoded message."""
        self.sent.append(frame)


def _change(version: int, base: int, kind: str = "update", text: str = "") -> ConfigurationChange:
    return ConfigurationChange(kind, base, f"{version}/{text}", {"version": version, "note": text})


def _state(state: ChainState, change: ConfigurationChange) -> ChainState:
    return state_after(state, next_entry(state, change.body["version"], change))


def _subscribe_node(publisher: NodePublisher, initial_id: ConfigurationId) -> _RecordingWriter:
    writer = _RecordingWriter()
    subscription = NodeSubscription("node", writer, initial_id, initial_id, True)  # type: ignore[arg-type]
    publisher.subscribe(subscription, NO_SERVERS)
    writer.sent.clear()
    return writer


def test_node_with_a_lost_change_is_sent_the_committed_configuration_of_that_version() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    committed = _state(ChainState(), _change(5, 0, "replace", "committed"))
    publisher.publish_state(committed, None)
    subscription = NodeSubscription(
        "node",
        _RecordingWriter(),  # type: ignore[arg-type]
        ConfigurationId(5, "lost"),
        ConfigurationId(5, "lost"),
        True,
    )
    publisher.subscribe(subscription, NO_SERVERS)
    assert subscription.sent_id == ConfigurationId(5, committed.chain_digest)


def test_delta_is_sent_only_to_a_node_that_has_its_base() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    first = _state(ChainState(), _change(5, 0, "replace"))
    publisher.publish_state(first, None)
    up_to_date = _subscribe_node(publisher, ConfigurationId(5, first.chain_digest))
    change = _change(6, 5)
    entry = next_entry(first, 6, change)
    publisher.publish_state(state_after(first, entry), entry)
    assert b'"delta"' in up_to_date.sent[-1]
    diverged = _RecordingWriter()
    lost_id = ConfigurationId(5, "lost")
    publisher.subscribe(NodeSubscription("node", diverged, lost_id, lost_id, True), NO_SERVERS)  # type: ignore[arg-type]
    assert b'"whole"' in diverged.sent[-1]


def test_unconfirmed_configuration_is_resent_once_it_is_confirmed() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _change(5, 0, "replace"))
    publisher.publish_state(state, None)
    subscription = NodeSubscription("node", _RecordingWriter(), EMPTY_ID, EMPTY_ID, True)  # type: ignore[arg-type]
    publisher.subscribe(subscription, NO_SERVERS)
    sent: list[Any] = subscription.writer.sent  # type: ignore[attr-defined]
    assert b'"confirmed":false' in sent[-1]
    publisher.set_confirmed(True)
    assert b'"confirmed":true' in sent[-1]
    count = len(sent)
    subscription.acknowledged_id = subscription.sent_id
    publisher.set_confirmed(False)
    publisher.set_confirmed(True)
    assert len(sent) == count, "the node already has the configuration"


def test_node_that_wants_no_configurations_is_sent_only_an_announcement() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _change(5, 0, "replace"))
    publisher.publish_state(state, None)
    writer = _RecordingWriter()
    publisher.subscribe(NodeSubscription("node", writer, EMPTY_ID, EMPTY_ID, False), NO_SERVERS)  # type: ignore[arg-type]
    assert writer.sent[-1] == ConfigurationAnnouncement(ConfigurationId(5, state.chain_digest))


def test_rejections_are_not_sent_and_the_next_update_is_sent_as_a_delta() -> None:
    """A recorded rejection must not change the published identity of the configuration (seed 2080).

    Otherwise a node reverts from the digest with the rejection to the previous one of the same version.
    """
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    first = _state(ChainState(), _change(5, 0, "replace"))
    publisher.publish_state(first, None)
    node_writer = _subscribe_node(publisher, ConfigurationId(5, first.chain_digest))
    entry = rejection_entry(first, _change(99, 50))
    rejected = state_after(first, entry)
    publisher.publish_state(rejected, entry)
    assert node_writer.sent == []
    assert rejected.configuration_digest == first.chain_digest != rejected.chain_digest
    second_rejection = rejection_entry(rejected, _change(98, 50))
    rejected_twice = state_after(rejected, second_rejection)
    publisher.publish_state(rejected_twice, second_rejection)
    assert node_writer.sent == []
    update = next_entry(rejected_twice, 6, _change(6, 5))
    updated = state_after(rejected_twice, update)
    publisher.publish_state(updated, update)
    (frame,) = node_writer.sent
    assert b'"delta"' in frame
    assert updated.configuration_digest == updated.chain_digest


def test_recovered_rejection_keeps_the_published_configuration_identity() -> None:
    first = _state(ChainState(), _change(5, 0, "replace"))
    rejected = state_after(first, rejection_entry(first, _change(99, 50)))
    recovered = msgspec.json.decode(msgspec.json.encode(rejected), type=ChainState)
    assert recovered == rejected
    publisher = NodePublisher()
    publisher.publish_state(recovered, None)
    writer = _RecordingWriter()
    publisher.subscribe(NodeSubscription("node", writer, EMPTY_ID, EMPTY_ID, False), NO_SERVERS)  # type: ignore[arg-type]
    assert writer.sent[-1] == ConfigurationAnnouncement(ConfigurationId(5, first.chain_digest))
    assert b"document_digest" not in msgspec.json.encode(first), "stored as by earlier releases"
