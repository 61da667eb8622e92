"""The data-plane nodes that there are, and which of them a quota's owner hears.

A node that an owner does not hear may spend its standing shares of quotas, so the owner has to count it as
spending. Times are in milliseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dunlinloft.coordination.stream import NodeSeen

CONTACT_MS = 450.0  # a node not heard for so long may be spending without its owner
FORGET_MS = 20_000.0  # a node that nobody has heard for so long is gone


@dataclass(slots=True)
class Contact:
    """What is known of one node."""

    seen_ms: float  # by anybody
    heard_ms: float | None = None  # by this replica
    hears: bool = False  # it says that it hears this replica
    left: bool = False  # its process said that it ends; what it held ends with it


class Nodes:
    """The nodes of the fleet as one replica knows them."""

    def __init__(self) -> None:
        self._contacts: dict[str, Contact] = {}

    def heard(self, node: str, hears: bool, now_ms: float) -> None:
        """A node's own word came here; `hears` tells whether it gets this replica's answers."""
        contact = self._contacts.setdefault(node, Contact(now_ms))
        contact.seen_ms = contact.heard_ms = now_ms
        contact.hears = hears
        contact.left = False

    def seen(self, nodes: Iterable[NodeSeen], now_ms: float) -> None:
        """What somebody else knows."""
        for seen in nodes:
            seen_ms = now_ms - seen.age_ms
            contact = self._contacts.setdefault(seen.node, Contact(seen_ms))
            if seen_ms > contact.seen_ms:
                contact.seen_ms = seen_ms
                contact.left = seen.left
            contact.left = contact.left or seen.left

    def ended(self, node: str, now_ms: float) -> None:
        """A node's process said that it ends."""
        contact = self._contacts.setdefault(node, Contact(now_ms))
        contact.seen_ms = now_ms
        contact.left = True

    def known(self, now_ms: float) -> tuple[NodeSeen, ...]:
        """All nodes, to be told to others or kept on disk."""
        return tuple(
            NodeSeen(node, now_ms - contact.seen_ms, contact.left) for node, contact in self._contacts.items()
        )

    def forget(self, now_ms: float) -> None:
        """Drop those whom nobody has heard for long."""
        for node in [n for n, contact in self._contacts.items() if now_ms - contact.seen_ms > FORGET_MS]:
            del self._contacts[node]

    def names(self) -> tuple[str, ...]:
        """All nodes that have not said that they end."""
        return tuple(sorted(name for name, contact in self._contacts.items() if not contact.left))

    def count(self) -> int:
        """How many there are; never none."""
        return max(1, len(self.names()))

    def disconnected(self, now_ms: float) -> tuple[str, ...]:
        """The nodes that may be spending without this owner now."""
        return tuple(
            name
            for name, contact in self._contacts.items()
            if contact.left
            or not contact.hears
            or contact.heard_ms is None
            or now_ms - contact.heard_ms > CONTACT_MS
        )
