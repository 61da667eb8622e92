"""A set of member names that supports random sampling in constant time per name."""

from __future__ import annotations

import random


class NamePool:
    """A list of names and a map of their indexes: removal swaps with the last name, and sampling is O(1)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[str] = []
        self._index_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._index_of

    def names(self) -> list[str]:
        """Return all names as a new list."""
        return list(self._names)

    def add(self, name: str) -> None:
        """Add a name; no effect if it is present."""
        if name not in self._index_of:
            self._index_of[name] = len(self._names)
            self._names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name; no effect if it is absent."""
        index = self._index_of.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index_of[last] = index

    def compact(self) -> None:
        """Free memory after many removals, since a dict does not shrink."""
        self._index_of = dict(self._index_of)

    def sample(self, count: int, exclude: str = "") -> list[str]:
        """Draw up to `count` distinct names at random, never `exclude`."""
        if count + 2 >= len(self._names):
            rest = [name for name in self._names if name != exclude]
            self._rng.shuffle(rest)
            return rest[:count]
        found: dict[str, None] = {}  # a dict keeps the order of the draws
        while len(found) < count:
            name = self._names[int(self._rng.random() * len(self._names))]
            if name != exclude:
                found[name] = None
        return list(found)
