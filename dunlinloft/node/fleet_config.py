"""The `fleet` object of a node's configuration: its members, what they share, and cells."""

from __future__ import annotations

import re
from dataclasses import dataclass

from dunlinloft.balancer.settings import Json, Location, MalformedInput, optional, required
from dunlinloft.node.addresses import EXAMPLE_PEER_ADDRESS, address_at, parse_address

SHAREABLE_STATE = ("verdicts", "limits", "affinity", "releases")
CELL_SHAREABLE_STATE = frozenset(("verdicts",))  # the other kinds need a view of all members
DEFAULT_CELL_SIZE = 100  # members
MIN_CELL_SIZE = 4
MAX_CELL_SIZE = 1000
VOTER_COUNTS = (0, 3, 5, 7)  # 0: no leases
MIN_AFFINITY_NODES = 3  # a node of two that receives nothing can't know which of them is partitioned
MIN_AFFINITY_ZONES = 2
CELL_NAME_PATTERN = "[A-Za-z0-9._-]{1,64}"


@dataclass(slots=True)
class CellsConfig:
    """Settings of membership in cells: the service, the size of a cell and the directory."""

    service: str
    region: str
    max_members: int  # of a cell; a larger one is split
    directory: list[str]  # addresses of the directory's processes, which are equivalent


@dataclass(slots=True)
class FleetConfig:
    """How this process exchanges messages with the other members of its fleet.

    Attributes
    ----------
    bind
        host:port, for datagrams and streams.
    advertise
        The address that is announced to other members.
    seeds
        Addresses of members that a process joins through.
    voters
        Names of the members whose majority grants leases; empty if there are no leases.
    share
        The kinds of `SHAREABLE_STATE` that the node shares.
    groups
        Zones that keyed requests are bound to, the same at all nodes.
    cells
        None if each member has a view of all members.
    """

    name: str
    bind: str
    advertise: str
    seeds: list[str]
    voters: list[str]
    share: frozenset[str] = frozenset()
    groups: tuple[str, ...] = ()
    cells: CellsConfig | None = None


def read_fleet(obj: Json) -> FleetConfig | None:
    """Read the `fleet` object of a file, if there is one. Raises `Malformed`.

    It is invalid if the settings allow no peers.
    """
    fleet = optional(obj, "fleet", dict, None)
    if fleet is None:
        return None
    settings = optional(obj, "settings", dict, {})
    permissions = optional(settings, "permissions", dict, {})
    if optional(permissions, "peers", bool, True) is False:
        raise MalformedInput(
            "'fleet' must be absent: settings.permissions.peers is false", Location(obj, "fleet", None)
        )
    seeds = required(fleet, "seeds", list)
    for number, seed in enumerate(seeds):
        if not isinstance(seed, str):
            raise MalformedInput(
                f"seeds[{number}] must be a string, not {seed!r:.60}",
                Location(seeds, number, EXAMPLE_PEER_ADDRESS),
            )
        parse_address(seed)
    voters = _read_voters(fleet)
    address_at(fleet, "bind")
    advertise = fleet["bind"] if fleet.get("advertise") is None else required(fleet, "advertise", str)
    parse_address(advertise)
    share = _read_share(fleet)
    groups = _read_groups(fleet)
    if "affinity" in share:
        _check_affinity(fleet, settings, groups)
    if "releases" in share and not voters:
        raise MalformedInput("'voters' must be named to share releases", Location(fleet, "voters", []))
    cells = _read_cells(fleet, share, voters)
    return FleetConfig(
        required(fleet, "name", str), fleet["bind"], advertise, seeds, voters, share, groups, cells
    )


def _read_voters(fleet: Json) -> list[str]:
    voters: list[str] = optional(fleet, "voters", list, [])
    if len(voters) not in VOTER_COUNTS or not all(isinstance(name, str) for name in voters):
        raise MalformedInput(
            f"'voters' must be 3, 5 or 7 names, not {voters!r:.60}", Location(fleet, "voters", [])
        )
    if len(set(voters)) < len(voters):
        raise MalformedInput("'voters' names one twice", Location(fleet, "voters", []))
    return voters


def _read_share(fleet: Json) -> frozenset[str]:
    share = optional(fleet, "share", list, [])
    for number, name in enumerate(share):
        if name not in SHAREABLE_STATE:
            text = f"share[{number}] is {name!r:.60}, which is none of {', '.join(SHAREABLE_STATE)}"
            raise MalformedInput(text, Location(share, number, SHAREABLE_STATE[0]))
    return frozenset(share)


def _read_groups(fleet: Json) -> tuple[str, ...]:
    groups = optional(fleet, "groups", list, [])
    if not all(isinstance(group, str) for group in groups) or len(set(groups)) < len(groups):
        raise MalformedInput(
            f"'groups' must be names of zones, each once, not {groups!r:.60}", Location(fleet, "groups", [])
        )
    return tuple(groups)


def _check_affinity(fleet: Json, settings: Json, groups: tuple[str, ...]) -> None:
    if len(groups) < MIN_AFFINITY_ZONES:
        raise MalformedInput(
            "'groups' must name the zones, two or more, to share affinity", Location(fleet, "groups", [])
        )
    if optional(settings, "siblings", int, 1) < MIN_AFFINITY_NODES:
        text = f"share: affinity needs {MIN_AFFINITY_NODES} nodes or more in settings.siblings"
        raise MalformedInput(text, Location(fleet, "share", []))


def _read_cells(fleet: Json, share: frozenset[str], voters: list[str]) -> CellsConfig | None:
    """Read the `cells` object, if there is one; invalid with settings that need a view of all members."""
    cells = optional(fleet, "cells", dict, None)
    if cells is None:
        return None
    for key in ("service", "region"):
        if not re.fullmatch(CELL_NAME_PATTERN, required(cells, key, str)):
            text = f"{key!r} must be 1 to 64 of letters, digits, '.', '-' and '_', not {cells[key]!r:.60}"
            raise MalformedInput(text, Location(cells, key, "a"))
    max_members = optional(cells, "most", int, DEFAULT_CELL_SIZE)
    if not MIN_CELL_SIZE <= max_members <= MAX_CELL_SIZE:
        text = f"'most' must be {MIN_CELL_SIZE} to {MAX_CELL_SIZE} members of a cell, not {max_members!r:.60}"
        raise MalformedInput(text, Location(cells, "most", DEFAULT_CELL_SIZE))
    directory = _read_directory_addresses(cells)
    if voters:
        raise MalformedInput(
            "'voters' must be absent: duties are not there beside 'cells'", Location(fleet, "voters", [])
        )
    if share - CELL_SHAREABLE_STATE:
        text = f"'share' may name verdicts alone beside 'cells', not {sorted(share)!r:.60}"
        raise MalformedInput(text, Location(fleet, "share", []))
    return CellsConfig(cells["service"], cells["region"], max_members, directory)


def _read_directory_addresses(cells: Json) -> list[str]:
    directory: list[str] = optional(cells, "directory", list, [])
    for number, text in enumerate(directory):
        where = Location(directory, number, EXAMPLE_PEER_ADDRESS)
        if not isinstance(text, str):
            raise MalformedInput(f"directory[{number}] must be a string, not {text!r:.60}", where)
        try:
            parse_address(text)
        except MalformedInput as error:
            raise MalformedInput(f"directory[{number}]: {error}", where) from None
    return directory
