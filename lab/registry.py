"""Discovery: the true list, and each node's own agent, which learns of a change some time later."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lab.scenario import Discovery
from lab.servers import Clock

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
APART_MS = 1.0  # between two pieces of news that would come at once


@dataclass(slots=True, frozen=True)
class Entry:
    """A server as it is listed; `since_ms` in the day's time, 0 for long ago."""

    name: str
    status: str
    since_ms: float


def told(entries: Iterable[Entry]) -> list[tuple[str, str, float]]:
    """Entries as a record of what a node was told has them."""
    return [(entry.name, entry.status, entry.since_ms) for entry in entries]


class Agent:
    """What one node's machine has been told; `on_news` gets the entries that changed."""

    def __init__(self, node: str, entries: dict[str, Entry]) -> None:
        self.node, self.index, self.entries = node, 1, dict(entries)
        self.history: list[tuple[int, list[Entry]]] = []
        self.silent, self.late_ms = False, 0.0
        self.due_ms = 0.0  # when the news before comes: none overtakes another, as the index only rises
        self.on_news: Callable[[int, list[Entry]], None] = lambda index, changed: None
        self._kept: list[tuple[int, list[Entry]]] = []

    def learn(self, index: int, changed: list[Entry]) -> None:
        """News has come to the machine; while discovery is silent it is kept from it."""
        if self.silent:
            self._kept.append((index, changed))
            return
        self.index = index
        self.history.append((index, changed))
        for entry in changed:
            self.entries[entry.name] = entry
        self.on_news(index, changed)

    def speak(self) -> None:
        """Discovery is back: what was kept is told."""
        self.silent = False
        kept, self._kept = self._kept, []
        for index, changed in kept:
            self.learn(index, changed)

    def whole(self) -> list[Entry]:
        """The list as it is told whole, without those that left."""
        return [entry for entry in self.entries.values() if entry.status != LEFT]

    def after(self, index: int) -> list[Entry] | None:
        """What changed since a version; None where that can't be told."""
        if index > self.index or index < 1:
            return None
        names = {entry.name: entry for told, entries in self.history if told > index for entry in entries}
        return list(names.values())


class Registry:
    """The list of one tier, with an agent for each node that sends to it."""

    def __init__(
        self, servers: list[str], nodes: list[str], spec: Discovery, clock: Clock, seed: str
    ) -> None:
        self._entries = {name: Entry(name, ACTIVE, 0.0) for name in servers}
        self.agents = {node: Agent(node, self._entries) for node in nodes}
        self._spec, self._clock, self._random, self._index = spec, clock, random.Random(seed), 1

    def change(self, name: str, status: str, since_ms: float | None = None) -> None:
        """Note a change of the truth; each node learns of it later, not all at once."""
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
            agent.due_ms = max(agent.due_ms + APART_MS, self._clock.now() + wait)
            self._clock.after(agent.due_ms - self._clock.now(), agent.learn, self._index, [entry])
