"""A member of a cell: membership inside it, and what it has to do with the rest of its service.

Inside a cell nothing differs from a flat fleet. Here is what bounds it: whose records are taken in, when a
cell is cut or merged and how all follow, how a newcomer or a stray finds its cell, and what is asked of and
told to the directory. The directory is asked by each member, so each bounds the age of what it knows by its
own clock; without it cells go on, are cut, and take in newcomers by their seeds.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.cut import MOST_DEPTH, Cut, newer, path
from dunlinloft.fleet.cells.messages import MOST_ADDRESSES, Find, Found, Report, Summary
from dunlinloft.fleet.cells.pointers import Pointers
from dunlinloft.fleet.cells.totals import Totals
from dunlinloft.fleet.cells.words import MOST_TEXT, SERVICE, greatest_word, hearsay, load_and_program
from dunlinloft.fleet.membership.core import LEAVE_FANOUT, Membership
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import ALIVE, Gossip, Header, Message, MetadataValue, Record, State

TICK_MS = 1_000.0  # how often it is looked at what the cell needs
FIND_MS = 10_000.0  # how often the directory is asked, with jitter
ANSWER_MS = 1_000.0  # a question that is not answered by then goes to another, after a wait that doubles
CUT_MS = 3_000.0  # so long a cell has to be too large before it is cut,
HUGE = 2.0  # unless it is so many times too large: a service starts all at once
MERGE_MS = 20_000.0  # so long two halves have to be small enough before they merge
MERGE_SHARE = 0.5  # of the bound, that they may make up together
SILENT = 2  # questions without an answer, after which the directory counts as silent
LONELY_MS = 5_000.0  # who is alone speaks for a cell only after having looked for it so long
ELSEWHERE_MS = 120_000.0  # a seed that belongs to another cell is not asked again for so long


@dataclass(slots=True)
class Place:
    """Where a member belongs, by its configuration."""

    service: str
    region: str
    most: int  # members of a cell
    directory: list[str] = field(default_factory=list)  # addresses; any of them will do


class CellMembership(Membership):
    """One process among the members of its cell."""

    def __init__(
        self, name: str, address: str, seeds: list[str], uid: int, life: int, rng: random.Random,
        facts: dict[str, MetadataValue] | None = None, place: Place | None = None,
    ) -> None:  # fmt: skip
        super().__init__(name, address, seeds, uid, life, rng, facts)
        self.place = place or Place("", "", 100)
        self.cut = Cut()
        self.totals: Totals | None = None  # of the whole service, as the directory last said
        self.cuts = self.strays = 0
        self._path = path(name)
        self._heard_cut: Cut | None = None  # of whose message is at hand
        self._pointers = Pointers(self._path)
        self._elsewhere: dict[str, float] = {}  # seeds of other cells, and when that was seen
        self._asked: tuple[int, float, Cut] | None = None  # number, when, as of which cut
        self._question = rng.getrandbits(40) + 1
        self._turn, self._silent = rng.randrange(1 << 16), 0  # which is asked; questions without an answer
        self._find_ms = 0.0  # when the directory is asked next
        self._begun_ms = 0.0
        self._version_told = 0  # of reports
        self._service_told = 0.0  # members of the service, while the directory is silent
        self._reported: tuple[int, tuple[int, int]] | None = None  # members and cut of the last report
        self._stamp = (0, 0)  # the life and clock of the directory's process that answered last
        self._large_ms = self._small_ms = -1.0  # since when the cell is to be cut, or merged

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self._heard_cut = (
            event.sender_cell if isinstance(event, (api.MessageReceived, api.PushPullReceived)) else None
        )
        return super().handle(event, now)

    # What is seen of it

    def reporter(self) -> bool:
        """Whether this member speaks for its cell: the first in an order that all who agree share."""
        mine = self._digest_bits, self.name
        alone = not len(self.view.alive)
        return (not alone or self._now - self._begun_ms >= LONELY_MS) and all(
            mine < (m.digest_bits, m.name) for m in self._there() if m.status == ALIVE
        )

    def summary(self) -> Summary:
        """The cell as others are to know it."""
        there = list(self._there())
        well = [m.address for m in there if m.status == ALIVE and len(m.address) <= MOST_TEXT]
        some = self.rng.sample(well, min(MOST_ADDRESSES - 1, len(well)))
        load, program = load_and_program([self._metadata, *(m.metadata for m in there)])
        return Summary(
            self.cut.epoch, self.cut.depth, self.cut.bits, self.alive_count(),
            max(self.alive_count(), self.counted()), self.digest(), load, program, [self.address, *some],
        )  # fmt: skip

    def counted(self) -> int:
        """How many of the cell count when budgets are parted; the host's census knows."""
        return self.alive_count()

    def unanswered(self) -> int:
        """How many questions to the directory in a row have had no answer."""
        return self._silent

    def _there(self) -> Iterator[Member]:
        return (self.view.members[name] for name in self.view.alive.names())

    def _mine(self, name: str) -> bool:
        return not self.cut.depth or self.cut.holds(path(name))

    # Events

    def _start(self) -> None:
        self._begun_ms = self._now
        super()._start()
        self._find()
        self.set_timer(TICK_MS * self.rng.random(), TimerKind.CELL)

    def _handle_extension_timer(self, kind: TimerKind, now: float) -> None:
        if kind is not TimerKind.CELL:
            return
        self.set_timer(TICK_MS * (0.9 + 0.2 * self.rng.random()), TimerKind.CELL)
        if self.muted:
            return
        if self.reporter():
            self._perhaps_cut(now)
            self._perhaps_merge(now)
            if self._reported != (self.alive_count(), self.cut.cell()):
                self._find_ms = min(self._find_ms, now)
        else:
            self._large_ms = self._small_ms = -1.0
        self._tell_service(now)
        self._look_for_answer(now)

    def _tell_service(self, now: float) -> None:
        """Where the directory is silent, say how many the service has: newcomers count these too."""
        most, totals, told = greatest_word(m.metadata for m in self._there()), self.totals, 0.0
        if totals is not None and self._silent >= SILENT:
            known, told = totals.members(self.counted(), self.cut), self._service_told
            # The reporter may be a newcomer; of the others one says it, and not all at once.
            if self.reporter() or (known > most and self.rng.random() * self.alive_count() < 1.0):
                told = float(known)
        if told != self._service_told:
            self._service_told = told
            self._update_metadata({SERVICE: told})
        if most and (totals is None or (not totals.found.number and most > totals.found.total)):
            self.totals = Totals(self.cut.cell(), now, hearsay(int(most)))
            self.actions.append(api.MemberChanged(self.name, api.MemberChange.TOTALS))

    def _receive(self, message: api.AnyMessage, source: str, now: float) -> None:
        if isinstance(message, Found):
            if self.status == ALIVE:
                self._found(message, now)
        else:
            super()._receive(message, source, now)

    def _handle_message(self, message: Message, source: str, now: float) -> None:
        if self.status == ALIVE:
            self._follow(source, now)
            if not self._mine(message.header.name):
                self.strays += 1
            super()._handle_message(message, source, now)

    def _handle_header(self, head: Header, source: str, now: float) -> None:
        if self._mine(head.name):
            super()._handle_header(head, source, now)

    def _merge_record(self, record: Record, now: float) -> None:
        if record.name == self.name or self._mine(record.name):
            super()._merge_record(record, now)

    def _handle_push_pull(self, state: State, source: str, asked: bool, now: float) -> None:
        if self.status != ALIVE:
            return
        self._follow(source, now)
        if self._mine(state.header.name):
            return super()._handle_push_pull(state, source, asked, now)
        self.strays += 1
        self._pointers.met(path(state.header.name), source, state.header.members == 1)
        if asked:
            self._elsewhere[source] = now
        else:
            self.send_datagram(
                source, Found(0, 0, 0, 0, 0, 0, self._pointers.toward(path(state.header.name)))
            )

    def state_for(self, asker: State) -> State:
        """To a stranger only who speaks: it is told separately whom to ask."""
        return self.state() if self._mine(asker.header.name) else State(self.header(), [self.own_record()])

    def _leave(self) -> None:
        last = not len(self.view.alive) and self.reporter()
        if self.status == ALIVE and last and self._stamp[0]:
            summary = self.summary()
            summary.members = summary.counted = 0
            self._report(summary)
        super()._leave()

    # Cuts

    def _follow(self, source: str, now: float) -> None:
        """Take over the cut of whoever has a newer one."""
        other = self._heard_cut
        cut = newer(self.cut, other, self._path) if other is not None else None
        if cut is None:
            return
        wider = cut.depth < self.cut.depth
        self._cut_to(cut, now)
        if wider:
            self._push_pull(source, now)

    def _cut_to(self, cut: Cut, now: float) -> None:
        """Belong to this cell from now on, and tell some of the former one at once."""
        if cut.cell() == self.cut.cell():
            self.cut = cut  # an epoch alone
            return
        told = [self.view.members[name].address for name in self.view.alive.sample(LEAVE_FANOUT)]
        self.cut = cut
        self.cuts += 1
        self._large_ms = self._small_ms = -1.0
        self._pointers.keep(cut.depth)
        for member in [m for m in self.view.members.values() if not self._mine(m.name)]:
            if member.is_alive():
                self._pointers.met(path(member.name), member.address)
            self.view.discard(member.name)
            self.actions.append(api.MemberChanged(member.name, api.MemberChange.RELEASED))
        self.view.compact()
        self.actions.append(api.MemberChanged(self.name, api.MemberChange.CELL))
        for address in told:
            self.send_datagram(address, Gossip(self.header(), [self.own_record(include_metadata=False)]))
        self._log("cell", cut=cut.text(), epoch=cut.epoch, members=self.alive_count())
        self._find_ms = min(self._find_ms, now)

    def _perhaps_cut(self, now: float) -> None:
        if self.alive_count() <= self.place.most or self.cut.depth >= MOST_DEPTH:
            self._large_ms = -1.0
            return
        if self._large_ms < 0.0:
            self._large_ms = now
        if now - self._large_ms >= CUT_MS or self.alive_count() > HUGE * self.place.most:
            self._cut_to(self.cut.half(self._path), now)

    def _perhaps_merge(self, now: float) -> None:
        totals = self.totals
        fits = (
            self.cut.depth > 0 and totals is not None and totals.good(self.cut, now)
            and totals.found.sibling >= 0
            and self.alive_count() + totals.found.sibling <= MERGE_SHARE * self.place.most
        )  # fmt: skip
        if not fits or totals is None:
            self._small_ms = -1.0
        elif self._small_ms < 0.0:
            self._small_ms = now
        elif now - self._small_ms >= MERGE_MS:
            whole = self.cut.whole(max(self.cut.epoch, totals.found.sibling_epoch) + 1)
            if not whole.sound():
                return
            self._cut_to(whole, now)
            for address in totals.found.sibling_addresses:
                self._push_pull(address, now)

    # Seeds

    def _unreached_seeds(self) -> list[str]:
        seeds = super()._unreached_seeds()
        if not len(self.view.alive):
            return seeds
        if self.totals is not None and self.totals.age_ms(self._now) < ELSEWHERE_MS:
            return []  # the directory knows of whoever of this cell we don't see
        since = self._now - ELSEWHERE_MS
        return [seed for seed in seeds if self._elsewhere.get(seed, since) <= since]

    # The directory

    def _look_for_answer(self, now: float) -> None:
        if self._asked is not None and now - self._asked[1] >= ANSWER_MS:
            self._asked = None
            self._silent += 1
            self._turn += 1
            wait = min(FIND_MS, ANSWER_MS * 2.0 ** min(8, self._silent - 1))
            self._find_ms = now + wait * (0.5 + 0.5 * self.rng.random())
        if self._asked is None and now >= self._find_ms:
            self._find()

    def _find(self) -> None:
        """Ask one of the directory's processes."""
        place, cut = self.place, self.cut
        self._find_ms = self._now + FIND_MS * (0.9 + 0.2 * self.rng.random())
        if not place.directory:
            return
        self._question += 1
        self._asked = self._question, self._now, cut
        find = Find(
            self._question, self.name, place.service, place.region, cut.epoch, cut.depth, cut.bits
        )  # fmt: skip
        self.send_datagram(place.directory[self._turn % len(place.directory)], find)

    def _found(self, found: Found, now: float) -> None:
        if (
            found.number == 0
        ):  # a member's word to a stranger, which may be one of a few that found each other only
            return self._meet(found.addresses, now)
        if self._asked is None or found.number != self._asked[0]:
            return
        (_, asked_ms, asked_of), self._asked, self._silent = self._asked, None, 0
        self.totals = Totals(asked_of.cell(), asked_ms, found)
        self._stamp = found.life, found.stamp
        there = Cut(found.epoch, found.depth, found.bits)
        cut = newer(self.cut, there, self._path) if there.sound() else None
        if cut is not None:
            self._cut_to(cut, now)
        for address in found.sibling_addresses:
            self._pointers.add(asked_of.depth - 1, address)
        self._meet(found.addresses, now)
        self.actions.append(api.MemberChanged(self.name, api.MemberChange.TOTALS))
        if self.reporter():
            self._report(self.summary())

    def _meet(self, addresses: list[str], now: float) -> None:
        """Exchange views with one of these that is not in ours: a newcomer joins so, and islands heal."""
        seen = {m.address for m in self._there()} | {self.address}
        unseen = [address for address in addresses if address not in seen]
        if unseen:
            self._push_pull(self.rng.choice(unseen), now)

    def _report(self, summary: Summary) -> None:
        self._version_told += 1
        self._reported = summary.members, self.cut.cell()
        place = self.place
        self.send_datagram(
            place.directory[self._turn % len(place.directory)],
            Report(
                *self._stamp,
                self.name,
                self.incarnation,
                self._version_told,
                place.service,
                place.region,
                summary,
            ),
        )
