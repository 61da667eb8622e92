"""Who is there: one process's membership, fed with events, answering with actions.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (2017) and some of our own; see
`docs/membership.md`.
"""

from __future__ import annotations

import random
from typing import Any

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership import probing
from dunlinloft.fleet.membership.gossip import LONG_QUEUE_LENGTH, DisseminationQueue
from dunlinloft.fleet.membership.health import LocalHealth
from dunlinloft.fleet.membership.member import MAX_SUSPECTED_BY, Member, digest_bits
from dunlinloft.fleet.membership.probing import Prober
from dunlinloft.fleet.membership.suspicion import EXPECTED_CONFIRMERS, suspicion_timeout_ms
from dunlinloft.fleet.membership.view import View
from dunlinloft.fleet.messages import (
    ALIVE,
    DEAD,
    LEFT,
    STATUS_NAMES,
    SUSPECT,
    Ack,
    Gossip,
    Header,
    Message,
    MetadataValue,
    Nack,
    Ping,
    PingRequest,
    Record,
    State,
)

GOSSIP_INTERVAL_MS, GOSSIP_FANOUT, GOSSIP_FANOUT_LONG_QUEUE = (
    100.0,
    3,
    6,
)  # while there is news: how often, to how many, if much
PUSH_PULL_INTERVAL_MS = 30_000.0  # whole views are exchanged so often, with jitter
DIVERGENCE_TOLERANCE_MS, MIN_PUSH_PULL_INTERVAL_MS = (
    1_500.0,
    2_000.0,
)  # a view that differs for so long is exchanged; not sooner again
JOIN_BACKOFF_MS, MAX_JOIN_BACKOFF_MS = 500.0, 4_000.0  # between tries of the seeds while alone, doubling
REJOIN_INTERVAL_MS = 10_000.0  # between tries of seeds that are not in view, among others
DEAD_PROBE_INTERVAL_MS = 1_000.0  # how often one of the dead is asked whether it is, at most
DEAD_PROBES_PER_INTERVAL = 20.0  # that each of the dead gets in that time from all together, about
MAX_CORRECTIONS = 8  # members of whom one message is corrected
FINAL_PROBE_MS = 300.0  # before its burial a suspect is asked by whoever would bury it
NAME_CHECK_INTERVAL_MS = 30_000.0  # who has lost its name to another asks again so much later
INCARNATION_STEP = 1


class Membership:
    """One process among the members of its fleet."""

    def __init__(
        self, name: str, address: str, seeds: list[str], uid: int, incarnation: int, rng: random.Random,
        metadata: dict[str, MetadataValue] | None = None,
    ) -> None:  # fmt: skip
        self.name, self.address, self._seeds, self.rng = name, address, seeds, rng
        self.incarnation, self.revision, self._uid = incarnation, 0, uid
        self._digest_bits = digest_bits(name, incarnation)
        self._metadata, self._metadata_version = dict(metadata or {}), 0
        self.status = ALIVE
        self.view = View(rng)
        self.health = LocalHealth()
        self.prober = Prober(self)
        self._dissemination = DisseminationQueue()
        self.actions: list[api.Action] = []
        self._timers: dict[int, tuple[str, Any, float]] = {}
        self._last_timer_token, self._now = 0, 0.0
        self._has_joined = False
        self._join_backoff_ms = JOIN_BACKOFF_MS / 2.0
        self._members_at_seeds: set[str] = set()  # members found to be at a seed's address
        self._gossip_scheduled = False
        self._outdated_claims: dict[
            str, None
        ] = {}  # of whom the message at hand says ill that is out of date
        self._last_push_pull_ms = -MIN_PUSH_PULL_INTERVAL_MS
        self._conflicting_uid = 0  # the process that had our name when we took a new life because of it
        self.conflicting_address = ""  # its address, once it is sure that it lives
        self.muted = False  # our name is another's: nothing is said under it
        self.refutations = self.name_conflicts = self.suspicions_raised = self.deaths_declared = 0

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self.actions, self._now = [], now
        match event:
            case api.MessageReceived():
                self._receive(event.message, event.source, now)
            case api.TimerFired():
                self._handle_timer(event.token, now)
            case api.PushPullReceived():
                self._handle_push_pull(event.state, event.source, event.requested, now)
            case api.PushPullFailed():
                pass  # the next try is timed already
            case api.StreamProbeAcked():
                self.prober.handle_ack(event.number, event.name, event.incarnation, now, "")
            case api.MetadataUpdated():
                self._update_metadata(event.metadata)
            case api.LeaveRequested():
                self._leave()
            case api.Started():
                self._start()
        return self.actions

    # What others see of it

    def alive_count(self) -> int:
        """How many members are taken to be there, this one too."""
        return len(self.view.alive) + (self.status == ALIVE)

    def digest(self) -> int:
        """Of the names and lives of all that are there: equal where views agree."""
        return self.view.digest ^ (self._digest_bits if self.status == ALIVE and not self.muted else 0)

    def divergence(self, now: float) -> tuple[int, float]:
        """How many members' views differ from this one, and for how long the longest has, in ms."""
        since = [
            m.diverged_since_ms
            for m in self.view.members.values()
            if m.is_alive() and m.diverged_since_ms >= 0.0
        ]
        return len(since), max((now - at for at in since), default=0.0)

    def own_record(self, include_metadata: bool = True) -> Record:
        """What this process says of itself."""
        told = self._metadata if include_metadata else None
        return Record(
            self.name,
            self.incarnation,
            self.revision,
            self.status,
            self._uid,
            self.address,
            self._metadata_version,
            told,
        )

    def state(self) -> State:
        """The whole view."""
        return State(self.header(), [self.own_record(), *self.view.records()])

    def state_for(self, asker: State) -> State:
        """What whoever gives its view over a stream is given back."""
        return self.state()

    def header(self) -> Header:
        """Who speaks."""
        return Header(self.name, self.incarnation, self.revision, self.digest(), self.alive_count())

    # Tools of the parts

    def send_datagram(self, address: str, message: api.AnyMessage) -> None:
        """Send a datagram."""
        if not self.muted and address:
            self.actions.append(api.SendDatagram(address, message))

    def set_timer(self, delay_ms: float, what: str, subject: Any = None) -> int:
        """Have `what` looked at later."""
        self._last_timer_token += 1
        self._timers[self._last_timer_token] = what, subject, self._now + delay_ms
        self.actions.append(api.SetTimer(self._last_timer_token, delay_ms))
        return self._last_timer_token

    def _log(self, event: str, **fields: MetadataValue) -> None:
        self.actions.append(api.LogEvent(event, fields))

    def _disseminate(self, name: str, include_metadata: bool = True) -> None:
        """Spread the word of a member; its facts only where they are new."""
        self._dissemination.add(name, self.alive_count(), include_metadata)
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self.set_timer(GOSSIP_INTERVAL_MS * self.rng.random(), "spread")

    def _record_of(self, name: str, facts: bool) -> Record | None:
        if name == self.name:
            return self.own_record(facts)
        member = self.view.get(name)
        return member.to_record(facts) if member is not None else None

    def piggyback_for(self, member: Member) -> list[Record]:
        """Records to go with a message to a member: first of all what it should answer itself."""
        records = self._dissemination.next_records(self._record_of)
        if member.status != ALIVE and all(record.name != member.name for record in records):
            records.insert(0, member.to_record(include_metadata=False))
        return records

    # Time

    def _handle_timer(self, token: int, now: float) -> None:
        what, subject, due_ms = self._timers.pop(token, ("", None, 0.0))
        in_time = self.health.timer_fired(due_ms, now)
        if self.status != ALIVE:
            return
        match what:
            case "period":
                self._probe_next(now)
            case probing.DIRECT:
                self.prober.handle_direct_timeout(subject, in_time, now)
            case probing.ENDS:
                self.prober.handle_probe_timeout(subject, in_time, now)
            case probing.ERRAND:
                self.prober.handle_indirect_timeout(subject)
            case probing.AGAIN:
                self.prober.handle_resend_timer(subject)
            case probing.FORGET:
                self.prober.drop_indirect(subject)
            case "confirm":
                if subject in self.view.alive:
                    self.prober.probe(subject, now)
            case "spread":
                self._gossip()
            case "suspicion":
                self._handle_suspicion_timeout(subject, token, in_time, now)
            case "join":
                self._rejoin()
            case "exchange":
                self._push_pull_random(now)
                self.set_timer(PUSH_PULL_INTERVAL_MS * (0.5 + self.rng.random()), "exchange")
            case "knock":
                self._probe_dead()
            case "return":
                self._check_name_free()
            case _:
                self._handle_extension_timer(what, now)

    def _handle_extension_timer(self, what: str, now: float) -> None:
        """A timer that is not the membership's own."""

    def _start(self) -> None:
        self._rejoin()
        self.set_timer(probing.PROBE_PERIOD_MS * self.rng.random(), "period")
        self.set_timer(PUSH_PULL_INTERVAL_MS * (0.5 + self.rng.random()), "exchange")
        self.set_timer(DEAD_PROBE_INTERVAL_MS * (0.5 + self.rng.random()), "knock")

    def _probe_next(self, now: float) -> None:
        name = self.prober.next_target()
        if name is not None and not self.muted:
            self.prober.probe(name, now)
        self.set_timer(
            probing.PROBE_PERIOD_MS * self.health.multiplier() * (0.9 + 0.2 * self.rng.random()), "period"
        )

    def _gossip(self) -> None:
        if not len(self._dissemination) or self.muted:
            self._gossip_scheduled = False
            if not len(self._dissemination):
                self._dissemination = (
                    DisseminationQueue()
                )  # an emptied one keeps the room of its longest queue
            return
        count = GOSSIP_FANOUT_LONG_QUEUE if len(self._dissemination) > LONG_QUEUE_LENGTH else GOSSIP_FANOUT
        for name in self.view.alive.sample(count):
            records = self._dissemination.next_records(self._record_of)
            if not records:
                break
            self.send_datagram(self.view.members[name].address, Gossip(self.header(), records))
        self.set_timer(GOSSIP_INTERVAL_MS * (0.8 + 0.4 * self.rng.random()), "spread")

    def _rejoin(self) -> None:
        """Ask a seed that is not in view for its own: soon while alone, now and then later."""
        others = self._unreached_seeds()
        if others and not self.muted:
            self.actions.append(api.PushPull(self.rng.choice(others), self.state()))
        # Whoever is alone may have joined by one that died since; and a few may be an island.
        alone = not len(self.view.alive)
        self._join_backoff_ms = (
            min(MAX_JOIN_BACKOFF_MS, 2.0 * self._join_backoff_ms) if alone else REJOIN_INTERVAL_MS
        )
        self.set_timer(self._join_backoff_ms * (0.5 + self.rng.random()), "join")

    def _unreached_seeds(self) -> list[str]:
        """Seeds that no member we see is at."""
        there = {
            self.view.members[name].address for name in self._members_at_seeds if name in self.view.alive
        }
        absent = [seed for seed in self._seeds if seed != self.address and seed not in there]
        if absent:  # one that has come is known by its address from now on
            found = {m.name for m in self.view.members.values() if m.is_alive() and m.address in absent}
            self._members_at_seeds |= found
            there = {self.view.members[name].address for name in found}
        return [seed for seed in absent if seed not in there]

    def _push_pull_random(self, now: float) -> None:
        for name in self.view.alive.sample(1):
            self._push_pull(self.view.members[name].address, now)

    def _push_pull(self, address: str, now: float) -> None:
        if address and not self.muted:
            self._last_push_pull_ms = now
            self.actions.append(api.PushPull(address, self.state()))

    def _probe_dead(self) -> None:
        """Ask one of the dead whether it is: so parts that were split find each other again."""
        # So often that each of the dead hears of some member many times a second, and not of all.
        often = self.rng.random() * self.alive_count() < DEAD_PROBES_PER_INTERVAL * len(self.view.dead)
        for name in self.view.dead.sample(1) if often else ():
            member = self.view.members[name]
            self.send_datagram(
                member.address, Ping(self.header(), 0, name, [member.to_record(include_metadata=False)])
            )
        self.set_timer(DEAD_PROBE_INTERVAL_MS * (0.5 + self.rng.random()), "knock")

    # Messages

    def _receive(self, message: api.AnyMessage, source: str, now: float) -> None:
        if isinstance(message, Message):
            self._handle_message(message, source, now)

    def _handle_message(self, message: Message, source: str, now: float) -> None:
        if self.status != ALIVE:
            return
        if message.header.name == self.name:
            return  # ourselves by a strange way, or a rival, which records tell better
        self._handle_header(message.header, source, now)
        self._outdated_claims.clear()
        for record in message.records:
            self._merge_record(record, now)
        if self.muted:
            return
        self._correct_outdated(source)
        match message:
            case Ping() if message.target == self.name:
                sender = self.view.get(message.header.name)
                records = self.piggyback_for(sender) if sender is not None else [self.own_record()]
                self.send_datagram(
                    source, Ack(self.header(), message.number, self.name, self.incarnation, records)
                )
            case Ack():
                self.prober.handle_ack(message.number, message.target, message.incarnation, now, source)
            case PingRequest():
                self.prober.handle_ping_request(message, source)
            case Nack():
                self.prober.handle_nack(message.number)

    def _correct_outdated(self, source: str) -> None:
        """Whoever speaks ill of one by old news is told the newer: what it missed may not come again."""
        if self._outdated_claims:
            told = (self._record_of(name, False) for name in list(self._outdated_claims)[:MAX_CORRECTIONS])
            self.send_datagram(
                source, Gossip(self.header(), [record for record in told if record is not None])
            )

    def _handle_header(self, head: Header, source: str, now: float) -> None:
        """What the sender itself is, and whether it sees what we see."""
        member = self.view.get(head.name)
        if (
            member is None
            or head.incarnation > member.incarnation
            or (not member.is_alive() and head.revision > member.revision)
        ):
            # It has joined, or come back, and news of that has not come yet: its own view has it.
            if now - self._last_push_pull_ms > MIN_PUSH_PULL_INTERVAL_MS:
                self._push_pull(source, now)
            return
        if member.incarnation != head.incarnation:
            return
        if not member.is_alive():  # it does not know that it is buried
            if member.status == DEAD and now - member.status_since_ms > GOSSIP_INTERVAL_MS:
                self.send_datagram(source, Gossip(self.header(), [member.to_record(include_metadata=False)]))
            return
        member.view_digest = head.digest
        if head.digest == self.digest():
            member.diverged_since_ms = -1.0
        elif member.diverged_since_ms < 0.0:
            member.diverged_since_ms = now
        elif (
            now - member.diverged_since_ms > DIVERGENCE_TOLERANCE_MS
            and now - self._last_push_pull_ms > MIN_PUSH_PULL_INTERVAL_MS * self._push_pull_jitter()
        ):
            self._push_pull(source, now)

    def _push_pull_jitter(self) -> float:
        return 0.5 + self.rng.random()

    def _handle_push_pull(self, state: State, source: str, asked: bool, now: float) -> None:
        """A whole view has come."""
        if self.status != ALIVE:
            return
        if asked and not self._has_joined:
            self._has_joined = True
            self._disseminate(self.name)
        for record in state.records:
            self._merge_record(record, now)
        if self.muted and asked and all(record.name != self.name for record in state.records):
            self._unmute(None)

    # Records

    def _merge_record(self, record: Record, now: float) -> None:
        if not 0 <= record.status <= LEFT:
            return
        if record.name == self.name:
            return self._handle_own_record(record)
        record = self._death_as_suspicion(record, now)
        member, change = self.view.merge(record, now)
        if not change:
            if record.status in (SUSPECT, DEAD) and record.precedence() < member.precedence():
                self._outdated_claims[record.name] = None
            if member.status == SUSPECT and not member.suspicion_timer:
                self._start_suspicion(member, now)
            return
        self._disseminate(
            record.name, include_metadata=change in (api.MemberChange.JOINED, api.MemberChange.METADATA)
        )
        self._record_changed(member, change, now)

    def _death_as_suspicion(self, record: Record, now: float) -> Record:
        """What is said of a death, as it is believed: of one that was well just now, a suspicion.

        Its time to answer begins with us. Else the two sides of a healed split would bury for a moment
        whom only the other side could not reach.
        """
        member = self.view.get(record.name)
        if (
            record.status != DEAD
            or member is None
            or not member.is_alive()
            or member.incarnation != record.incarnation
        ):
            return record
        if record.revision < member.revision or record.suspected_by == [self.name]:
            return record
        least = suspicion_timeout_ms(self.alive_count(), MAX_SUSPECTED_BY)
        if member.status == SUSPECT and now - member.status_since_ms >= least:
            return record
        doubted = member.to_record(include_metadata=False)
        doubted.status, doubted.revision = SUSPECT, record.revision
        doubted.suspected_by = doubted.suspected_by or record.suspected_by or [record.name]
        return doubted

    def _record_changed(self, member: Member, change: api.MemberChange, now: float) -> None:
        if member.status == SUSPECT:
            first = not member.suspicion_timer
            self._start_suspicion(member, now)
            if first and change is api.MemberChange.SUSPECT and self.name not in member.suspected_by:
                self._maybe_confirm(member)
        if change is api.MemberChange.SUSPECTED_BY_MORE:
            return
        self.actions.append(api.MemberChanged(member.name, change))
        if change is not api.MemberChange.METADATA:
            self._log(
                "member", name=member.name, status=STATUS_NAMES[member.status], life=member.incarnation,
                revision=member.revision, by=",".join(member.suspected_by),
            )  # fmt: skip
        if change in (api.MemberChange.DEAD, api.MemberChange.LEFT):
            self.view.expire(now)

    def _maybe_confirm(self, member: Member) -> None:
        """Look for ourselves, with such a chance that a few members do."""
        if self.rng.random() * self.alive_count() < EXPECTED_CONFIRMERS:
            self.set_timer(probing.PROBE_PERIOD_MS * 0.2 * self.rng.random(), "confirm", member.name)

    def _handle_own_record(self, record: Record) -> None:
        """Somebody speaks of our name: refute what is wrong, and see whether it is another's."""
        if record.uid != self._uid and record.uid:
            return self._handle_conflicting_record(record)
        if record.incarnation != self.incarnation:
            return  # what we were before we took a new life
        if record.status in (SUSPECT, DEAD) and record.revision < self.revision:
            self._outdated_claims[self.name] = None
        if record.status == LEFT or (record.status in (SUSPECT, DEAD) and record.revision >= self.revision):
            self.refutations += 1
            if record.status == LEFT:
                return self._start_incarnation(self.incarnation)
            self.revision = record.revision + 1
            if record.status == SUSPECT:
                self.health.degrade()
            # Whoever has buried us has let go of our facts too.
            self._disseminate(self.name, include_metadata=record.status == DEAD)

    def _handle_conflicting_record(self, record: Record) -> None:
        """Another process has, or had, our name."""
        if record.incarnation < self.incarnation:
            if record.status != LEFT:  # a former life's news is about: ours is newer
                self._disseminate(self.name)
            return
        if record.status in (DEAD, LEFT):
            if self.muted:
                return self._unmute(record)
            return self._start_incarnation(record.incarnation)
        if self.muted:
            return
        if self._conflicting_uid != record.uid:
            # A former life whose clock was ahead, or another process: who lives will answer.
            self._conflicting_uid = record.uid
            return self._start_incarnation(record.incarnation)
        self.name_conflicts += 1
        self.conflicting_address = record.address
        if record.uid < self._uid:
            self._mute_for(record)
        else:
            self._log("rival", name=self.name, address=record.address, yields=False)
            self._start_incarnation(record.incarnation)

    def _start_incarnation(self, beyond: int) -> None:
        self.incarnation, self.revision = beyond + INCARNATION_STEP, 0
        self._digest_bits = digest_bits(self.name, self.incarnation)
        self._disseminate(self.name)

    def _mute_for(self, record: Record) -> None:
        """The name is an older process's: say nothing under it, and ask later whether it is free."""
        self.muted = True
        self._log("rival", name=self.name, address=record.address, yields=True)
        self.set_timer(NAME_CHECK_INTERVAL_MS, "return")

    def _check_name_free(self) -> None:
        if self.muted:
            others = [self.view.members[name].address for name in self.view.alive.sample(1)] or self._seeds
            if others:
                self.actions.append(api.PushPull(self.rng.choice(others), State(self.header(), [])))
            self.set_timer(NAME_CHECK_INTERVAL_MS, "return")

    def _unmute(self, record: Record | None) -> None:
        self.muted, self._conflicting_uid, self.conflicting_address = False, 0, ""
        self._log("rival gone", name=self.name)
        self._start_incarnation(record.incarnation if record is not None else self.incarnation)

    # Suspicion and burial

    def probe_failed(self, name: str, last: bool, now: float) -> None:
        """A probe of ours found nobody."""
        member = self.view.get(name)
        if member is None or not member.is_alive() or self.muted:
            return
        if last:
            return self._declare_dead(member, now)
        if self.name in member.suspected_by:
            return
        self.suspicions_raised += 1
        record = member.to_record(include_metadata=False)
        record.status, record.suspected_by = SUSPECT, [self.name]
        self._merge_record(record, now)

    def probe_acked(self, member: Member, now: float) -> None:
        """It is there, whatever is said: if it is suspected it has to be told, and given its time."""
        if member.status == SUSPECT:
            member.status_since_ms = now
            self._start_suspicion(member, now)

    def _start_suspicion(self, member: Member, now: float) -> None:
        """Time a suspicion anew, by all that accuse by now."""
        wait = suspicion_timeout_ms(self.alive_count(), len(member.suspected_by)) * (
            1.0 + 0.5 * self.health.score
        )
        passed = now - member.status_since_ms
        member.suspicion_timer = self.set_timer(
            max(0.0, wait - passed - FINAL_PROBE_MS), "suspicion", member.name
        )
        member.final_probe = 0

    def _handle_suspicion_timeout(self, name: str, token: int, in_time: bool, now: float) -> None:
        member = self.view.get(name)
        if member is None or member.status != SUSPECT or member.suspicion_timer != token:
            return
        if not in_time or not self.health.is_reliable(now):  # who is late itself buries nobody
            member.status_since_ms = now
            return self._start_suspicion(member, now)
        # Once more, ourselves: its answer to the suspicion may have passed us by.
        member.final_probe = self.prober.probe(name, now, is_final=True)

    def _declare_dead(self, member: Member, now: float) -> None:
        if member.status == SUSPECT:
            self.deaths_declared += 1
            record = member.to_record(include_metadata=False)
            record.status, record.suspected_by = DEAD, [self.name]
            self._merge_record(record, now)

    # Ourselves

    def _update_metadata(self, facts: dict[str, MetadataValue]) -> None:
        changed = {name: value for name, value in facts.items() if self._metadata.get(name) != value}
        if changed:
            self._metadata |= changed
            self._metadata_version += 1
            self._disseminate(self.name)

    def _leave(self) -> None:
        """Say that we go, to enough members that it gets about."""
        if self.status != ALIVE:
            return
        self.status = LEFT
        record = self.own_record()
        for name in self.view.alive.sample(2 * GOSSIP_FANOUT_LONG_QUEUE):
            self.send_datagram(self.view.members[name].address, Gossip(self.header(), [record]))
