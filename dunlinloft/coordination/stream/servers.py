"""Server registry messages: to nodes (snapshot and updates) and between control planes (heartbeats)."""

from __future__ import annotations

from typing import Any

from msgspec import UNSET, Struct, UnsetType, field


class ServerRecord(Struct, frozen=True):
    """One incarnation of a server, as reported in its heartbeats."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int  # maximum number of concurrent requests
    state: str  # "ready" or "draining"; a string, so that states of later releases can be decoded
    sequence: int  # of the heartbeat; a higher one replaces a lower one
    warmup_remaining_ms: float = 0.0
    phase: str = ""
    model_list: tuple[Any, ...] = ()

    @property
    def draining(self) -> bool:
        """Whether it announced a graceful shutdown; any state except ready counts, including unknown ones."""
        return self.state != "ready"


class Deregistration(Struct, frozen=True):
    """A server that deregistered, for good: its id is never used again."""

    id: str
    age_ms: float  # time since it deregistered, when the message was sent


class ServerSnapshot(Struct, frozen=True, tag="servers"):
    """To a node: this control plane's server records in the key ranges whose digests differ."""

    complete: bool  # False after startup, until every live server has had time to send a heartbeat
    ranges: tuple[int, ...]
    records: tuple[ServerRecord, ...]
    # Ids of the servers that deregistered lately; releases before this field send none.
    deregistered: tuple[str, ...] | UnsetType = UNSET


class ServerSnapshotComplete(Struct, frozen=True, tag="servers_complete"):
    """To a node: this control plane has received heartbeats of all live servers and sent their records."""


class ServerUpdates(Struct, frozen=True, tag="server_news"):
    """To a node: servers that registered or changed, and the ids of those that were removed."""

    changed: tuple[ServerRecord, ...]
    removed: tuple[str, ...] = field(name="gone")
    # The removed servers that did not deregister: their heartbeats stopped.
    timed_out: tuple[str, ...] = field(default=(), name="silent")


class ServerHeartbeats(Struct, frozen=True, tag="beats"):
    """Between control planes: heartbeats and deregistrations received directly since the last message.

    Attributes
    ----------
    sender
        Address to which the receiver sends its acknowledgement.
    announcement_id
        Identifies the message in the acknowledgement; 0 if none is requested.
    earlier_deregistrations
        All that the sender remembers, for a receiver that was down or cut off when they happened. Absent
        from other messages, and from those of releases before this field.
    """

    records: tuple[ServerRecord, ...]
    removed: tuple[str, ...] = field(name="gone")
    sender: str = ""
    announcement_id: int = field(default=0, name="number")
    earlier_deregistrations: tuple[Deregistration, ...] | UnsetType = UNSET


class ServerHeartbeatsAck(Struct, frozen=True, tag="beats_taken"):
    """Between control planes: acknowledges the receipt, in memory, of a `ServerHeartbeats` message."""

    sender: str
    announcement_id: int = field(name="number")
