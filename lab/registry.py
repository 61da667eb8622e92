"""Service discovery: the authoritative server list, and one agent per node that gets changes with a delay."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lab.scenario import Discovery
from lab.servers import Clock

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
UPDATE_SPACING_MS = 1.0  # minimum time between two updates to one agent


@dataclass(slots=True, frozen=True)
class Entry:
    """A listed server; `since_ms` is its start time within the run, 0 for long ago."""

    name: str
    status: str
    since_ms: float


def told_entries(entries: Iterable[Entry]) -> list[tuple[str, str, float]]:
    """Convert entries to the form used in `Told` records."""
    return [(entry.name, entry.status, entry.since_ms) for entry in entries]


class Agent:
    """The discovery agent on a node's machine; calls `on_update` with the changed entries."""

    def __init__(self, node: str, entries: dict[str, Entry]) -> None:
        self.node, self.index, self.entries = node, 1, dict(entries)
        self.history: list[tuple[int, list[Entry]]] = []
        self.silent, self.late_ms = False, 0.0
        self.due_ms = 0.0  # arrival time of the latest update; updates keep their order
        self.on_update: Callable[[int, list[Entry]], None] = lambda index, changed: None
        self._held_updates: list[tuple[int, list[Entry]]] = []

    def apply_update(self, index: int, changed: list[Entry]) -> None:
        """Apply an update, or hold it back while discovery is silent."""
        if self.silent:
            self._held_updates.append((index, changed))
            return
        self.index = index
        self.history.append((index, changed))
        for entry in changed:
            self.entries[entry.name] = entry
        self.on_update(index, changed)

    def end_silence(self) -> None:
        """End the silence and apply the updates held back."""
        self.silent = False
        held, self._held_updates = self._held_updates, []
        for index, changed in held:
            self.apply_update(index, changed)

    def full_list(self) -> list[Entry]:
        """Return the full list without servers that left."""
        return [entry for entry in self.entries.values() if entry.status != LEFT]

    def after(self, index: int) -> list[Entry] | None:
        """Return the entries changed since a version; None if the version is unknown."""
        if index > self.index or index < 1:
            return None
        newest_by_name = {
            entry.name: entry for version, entries in self.history if version > index for entry in entries
        }
        return list(newest_by_name.values())


class Registry:
    """The server list of one tier, with an agent for each node that sends to the tier."""

    def __init__(
        self, servers: list[str], nodes: list[str], spec: Discovery, clock: Clock, seed: str
    ) -> None:
        self._entries = {name: Entry(name, ACTIVE, 0.0) for name in servers}
        self.agents = {node: Agent(node, self._entries) for node in nodes}
        self._spec, self._clock, self._random, self._index = spec, clock, random.Random(seed), 1

    def change(self, name: str, status: str, since_ms: float | None = None) -> None:
        """Change an entry; each node's agent receives the update after its own delay."""
        old = self._entries[name]
        entry = Entry(name, status, old.since_ms if since_ms is None else since_ms)
        if entry == old:
            return
        self._entries[name] = entry
        self._index += 1
        span = self._spec.notice_s
        notice_s = self._random.uniform(*span) if isinstance(span, list) else span
        for agent in self.agents.values():
            wait = 1000.0 * notice_s + self._spec.spread_ms * self._random.random() + agent.late_ms
            agent.due_ms = max(agent.due_ms + UPDATE_SPACING_MS, self._clock.now() + wait)
            self._clock.after(agent.due_ms - self._clock.now(), agent.apply_update, self._index, [entry])
