"""Reads lists of servers in the format of discovery and of the configuration file."""

from __future__ import annotations

import hashlib
import time
import zlib
from dataclasses import dataclass, field

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.settings import NUMBER, Json, choice, object_list, optional, required
from dunlinloft.node.addresses import Address, address_at
from dunlinloft.node.clock import now_ms

STATUSES = {
    "active": api.Health.IN_SERVICE,
    "leaving": api.Health.DRAINING,
    "left": api.Health.TERMINATED,
}
ID_BYTES = 8
MAX_START_ID = 65_535


@dataclass(slots=True)
class ServerList:
    """A list of servers, or the part of it that changed.

    Attributes
    ----------
    index
        Discovery's version of the list, which increases with each change.
    is_snapshot
        Whether the list names all servers, or only those that changed.
    start_ids
        By server: an identifier of its process's start, the same at all nodes.
    started_unix_ms
        By server: the Unix time of that start; 0 if it is not known.
    """

    index: int
    is_snapshot: bool
    entries: list[api.ServerEntry]
    addresses: dict[int, Address]
    start_ids: dict[int, int] = field(default_factory=dict)
    started_unix_ms: dict[int, float] = field(default_factory=dict)


def server_id(name: str) -> int:
    """Return the identifier of a server, by which the balancer divides servers among nodes.

    It has 64 bits to avoid collisions. It is the same at all nodes, unlike `hash()`, which differs between
    processes.
    """
    return key_id(name.encode())


def key_id(key: bytes) -> int:
    """Return a request's key as a number of 64 bits that is the same at all nodes."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=ID_BYTES).digest(), "big")


def start_id(started_unix_ms: float) -> int:
    """Return a number of two bytes that distinguishes starts of a server; 0 if the time is not known."""
    if started_unix_ms <= 0:
        return 0
    return 1 + zlib.crc32(str(int(started_unix_ms)).encode()) % MAX_START_ID


def read_server_list(obj: Json) -> ServerList:
    """Read a list; `since_ms` in it is Unix time, the balancer's clock is monotonic. Raises `Malformed`."""
    monotonic_offset_ms = now_ms() - time.time() * 1000.0
    entries: list[api.ServerEntry] = []
    addresses: dict[int, Address] = {}
    start_ids: dict[int, int] = {}
    started_unix_ms: dict[int, float] = {}
    for item in object_list(obj, "endpoints"):
        server = server_id(required(item, "name", str))
        since_ms = optional(item, "since_ms", NUMBER, 0)
        entries.append(
            api.ServerEntry(
                server=server,
                zone=optional(item, "zone", str, ""),
                kind=optional(item, "type", str, ""),
                cell=optional(item, "group", int, 0),
                health=choice(item, "status", STATUSES),
                share=optional(item, "weight", NUMBER, 1.0),
                started_ms=since_ms + monotonic_offset_ms if since_ms > 0 else None,
            )
        )
        addresses[server] = address_at(item, "address")
        start_ids[server] = start_id(since_ms)
        started_unix_ms[server] = float(since_ms)
    return ServerList(
        required(obj, "index", int),
        required(obj, "snapshot", bool),
        entries,
        addresses,
        start_ids,
        started_unix_ms,
    )
