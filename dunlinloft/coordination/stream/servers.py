"""Server registry messages: to nodes (snapshot and updates) and between control planes (heartbeats)."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field


class ServerRecord(Struct, frozen=True):
    """One incarnation of a server, as reported by its heartbeats."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int  # requests that it serves at once
    state: str  # "ready" or "draining"; text, as a state of a later version has to be read, too
    sequence: int  # of the heartbeat; a higher one replaces a lower one
    warmup_remaining_ms: float = 0.0
    phase: str = ""
    model_list: tuple[Any, ...] = ()

    @property
    def draining(self) -> bool:
        """Whether it announced a graceful shutdown; so counts any state but ready, also an unknown one."""
        return self.state != "ready"


class ServerSnapshot(Struct, frozen=True, tag="servers"):
    """To a node: the servers known to this control plane, in key ranges where the node's digests differ."""

    complete: bool  # False while it has just started and may not have received every server's heartbeat
    ranges: tuple[int, ...]
    records: tuple[ServerRecord, ...]


class ServerSnapshotComplete(Struct, frozen=True, tag="servers_complete"):
    """To a node: by now this control plane has had the heartbeats of all live servers, and sent them all."""


class ServerUpdates(Struct, frozen=True, tag="server_news"):
    """To a node: servers that registered or changed, and the ids of those that were removed."""

    changed: tuple[ServerRecord, ...]
    removed: tuple[str, ...] = field(name="gone")
    # The removed ones that did not sign off: their heartbeats stopped.
    timed_out: tuple[str, ...] = field(default=(), name="silent")


class ServerHeartbeats(Struct, frozen=True, tag="beats"):
    """Between control planes: the heartbeats and sign-offs that the sender received since its last message.

    Attributes
    ----------
    sender
        Address to which the receipt is to be acknowledged.
    announcement_id
        Number to acknowledge it under; 0 where no acknowledgement is wanted.
    """

    records: tuple[ServerRecord, ...]
    removed: tuple[str, ...] = field(name="gone")
    sender: str = ""
    announcement_id: int = field(default=0, name="number")


class ServerHeartbeatsAck(Struct, frozen=True, tag="beats_taken"):
    """Between control planes: the sender has in memory what was announced under a number."""

    sender: str
    announcement_id: int = field(name="number")
