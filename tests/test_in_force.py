"""What a node has in force, and what a control plane sends it: known by number and history, never back."""

from __future__ import annotations

import random
from typing import Any

from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher, NodeSubscription
from dunlinloft.coordination.durable import after_entry, next_entry
from dunlinloft.coordination.messages import ChainState, Order
from dunlinloft.coordination.stream import ConfigurationId, Delta, Servers, Version, Whole
from dunlinloft.dataplane.in_force import CANDIDATE_MS, InForce

NONE = ConfigurationId()
NO_SERVERS = Servers(True, (), ())


def _whole(version: int, history: str = "one", confirmed: bool = True, note: str = "") -> Whole:
    return Whole(ConfigurationId(version, history), confirmed, {"version": version, "note": note})


def _started(*messages: Whole) -> InForce:
    in_force = InForce(random.Random(1))
    for message in messages:
        in_force.whole(message, 0.0)
    return in_force


def test_a_node_never_goes_back() -> None:
    in_force = _started(_whole(5), _whole(4), _whole(5, "one", False))
    assert in_force.id == ConfigurationId(5, "one")


def test_of_two_configurations_of_one_number_the_confirmed_one_is_taken() -> None:
    in_force = _started(_whole(5, "lost"))
    in_force.whole(_whole(5, "taken", confirmed=False), 1.0)
    assert in_force.id.history == "lost"
    in_force.whole(_whole(5, "taken"), 2.0)
    assert in_force.id.history == "taken"


def test_a_change_of_another_history_is_not_applied() -> None:
    in_force = _started(_whole(5, "lost"))
    in_force.delta(Delta(ConfigurationId(5, "taken"), ConfigurationId(6, "next"), True, {"version": 6}))
    assert in_force.id.version == 5
    in_force.delta(Delta(ConfigurationId(5, "lost"), ConfigurationId(6, "next"), True, {"version": 6}))
    assert in_force.id == ConfigurationId(6, "next")


def test_a_process_that_has_just_started_waits_a_moment_for_a_confirmed_configuration() -> None:
    in_force = _started(_whole(3, confirmed=False), _whole(2, confirmed=False))
    assert in_force.table is None
    assert not in_force.tick(CANDIDATE_MS - 1.0)
    in_force.whole(_whole(7), 100.0)
    assert in_force.id.version == 7
    assert not in_force.tick(CANDIDATE_MS)


def test_without_a_confirmed_one_the_newest_is_taken() -> None:
    in_force = _started(_whole(3, confirmed=False), _whole(2, confirmed=False))
    assert in_force.tick(CANDIDATE_MS)
    assert in_force.id.version == 3
    in_force.whole(_whole(4, confirmed=False), CANDIDATE_MS)
    assert in_force.id.version == 4


class _Written:
    """A stream's writer that keeps what it is given."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Struct) -> None:
        """Keep a message."""
        self.sent.append(message)

    def send_frame(self, frame: bytes) -> None:
        """Keep an encoded message."""
        self.sent.append(frame)


def _order(version: int, base: int, kind: str = "update", text: str = "") -> Order:
    return Order(kind, base, f"{version}/{text}", {"version": version, "note": text})


def _state(state: ChainState, order: Order) -> ChainState:
    return after_entry(state, next_entry(state, order.body["version"], order))


def _subscribed(publisher: NodePublisher, held: ConfigurationId) -> _Written:
    written = _Written()
    stream = NodeSubscription("node", written, held, held, True)  # type: ignore[arg-type]
    publisher.subscribe(stream, NO_SERVERS)
    written.sent.clear()
    return written


def test_a_node_with_the_number_of_a_lost_change_is_sent_the_one_that_was_taken() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    taken = _state(ChainState(), _order(5, 0, "replace", "taken"))
    publisher.publish_state(taken, None)
    stream = NodeSubscription(
        "node",
        _Written(),  # type: ignore[arg-type]
        ConfigurationId(5, "lost"),
        ConfigurationId(5, "lost"),
        True,
    )
    publisher.subscribe(stream, NO_SERVERS)
    assert stream.sent_id == ConfigurationId(5, taken.chain_digest)


def test_a_change_is_sent_as_such_only_on_what_it_changed() -> None:
    publisher = NodePublisher()
    publisher.set_confirmed(True)
    first = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(first, None)
    same = _subscribed(publisher, ConfigurationId(5, first.chain_digest))
    order = _order(6, 5)
    entry = next_entry(first, 6, order)
    publisher.publish_state(after_entry(first, entry), entry)
    assert b'"delta"' in same.sent[-1]
    other = _Written()
    lost = ConfigurationId(5, "lost")
    publisher.subscribe(NodeSubscription("node", other, lost, lost, True), NO_SERVERS)  # type: ignore[arg-type]
    assert b'"whole"' in other.sent[-1]


def test_a_control_plane_that_is_not_confirmed_says_so_and_says_it_again_once_it_is() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(state, None)
    stream = NodeSubscription("node", _Written(), NONE, NONE, True)  # type: ignore[arg-type]
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


def test_others_are_told_which_configuration_there_is() -> None:
    publisher = NodePublisher()
    state = _state(ChainState(), _order(5, 0, "replace"))
    publisher.publish_state(state, None)
    written = _Written()
    publisher.subscribe(NodeSubscription("node", written, NONE, NONE, False), NO_SERVERS)  # type: ignore[arg-type]
    assert written.sent[-1] == Version(ConfigurationId(5, state.chain_digest))
