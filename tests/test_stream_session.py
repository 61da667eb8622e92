"""`StreamSession`: dispatch of messages before and after subscribing, and cleanup on close."""

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


class _FakeService:
    """A fake service that records the name and the last argument of each call."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []

    def __getattr__(self, name: str) -> Any:
        def record(*arguments: Any) -> None:
            self.calls.append((name, arguments[-1] if arguments else None))

        return record


class _FakeWriter:
    """A fake stream writer that records the sent messages."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Struct) -> None:
        self.sent.append(message)


class _SessionFixture:
    """A session with real nodes, registry, publisher and placement, and fakes for the other services."""

    def __init__(self) -> None:
        self.writer = _FakeWriter()
        self.replica_host = _FakeService()
        self.registrar = _FakeService()
        self.quotas = _FakeService()
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


NO_CONFIGURATION = ConfigurationId()
SUBSCRIBE = Subscribe("n", "a", NO_CONFIGURATION, 5.0, True, (), QuotaHoldingsReport(0, {}))
SUBSCRIBER_MESSAGES = [
    FetchConfiguration(NO_CONFIGURATION),
    ConfigurationApplied(ConfigurationId(3, "x")),
    QuotaHoldingsReport(1, {}),
    NodeKeepalive(True),
    NodeShutdown(),
    QuotaRequest(1, "t", 1.0, 0.0, 0.0, False),
]


@pytest.mark.parametrize("message", SUBSCRIBER_MESSAGES, ids=lambda message: type(message).__name__)
def test_node_message_before_subscribing_reaches_only_the_replica(message: Any) -> None:
    fixture = _SessionFixture()
    fixture.session.handle(message)
    assert fixture.replica_host.calls == [("handle", message)]
    assert fixture.quotas.calls == []
    assert fixture.nodes.active_names() == ()


@pytest.mark.parametrize("message", SUBSCRIBER_MESSAGES, ids=lambda message: type(message).__name__)
def test_message_of_a_subscribed_node_does_not_reach_the_replica(message: Any) -> None:
    fixture = _SessionFixture()
    fixture.session.handle(SUBSCRIBE)
    fixture.session.handle(message)
    assert fixture.replica_host.calls == []


def test_subscribing_registers_the_node_and_sends_the_servers() -> None:
    fixture = _SessionFixture()
    fixture.session.handle(SUBSCRIBE)
    assert fixture.nodes.active_names() == ("n",)
    assert fixture.quotas.calls == [("on_node_subscribed", SUBSCRIBE.quota_holdings)]
    assert fixture.registrar.calls == [("publish_changes", None)]
    assert isinstance(fixture.writer.sent[0], ServerSnapshot)
    (subscription,) = fixture.publisher.subscriptions
    fixture.session.handle(ConfigurationApplied(ConfigurationId(3, "x")))
    assert subscription.acknowledged_id == ConfigurationId(3, "x")
    fixture.session.handle(NodeShutdown())
    assert fixture.nodes.active_names() == ()


def test_placement_query_needs_no_subscription() -> None:
    fixture = _SessionFixture()
    fixture.session.handle(PlacementQuery(7, "pool", (), 1, ()))
    assert [(type(message), message.request_id) for message in fixture.writer.sent] == [(PlacementReply, 7)]


def test_closing_a_stream_removes_its_subscription() -> None:
    fixture = _SessionFixture()
    fixture.session.handle(SUBSCRIBE)
    fixture.session.close()
    assert not fixture.publisher.subscriptions


def test_messages_of_other_replicas_reach_the_registrar_and_the_nodes() -> None:
    fixture = _SessionFixture()
    fixture.session.handle(ServerHeartbeats((), ("i-1",)))
    assert fixture.registrar.calls == [("on_relayed_heartbeats", ServerHeartbeats((), ("i-1",)))]
    fixture.session.handle(NodeLivenessUpdate((NodeLiveness("other", 0.0),)))
    assert fixture.nodes.active_names() == ("other",)
    assert fixture.replica_host.calls == []


def test_requests_placed_on_a_stream_closed_before_subscribing_are_dropped() -> None:
    """Closing a stream without a subscription must also drop its requests (seed 20401).

    Otherwise they remain in flight at the owner forever.
    """
    fixture = _SessionFixture()
    service = fixture.session._services.placement._placements.service("pool")
    service.update_servers([ServerRecord("i-1", "pool", "10.0.9.1:80", "a", 4, "ready", 1)])
    fixture.session.handle(LocalPlacement(1, "pool", (), 10, "i-1"))
    assert len(service._in_flight) == 1
    fixture.session.close()
    assert not service._in_flight
