"""Copies of cores, and what tells them apart, by their attributes alone."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum
from functools import partial
from types import FunctionType, MethodType
from typing import Any

from msgspec import Struct

ATOMS = (int, float, str, bytes, bool, type(None), frozenset, tuple, Enum, Struct)
FUNCTIONS = (FunctionType, MethodType, partial)
WHOLE = "_core"  # the attribute by which a part knows what it is part of
SHARED = (*ATOMS, random.Random)
PAST_MS = 1.0  # how long ago a time was that has passed does not matter
FAR_MS = 60_000.0


class Even(random.Random):
    """Chance has no part: what depends on it is tried by orders of events instead."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int, /) -> int:
        return 0


EVEN = Even()


def names_of(thing: Any) -> list[str]:
    """The attributes of an object."""
    slots = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    return [name for name in (*slots, *getattr(thing, "__dict__", ())) if hasattr(thing, name)]


def clone(thing: Any, made: dict[int, Any] | None = None) -> Any:
    """A copy that shares nothing that can change; functions are left out, to be set anew."""
    if isinstance(thing, SHARED):
        return thing
    made = {} if made is None else made
    if isinstance(thing, dict):
        return {key: clone(value, made) for key, value in thing.items()}
    if isinstance(thing, list):
        return [clone(item, made) for item in thing]
    if isinstance(thing, set | deque):
        return type(thing)(thing)
    if id(thing) in made:  # a part that knows the whole
        return made[id(thing)]
    copy = made[id(thing)] = object.__new__(type(thing))
    for name in names_of(thing):
        value = getattr(thing, name)
        if not isinstance(value, FUNCTIONS):
            object.__setattr__(copy, name, clone(value, made))
    return copy


def mark(thing: Any, now: float) -> Any:
    """All that matters of an object, with times counted from now."""
    if isinstance(thing, Struct):
        return type(thing).__name__, *(mark(getattr(thing, name), now) for name in thing.__struct_fields__)
    if isinstance(thing, ATOMS):
        return thing
    if isinstance(thing, dict):
        return tuple(sorted((repr(key), mark(value, now)) for key, value in thing.items()))
    if isinstance(thing, set):
        return tuple(sorted(map(repr, thing)))
    if isinstance(thing, list | deque):
        return tuple(mark(item, now) for item in thing)
    found = []
    for name in names_of(thing):
        value = getattr(thing, name)
        if name == WHOLE or isinstance(value, (*FUNCTIONS, random.Random)):
            continue
        if name.endswith(("_ms", "_until")) and isinstance(value, float | int):
            value = max(-PAST_MS, min(FAR_MS, round(value - now, 1)))
        found.append((name, mark(value, now)))
    return tuple(found)
