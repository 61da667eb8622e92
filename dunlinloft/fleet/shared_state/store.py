"""Records by kind and writer, as this process has them, each with an upper bound on its age.

Of two records of a kind and writer the one with the greater (life, version) holds, so merging is
commutative, associative and idempotent; of two copies of one record the smaller bound on its age holds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from dunlinloft.fleet.shared_state.messages import (
    BINDINGS,
    FINDINGS,
    KINDS,
    ORDERS,
    PULSE,
    RELEASE,
    SUMMARY,
    TALLY,
    Content,
    Entry,
    decode,
)

DRIFT = 0.02  # rates of two clocks differ by so much at most: time that passed here is taken for more
# Bytes of a record's content.
MOST = {FINDINGS: 600, PULSE: 500, BINDINGS: 1100, ORDERS: 1000, RELEASE: 300, TALLY: 1100, SUMMARY: 400}
MOST_WRITERS = 2048  # of a kind; beyond that the oldest that nobody in view wrote goes, then the oldest

Key = tuple[int, str]


class Held:
    """A record that is held."""

    __slots__ = ("born_ms", "content", "data", "life", "seq", "source", "version")

    def __init__(self, entry: Entry, content: Content, born_ms: float, seq: int, source: str) -> None:
        self.life, self.version, self.data, self.content = entry.life, entry.version, entry.content, content
        self.born_ms, self.seq, self.source = born_ms, seq, source

    def age_ms(self, now: float) -> float:
        """No less than its true age."""
        return (now - self.born_ms) * (1.0 + DRIFT)


class Store:
    """All records that one process holds, its own among them."""

    def __init__(self, name: str, life: int, most_writers: int = MOST_WRITERS) -> None:
        self.name, self.life, self._most_writers = name, life, most_writers
        self._held: dict[Key, Held] = {}  # those changed last come last
        self._lives: dict[str, int] = {}  # of those there
        self._version = self.seq = 0
        self.counts: Counter[str] = Counter()  # broken, long, foreign, overflow, stale

    def reborn(self, life: int) -> None:
        """This process has a new life under its name: what it wrote in the former is void."""
        if life != self.life:
            self.life = life
            for key in [key for key in self._held if key[1] == self.name]:
                del self._held[key]

    def write(self, kind: int, data: bytes, content: Content, now: float) -> bool:
        """A new word of this process's own; False where it is longer than its kind allows, and not taken."""
        if len(data) > MOST[kind]:
            self.counts["long"] += 1
            return False
        self._version += 1
        entry = Entry(kind, self.name, self.life, self._version, 0, data)
        self._keep(entry, content, now, "")
        return True

    def _keep(self, entry: Entry, content: Content, born_ms: float, source: str) -> None:
        key = entry.kind, entry.writer
        self._held.pop(key, None)
        self.seq += 1
        self._held[key] = Held(entry, content, born_ms, self.seq, source)

    def take(self, entry: Entry, transit_ms: float, source: str, now: float) -> bool:
        """Merge a record that was on its way for so long at most; whether it is news."""
        if entry.writer == self.name or entry.kind not in KINDS:
            return False
        lives = self._lives.get(entry.writer)
        if lives is not None and entry.life < lives:
            self.counts["stale"] += 1
            return False
        born = now - entry.age_ms - transit_ms * (1.0 + DRIFT)
        held = self._held.get((entry.kind, entry.writer))
        if held is not None and (held.life, held.version) >= (entry.life, entry.version):
            if (held.life, held.version) == (entry.life, entry.version):
                held.born_ms = max(held.born_ms, born)
            return False
        if len(entry.content) > MOST[entry.kind] or entry.age_ms < 0:
            self.counts["long"] += 1
            return False
        content = decode(entry.kind, entry.content)
        if content is None:
            self.counts["broken"] += 1
            return False
        self._keep(entry, content, born, source)
        self._bound(entry.kind)
        return True

    def _bound(self, kind: int) -> None:
        """Let one go where a kind has too many: of strangers the oldest, else the oldest of all."""
        if len(self._held) <= self._most_writers:
            return
        mine = [key for key in self._held if key[0] == kind and key[1] != self.name]
        if len(mine) > self._most_writers:
            strangers = [key for key in mine if key[1] not in self._lives]
            del self._held[min(strangers or mine, key=lambda key: self._held[key].born_ms)]
            self.counts["overflow"] += 1

    def seen(self, here: dict[str, int]) -> None:
        """These are there, with these lives: what others wrote goes, but for what is ahead of the news."""
        gone = self._lives.keys() - here.keys()
        self._lives = dict(here)
        for key, held in list(self._held.items()):
            writer = key[1]
            if writer != self.name and (writer in gone or held.life < here.get(writer, held.life)):
                del self._held[key]

    def read(self, kind: int, bound_ms: float, now: float) -> Iterator[tuple[str, Held]]:
        """Others' records of a kind that are surely no older than the bound, of those that are there."""
        for writer, held in self.others(kind):
            if self._lives.get(writer) == held.life and held.age_ms(now) <= bound_ms:
                yield writer, held

    def get(self, kind: int, writer: str) -> Held | None:
        """A record, however old; None where its writer is not there, or has said nothing."""
        held = self._held.get((kind, writer))
        if held is None or (writer != self.name and self._lives.get(writer) != held.life):
            return None
        return held

    def since(self, cursor: int, reader: str) -> list[tuple[int, str, int, Held]]:
        """What changed after a place in the log, oldest first, but what the reader wrote or told."""
        found = []
        for (kind, writer), held in reversed(self._held.items()):
            if held.seq <= cursor:
                break
            # One that starts from nothing may have told us what it has forgotten since.
            if reader != writer and (reader != held.source or not cursor):
                found.append((kind, writer, held.seq, held))
        return found[::-1]

    def others(self, kind: int) -> Iterator[tuple[str, Held]]:
        """All of a kind that others wrote, however old, also of strangers."""
        for (held_kind, writer), held in self._held.items():
            if held_kind == kind and writer != self.name:
                yield writer, held

    def all(self) -> Iterator[tuple[int, str, Held]]:
        """Everything, for whoever shows it."""
        for (kind, writer), held in self._held.items():
            yield kind, writer, held
