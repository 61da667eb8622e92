"""One process of the directory: what cells report, how its processes tell each other, and its answers.

Any process answers for all cells. Reports travel among the processes as records of a store, each with a
bound on its age (`fleet.shared_state.store`); a report's own age is bounded by the process's own stamp,
which it gives with an answer and gets back with the report. Nothing outlives the process.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

import msgspec

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.cut import Cut
from dunlinloft.fleet.cells.index import MOST_CELLS, Index, sound
from dunlinloft.fleet.cells.messages import Find, Found, Report, Summary
from dunlinloft.fleet.cells.totals import BOUND_MS
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.anti_entropy import AntiEntropy, Partner
from dunlinloft.fleet.shared_state.messages import SUMMARY, Content, Entry, PullResponse
from dunlinloft.fleet.shared_state.store import Store

MOST_POURS = 32  # datagrams that answer one question of another process
LEARNING_MS = BOUND_MS + 5_000.0  # a new process may not know of all cells for so long
PRUNE_MS = 1_000.0
MOST_NAME = 64  # characters of a service's, region's or member's name
PULL, PRUNE = "pull", "prune"


@dataclass(slots=True)
class Said:
    """A member has asked or reported."""

    message: Find | Report
    source: str


@dataclass(slots=True)
class Seen:
    """These processes of the directory are there, with these lives; this one has that life."""

    life: int
    here: dict[str, int]


Event = Said | Seen | shared.MessageReceived | shared.TimerFired
Action = api.SendDatagram | shared.SendMessage | shared.SetTimer


class Table(Store):
    """Reports by service, region and reporter; of one that is stale any younger word is taken."""

    def __init__(self, name: str, life: int, index: Index) -> None:
        super().__init__(name, life, MOST_CELLS)
        self._index, self._now = index, 0.0

    def merge(self, entry: Entry, transit_ms: float, source: str, now: float) -> bool:
        self._now = now
        held = self._records.get((entry.kind, entry.writer))
        # A reporter that started anew with a clock that went back has a lesser life than its former one.
        if held is not None and held.age_ms(now) > BOUND_MS > entry.age_ms + transit_ms:
            del self._records[entry.kind, entry.writer]
        return super().merge(entry, transit_ms, source, now)

    def _insert(self, entry: Entry, content: Content, written_ms: float, source: str) -> None:
        super()._insert(entry, content, written_ms, source)
        if isinstance(content, Summary):
            cell, _, name = entry.writer.partition("|")
            service, _, region = cell.rpartition("@")
            self._index.take(service, region, name, content, written_ms, self._now)

    def forget(self, now: float, after_ms: float) -> None:
        """Let go of what nobody has renewed for so long."""
        for key in [key for key, held in self._records.items() if held.age_ms(now) > after_ms]:
            del self._records[key]


class Replica(AntiEntropy):
    """Pulls among the directory's processes, whose answers are of many datagrams."""

    def __init__(self, store: Store, rng: random.Random) -> None:
        super().__init__(store, rng, MOST_POURS)

    def _advance(self, partner: Partner, response: PullResponse) -> None:
        """Pieces that come out of order are not asked for again once those before them have come."""
        ahead = partner.out_of_order
        ahead[response.from_cursor] = max(response.cursor, ahead.get(response.from_cursor, 0))
        for since in sorted(ahead):
            if since > partner.cursor:
                break
            partner.cursor = max(partner.cursor, ahead.pop(since))
        while len(ahead) > MOST_POURS:
            del ahead[max(ahead)]


class Directory:
    """What one process knows of all cells."""

    def __init__(self, name: str, life: int, rng: random.Random, now: float) -> None:
        self.name, self.life, self._rng, self._begun_ms = name, life, rng, now
        self.index = Index()
        self.table = Table(name, life, self.index)
        self.spread = Replica(self.table, rng)
        self.counts: Counter[str] = Counter()  # finds, reports, late, foreign
        self._timers: dict[int, str] = {}
        self._token = 0

    def begin(self) -> list[Action]:
        """The process is up."""
        return [self._timer(PULL, 100.0 * self._rng.random()), self._timer(PRUNE, PRUNE_MS)]

    def ready(self, now: float) -> bool:
        """Whether it has been there long enough to have heard of all cells."""
        return now - self._begun_ms >= LEARNING_MS

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; what to do about it."""
        match event:
            case Said():
                if isinstance(event.message, Find):
                    return self._find(event.message, event.source, now)
                self._report(event.message, now)
            case Seen():
                self.table.set_incarnation(event.life)
                self.spread.set_members(event.here, now)
            case shared.MessageReceived():
                return [*self.spread.receive(event.message, event.sender, now)]
            case shared.TimerFired():
                return self._fired(event.token, now)
        return []

    def _timer(self, what: str, delay_ms: float) -> shared.SetTimer:
        self._token += 1
        self._timers[self._token] = what
        return shared.SetTimer(self._token, delay_ms)

    def _fired(self, token: int, now: float) -> list[Action]:
        what = self._timers.pop(token, "")
        if what == PULL:
            tells, wait = self.spread.pull(now)
            return [*tells, self._timer(PULL, wait)]
        if what == PRUNE:
            self.index.prune(now)
            self.table.forget(now, 2.0 * BOUND_MS)
            return [self._timer(PRUNE, PRUNE_MS * (0.9 + 0.2 * self._rng.random()))]
        return []

    def _find(self, find: Find, source: str, now: float) -> list[Action]:
        cut = Cut(find.epoch, find.depth, find.bits)
        if not cut.sound() or max(map(len, (find.service, find.region, find.name))) > MOST_NAME:
            self.counts["foreign"] += 1
            return []
        self.counts["finds"] += 1
        sums = self.index.sums(find, now)
        found = Found(
            find.number, self.life, int(now), sums.cut.epoch, sums.cut.depth, sums.cut.bits, sums.addresses,
            sums.total, sums.own, sums.before, sums.cells, sums.sure and self.ready(now),
            int(sums.age_ms) + 1, sums.sibling, sums.sibling_epoch, sums.sibling_addresses,
        )  # fmt: skip
        return [api.SendDatagram(source, found)]

    def _report(self, report: Report, now: float) -> None:
        age_ms = now - report.stamp + 1.0
        if report.life != self.life or not 0.0 <= age_ms <= BOUND_MS:
            self.counts["late"] += 1
            return
        named = max(map(len, (report.service, report.region, report.name))) <= MOST_NAME
        if not named or not sound(report.summary):
            self.counts["foreign"] += 1
            return
        self.counts["reports"] += 1
        writer = f"{report.service}@{report.region}|{report.name}"
        content = msgspec.msgpack.encode(report.summary)
        entry = Entry(SUMMARY, writer, report.writer_life, report.version, int(age_ms), content)
        self.table.merge(entry, 0.0, "", now)
