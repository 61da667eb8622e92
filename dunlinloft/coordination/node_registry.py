"""The data-plane nodes of the fleet, and which of them exchange messages with this replica.

A node that the owner of a quota has no contact with may spend its standing shares, so the owner has to count
it as spending. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dunlinloft.coordination.stream import NodeLiveness

# A node from which nothing was received for so long may be spending without its owner. Keepalives come every
# 300 ms; `quota.reserves.AUTONOMY_DELAY_MS` has to be longer.
NODE_CONTACT_TIMEOUT_MS = 450.0
# A node from which no replica received anything for so long has left.
NODE_EXPIRY_MS = 20_000.0


@dataclass(slots=True)
class NodeContact:
    """What is known of one node.

    Attributes
    ----------
    last_seen_ms
        When any replica last received something from it.
    last_received_ms
        When this replica did; None where it never has.
    receives_replies
        The node says that this replica's replies reach it.
    shut_down
        Its process said that it ends; what it held of quotas ends with it.
    """

    last_seen_ms: float
    last_received_ms: float | None = None
    receives_replies: bool = False
    shut_down: bool = False


class NodeRegistry:
    """The nodes of the fleet as one replica knows them; owned by the control plane's process."""

    def __init__(self) -> None:
        self._contacts: dict[str, NodeContact] = {}

    def on_message(self, node: str, receives_replies: bool, now_ms: float) -> None:
        """Note a message from a node itself, and whether this replica's replies reach it."""
        contact = self._contacts.setdefault(node, NodeContact(now_ms))
        contact.last_seen_ms = now_ms
        contact.last_received_ms = now_ms
        contact.receives_replies = receives_replies
        contact.shut_down = False

    def merge(self, liveness: Iterable[NodeLiveness], now_ms: float) -> None:
        """Merge what another replica knows, or what was on disk."""
        for sighting in liveness:
            seen_ms = now_ms - sighting.age_ms
            contact = self._contacts.setdefault(sighting.node, NodeContact(seen_ms))
            if seen_ms > contact.last_seen_ms:
                contact.last_seen_ms = seen_ms
                contact.shut_down = sighting.shut_down
            contact.shut_down = contact.shut_down or sighting.shut_down

    def on_shutdown(self, node: str, now_ms: float) -> None:
        """Note that a node's process ends."""
        contact = self._contacts.setdefault(node, NodeContact(now_ms))
        contact.last_seen_ms = now_ms
        contact.shut_down = True

    def liveness(self, now_ms: float) -> tuple[NodeLiveness, ...]:
        """Return all nodes, to be sent to other replicas or written to disk."""
        return tuple(
            NodeLiveness(node, now_ms - contact.last_seen_ms, contact.shut_down)
            for node, contact in self._contacts.items()
        )

    def expire(self, now_ms: float) -> None:
        """Drop nodes from which no replica received anything for long; called periodically."""
        expired = [
            node for node, contact in self._contacts.items() if now_ms - contact.last_seen_ms > NODE_EXPIRY_MS
        ]
        for node in expired:
            del self._contacts[node]

    def active_names(self) -> tuple[str, ...]:
        """Return the names of all nodes that have not said that they end, sorted."""
        return tuple(sorted(name for name, contact in self._contacts.items() if not contact.shut_down))

    def active_count(self) -> int:
        """Return the number of nodes, at least one."""
        return max(1, len(self.active_names()))

    def disconnected(self, now_ms: float) -> tuple[str, ...]:
        """Return the nodes that may be spending without this owner now."""
        return tuple(
            name
            for name, contact in self._contacts.items()
            if contact.shut_down
            or not contact.receives_replies
            or contact.last_received_ms is None
            or now_ms - contact.last_received_ms > NODE_CONTACT_TIMEOUT_MS
        )
