"""One process's part in the state that all share: told what happens here, it says what follows from it.

It joins the store, how it spreads, and what is shared: verdicts on servers, limits, affinity. Which of
these are in use the configuration says; the others cost nothing.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterator

from dunlinloft.fleet.releases.follower import ReleaseFollower
from dunlinloft.fleet.releases.messages import NO_ORDER, Order, Tally
from dunlinloft.fleet.shared_state import limits, verdicts
from dunlinloft.fleet.shared_state.affinity import FRESH_MS, Affinity, Place, Voices
from dunlinloft.fleet.shared_state.limits import Limits, retry_share
from dunlinloft.fleet.shared_state.messages import (
    BINDINGS,
    FINDINGS,
    ORDERS,
    PULSE,
    RELEASE,
    TALLY,
    Action,
    Asked,
    Bindings,
    Cap,
    Ended,
    Event,
    Findings,
    Heard,
    Known,
    Ordered,
    Orders,
    Part,
    Pulse,
    Seen,
    SetTimer,
    Steer,
    TimerFired,
    Verdict,
    Warn,
    encode,
)
from dunlinloft.fleet.shared_state.spread import Spread
from dunlinloft.fleet.shared_state.store import DRIFT, Store
from dunlinloft.fleet.shared_state.verdicts import Pool
from dunlinloft.fleet.shared_state.witness import Witness

VERDICTS, LIMITS, AFFINITY, RELEASES = "verdicts", "limits", "affinity", "releases"
PARTS = (VERDICTS, LIMITS, AFFINITY, RELEASES)
LOOK_MS = 250.0  # how often it is looked at what follows from what is held
PULSE_MS = 750.0  # how often each says how it is, whether anything changed or not
FINDINGS_MS = 400.0  # how often findings are told, while there are any
TALLY_MS = 750.0  # how often each tells its counts while a release goes on
CHANGED = 0.02  # of a part, from which the node is told
PULL, LOOK = "pull", "look"


def mark(text: str) -> int:
    """A class by two bytes; 0 is kept for all classes."""
    return 1 + zlib.crc32(text.encode()) % 65535


class Shared:
    """All that is shared, as one process has it."""

    def __init__(
        self, name: str, life: int, zone: str, tier: int, parts: frozenset[str], quotas: dict[str, float],
        groups: list[str], window_ms: float, rng: random.Random, now: float,
    ) -> None:  # fmt: skip
        self.name, self.zone, self.tier, self.parts, self._rng = name, zone, tier, parts, rng
        self.store = Store(name, life)
        self.spread = Spread(self.store, rng)
        self.witness = Witness()
        self.pool = Pool(zone, tier, rng)
        self.limits = Limits(name, quotas, now)
        self.affinity = Affinity(groups, window_ms)
        self.follower = ReleaseFollower(tier)
        self._tallied_ms = self._steered_ms = -1e18
        self.seen = Seen(life, {}, frozenset((name,)), 1)
        self._known = Known({}, frozenset(), {}, 0.0, 0.0)
        self._timers: dict[int, str] = {}
        self._token = 0
        self._quotas = dict(quotas)
        self.orders: dict[str, float] = {}  # operators' limits, by tenant, and the token they came with
        self.orders_token = 0
        self._looked_ms = self._pulsed_ms = self._found_ms = -1e18
        self._read: dict[str, tuple[int, int]] = {}  # bindings that were taken in, by writer
        self._speaks = False  # findings were told, and not yet that there are none
        self.verdicts: list[Verdict] = []
        self.part = Part({}, 1.0, True)
        self._told_part = self.part

    def begin(self) -> list[Action]:
        """The process is up."""
        return [
            self._timer(PULL, 100.0 * self._rng.random()),
            self._timer(LOOK, LOOK_MS * self._rng.random()),
        ]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; what to do about it."""
        match event:
            case Ended():
                if RELEASES in self.parts:
                    self.follower.attempt_completed(event.server, mark(event.cls), event.how, event.ms)
                if VERDICTS in self.parts and event.how != "full":
                    self.witness.ended(event.server, mark(event.cls), event.how, event.ms, now)
            case Asked():
                self.limits.asked(event.tenant, now)
            case Heard():
                return [*self.spread.hear(event.message, event.sender, now)]
            case TimerFired():
                return self._fired(event.token, now)
            case Ordered():
                self._tell_orders(event, now)
            case Steer():
                return self._steer(event.order, now)
            case Known():
                self._known = event
                if RELEASES in self.parts:
                    self.follower.set_servers(event.servers)
                self.witness.known(event.starts, event.silent, now)
            case Seen():
                self.seen = event
                self.store.reborn(event.life)
                self.store.seen(event.here)
                self.spread.seen(event.here, now)
        return []

    def place(self, key: int, again: bool, now: float) -> Place:
        """Where a keyed request goes: asked before it is begun, and answered from memory."""
        return self.affinity.place(key, again, now)

    def _timer(self, what: str, delay_ms: float) -> SetTimer:
        self._token += 1
        self._timers[self._token] = what
        return SetTimer(self._token, delay_ms)

    def _fired(self, token: int, now: float) -> list[Action]:
        what = self._timers.pop(token, "")
        if what == PULL:
            tells, wait = self.spread.pull(now)
            return [*tells, self._timer(PULL, wait)]
        if what == LOOK:
            actions = self._look(now)
            self._looked_ms = now
            return [*actions, self._timer(LOOK, LOOK_MS * (0.9 + 0.2 * self._rng.random()))]
        return []

    def know(self, quotas: dict[str, float]) -> None:
        """The file's quotas are these now; what operators have set goes before them."""
        self._quotas = dict(quotas)
        self.limits.quotas = self._quotas | {t: q for t, q in self.orders.items() if t in self._quotas}

    def _tell_orders(self, event: Ordered, now: float) -> None:
        says = Orders(event.token, event.limits)
        held = self.store.get(ORDERS, self.name)
        if (event.token, event.limits) != (self.orders_token, self.orders) or held is None:
            self.store.write(ORDERS, encode(says), says, now)
            self._obey(says)

    def _obey(self, says: Orders) -> None:
        """What the holder of the greatest token says; what it said stays in force when it is gone."""
        if says.token >= self.orders_token:
            self.orders_token, self.orders = says.token, dict(says.limits)
            self.know(self._quotas)

    # Releases

    def _steer(self, order: Order, now: float) -> list[Action]:
        """Tell all an order of this process's, again and again: its age shows that the steward is there."""
        if order != self.follower.order or now - self._steered_ms >= PULSE_MS:
            self._steered_ms = now
            self.store.write(RELEASE, encode(order), order, now)
        return self._follow(order, 0.0, now)

    def _follow(self, order: Order, age_ms: float, now: float) -> list[Action]:
        self.follower.apply_order(order, age_ms, now)
        if not self.follower.new_servers_changed:
            return []
        self.follower.new_servers_changed = False
        self._tallied_ms = -1e18  # who obeys says so at once
        return [Cap(self.follower.new_servers(), self.follower.order.share)]

    def _release(self, now: float) -> list[Action]:
        """Obey the greatest order that is to be had: from its steward, or from whoever obeys it."""
        best, age = NO_ORDER, 0.0
        for _, held in self.store.others(RELEASE):
            if isinstance(held.content, Order) and held.content.version() >= best.version():
                best, age = held.content, held.age_ms(now)
        for _, held in self.store.others(TALLY):
            if isinstance(held.content, Tally) and held.content.order.version() > best.version():
                best, age = held.content.order, 1e18
        actions = self._follow(best, age, now)
        if self.follower.order.release_id and now - self._tallied_ms >= TALLY_MS:
            self._tallied_ms = now
            says = self.follower.tally()
            self.store.write(TALLY, encode(says), says, now)
        return actions

    # Looking

    def _look(self, now: float) -> list[Action]:
        pulses = [
            (writer, held.age_ms(now), held.content)
            for writer, held in self.store.read(PULSE, max(limits.BOUND_MS, FRESH_MS), now)
            if isinstance(held.content, Pulse)
        ]
        for _, held in self.store.others(ORDERS):
            if isinstance(held.content, Orders):
                self._obey(held.content)
        actions: list[Action] = []
        if AFFINITY in self.parts:
            self._bind(pulses, now)
        self._pulse(now)
        if LIMITS in self.parts:
            actions += self._limit(pulses, now)
        if VERDICTS in self.parts:
            actions += self._warn(now)
        if RELEASES in self.parts:
            actions += self._release(now)
        return actions

    def _bind(self, pulses: list[tuple[str, float, Pulse]], now: float) -> None:
        """Take in what others bind, then decide what may be bound here."""
        own, counted = self.affinity, self.seen.counted
        self._read = {writer: read for writer, read in self._read.items() if writer in self.seen.here}
        for writer, held in self.store.others(BINDINGS):
            if self._read.get(writer) == (held.life, held.version):
                continue
            if isinstance(held.content, Bindings):
                self._read[writer] = held.life, held.version
                own.told(writer, held.life, held.content, now)
        fresh, acks = [], []
        for writer, age, pulse in pulses:
            knows = False
            for name, life, epoch, there in pulse.heard:
                if (name, life) != (self.name, self.store.life):  # a former life of ours is another
                    own.mentioned(name, life, epoch, now)
                else:
                    knows = epoch == own.epoch and there
            if writer in counted and age <= FRESH_MS:
                ends = now + (FRESH_MS - age) / (1.0 + DRIFT)
                fresh.append(ends)
                if knows:
                    acks.append(ends)
        voices = Voices(fresh, acks, self.seen.base)
        says = own.look(self._known.groups, voices, self.seen.here, now)
        if says is not None:
            self.store.write(BINDINGS, encode(says), says, now)

    def _pulse(self, now: float) -> None:
        if now - self._pulsed_ms < PULSE_MS or not self.parts & {LIMITS, AFFINITY}:
            return
        self._pulsed_ms = now
        demand = self.limits.demand(now) if LIMITS in self.parts else {}
        heard = self.affinity.heard(self.seen.here) if AFFINITY in self.parts else []
        allowed, tuned = round(self._known.allowed, 1), round(self._known.tuned, 1)
        pulse = Pulse(self.zone, self.tier, demand, allowed, tuned, heard)
        self.store.write(PULSE, encode(pulse), pulse, now)

    def _limit(self, pulses: list[tuple[str, float, Pulse]], now: float) -> list[Action]:
        peers = [
            (writer, pulse)
            for writer, age, pulse in pulses
            if age <= limits.BOUND_MS and pulse.tier == self.tier
        ]
        fresh = self.limits.hear(peers, now)
        quotas = self.limits.parts(self.seen.counted, self.seen.base, fresh, now)
        share = retry_share(pulse for _, pulse in peers)
        self.part = Part(quotas, round(share, 2), self.limits.fallback)
        told = self._told_part
        moved = any(abs(q - told.quotas.get(t, 0.0)) > CHANGED * q for t, q in quotas.items())
        if not moved and abs(share - told.retry_share) <= CHANGED:
            return []
        self._told_part = self.part
        return [self.part]

    def _warn(self, now: float) -> list[Action]:
        own = self.witness.findings(self.zone, self.tier, self.seen.health, now)
        if now - self._found_ms >= FINDINGS_MS and (own is not None or self._speaks):
            self._found_ms, self._speaks = now, own is not None
            says = own or Findings(self.zone, self.tier, 0, 0, 0, [])
            self.store.write(FINDINGS, encode(says), says, now)
        told = [*self._findings(now)]
        if own is not None:
            told.append((self.name, 0.0, own))
        passed = min(1_000.0, now - self._looked_ms)
        before, self.verdicts = self.verdicts, self.pool.look(told, self._known.starts, passed, now)
        self.pool.forget(now)
        self.witness.doubted = self.pool.doubted
        trials = any(verdict.trial for verdict in self.verdicts)
        return [Warn(self.verdicts)] if trials or before != self.verdicts else []

    def _findings(self, now: float) -> Iterator[tuple[str, float, Findings]]:
        for writer, held in self.store.read(FINDINGS, verdicts.BOUND_MS, now):
            if isinstance(held.content, Findings):
                yield writer, held.age_ms(now), held.content
