"""Tombstones of deregistered servers, which outlast every record that some peer still holds of them.

A server id belongs to one incarnation of a server and is never used again, so that a deregistration is
final: whoever has heard of it ignores each later report that lists the server. A control plane that was down
or cut off when the server left holds such a report. Both programs keep tombstones; control planes exchange
theirs with their ages, so that a tombstone is not renewed each time it is passed on.
"""

from __future__ import annotations

from dunlinloft.coordination.stream import Deregistration

RETENTION_MS = 120_000.0  # far longer than any server serves on after its deregistration
# Passed on only while younger than this: delays in transit, which an age doesn't include, can then not keep
# a tombstone alive among the control planes.
MAX_EXCHANGED_AGE_MS = RETENTION_MS / 2.0


class ServerTombstones:
    """The deregistered servers that are remembered. Times are in milliseconds of a monotonic clock."""

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}  # by server id: time of its deregistration

    def __contains__(self, server_id: str) -> bool:
        return server_id in self._since_ms

    def ids(self) -> tuple[str, ...]:
        """Return the ids of all remembered servers."""
        return tuple(self._since_ms)

    def add(self, server_id: str, since_ms: float) -> bool:
        """Remember a server; return whether it was not remembered already."""
        if server_id in self._since_ms:
            return False
        self._since_ms[server_id] = since_ms
        return True

    def expire(self, now_ms: float) -> None:
        """Forget servers that deregistered long ago."""
        outdated = [i for i, since in self._since_ms.items() if now_ms - since > RETENTION_MS]
        for server_id in outdated:
            del self._since_ms[server_id]

    def recent(self, now_ms: float) -> tuple[Deregistration, ...]:
        """Return the deregistrations that are passed on, with their ages."""
        return tuple(
            Deregistration(server_id, now_ms - since)
            for server_id, since in self._since_ms.items()
            if now_ms - since <= MAX_EXCHANGED_AGE_MS
        )
