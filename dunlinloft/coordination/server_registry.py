"""The registry of servers, built from their heartbeats: soft state that control planes share and merge."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from dunlinloft.coordination.digests import RangeDigests, range_of
from dunlinloft.coordination.server_tombstones import ServerTombstones
from dunlinloft.coordination.stream import Deregistration, ServerRecord

EXPIRY_INTERVALS = 3.5  # heartbeat intervals without a heartbeat until a server is removed
COMPLETE_INTERVALS = 1.5  # heartbeat intervals after startup until every live server has sent one
PROCESS_PAUSE_THRESHOLD_MS = 500.0  # a longer gap between calls of `expire` means this process was paused


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """Changes of the registry, for data-plane nodes."""

    changed: tuple[ServerRecord, ...] = ()
    removed: tuple[str, ...] = ()  # ids of servers that deregistered or expired


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeats:
    """Messages that servers sent directly to this control plane, for other control planes."""

    records: tuple[ServerRecord, ...] = ()
    deregistered: tuple[str, ...] = ()  # ids


class ServerRegistry:
    """The servers by id, and the changes not drained yet. Owned by `ControlPlane`.

    Times are in milliseconds of a monotonic clock.
    """

    def __init__(self, heartbeat_interval_ms: float, now_ms: float) -> None:
        self._expiry_ms = EXPIRY_INTERVALS * heartbeat_interval_ms
        self._complete_at_ms = now_ms + COMPLETE_INTERVALS * heartbeat_interval_ms
        self._last_expire_ms = now_ms
        self.records: dict[str, ServerRecord] = {}
        self.digests = RangeDigests()
        self._received_ms: dict[str, float] = {}  # by server id: time of its last heartbeat
        self._tombstones = ServerTombstones()
        # Pending changes by server id; dicts instead of sets preserve the order.
        self._changed: dict[str, None] = {}
        self._removed: dict[str, None] = {}
        self._received: dict[str, None] = {}
        self._deregistered: dict[str, None] = {}
        self._expired: set[str] = set()

    def is_complete(self, now_ms: float) -> bool:
        """Return whether every live server has had time to send a heartbeat since this process started."""
        return now_ms >= self._complete_at_ms

    def restore(
        self,
        records: tuple[ServerRecord, ...],
        deregistrations: tuple[Deregistration, ...],
        now_ms: float,
    ) -> None:
        """Restore what was known before a restart; servers that send no heartbeat in time expire.

        A server that deregistered while this process was down is still among the records; the other control
        planes report its deregistration (`on_earlier_deregistrations`).
        """
        for record in records:
            self._put(record, now_ms)
        self.on_earlier_deregistrations(deregistrations, now_ms)

    def in_ranges(self, ranges: tuple[int, ...]) -> tuple[ServerRecord, ...]:
        """Return the servers in these digest ranges."""
        wanted = set(ranges)
        return tuple(record for record in self.records.values() if range_of(record.id) in wanted)

    def _put(self, record: ServerRecord, now_ms: float) -> None:
        self.digests.toggle(self.records.get(record.id))
        self.digests.toggle(record)
        self.records[record.id] = record
        self._received_ms[record.id] = now_ms

    def on_heartbeat(self, record: ServerRecord, now_ms: float, relayed: bool = False) -> None:
        """Handle a server's heartbeat; `relayed` if another control plane received it.

        A late heartbeat, or one of a deregistered server, is ignored. A draining server stays draining.
        """
        if record.id in self._tombstones:
            return
        known = self.records.get(record.id)
        if known is not None and record.sequence <= known.sequence:
            if record.sequence == known.sequence and not relayed:
                self._received_ms[record.id] = now_ms
            return
        if known is not None and known.draining and not record.draining:
            record = msgspec.structs.replace(record, state=known.state)
        self._put(record, now_ms)
        if not relayed:
            self._received[record.id] = None
        if known is None or _differs(known, record):
            self._changed[record.id] = None

    def on_deregistration(self, server_id: str, since_ms: float, relayed: bool = False) -> None:
        """Remove a server that deregistered; `relayed` if it deregistered at another control plane.

        Nodes are notified even if the server is not known here: they keep a server that only missed
        heartbeats as long as it responds.
        """
        if not relayed:
            self._deregistered[server_id] = None
        self._remove(server_id)
        if self._tombstones.add(server_id, since_ms):
            self._removed[server_id] = None

    def on_earlier_deregistrations(self, deregistrations: tuple[Deregistration, ...], now_ms: float) -> None:
        """Remove servers that deregistered while this control plane could not be notified."""
        for deregistration in deregistrations:
            self.on_deregistration(deregistration.id, now_ms - deregistration.age_ms, relayed=True)

    def recent_deregistrations(self, now_ms: float) -> tuple[Deregistration, ...]:
        """Return the deregistrations that control planes which were not notified need to hear of."""
        return self._tombstones.recent(now_ms)

    def deregistered_ids(self) -> tuple[str, ...]:
        """Return the ids of all servers that are remembered as deregistered."""
        return self._tombstones.ids()

    def _remove(self, server_id: str) -> None:
        record = self.records.pop(server_id, None)
        if record is not None:
            self.digests.toggle(record)
            self._received_ms.pop(server_id, None)
            self._changed.pop(server_id, None)
            self._received.pop(server_id, None)
            self._removed[server_id] = None

    def expire(self, now_ms: float) -> None:
        """Remove servers whose heartbeats timed out, and old tombstones; called periodically.

        A long gap since the last call means that this process was paused and could receive nothing, so that
        time does not count towards the timeout of any server.
        """
        paused_ms = now_ms - self._last_expire_ms
        self._last_expire_ms = now_ms
        if paused_ms > PROCESS_PAUSE_THRESHOLD_MS:
            self._received_ms = {i: received + paused_ms for i, received in self._received_ms.items()}
        overdue = [i for i, received in self._received_ms.items() if now_ms - received > self._expiry_ms]
        for server_id in overdue:
            self._remove(server_id)
            self._expired.add(server_id)
        self._tombstones.expire(now_ms)

    def drain_changes(self) -> RegistryChanges:
        """Return the changes since the last call, for data-plane nodes."""
        changed = tuple(self.records[i] for i in self._changed if i in self.records)
        removed = tuple(self._removed)
        self._changed.clear()
        self._removed.clear()
        return RegistryChanges(changed, removed)

    def drain_expired(self) -> tuple[str, ...]:
        """Return the ids of servers that expired, without deregistering, since the last call."""
        expired = tuple(sorted(self._expired))
        self._expired.clear()
        return expired

    def drain_heartbeats(self) -> ReceivedHeartbeats:
        """Return what servers sent directly to this one since the last call, for other control planes."""
        records = tuple(self.records[i] for i in self._received if i in self.records)
        deregistered = tuple(self._deregistered)
        self._received.clear()
        self._deregistered.clear()
        return ReceivedHeartbeats(records, deregistered)


def _differs(old: ServerRecord, new: ServerRecord) -> bool:
    """Return whether two records differ in fields other than those that every heartbeat changes."""
    return msgspec.structs.replace(old, sequence=new.sequence, warmup_remaining_ms=0.0) != (
        msgspec.structs.replace(new, warmup_remaining_ms=0.0)
    )
