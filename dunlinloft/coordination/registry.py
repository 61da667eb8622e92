"""The servers that there are, from their heartbeats: soft state, merged between control planes."""

from __future__ import annotations

import msgspec

from dunlinloft.coordination.digests import RangeDigests, range_of
from dunlinloft.coordination.stream import ServerRecord

EXPIRE_BEATS = 3.5  # heartbeat intervals without a word, after which a server counts as gone
STOOD_STILL_MS = 500.0  # between two looks, after which this process must have stood still
GONE_KEPT_MS = 120_000.0  # so long a server that left isn't taken up again by a late word


class Registry:
    """Servers by id. Changes are collected until they are taken for distribution."""

    def __init__(self, heartbeat_ms: float, now_ms: float) -> None:
        self._expire_ms = EXPIRE_BEATS * heartbeat_ms
        self._complete_ms = now_ms + 1.5 * heartbeat_ms
        self._expired_ms = now_ms
        self.records: dict[str, ServerRecord] = {}
        self.digests = RangeDigests()
        self._heard_ms: dict[str, float] = {}
        self._gone_ms: dict[str, float] = {}
        self._changed: dict[str, None] = {}
        self._left: dict[str, None] = {}
        self._beats: dict[str, None] = {}
        self._told_gone: dict[str, None] = {}
        self._silent: set[str] = set()

    def complete(self, now_ms: float) -> bool:
        """Whether every server that lives has had the time to be heard."""
        return now_ms >= self._complete_ms

    def restore(self, records: tuple[ServerRecord, ...], now_ms: float) -> None:
        """Take what was known before a restart; whoever isn't heard of in time is dropped."""
        for record in records:
            self._put(record, now_ms)

    def in_ranges(self, ranges: tuple[int, ...]) -> tuple[ServerRecord, ...]:
        """The servers in these ranges."""
        wanted = set(ranges)
        return tuple(record for record in self.records.values() if range_of(record.id) in wanted)

    def _put(self, record: ServerRecord, now_ms: float) -> None:
        self.digests.toggle(self.records.get(record.id))
        self.digests.toggle(record)
        self.records[record.id] = record
        self._heard_ms[record.id] = now_ms

    def beat(self, record: ServerRecord, now_ms: float, relayed: bool = False) -> None:
        """Take a heartbeat; `relayed` by another control plane."""
        if record.id in self._gone_ms:
            return
        known = self.records.get(record.id)
        if known is not None and record.sequence <= known.sequence:
            if record.sequence == known.sequence and not relayed:
                self._heard_ms[record.id] = now_ms
            return
        if known is not None and known.draining and not record.draining:
            record = msgspec.structs.replace(record, state=known.state)
        self._put(record, now_ms)
        if not relayed:
            self._beats[record.id] = None
        if known is None or _differs(known, record):
            self._changed[record.id] = None

    def leave(self, server_id: str, now_ms: float, relayed: bool = False) -> None:
        """A server said that it ends."""
        self._gone_ms[server_id] = now_ms
        if not relayed:
            self._told_gone[server_id] = None
        self._drop(server_id)

    def _drop(self, server_id: str) -> None:
        record = self.records.pop(server_id, None)
        if record is not None:
            self.digests.toggle(record)
            self._heard_ms.pop(server_id, None)
            self._changed.pop(server_id, None)
            self._beats.pop(server_id, None)
            self._left[server_id] = None

    def expire(self, now_ms: float) -> None:
        """Drop what has been silent for too long, and forget those long gone; to be called often.

        Where it was not called for long this process stood still itself, and heard nobody for that reason.
        """
        stood_still_ms = now_ms - self._expired_ms
        self._expired_ms = now_ms
        if stood_still_ms > STOOD_STILL_MS:
            self._heard_ms = {i: heard + stood_still_ms for i, heard in self._heard_ms.items()}
        for server_id in [i for i, heard in self._heard_ms.items() if now_ms - heard > self._expire_ms]:
            self._drop(server_id)
            self._silent.add(server_id)
        for server_id in [i for i, gone in self._gone_ms.items() if now_ms - gone > GONE_KEPT_MS]:
            del self._gone_ms[server_id]

    def take_news(self) -> tuple[tuple[ServerRecord, ...], tuple[str, ...]]:
        """What changed since the last call: for data-plane nodes."""
        changed = tuple(self.records[i] for i in self._changed if i in self.records)
        left = tuple(self._left)
        self._changed.clear()
        self._left.clear()
        return changed, left

    def take_silent(self) -> tuple[str, ...]:
        """Those of the last news that went without a word: nobody said that they end."""
        silent = tuple(sorted(self._silent))
        self._silent.clear()
        return silent

    def take_beats(self) -> tuple[tuple[ServerRecord, ...], tuple[str, ...]]:
        """What was heard here since the last call: for other control planes."""
        beats = tuple(self.records[i] for i in self._beats if i in self.records)
        gone = tuple(self._told_gone)
        self._beats.clear()
        self._told_gone.clear()
        return beats, gone


def _differs(old: ServerRecord, new: ServerRecord) -> bool:
    return msgspec.structs.replace(old, sequence=new.sequence, warmup_remaining_ms=0.0) != (
        msgspec.structs.replace(new, warmup_remaining_ms=0.0)
    )
