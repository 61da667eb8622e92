"""Tracks pending record writes and runs a callback once each is durable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.actions import Action, Persist
from dunlinloft.coordination.records import Record

DISK_STALL_TIMEOUT_MS = 300.0  # a pending write older than this marks the disk as unhealthy


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    started_ms: float
    on_durable: Callable[[], None]


class PendingWrites:
    """Identifies each write by a token, with which the host reports its completion. Owned by `Replica`."""

    def __init__(self, emit: Callable[[Action], None]) -> None:
        self._emit = emit
        self._pending: dict[int, _PendingWrite] = {}  # by token
        self._last_token = 0

    def persist(self, record: Record, on_durable: Callable[[], None], now_ms: float) -> None:
        """Emit a write of a record; `on_durable` is called once the record is on disk."""
        self._last_token += 1
        self._pending[self._last_token] = _PendingWrite(now_ms, on_durable)
        self._emit(Persist(self._last_token, record))

    def on_persisted(self, token: int) -> None:
        """Handle the host's report that a write is on disk."""
        self._pending.pop(token).on_durable()

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether a write has been pending for longer than `DISK_STALL_TIMEOUT_MS`."""
        return any(now_ms - write.started_ms > DISK_STALL_TIMEOUT_MS for write in self._pending.values())
