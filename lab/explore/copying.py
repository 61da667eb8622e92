"""Copies and fingerprints of protocol cores, based on their attributes alone."""

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
CORE_ATTRIBUTE = "_core"  # the attribute with which a component refers to its core
SHARED = (*ATOMS, random.Random)
MAX_PAST_MS = 1.0  # times further in the past are equivalent
MAX_FUTURE_MS = 60_000.0  # times further in the future are equivalent


class ConstantRandom(random.Random):
    """Random source with constant results; randomness is covered by exploring orders of events instead."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int, /) -> int:
        return 0


CONSTANT_RANDOM = ConstantRandom()


def names_of(subject: Any) -> list[str]:
    """Return the names of an object's attributes."""
    slots = [name for kind in type(subject).__mro__ for name in getattr(kind, "__slots__", ())]
    return [name for name in (*slots, *getattr(subject, "__dict__", ())) if hasattr(subject, name)]


def clone(subject: Any, copies: dict[int, Any] | None = None) -> Any:
    """Return a copy that shares no mutable state; function attributes are omitted and must be set again."""
    if isinstance(subject, SHARED):
        return subject
    copies = {} if copies is None else copies
    if isinstance(subject, dict):
        return {key: clone(value, copies) for key, value in subject.items()}
    if isinstance(subject, list):
        return [clone(item, copies) for item in subject]
    if isinstance(subject, set | deque):
        return type(subject)(subject)
    if id(subject) in copies:  # a reference back to an object being copied
        return copies[id(subject)]
    copy = copies[id(subject)] = object.__new__(type(subject))
    for name in names_of(subject):
        value = getattr(subject, name)
        if not isinstance(value, FUNCTIONS):
            object.__setattr__(copy, name, clone(value, copies))
    return copy


def mark(subject: Any, now: float) -> Any:
    """Return an object's relevant state, with times relative to `now`."""
    if isinstance(subject, Struct):
        return type(subject).__name__, *(
            mark(getattr(subject, name), now) for name in subject.__struct_fields__
        )
    if isinstance(subject, ATOMS):
        return subject
    if isinstance(subject, dict):
        return tuple(sorted((repr(key), mark(value, now)) for key, value in subject.items()))
    if isinstance(subject, set):
        return tuple(sorted(map(repr, subject)))
    if isinstance(subject, list | deque):
        return tuple(mark(item, now) for item in subject)
    found = []
    for name in names_of(subject):
        value = getattr(subject, name)
        if name == CORE_ATTRIBUTE or isinstance(value, (*FUNCTIONS, random.Random)):
            continue
        if name.endswith(("_ms", "_until")) and isinstance(value, float | int):
            value = max(-MAX_PAST_MS, min(MAX_FUTURE_MS, round(value - now, 1)))
        found.append((name, mark(value, now)))
    return tuple(found)
