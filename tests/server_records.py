"""Server records for data-plane tests."""

from __future__ import annotations

from dunlinloft.coordination.stream import ServerRecord


def server_record(number: int, sequence: int = 1, state: str = "ready") -> ServerRecord:
    """Return the record of a server of the service `pool`."""
    return ServerRecord(f"i-{number}", "pool", f"10.0.0.{number}:80", "a", 8, state, sequence)
