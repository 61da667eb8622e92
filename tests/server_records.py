"""Records of servers, for tests of the data plane."""

from __future__ import annotations

from dunlinloft.coordination.stream import ServerRecord


def server_record(number: int, sequence: int = 1, state: str = "ready") -> ServerRecord:
    """The record of one server of the service `pool`."""
    return ServerRecord(f"i-{number}", "pool", f"10.0.0.{number}:80", "a", 8, state, sequence)
