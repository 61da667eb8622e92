"""What this process believes of all members, and how records of them are merged.

Merging is commutative, associative and idempotent: of two records of a name the greater key holds
(life, then left, then revision, then status); of facts the greater version of the same life.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from dunlinloft.fleet.messages import ALIVE, DEAD, LEFT, SUSPECT, Fact, Record
from dunlinloft.fleet.rendezvous import rank

MOST_ACCUSERS = 4  # that are kept and told; more would change nothing
MOST_BURIED = 4096  # records of the dead and the left; beyond that the oldest go
FORGET_MS = 24 * 3_600_000.0  # a buried member's record is kept so long: old news must not revive it
RTT_SHARE, VAR_SHARE = 1.0 / 8.0, 1.0 / 4.0  # Jacobson and Karels 1988
START_RTT_MS, START_VAR_MS = 20.0, 20.0
LEAST_TIMEOUT_MS, MOST_TIMEOUT_MS = 40.0, 400.0


class Member:
    """One name, as it is believed to be."""

    __slots__ = (
        "accusers", "address", "bits", "checked", "differs_ms", "digest", "facts", "life", "name",
        "revision", "since_ms", "status", "timer", "uid", "version", "_rtt_ms", "_var_ms",
    )  # fmt: skip

    def __init__(self, name: str, now: float) -> None:
        self.name, self.life, self.revision, self.status, self.uid = name, -1, 0, DEAD, 0
        self.address, self.version, self.facts = "", -1, dict[str, Fact]()
        self.accusers: list[str] = []  # of what it is suspected for, at most `MOST_ACCUSERS`
        self.since_ms = now
        self._rtt_ms, self._var_ms = START_RTT_MS, START_VAR_MS
        self.digest, self.differs_ms = 0, -1.0  # of its view; since when it differs from ours
        self.timer = 0  # that of its suspicion
        self.checked = 0  # the number of the last ping before its burial
        self.bits = 0

    def key(self) -> tuple[int, bool, int, int]:
        """As `Record.key`."""
        return self.life, self.status == LEFT, self.revision, self.status

    def here(self) -> bool:
        """Whether it is taken for a member that is there."""
        return self.status in (ALIVE, SUSPECT)

    def record(self, facts: bool = True) -> Record:
        """What is told of it."""
        told = self.facts if facts and self.here() else None
        return Record(
            self.name, self.life, self.revision, self.status, self.uid, self.address, self.version, told,
            self.accusers if self.status == SUSPECT else [],
        )  # fmt: skip

    def took(self, rtt_ms: float) -> None:
        """Take a measured round trip."""
        self._var_ms += VAR_SHARE * (abs(rtt_ms - self._rtt_ms) - self._var_ms)
        self._rtt_ms += RTT_SHARE * (rtt_ms - self._rtt_ms)

    def rtt_ms(self) -> float:
        """The usual round trip to it."""
        return self._rtt_ms

    def timeout_ms(self) -> float:
        """How long an answer may take on the way there and back."""
        return min(MOST_TIMEOUT_MS, max(LEAST_TIMEOUT_MS, self._rtt_ms + 4.0 * self._var_ms))


def bits(name: str, life: int) -> int:
    """What a member adds to the digest of a view: the same at every process."""
    return int.from_bytes(rank(name, life), "big")


def _few(*accusers: Iterable[str]) -> list[str]:
    """Of all accusers the first by name: whatever the order they come in, the same remain."""
    return sorted({name for names in accusers for name in names})[:MOST_ACCUSERS]


class Pool:
    """Names from which some are drawn at random, each drawn in constant time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._places

    def names(self) -> list[str]:
        """All of them."""
        return list(self._names)

    def add(self, name: str) -> None:
        if name not in self._places:
            self._places[name] = len(self._names)
            self._names.append(name)

    def remove(self, name: str) -> None:
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place

    def compact(self) -> None:
        """Take no more room than these need."""
        self._places = dict(self._places)

    def draw(self, count: int, without: str = "") -> list[str]:
        """So many, all different, if there are so many."""
        if count + 2 >= len(self._names):
            rest = [name for name in self._names if name != without]
            self._rng.shuffle(rest)
            return rest[:count]
        found: dict[str, None] = {}
        while len(found) < count:
            name = self._names[int(self._rng.random() * len(self._names))]
            if name != without:
                found[name] = None
        return list(found)


class View:
    """All members but this process itself, which adds its own bits to the digest."""

    def __init__(self, rng: random.Random) -> None:
        self.members: dict[str, Member] = {}
        self.here, self.buried = Pool(rng), Pool(rng)  # those there, and the dead (not those that left)
        self.digest = 0

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def merge(self, record: Record, now: float) -> tuple[Member, str]:
        """Take a record in; the member, and what it changed.

        That is "" for nothing, `facts`, `accused` (by one more), or the new status in words.
        """
        member = self.members.get(record.name)
        new = member is None
        if member is None:
            member = self.members[record.name] = Member(record.name, now)
        change = ""
        newer = (record.life, record.version) > (member.life, member.version)
        if newer and record.facts is not None and record.life >= member.life:
            member.facts, member.version, change = dict(record.facts), record.version, "facts"
        if new or record.key() > member.key():
            change = self._take(member, record, now) or change
        elif record.status == SUSPECT and record.key() == member.key():
            accusers = _few(member.accusers, record.accusers)
            if accusers != member.accusers:
                member.accusers, change = accusers, "accused"
        return member, change

    def _take(self, member: Member, record: Record, now: float) -> str:
        was, here, life = member.status, member.here(), member.life
        member.life, member.revision, member.status = record.life, record.revision, record.status
        member.uid = record.uid or member.uid
        member.address = record.address or member.address
        if life != record.life:
            if record.facts is None:
                member.facts, member.version = {}, -1
            member.digest, member.differs_ms = 0, -1.0
        member.accusers = _few(record.accusers) if record.status == SUSPECT else []
        member.timer = member.checked = 0
        self._count(member, here)
        if was != member.status or life != member.life:
            member.since_ms = now
        if life < 0 or (life != member.life and member.here()) or (not here and member.here()):
            return "joined" if member.here() else ("dead" if member.status == DEAD else "left")
        if was == member.status:
            return "alive" if member.status == ALIVE else ("accused" if member.status == SUSPECT else "")
        return ("alive", "suspect", "dead", "left")[member.status]

    def _count(self, member: Member, was_here: bool) -> None:
        """Keep pools and digest in step with a member that has changed."""
        if was_here:
            self.digest ^= member.bits
        if member.here():
            member.bits = bits(member.name, member.life)
            self.digest ^= member.bits
            self.here.add(member.name)
            self.buried.remove(member.name)
        else:
            self.here.remove(member.name)
            (self.buried.add if member.status == DEAD else self.buried.remove)(member.name)

    def release(self, name: str) -> None:
        """Know nothing of one any more that is no concern of this view: it has not died."""
        member = self.members.pop(name)
        if member.here():
            self.digest ^= member.bits
        self.here.remove(name)
        self.buried.remove(name)

    def compact(self) -> None:
        """Give back the room of those that were released: dicts keep it for as many as there ever were."""
        self.members = dict(self.members)
        self.here.compact()
        self.buried.compact()

    def forget(self, now: float) -> None:
        """Let go of the buried whom no old news can be about any more, and of the oldest of too many."""
        gone = [m for m in self.members.values() if not m.here()]
        gone.sort(key=lambda member: member.since_ms)
        spare = len(gone) - MOST_BURIED
        for n, member in enumerate(gone):
            if n < spare or now - member.since_ms > FORGET_MS:
                del self.members[member.name]
                self.buried.remove(member.name)

    def records(self, facts: bool = True) -> Iterable[Record]:
        """All that is known, for a whole exchange."""
        return (member.record(facts) for member in self.members.values())
