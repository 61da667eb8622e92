"""The data-plane nodes of the fleet, and which of them are connected to this replica.

A node that has lost contact with the owner of a quota may keep spending its share of the rate, so the owner
has to account for that. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dunlinloft.coordination.stream import NodeLiveness

# A node that sent nothing for longer may be spending its share without the owner. Nodes send keepalives every
# 300 ms; `quota.reserves.AUTONOMY_DELAY_MS` has to be longer than this timeout.
NODE_CONTACT_TIMEOUT_MS = 450.0
# A node that sent nothing to any replica for longer is removed.
NODE_EXPIRY_MS = 20_000.0


@dataclass(slots=True)
class NodeContact:
    """The contact state of one node.

    Attributes
    ----------
    last_seen_ms
        When any replica last received a message from it.
    last_received_ms
        When this replica last received one; None if it never has.
    receives_replies
        Whether the node reports that this replica's replies reach it.
    shut_down
        Whether it announced its shutdown; its quota shares and reserves end with its process.
    """

    last_seen_ms: float
    last_received_ms: float | None = None
    receives_replies: bool = False
    shut_down: bool = False


class NodeRegistry:
    """The nodes of the fleet as known to one replica. Owned by the control-plane process."""

    def __init__(self) -> None:
        self._contacts: dict[str, NodeContact] = {}

    def on_message(self, node: str, receives_replies: bool, now_ms: float) -> None:
        """Record a message received from a node, and whether this replica's replies reach it."""
        contact = self._contacts.setdefault(node, NodeContact(now_ms))
        contact.last_seen_ms = now_ms
        contact.last_received_ms = now_ms
        contact.receives_replies = receives_replies
        contact.shut_down = False

    def merge(self, liveness: Iterable[NodeLiveness], now_ms: float) -> None:
        """Merge node liveness received from another replica or restored from disk."""
        for record in liveness:
            seen_ms = now_ms - record.age_ms
            contact = self._contacts.setdefault(record.node, NodeContact(seen_ms))
            if seen_ms > contact.last_seen_ms:
                contact.last_seen_ms = seen_ms
                contact.shut_down = record.shut_down
            contact.shut_down = contact.shut_down or record.shut_down

    def on_shutdown(self, node: str, now_ms: float) -> None:
        """Record that a node announced its shutdown."""
        contact = self._contacts.setdefault(node, NodeContact(now_ms))
        contact.last_seen_ms = now_ms
        contact.shut_down = True

    def liveness(self, now_ms: float) -> tuple[NodeLiveness, ...]:
        """Return the liveness of all nodes, to be sent to other replicas or written to disk."""
        return tuple(
            NodeLiveness(node, now_ms - contact.last_seen_ms, contact.shut_down)
            for node, contact in self._contacts.items()
        )

    def expire(self, now_ms: float) -> None:
        """Remove nodes that no replica received from within `NODE_EXPIRY_MS`; called periodically."""
        expired = [
            node for node, contact in self._contacts.items() if now_ms - contact.last_seen_ms > NODE_EXPIRY_MS
        ]
        for node in expired:
            del self._contacts[node]

    def active_names(self) -> tuple[str, ...]:
        """Return the sorted names of all nodes that have not shut down."""
        return tuple(sorted(name for name, contact in self._contacts.items() if not contact.shut_down))

    def active_count(self) -> int:
        """Return the number of active nodes, at least one."""
        return max(1, len(self.active_names()))

    def disconnected(self, now_ms: float) -> tuple[str, ...]:
        """Return the nodes that may be spending quota without contact to this owner."""
        return tuple(
            name
            for name, contact in self._contacts.items()
            if contact.shut_down
            or not contact.receives_replies
            or contact.last_received_ms is None
            or now_ms - contact.last_received_ms > NODE_CONTACT_TIMEOUT_MS
        )
