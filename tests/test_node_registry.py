"""The node registry: which data-plane nodes are connected, and which have shut down."""

from __future__ import annotations

from dunlinloft.coordination.node_registry import NODE_CONTACT_TIMEOUT_MS, NODE_EXPIRY_MS, NodeRegistry
from dunlinloft.coordination.stream import NodeLiveness


def test_a_node_without_contact_or_that_reports_none_is_disconnected() -> None:
    nodes = NodeRegistry()
    nodes.on_message("connected", True, 0.0)
    nodes.merge((NodeLiveness("unseen", 0.0),), 0.0)
    assert nodes.disconnected(0.0) == ("unseen",)
    nodes.on_message("connected", False, 0.0)
    assert nodes.disconnected(0.0) == ("connected", "unseen")
    nodes.on_message("connected", True, 0.0)
    assert nodes.disconnected(NODE_CONTACT_TIMEOUT_MS) == ("unseen",)
    assert nodes.disconnected(NODE_CONTACT_TIMEOUT_MS + 1.0) == ("connected", "unseen")
    nodes.expire(NODE_EXPIRY_MS + 1.0)
    assert nodes.active_names() == ()


def test_a_node_that_shut_down_does_not_count_until_its_next_message() -> None:
    nodes = NodeRegistry()
    nodes.on_message("node", True, 0.0)
    nodes.on_shutdown("node", 10.0)
    assert nodes.active_names() == ()
    other = NodeRegistry()
    other.merge((NodeLiveness("node", 5.0),), 10.0)
    other.merge(nodes.liveness(20.0), 20.0)
    assert other.active_names() == ()
    nodes.on_message("node", True, 30.0)
    other.merge(nodes.liveness(40.0), 40.0)
    assert other.active_names() == ("node",)
