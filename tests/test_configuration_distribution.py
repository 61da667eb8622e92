"""What a control plane sends its nodes of configurations: snapshots, deltas and announcements."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher, NodeSubscription
from dunlinloft.coordination.history import next_entry, rejection_entry, state_after
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from dunlinloft.coordination.stream import ConfigurationAnnouncement, ConfigurationId, ServerSnapshot

NONE = ConfigurationId()
NO_SERVERS = ServerSnapshot(True, (), ())


class _RecordingWriter:
    """A stream's writer that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Struct) -> None:
        """Record a message."""
        self.sent.append(message)

    def send_frame(self, frame: bytes) -> None:
        """Record an encoded message."""
        self.sent.append(frame)


def _order(version: int, base: int, kind: str = "update", text: str = "") -> ConfigurationChange:
    return ConfigurationChange(kind, base, f"{version}/{text}", {"version": version, "note": text})


def _state(state: ChainState, order: ConfigurationChange) -> ChainState:
    return state_after(state, next_entry(state, order.body["version"], order))


def _subscribed(publisher: NodePublisher, held: ConfigurationId) -> _RecordingWriter:
    written = _RecordingWriter()
    stream = NodeSubscription("node", written, held, held, True)  # type: ignore[arg-type]
    publisher.subscribe(stream, NO_SERVERS)
    written.sent.clear()
    return written


def test_node_with_a_lost_change_is_sent_the_committed_one_of_that_version() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    taken = _state(ChainState(), _order(5, 0, "replace", "taken"))
    publisher.publish_state(taken, None)
    stream = NodeSubscription(
        "node",
        _RecordingWriter(),  # type: ignore[arg-type]
        ConfigurationId(5, "lost"),
        ConfigurationId(5, "lost"),
        True,
    )
    publisher.subscribe(stream, NO_SERVERS)
    assert stream.sent_id == ConfigurationId(5, taken.chain_digest)


def test_delta_is_sent_only_to_a_node_that_has_its_base() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    first = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(first, None)
    same = _subscribed(publisher, ConfigurationId(5, first.chain_digest))
    order = _order(6, 5)
    entry = next_entry(first, 6, order)
    publisher.publish_state(state_after(first, entry), entry)
    assert b'"delta"' in same.sent[-1]
    other = _RecordingWriter()
    lost = ConfigurationId(5, "lost")
    publisher.subscribe(NodeSubscription("node", other, lost, lost, True), NO_SERVERS)  # type: ignore[arg-type]
    assert b'"whole"' in other.sent[-1]


def test_unconfirmed_snapshot_is_sent_again_once_it_is_confirmed() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(state, None)
    stream = NodeSubscription("node", _RecordingWriter(), NONE, NONE, True)  # type: ignore[arg-type]
    publisher.subscribe(stream, NO_SERVERS)
    sent: list[Any] = stream.writer.sent  # type: ignore[attr-defined]
    assert b'"confirmed":false' in sent[-1]
    publisher.set_confirmed(True)
    assert b'"confirmed":true' in sent[-1]
    count = len(sent)
    stream.acknowledged_id = stream.sent_id
    publisher.set_confirmed(False)
    publisher.set_confirmed(True)
    assert len(sent) == count, "it holds it already"


def test_node_that_wants_no_configurations_is_sent_the_version_only() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(state, None)
    written = _RecordingWriter()
    publisher.subscribe(NodeSubscription("node", written, NONE, NONE, False), NO_SERVERS)  # type: ignore[arg-type]
    assert written.sent[-1] == ConfigurationAnnouncement(ConfigurationId(5, state.chain_digest))


def test_nodes_are_sent_nothing_of_a_rejection_and_the_next_update_as_a_delta() -> None:
    """Seed 2080: a node went back from the rejection's history to the one before, both of one version."""
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    first = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(first, None)
    node = _subscribed(publisher, ConfigurationId(5, first.chain_digest))
    entry = rejection_entry(first, _order(99, 50))
    rejected = state_after(first, entry)
    publisher.publish_state(rejected, entry)
    assert node.sent == []
    assert rejected.configuration_digest == first.chain_digest != rejected.chain_digest
    again = rejection_entry(rejected, _order(98, 50))
    twice = state_after(rejected, again)
    publisher.publish_state(twice, again)
    assert node.sent == []
    update = next_entry(twice, 6, _order(6, 5))
    after = state_after(twice, update)
    publisher.publish_state(after, update)
    (frame,) = node.sent
    assert b'"delta"' in frame
    assert after.configuration_digest == after.chain_digest


def test_a_replica_that_recovers_a_rejection_gives_nodes_the_same_identity() -> None:
    first = _state(ChainState(), _order(5, 0, "replace"))
    rejected = state_after(first, rejection_entry(first, _order(99, 50)))
    recovered = msgspec.json.decode(msgspec.json.encode(rejected), type=ChainState)
    assert recovered == rejected
    publisher = NodePublisher()
    publisher.publish_state(recovered, None)
    written = _RecordingWriter()
    publisher.subscribe(NodeSubscription("node", written, NONE, NONE, False), NO_SERVERS)  # type: ignore[arg-type]
    assert written.sent[-1] == ConfigurationAnnouncement(ConfigurationId(5, first.chain_digest))
    assert b"document_digest" not in msgspec.json.encode(first), "as earlier releases write it"
