"""Reads the JSON configuration file that NODE_CONFIG names into typed values."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.settings import (
    NUMBER,
    Json,
    Location,
    MalformedInput,
    choice,
    object_list,
    optional,
    read_settings,
    required,
)
from dunlinloft.node import logs
from dunlinloft.node.addresses import Address, address_at, parse_address
from dunlinloft.node.fleet_config import FleetConfig, read_fleet
from dunlinloft.node.server_list import ServerList, read_server_list

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
MANAGEMENT_VARIABLE = "NODE_MANAGEMENT"  # overrides the file's address of the admin endpoint
# Keys that a reread file may lack.
OPTIONAL_KEYS = frozenset({"known", "management", "log"})

T = TypeVar("T")


class ConfigFileError(Exception):
    """The configuration file is missing or invalid; the message is one line for operators."""


@dataclass(slots=True)
class Config:
    """The configuration of a node.

    Attributes
    ----------
    management
        Address of the operators' admin endpoint; None if there is none.
    known
        The servers that were known before this start.
    keys
        Paths of the keys in the file.
    log
        The format of the log, one of `logs.FORMATS`.
    fleet
        None for a standalone node, which loads no module of the fleet.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    management: Address | None
    sockets: int
    memory_mb: float
    known: ServerList
    settings: api.Settings
    keys: frozenset[str]
    log: str = logs.TEXT
    fleet: FleetConfig | None = None


@dataclass(slots=True)
class DirectoryConfig:
    """The configuration of a directory process; its seeds are other such processes."""

    name: str
    seed: int
    management: Address | None
    zone: str
    fleet: FleetConfig
    log: str = logs.TEXT


def read_config(path: str) -> Config:
    """Read a node's configuration file. Raises `ConfigFileError`."""
    return _read_file(path, parse_config)


def read_directory_config(path: str) -> DirectoryConfig:
    """Read the configuration file of a directory process. Raises `ConfigFileError`."""
    return _read_file(path, parse_directory)


def reread_config(path: str, old: Config) -> Config:
    """Read the file again; it must have all keys of the current one. Raises `ConfigFileError`."""
    config = read_config(path)
    missing = sorted(old.keys - config.keys)
    if missing:
        raise ConfigFileError(f"{path}: {missing[0]!r} is missing")
    return config


def _read_file(path: str, parse: Callable[[Json], T]) -> T:
    try:
        with open(path, encoding="utf-8") as file:
            obj = json.load(file)
    except OSError as error:
        raise ConfigFileError(f"can't read the configuration: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigFileError(f"{path}: not JSON: {error!s:.100}") from None
    if not isinstance(obj, dict):
        raise ConfigFileError(f"{path}: must be an object")
    try:
        return parse(obj)
    except MalformedInput as error:
        raise ConfigFileError(f"{path}: {_located(obj, error)}") from None
    except ValueError as error:
        raise ConfigFileError(f"{path}: {error}") from None


def _located(root: Json, error: MalformedInput) -> str:
    """Return the message of an error, prefixed with the full path of the invalid value."""
    if error.location is None:
        return str(error)
    where = path_in(root, error.location.container, error.location.key)
    return f"{where}: {error}" if where else str(error)


def path_in(value: object, container: object, key: str | int, path: str = "") -> str | None:
    """Return the path to a key of an object or array within a JSON value; None if it isn't part of it."""
    if value is container:
        return f"{path}[{key}]" if isinstance(key, int) else f"{path}.{key}".lstrip(".")
    if isinstance(value, dict):
        children = [(f"{path}.{name}".lstrip("."), child) for name, child in value.items()]
    elif isinstance(value, list):
        children = [(f"{path}[{number}]", child) for number, child in enumerate(value)]
    else:
        return None
    found = (path_in(child, container, key, child_path) for child_path, child in children)
    return next((each for each in found if each), None)


def key_paths(obj: Json) -> frozenset[str]:
    """Return the paths of the keys in a configuration, without `OPTIONAL_KEYS`."""
    settings = optional(obj, "settings", dict, {})
    objects = {"": obj, "settings.": settings}
    objects |= {f"settings.{name}.": optional(settings, name, dict, {}) for name in ("permissions", "rules")}
    paths = {
        prefix + key for prefix, each in objects.items() for key, value in each.items() if value is not None
    }
    classes = object_list(settings, "classes") if settings.get("classes") else []
    if classes and all("importance" in cls for cls in classes):
        paths.add("settings.classes.importance")
    return frozenset(paths - OPTIONAL_KEYS)


def parse_config(obj: Json) -> Config:
    """Parse the object of a node's file. Raises `Malformed` or `ValueError`."""
    limits = optional(obj, "limits", dict, {})
    return Config(
        name=required(obj, "name", str),
        listen=address_at(obj, "listen"),
        discovery=address_at(obj, "discovery"),
        seed=_hex_digits(obj, "seed"),
        management=_management(obj),
        sockets=optional(limits, "sockets", int, DEFAULT_SOCKETS),
        memory_mb=optional(limits, "memory_mb", NUMBER, DEFAULT_MEMORY_MB),
        known=read_server_list(optional(obj, "known", dict, {"index": 0, "snapshot": True, "endpoints": []})),
        settings=read_settings(required(obj, "settings", dict)),
        keys=key_paths(obj),
        fleet=read_fleet(obj),
        log=_log_format(obj),
    )


def parse_directory(obj: Json) -> DirectoryConfig:
    """Parse the object of a directory process's file. Raises `Malformed` or `ValueError`."""
    fleet = read_fleet(obj)
    if fleet is None:
        raise MalformedInput(
            "'fleet' is missing: it names the fleet whose directory this is", Location(obj, "fleet", {})
        )
    for key in ("voters", "share", "cells"):
        if obj["fleet"].get(key):
            raise MalformedInput(
                f"{key!r} must be absent: a directory's process only knows cells",
                Location(obj["fleet"], key, None),
            )
    return DirectoryConfig(
        name=required(obj, "name", str),
        seed=_hex_digits(obj, "seed"),
        management=_management(obj),
        zone=optional(obj, "zone", str, ""),
        fleet=fleet,
        log=_log_format(obj),
    )


def _hex_digits(obj: Json, key: str) -> int:
    """Return a number written in hex digits only."""
    text = required(obj, key, str)
    if not re.fullmatch("[0-9a-fA-F]+", text):
        raise MalformedInput(f"{key!r} must be hex digits, not {text!r:.60}", Location(obj, key, "0"))
    return int(text, 16)


def _management(obj: Json) -> Address | None:
    """Return the admin endpoint's address from the environment or, without one there, from the file."""
    management = os.environ.get(MANAGEMENT_VARIABLE)
    if management:
        return parse_address(management)
    return address_at(obj, "management") if optional(obj, "management", str, None) else None


def _log_format(obj: Json) -> str:
    form: str = choice(optional(obj, "log", dict, {"form": logs.TEXT}), "form", logs.FORMATS)
    return form
