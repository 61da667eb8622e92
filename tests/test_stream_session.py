"""One stream to a control plane: who is served what on it, and what its end means."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest
from msgspec import Struct

from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.stream_session import StreamServices, StreamSession
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.server_registry import ServerRegistry
from dunlinloft.coordination.stream import (
    ConfigurationApplied,
    ConfigurationId,
    FetchConfiguration,
    LocalPlacement,
    NodeKeepalive,
    NodeLiveness,
    NodeLivenessUpdate,
    NodeShutdown,
    PlacementQuery,
    PlacementReply,
    QuotaHoldingsReport,
    QuotaRequest,
    ServerHeartbeats,
    ServerRecord,
    ServerSnapshot,
    Subscribe,
)


class _Recorder:
    """Stands in for a service: keeps the name of each call and its last argument."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []

    def __getattr__(self, name: str) -> Any:
        def record(*arguments: Any) -> None:
            self.calls.append((name, arguments[-1] if arguments else None))

        return record


class _Writer:
    """Keeps what a session sends."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Struct) -> None:
        self.sent.append(message)


class _Scene:
    """A session with real nodes, registry, publisher and placement; the rest records its calls."""

    def __init__(self) -> None:
        self.writer = _Writer()
        self.replica_host = _Recorder()
        self.registrar = _Recorder()
        self.quotas = _Recorder()
        self.nodes = NodeRegistry()
        self.publisher = NodePublisher()
        self.session = StreamSession(
            1,
            cast(Any, self.writer),
            StreamServices(
                cast(Any, self.replica_host),
                self.nodes,
                ServerRegistry(1_000.0, 0.0),
                cast(Any, self.registrar),
                self.publisher,
                cast(Any, self.quotas),
                PlacementService(PlacementDirectory(random.Random(1), 3_000.0)),
            ),
        )


NONE = ConfigurationId()
SUBSCRIBE = Subscribe("n", "a", NONE, 5.0, True, (), QuotaHoldingsReport(0, {}))
FROM_SUBSCRIBED = [
    FetchConfiguration(NONE),
    ConfigurationApplied(ConfigurationId(3, "x")),
    QuotaHoldingsReport(1, {}),
    NodeKeepalive(True),
    NodeShutdown(),
    QuotaRequest(1, "t", 1.0, 0.0, 0.0, False),
]


@pytest.mark.parametrize("message", FROM_SUBSCRIBED, ids=lambda message: type(message).__name__)
def test_what_a_node_says_before_it_subscribed_reaches_no_service(message: Any) -> None:
    scene = _Scene()
    scene.session.handle(message)
    assert scene.replica_host.calls == [("handle", message)]
    assert scene.quotas.calls == []
    assert scene.nodes.active_names() == ()


@pytest.mark.parametrize("message", FROM_SUBSCRIBED, ids=lambda message: type(message).__name__)
def test_what_a_subscribed_node_says_does_not_reach_the_replica(message: Any) -> None:
    scene = _Scene()
    scene.session.handle(SUBSCRIBE)
    scene.session.handle(message)
    assert scene.replica_host.calls == []


def test_a_node_that_subscribes_is_known_and_sent_the_servers() -> None:
    scene = _Scene()
    scene.session.handle(SUBSCRIBE)
    assert scene.nodes.active_names() == ("n",)
    assert scene.quotas.calls == [("on_node_subscribed", SUBSCRIBE.quota_holdings)]
    assert scene.registrar.calls == [("publish_changes", None)]
    assert isinstance(scene.writer.sent[0], ServerSnapshot)
    (subscription,) = scene.publisher.subscriptions
    scene.session.handle(ConfigurationApplied(ConfigurationId(3, "x")))
    assert subscription.acknowledged_id == ConfigurationId(3, "x")
    scene.session.handle(NodeShutdown())
    assert scene.nodes.active_names() == ()


def test_advice_needs_no_subscription() -> None:
    scene = _Scene()
    scene.session.handle(PlacementQuery(7, "pool", (), 1, ()))
    assert [(type(message), message.request_id) for message in scene.writer.sent] == [(PlacementReply, 7)]


def test_the_end_of_a_stream_ends_its_subscription() -> None:
    scene = _Scene()
    scene.session.handle(SUBSCRIBE)
    scene.session.close()
    assert not scene.publisher.subscriptions


def test_messages_of_other_control_planes_reach_the_registrar_and_the_nodes() -> None:
    scene = _Scene()
    scene.session.handle(ServerHeartbeats((), ("i-1",)))
    assert scene.registrar.calls == [("on_relayed_heartbeats", ServerHeartbeats((), ("i-1",)))]
    scene.session.handle(NodeLivenessUpdate((NodeLiveness("other", 0.0),)))
    assert scene.nodes.active_names() == ("other",)
    assert scene.replica_host.calls == []


def test_requests_placed_on_a_stream_that_ends_before_it_subscribed_are_dropped() -> None:
    """Seed 20401: they stayed in flight at the owner for good."""
    scene = _Scene()
    service = scene.session._services.placement._placements.service("pool")
    service.update_servers([ServerRecord("i-1", "pool", "10.0.9.1:80", "a", 4, "ready", 1)])
    scene.session.handle(LocalPlacement(1, "pool", (), 10, "i-1"))
    assert len(service._in_flight) == 1
    scene.session.close()
    assert not service._in_flight
