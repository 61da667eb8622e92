"""How records get about: each process pulls from a few others what is new with them.

Pulled, not pushed: an answer is younger than its question, so what a record was on its way for is bounded
by the puller's own clock, however long a link held it back. Partners are the next ones in two orders of
all names (the same at all that see the same members, so everybody is pulled from by two) and one by chance.
"""

from __future__ import annotations

import random

from dunlinloft.fleet.rendezvous import rank
from dunlinloft.fleet.shared_state.messages import Entry, Message, Pour, Pull, Tell
from dunlinloft.fleet.shared_state.store import DRIFT, Store

PULL_MS = 200.0  # each partner is asked so often
ROOM = 1150  # bytes of a datagram that records may take
ENTRY_BYTES = 26
MOST_POURS = 3  # datagrams that answer one question
REDRAW_MS = 15_000.0  # the partner by chance changes so often
KEPT = 8  # questions to one partner that may still be answered


class Partner:
    """One that is pulled from."""

    __slots__ = ("ahead", "cursor", "life", "sent")

    def __init__(self, life: int) -> None:
        self.life, self.cursor = life, 0
        self.sent: dict[int, float] = {}  # when each question was asked
        self.ahead: dict[int, int] = {}  # pieces of answers that overtook others: from where to where


class Spread:
    """Pulls, answers, and knows from whom."""

    def __init__(self, store: Store, rng: random.Random, most_pours: int = MOST_POURS) -> None:
        self._store, self._rng, self._most_pours = store, rng, most_pours
        self.partners: dict[str, Partner] = {}
        self._here: dict[str, int] = {}
        self._chance, self._drawn_ms = "", -REDRAW_MS
        self._turn = 0
        # No question has the number of an earlier one, nor of one that a former life asked: an answer that
        # was held back would pass for one to the later question, and what it brings for younger than it is.
        self._asked = rng.getrandbits(48)

    def seen(self, here: dict[str, int], now: float) -> None:
        """These are there, with these lives."""
        redraw = now - self._drawn_ms >= REDRAW_MS
        if here == self._here and not redraw:
            return
        if (redraw or self._chance not in here) and here:
            self._chance, self._drawn_ms = self._rng.choice(sorted(here)), now
        self._here = dict(here)
        wanted = {self._next(salt) for salt in ("a", "b")} | {self._chance}
        self.partners = {
            name: self._keep(name, here[name]) for name in sorted(wanted) if name in here
        }  # fmt: skip

    def _keep(self, name: str, life: int) -> Partner:
        partner = self.partners.get(name)
        return partner if partner is not None and partner.life == life else Partner(life)

    def _next(self, salt: str) -> str:
        own = rank(salt, self._store.name)
        places = sorted((rank(salt, name), name) for name in self._here)
        after = [name for place, name in places if place > own]
        return (after or [name for _, name in places] or [""])[0]

    def pull(self, now: float) -> tuple[list[Tell], float]:
        """Ask one partner; and how long until the next is to be asked."""
        names = list(self.partners)
        if not names:
            return [], PULL_MS
        self._turn += 1
        name = names[self._turn % len(names)]
        partner = self.partners[name]
        self._asked += 1
        partner.sent[self._asked] = now
        if len(partner.sent) > KEPT:
            del partner.sent[next(iter(partner.sent))]
        wait = PULL_MS / len(names) * (0.8 + 0.4 * self._rng.random())
        return [Tell(name, Pull(self._asked, partner.life, partner.cursor))], wait

    def hear(self, message: Message, sender: str, now: float) -> list[Tell]:
        """A question, which is answered, or an answer."""
        if isinstance(message, Pull):
            return [Tell(sender, pour) for pour in self._answers(message, sender, now)]
        partner = self.partners.get(sender)
        asked = partner.sent.get(message.number) if partner is not None else None
        if partner is None or asked is None or message.life != partner.life:
            self._store.counts["foreign"] += 1
            return []
        for entry in message.entries:
            self._store.take(entry, now - asked, sender, now)
        self._advance(partner, message)
        return []

    def _advance(self, partner: Partner, pour: Pour) -> None:
        """Ask from there on next time; where a piece before this one is missing, for that again."""
        if pour.since <= partner.cursor:
            partner.cursor = max(partner.cursor, pour.cursor)

    def _answers(self, message: Pull, sender: str, now: float) -> list[Pour]:
        store = self._store
        cursor = message.cursor if message.life == store.life and message.cursor <= store.seq else 0
        news = store.since(cursor, sender)
        pours: list[Pour] = []
        while news and len(pours) < self._most_pours:
            room, entries, since = ROOM, list[Entry](), cursor
            while news:
                kind, writer, seq, held = news[0]
                room -= ENTRY_BYTES + len(writer) + len(held.data)
                if room < 0 and entries:
                    break
                age = int((now - held.born_ms) * (1.0 + DRIFT)) + 1
                entries.append(Entry(kind, writer, held.life, held.version, age, held.data))
                cursor = seq
                del news[0]
            pours.append(Pour(message.number, store.life, since, cursor, entries))
        return pours
