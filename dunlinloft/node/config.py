"""What a node is told at its start: NODE_CONFIG's JSON as typed values.

Lists of servers have the same form here and at discovery, so they are read here for both.
"""

from __future__ import annotations

import hashlib
import json
import os
import re
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.settings import (
    NUMBER,
    Json,
    Location,
    Malformed,
    choice,
    object_list,
    optional,
    read_settings,
    required,
)
from dunlinloft.node import logs

Address = tuple[str, int]
T = TypeVar("T")

STATUSES = {
    "active": api.Health.IN_SERVICE,
    "leaving": api.Health.DRAINING,
    "left": api.Health.TERMINATED,
}


SHARED = ("verdicts", "limits", "affinity", "releases")
CELL_SHARE = frozenset(("verdicts",))  # what is shared in a cell: the others need to see all members
CELL, LEAST_CELL, MOST_CELL = 100, 4, 1000  # members of a cell: usual, and the bounds of what may be set
PLAIN_NAME = "[A-Za-z0-9._-]{1,64}"
LEAST_AFFINE = 3  # nodes: of two, one that hears nothing of the other can't know who is cut off


class BadConfig(Exception):
    """A configuration that no node can be started with."""


@dataclass(slots=True)
class Listing:
    """A list of servers, or the part of it that changed."""

    index: int
    whole: bool
    entries: list[api.ServerEntry]
    addresses: dict[int, Address]
    # A mark of each server's start, the same at all nodes; and when it was, in Unix time.
    starts: dict[int, int] = field(default_factory=dict)
    since_ms: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class CellsConfig:
    """Membership bounded to cells: whose, how large, and where the directory is."""

    service: str
    region: str
    most: int  # members of a cell; beyond that it is cut
    directory: list[str]  # addresses of its processes; any of them will do


@dataclass(slots=True)
class FleetConfig:
    """Where this process meets the others of its fleet."""

    name: str
    bind: str  # host:port, for datagrams and streams
    advertise: str  # what the others are told
    seeds: list[str]  # addresses that are asked who is there
    voters: list[str]  # names of those whose majority gives duties; none: there are no duties
    share: frozenset[str] = frozenset()  # what it shares with them: see `SHARED`
    groups: tuple[str, ...] = ()  # zones that keyed requests have their homes in, the same at all nodes
    cells: CellsConfig | None = None  # None: one view of all members


@dataclass(slots=True)
class Config:
    """All that a node knows when it starts."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    management: Address | None  # where the operators' staff call; None: nowhere
    sockets: int
    memory_mb: float
    known: Listing
    settings: api.Settings
    keys: frozenset[str]  # which the file has, as paths
    log: str = logs.TEXT  # how the log is written
    fleet: FleetConfig | None = None  # None: the node is alone, and nothing of the fleet is loaded


def now_ms() -> float:
    """The node's clock: monotonic, in milliseconds."""
    return time.monotonic() * 1000.0


def server_id(name: str) -> int:
    """A server's number, the same at every node: the module cuts the fleet among the nodes by it.

    Of 64 bits, so that two names never share one; `hash()` differs from one process to the next.
    """
    return key_id(name.encode())


def key_id(key: bytes) -> int:
    """What a request is about, as a number of 64 bits that is the same at all nodes."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def start_mark(since_ms: float) -> int:
    """Two bytes that tell one start of a server from the next, at all nodes alike; 0: long ago."""
    return 1 + zlib.crc32(str(int(since_ms)).encode()) % 65535 if since_ms > 0 else 0


def address(text: str) -> Address:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise Malformed(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)


def address_at(obj: Json, key: str) -> Address:
    """The address that an object holds under a key."""
    text = required(obj, key, str)
    try:
        return address(text)
    except Malformed as problem:
        raise Malformed(f"{key!r}: {problem}", Location(obj, key, "127.0.0.1:9000")) from None


def hex_digits(obj: Json, key: str) -> int:
    """A number written in hex digits and nothing else."""
    text = required(obj, key, str)
    if not re.fullmatch("[0-9a-fA-F]+", text):
        raise Malformed(f"{key!r} must be hex digits, not {text!r:.60}", Location(obj, key, "0"))
    return int(text, 16)


def read_listing(obj: Json) -> Listing:
    """Read a list as discovery writes it. `since_ms` is Unix time; the module's clock is monotonic."""
    offset_ms = now_ms() - time.time() * 1000.0
    entries: list[api.ServerEntry] = []
    addresses: dict[int, Address] = {}
    starts: dict[int, int] = {}
    since: dict[int, float] = {}
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
                started_ms=since_ms + offset_ms if since_ms > 0 else None,
            )
        )
        addresses[server] = address_at(item, "address")
        starts[server], since[server] = start_mark(since_ms), float(since_ms)
    return Listing(
        required(obj, "index", int), required(obj, "snapshot", bool), entries, addresses, starts, since
    )


def key_paths(obj: Json) -> frozenset[str]:
    """The keys that a configuration has, but for what may come and go with each start."""
    settings = optional(obj, "settings", dict, {})
    parts = {"": obj, "settings.": settings}
    parts |= {f"settings.{name}.": optional(settings, name, dict, {}) for name in ("permissions", "rules")}
    paths = {
        prefix + key for prefix, part in parts.items() for key, value in part.items() if value is not None
    }
    classes = object_list(settings, "classes") if settings.get("classes") else []
    if classes and all("importance" in cls for cls in classes):
        paths.add("settings.classes.importance")
    return frozenset(paths - {"known", "management", "log"})


def read_change(path: str, old: Config) -> Config:
    """Read the file again: it must have all that the one in force has, as a part of it may be lost."""
    config = read_config(path)
    missing = sorted(old.keys - config.keys)
    if missing:
        raise BadConfig(f"{path}: {missing[0]!r} is missing")
    return config


def read_config(path: str) -> Config:
    """Read a node's file; `BadConfig` says in one line what is wrong with it."""
    return _read_file(path, parse_config)


def _read_file(path: str, parse: Callable[[Json], T]) -> T:
    try:
        with open(path, encoding="utf-8") as file:
            obj = json.load(file)
    except OSError as problem:
        raise BadConfig(f"can't read the configuration: {problem}") from None
    except (ValueError, RecursionError) as problem:
        raise BadConfig(f"{path}: not JSON: {problem!s:.100}") from None
    if not isinstance(obj, dict):
        raise BadConfig(f"{path}: must be an object")
    try:
        return parse(obj)
    except Malformed as problem:
        raise BadConfig(f"{path}: {_located(obj, problem)}") from None
    except ValueError as problem:
        raise BadConfig(f"{path}: {problem}") from None


def _located(root: Json, problem: Malformed) -> str:
    """What is wrong, behind the whole path of where it is."""
    where = path_in(root, problem.location.container, problem.location.key) if problem.location else None
    return f"{where}: {problem}" if where else str(problem)


def path_in(value: Any, holder: Any, key: str | int, at: str = "") -> str | None:
    """Where in a JSON value an object's or array's key is; None if that isn't in there."""
    if value is holder:
        return f"{at}[{key}]" if isinstance(key, int) else f"{at}.{key}".lstrip(".")
    if isinstance(value, dict):
        children = [(f"{at}.{name}".lstrip("."), child) for name, child in value.items()]
    elif isinstance(value, list):
        children = [(f"{at}[{n}]", child) for n, child in enumerate(value)]
    else:
        return None
    return next((p for where, child in children if (p := path_in(child, holder, key, where))), None)


def read_fleet(obj: Json) -> FleetConfig | None:
    """The `fleet` object, where there is one; refused where the settings allow no peers."""
    fleet = optional(obj, "fleet", dict, None)
    if fleet is None:
        return None
    allow = optional(optional(obj, "settings", dict, {}), "permissions", dict, {})
    if optional(allow, "peers", bool, True) is False:
        raise Malformed(
            "'fleet' must be absent: settings.permissions.peers is false", Location(obj, "fleet", None)
        )
    seeds = required(fleet, "seeds", list)
    for n, seed in enumerate(seeds):
        if not isinstance(seed, str):
            raise Malformed(
                f"seeds[{n}] must be a string, not {seed!r:.60}", Location(seeds, n, "127.0.0.1:7400")
            )
        address(seed)
    voters = optional(fleet, "voters", list, [])
    if len(voters) not in (0, 3, 5, 7) or not all(isinstance(name, str) for name in voters):
        raise Malformed(
            f"'voters' must be 3, 5 or 7 names, not {voters!r:.60}", Location(fleet, "voters", [])
        )
    if len(set(voters)) < len(voters):
        raise Malformed("'voters' names one twice", Location(fleet, "voters", []))
    address_at(fleet, "bind")
    advertise = fleet["bind"] if fleet.get("advertise") is None else required(fleet, "advertise", str)
    address(advertise)
    share, groups = _read_shared(fleet, optional(obj, "settings", dict, {}))
    if "releases" in share and not voters:
        raise Malformed("'voters' must be named to share releases", Location(fleet, "voters", []))
    cells = _read_cells(fleet, share, voters)
    return FleetConfig(
        required(fleet, "name", str), fleet["bind"], advertise, seeds, voters, share, groups, cells
    )


def _read_cells(fleet: Json, share: frozenset[str], voters: list[str]) -> CellsConfig | None:
    """The `cells` object, where there is one; refused beside what needs a view of all members."""
    cells = optional(fleet, "cells", dict, None)
    if cells is None:
        return None
    for key in ("service", "region"):
        if not re.fullmatch(PLAIN_NAME, required(cells, key, str)):
            text = f"{key!r} must be 1 to 64 of letters, digits, '.', '-' and '_', not {cells[key]!r:.60}"
            raise Malformed(text, Location(cells, key, "a"))
    most = optional(cells, "most", int, CELL)
    if not LEAST_CELL <= most <= MOST_CELL:
        text = f"'most' must be {LEAST_CELL} to {MOST_CELL} members of a cell, not {most!r:.60}"
        raise Malformed(text, Location(cells, "most", CELL))
    directory = optional(cells, "directory", list, [])
    for n, place in enumerate(directory):
        if not isinstance(place, str):
            raise Malformed(
                f"directory[{n}] must be a string, not {place!r:.60}",
                Location(directory, n, "127.0.0.1:7400"),
            )
        try:
            address(place)
        except Malformed as problem:
            raise Malformed(f"directory[{n}]: {problem}", Location(directory, n, "127.0.0.1:7400")) from None
    if voters:
        raise Malformed(
            "'voters' must be absent: duties are not there beside 'cells'", Location(fleet, "voters", [])
        )
    if share - CELL_SHARE:
        text = f"'share' may name verdicts alone beside 'cells', not {sorted(share)!r:.60}"
        raise Malformed(text, Location(fleet, "share", []))
    return CellsConfig(cells["service"], cells["region"], most, directory)


def _read_shared(fleet: Json, settings: Json) -> tuple[frozenset[str], tuple[str, ...]]:
    """What is shared, and the homes of keyed requests."""
    share = optional(fleet, "share", list, [])
    for n, part in enumerate(share):
        if part not in SHARED:
            text = f"share[{n}] is {part!r:.60}, which is none of {', '.join(SHARED)}"
            raise Malformed(text, Location(share, n, SHARED[0]))
    groups = optional(fleet, "groups", list, [])
    if not all(isinstance(group, str) for group in groups) or len(set(groups)) < len(groups):
        raise Malformed(
            f"'groups' must be names of zones, each once, not {groups!r:.60}", Location(fleet, "groups", [])
        )
    if "affinity" in share:
        if len(groups) < 2:
            raise Malformed(
                "'groups' must name the zones, two or more, to share affinity", Location(fleet, "groups", [])
            )
        if optional(settings, "siblings", int, 1) < LEAST_AFFINE:
            text = f"share: affinity needs {LEAST_AFFINE} nodes or more in settings.siblings"
            raise Malformed(text, Location(fleet, "share", []))
    return frozenset(share), tuple(groups)


@dataclass(slots=True)
class DirectoryConfig:
    """All that a process of the directory knows when it starts; its seeds are other such processes."""

    name: str
    seed: int
    management: Address | None
    zone: str
    fleet: FleetConfig
    log: str = logs.TEXT


def read_directory(path: str) -> DirectoryConfig:
    """Read the file of a directory's process; `BadConfig` says in one line what is wrong with it."""
    return _read_file(path, parse_directory)


def parse_directory(obj: Json) -> DirectoryConfig:
    """Turn the file's object into a configuration; `Malformed` or `ValueError` says what is wrong with it."""
    fleet = read_fleet(obj)
    if fleet is None:
        raise Malformed(
            "'fleet' is missing: it names the fleet whose directory this is", Location(obj, "fleet", {})
        )
    for key in ("voters", "share", "cells"):
        if obj["fleet"].get(key):
            raise Malformed(
                f"{key!r} must be absent: a directory's process only knows cells",
                Location(obj["fleet"], key, None),
            )
    return DirectoryConfig(
        name=required(obj, "name", str),
        seed=hex_digits(obj, "seed"),
        management=_management(obj),
        zone=optional(obj, "zone", str, ""),
        fleet=fleet,
        log=choice(optional(obj, "log", dict, {"form": logs.TEXT}), "form", logs.FORMS),
    )


def _management(obj: Json) -> Address | None:
    """Where operators call, by the environment or the file."""
    management = os.environ.get("NODE_MANAGEMENT")
    if management:
        return address(management)
    return address_at(obj, "management") if optional(obj, "management", str, None) else None


def parse_config(obj: Json) -> Config:
    """Turn the file's object into a configuration; `Malformed` or `ValueError` says what is wrong with it."""
    limits = optional(obj, "limits", dict, {})
    return Config(
        name=required(obj, "name", str),
        listen=address_at(obj, "listen"),
        discovery=address_at(obj, "discovery"),
        seed=hex_digits(obj, "seed"),
        management=_management(obj),
        sockets=optional(limits, "sockets", int, 1024),
        memory_mb=optional(limits, "memory_mb", NUMBER, 192),
        known=read_listing(optional(obj, "known", dict, {"index": 0, "snapshot": True, "endpoints": []})),
        settings=read_settings(required(obj, "settings", dict)),
        keys=key_paths(obj),
        fleet=read_fleet(obj),
        log=choice(optional(obj, "log", dict, {"form": logs.TEXT}), "form", logs.FORMS),
    )
