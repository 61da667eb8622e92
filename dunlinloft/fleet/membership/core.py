"""Who is there: one process's membership, fed with events, answering with actions.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (2017) and some of our own; see
`docs/membership.md`.
"""

from __future__ import annotations

import random
from typing import Any

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership import probing
from dunlinloft.fleet.membership.gossip import FULL, News
from dunlinloft.fleet.membership.health import Health
from dunlinloft.fleet.membership.probing import Prober
from dunlinloft.fleet.membership.suspicion import CONFIRMERS, wait_ms
from dunlinloft.fleet.membership.view import MOST_ACCUSERS, Member, View, bits
from dunlinloft.fleet.messages import (
    ALIVE,
    DEAD,
    LEFT,
    STATUSES,
    SUSPECT,
    Ack,
    Ask,
    Fact,
    Gossip,
    Head,
    Message,
    Nack,
    Ping,
    Record,
    State,
)

SPREAD_MS, SPREAD_TO, SPREAD_FULL = 100.0, 3, 6  # while there is news: how often, to how many, if much
EXCHANGE_MS = 30_000.0  # whole views are exchanged so often, with jitter
SETTLED_MS, AGAIN_MS = 1_500.0, 2_000.0  # a view that differs for so long is exchanged; not sooner again
JOIN_MS, JOIN_MOST_MS = 500.0, 4_000.0  # between tries of the seeds while alone, doubling
SEEK_MS = 10_000.0  # between tries of seeds that are not in view, among others
KNOCK_MS = 1_000.0  # how often one of the dead is asked whether it is, at most
KNOCKS = 20.0  # that each of the dead gets in that time from all together, about
MOST_CORRECTED = 8  # members of whom one message is corrected
CHECK_MS = 300.0  # before its burial a suspect is asked by whoever would bury it
QUIET_MS = 30_000.0  # who has lost its name to another asks again so much later
LIFE_STEP = 1


class Membership:
    """One process among the members of its fleet."""

    def __init__(
        self, name: str, address: str, seeds: list[str], uid: int, life: int, rng: random.Random,
        facts: dict[str, Fact] | None = None,
    ) -> None:  # fmt: skip
        self.name, self.address, self._seeds, self.rng = name, address, seeds, rng
        self.life, self.revision, self._uid = life, 0, uid
        self._bits = bits(name, life)
        self._facts, self._version = dict(facts or {}), 0
        self.status = ALIVE
        self.view = View(rng)
        self.health = Health()
        self.prober = Prober(self)
        self._news = News()
        self.actions: list[api.Action] = []
        self._timers: dict[int, tuple[str, Any, float]] = {}
        self._token, self._now = 0, 0.0
        self._joined = False
        self._join_wait = JOIN_MS / 2.0
        self._seed_names: set[str] = set()  # members found to be at a seed's address
        self._spreading = False
        self._stale: dict[str, None] = {}  # of whom the message at hand says ill that is out of date
        self._exchanged_ms = -AGAIN_MS
        self._rival = 0  # the process that had our name when we took a new life because of it
        self.rival = ""  # its address, once it is sure that it lives
        self.quiet = False  # our name is another's: nothing is said under it
        self.refuted = self.conflicts = self.accused = self.buried = 0

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self.actions, self._now = [], now
        match event:
            case api.Heard():
                self._hear(event.message, event.source, now)
            case api.Fired():
                self._fired(event.token, now)
            case api.Met():
                self._met(event.state, event.source, event.asked, now)
            case api.Missed():
                pass  # the next try is timed already
            case api.Ponged():
                self.prober.acked(event.number, event.name, event.life, now, "")
            case api.Facts():
                self._learn(event.facts)
            case api.Leave():
                self._leave()
            case api.Begin():
                self._begin()
        return self.actions

    # What others see of it

    def alive(self) -> int:
        """How many members are taken to be there, this one too."""
        return len(self.view.here) + (self.status == ALIVE)

    def digest(self) -> int:
        """Of the names and lives of all that are there: equal where views agree."""
        return self.view.digest ^ (self._bits if self.status == ALIVE and not self.quiet else 0)

    def divergence(self, now: float) -> tuple[int, float]:
        """How many members' views differ from this one, and for how long the longest has, in ms."""
        since = [m.differs_ms for m in self.view.members.values() if m.here() and m.differs_ms >= 0.0]
        return len(since), max((now - at for at in since), default=0.0)

    def own_record(self, facts: bool = True) -> Record:
        """What this process says of itself."""
        told = self._facts if facts else None
        return Record(
            self.name, self.life, self.revision, self.status, self._uid, self.address, self._version, told
        )

    def state(self) -> State:
        """The whole view."""
        return State(self.head(), [self.own_record(), *self.view.records()])

    def answer(self, asker: State) -> State:
        """What whoever gives its view over a stream is given back."""
        return self.state()

    def head(self) -> Head:
        """Who speaks."""
        return Head(self.name, self.life, self.revision, self.digest(), self.alive())

    # Tools of the parts

    def post(self, address: str, message: api.Said) -> None:
        """Send a datagram."""
        if not self.quiet and address:
            self.actions.append(api.Post(address, message))

    def timer(self, delay_ms: float, what: str, subject: Any = None) -> int:
        """Have `what` looked at later."""
        self._token += 1
        self._timers[self._token] = what, subject, self._now + delay_ms
        self.actions.append(api.SetTimer(self._token, delay_ms))
        return self._token

    def _note(self, event: str, **fields: Fact) -> None:
        self.actions.append(api.Note(event, fields))

    def _tell(self, name: str, facts: bool = True) -> None:
        """Spread the word of a member; its facts only where they are new."""
        self._news.add(name, self.alive(), facts)
        if not self._spreading:
            self._spreading = True
            self.timer(SPREAD_MS * self.rng.random(), "spread")

    def _told(self, name: str, facts: bool) -> Record | None:
        if name == self.name:
            return self.own_record(facts)
        member = self.view.get(name)
        return member.record(facts) if member is not None else None

    def news_for(self, member: Member) -> list[Record]:
        """Records to go with a message to a member: first of all what it should answer itself."""
        records = self._news.take(self._told)
        if member.status != ALIVE and all(record.name != member.name for record in records):
            records.insert(0, member.record(facts=False))
        return records

    # Time

    def _fired(self, token: int, now: float) -> None:
        what, subject, due_ms = self._timers.pop(token, ("", None, 0.0))
        in_time = self.health.turn(due_ms, now)
        if self.status != ALIVE:
            return
        match what:
            case "period":
                self._period(now)
            case probing.DIRECT:
                self.prober.direct_is_over(subject, in_time, now)
            case probing.ENDS:
                self.prober.end(subject, in_time, now)
            case probing.ERRAND:
                self.prober.errand_is_over(subject)
            case probing.AGAIN:
                self.prober.again(subject)
            case probing.FORGET:
                self.prober.forget(subject)
            case "confirm":
                if subject in self.view.here:
                    self.prober.probe(subject, now)
            case "spread":
                self._spread()
            case "suspicion":
                self._suspicion_ends(subject, token, in_time, now)
            case "join":
                self._join()
            case "exchange":
                self._exchange_with_one(now)
                self.timer(EXCHANGE_MS * (0.5 + self.rng.random()), "exchange")
            case "knock":
                self._knock()
            case "return":
                self._ask_for_the_name()
            case _:
                self._fired_more(what, now)

    def _fired_more(self, what: str, now: float) -> None:
        """A timer that is not the membership's own."""

    def _begin(self) -> None:
        self._join()
        self.timer(probing.PERIOD_MS * self.rng.random(), "period")
        self.timer(EXCHANGE_MS * (0.5 + self.rng.random()), "exchange")
        self.timer(KNOCK_MS * (0.5 + self.rng.random()), "knock")

    def _period(self, now: float) -> None:
        name = self.prober.next_target()
        if name is not None and not self.quiet:
            self.prober.probe(name, now)
        self.timer(probing.PERIOD_MS * self.health.factor() * (0.9 + 0.2 * self.rng.random()), "period")

    def _spread(self) -> None:
        if not len(self._news) or self.quiet:
            self._spreading = False
            if not len(self._news):
                self._news = News()  # an emptied one keeps the room of its longest queue
            return
        count = SPREAD_FULL if len(self._news) > FULL else SPREAD_TO
        for name in self.view.here.draw(count):
            records = self._news.take(self._told)
            if not records:
                break
            self.post(self.view.members[name].address, Gossip(self.head(), records))
        self.timer(SPREAD_MS * (0.8 + 0.4 * self.rng.random()), "spread")

    def _join(self) -> None:
        """Ask a seed that is not in view for its own: soon while alone, now and then later."""
        others = self._absent_seeds()
        if others and not self.quiet:
            self.actions.append(api.Exchange(self.rng.choice(others), self.state()))
        # Whoever is alone may have joined by one that died since; and a few may be an island.
        alone = not len(self.view.here)
        self._join_wait = min(JOIN_MOST_MS, 2.0 * self._join_wait) if alone else SEEK_MS
        self.timer(self._join_wait * (0.5 + self.rng.random()), "join")

    def _absent_seeds(self) -> list[str]:
        """Seeds that no member we see is at."""
        there = {self.view.members[name].address for name in self._seed_names if name in self.view.here}
        absent = [seed for seed in self._seeds if seed != self.address and seed not in there]
        if absent:  # one that has come is known by its address from now on
            found = {m.name for m in self.view.members.values() if m.here() and m.address in absent}
            self._seed_names |= found
            there = {self.view.members[name].address for name in found}
        return [seed for seed in absent if seed not in there]

    def _exchange_with_one(self, now: float) -> None:
        for name in self.view.here.draw(1):
            self._exchange(self.view.members[name].address, now)

    def _exchange(self, address: str, now: float) -> None:
        if address and not self.quiet:
            self._exchanged_ms = now
            self.actions.append(api.Exchange(address, self.state()))

    def _knock(self) -> None:
        """Ask one of the dead whether it is: so parts that were split find each other again."""
        # So often that each of the dead hears of some member many times a second, and not of all.
        often = self.rng.random() * self.alive() < KNOCKS * len(self.view.buried)
        for name in self.view.buried.draw(1) if often else ():
            member = self.view.members[name]
            self.post(member.address, Ping(self.head(), 0, name, [member.record(facts=False)]))
        self.timer(KNOCK_MS * (0.5 + self.rng.random()), "knock")

    # Messages

    def _hear(self, message: api.Said, source: str, now: float) -> None:
        if isinstance(message, Message):
            self._heard(message, source, now)

    def _heard(self, message: Message, source: str, now: float) -> None:
        if self.status != ALIVE:
            return
        if message.head.name == self.name:
            return  # ourselves by a strange way, or a rival, which records tell better
        self._see_head(message.head, source, now)
        self._stale.clear()
        for record in message.records:
            self._take(record, now)
        if self.quiet:
            return
        self._correct(source)
        match message:
            case Ping() if message.whom == self.name:
                sender = self.view.get(message.head.name)
                records = self.news_for(sender) if sender is not None else [self.own_record()]
                self.post(source, Ack(self.head(), message.number, self.name, self.life, records))
            case Ack():
                self.prober.acked(message.number, message.whom, message.life, now, source)
            case Ask():
                self.prober.run_errand(message, source)
            case Nack():
                self.prober.nacked(message.number)

    def _correct(self, source: str) -> None:
        """Whoever speaks ill of one by old news is told the newer: what it missed may not come again."""
        if self._stale:
            told = (self._told(name, False) for name in list(self._stale)[:MOST_CORRECTED])
            self.post(source, Gossip(self.head(), [record for record in told if record is not None]))

    def _see_head(self, head: Head, source: str, now: float) -> None:
        """What the sender itself is, and whether it sees what we see."""
        member = self.view.get(head.name)
        if (
            member is None
            or head.life > member.life
            or (not member.here() and head.revision > member.revision)
        ):
            # It has joined, or come back, and news of that has not come yet: its own view has it.
            if now - self._exchanged_ms > AGAIN_MS:
                self._exchange(source, now)
            return
        if member.life != head.life:
            return
        if not member.here():  # it does not know that it is buried
            if member.status == DEAD and now - member.since_ms > SPREAD_MS:
                self.post(source, Gossip(self.head(), [member.record(facts=False)]))
            return
        member.digest = head.digest
        if head.digest == self.digest():
            member.differs_ms = -1.0
        elif member.differs_ms < 0.0:
            member.differs_ms = now
        elif now - member.differs_ms > SETTLED_MS and now - self._exchanged_ms > AGAIN_MS * self._patience():
            self._exchange(source, now)

    def _patience(self) -> float:
        return 0.5 + self.rng.random()

    def _met(self, state: State, source: str, asked: bool, now: float) -> None:
        """A whole view has come."""
        if self.status != ALIVE:
            return
        if asked and not self._joined:
            self._joined = True
            self._tell(self.name)
        for record in state.records:
            self._take(record, now)
        if self.quiet and asked and all(record.name != self.name for record in state.records):
            self._speak_again(None)

    # Records

    def _take(self, record: Record, now: float) -> None:
        if not 0 <= record.status <= LEFT:
            return
        if record.name == self.name:
            return self._of_ourselves(record)
        record = self._doubted(record, now)
        member, change = self.view.merge(record, now)
        if not change:
            if record.status in (SUSPECT, DEAD) and record.key() < member.key():
                self._stale[record.name] = None
            if member.status == SUSPECT and not member.timer:
                self._start_suspicion(member, now)
            return
        self._tell(record.name, facts=change in ("joined", "facts"))
        self._changed(member, change, now)

    def _doubted(self, record: Record, now: float) -> Record:
        """What is said of a death, as it is believed: of one that was well just now, a suspicion.

        Its time to answer begins with us. Else the two sides of a healed split would bury for a moment
        whom only the other side could not reach.
        """
        member = self.view.get(record.name)
        if record.status != DEAD or member is None or not member.here() or member.life != record.life:
            return record
        if record.revision < member.revision or record.accusers == [self.name]:
            return record
        least = wait_ms(self.alive(), MOST_ACCUSERS)
        if member.status == SUSPECT and now - member.since_ms >= least:
            return record
        doubted = member.record(facts=False)
        doubted.status, doubted.revision = SUSPECT, record.revision
        doubted.accusers = doubted.accusers or record.accusers or [record.name]
        return doubted

    def _changed(self, member: Member, change: str, now: float) -> None:
        if member.status == SUSPECT:
            first = not member.timer
            self._start_suspicion(member, now)
            if first and change == "suspect" and self.name not in member.accusers:
                self._perhaps_confirm(member)
        if change == "accused":
            return
        self.actions.append(api.Changed(member.name, change))
        if change != "facts":
            self._note(
                "member", name=member.name, status=STATUSES[member.status], life=member.life,
                revision=member.revision, by=",".join(member.accusers),
            )  # fmt: skip
        if change in ("dead", "left"):
            self.view.forget(now)

    def _perhaps_confirm(self, member: Member) -> None:
        """Look for ourselves, with such a chance that a few members do."""
        if self.rng.random() * self.alive() < CONFIRMERS:
            self.timer(probing.PERIOD_MS * 0.2 * self.rng.random(), "confirm", member.name)

    def _of_ourselves(self, record: Record) -> None:
        """Somebody speaks of our name: refute what is wrong, and see whether it is another's."""
        if record.uid != self._uid and record.uid:
            return self._of_another(record)
        if record.life != self.life:
            return  # what we were before we took a new life
        if record.status in (SUSPECT, DEAD) and record.revision < self.revision:
            self._stale[self.name] = None
        if record.status == LEFT or (record.status in (SUSPECT, DEAD) and record.revision >= self.revision):
            self.refuted += 1
            if record.status == LEFT:
                return self._new_life(self.life)
            self.revision = record.revision + 1
            if record.status == SUSPECT:
                self.health.worse()
            # Whoever has buried us has let go of our facts too.
            self._tell(self.name, facts=record.status == DEAD)

    def _of_another(self, record: Record) -> None:
        """Another process has, or had, our name."""
        if record.life < self.life:
            if record.status != LEFT:  # a former life's news is about: ours is newer
                self._tell(self.name)
            return
        if record.status in (DEAD, LEFT):
            if self.quiet:
                return self._speak_again(record)
            return self._new_life(record.life)
        if self.quiet:
            return
        if self._rival != record.uid:
            # A former life whose clock was ahead, or another process: who lives will answer.
            self._rival = record.uid
            return self._new_life(record.life)
        self.conflicts += 1
        self.rival = record.address
        if record.uid < self._uid:
            self._yield_to(record)
        else:
            self._note("rival", name=self.name, address=record.address, yields=False)
            self._new_life(record.life)

    def _new_life(self, beyond: int) -> None:
        self.life, self.revision = beyond + LIFE_STEP, 0
        self._bits = bits(self.name, self.life)
        self._tell(self.name)

    def _yield_to(self, record: Record) -> None:
        """The name is an older process's: say nothing under it, and ask later whether it is free."""
        self.quiet = True
        self._note("rival", name=self.name, address=record.address, yields=True)
        self.timer(QUIET_MS, "return")

    def _ask_for_the_name(self) -> None:
        if self.quiet:
            others = [self.view.members[name].address for name in self.view.here.draw(1)] or self._seeds
            if others:
                self.actions.append(api.Exchange(self.rng.choice(others), State(self.head(), [])))
            self.timer(QUIET_MS, "return")

    def _speak_again(self, record: Record | None) -> None:
        self.quiet, self._rival, self.rival = False, 0, ""
        self._note("rival gone", name=self.name)
        self._new_life(record.life if record is not None else self.life)

    # Suspicion and burial

    def no_answer(self, name: str, last: bool, now: float) -> None:
        """A probe of ours found nobody."""
        member = self.view.get(name)
        if member is None or not member.here() or self.quiet:
            return
        if last:
            return self._bury(member, now)
        if self.name in member.accusers:
            return
        self.accused += 1
        record = member.record(facts=False)
        record.status, record.accusers = SUSPECT, [self.name]
        self._take(record, now)

    def answered(self, member: Member, now: float) -> None:
        """It is there, whatever is said: if it is suspected it has to be told, and given its time."""
        if member.status == SUSPECT:
            member.since_ms = now
            self._start_suspicion(member, now)

    def _start_suspicion(self, member: Member, now: float) -> None:
        """Time a suspicion anew, by all that accuse by now."""
        wait = wait_ms(self.alive(), len(member.accusers)) * (1.0 + 0.5 * self.health.score)
        passed = now - member.since_ms
        member.timer = self.timer(max(0.0, wait - passed - CHECK_MS), "suspicion", member.name)
        member.checked = 0

    def _suspicion_ends(self, name: str, token: int, in_time: bool, now: float) -> None:
        member = self.view.get(name)
        if member is None or member.status != SUSPECT or member.timer != token:
            return
        if not in_time or not self.health.sound(now):  # who is late itself buries nobody
            member.since_ms = now
            return self._start_suspicion(member, now)
        # Once more, ourselves: its answer to the suspicion may have passed us by.
        member.checked = self.prober.probe(name, now, last=True)

    def _bury(self, member: Member, now: float) -> None:
        if member.status == SUSPECT:
            self.buried += 1
            record = member.record(facts=False)
            record.status, record.accusers = DEAD, [self.name]
            self._take(record, now)

    # Ourselves

    def _learn(self, facts: dict[str, Fact]) -> None:
        changed = {name: value for name, value in facts.items() if self._facts.get(name) != value}
        if changed:
            self._facts |= changed
            self._version += 1
            self._tell(self.name)

    def _leave(self) -> None:
        """Say that we go, to enough members that it gets about."""
        if self.status != ALIVE:
            return
        self.status = LEFT
        record = self.own_record()
        for name in self.view.here.draw(2 * SPREAD_FULL):
            self.post(self.view.members[name].address, Gossip(self.head(), [record]))
