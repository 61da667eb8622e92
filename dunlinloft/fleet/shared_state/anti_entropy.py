"""Anti-entropy by pull gossip: each process pulls new records from a few partners.

Records are pulled rather than pushed because a response is younger than its request: the puller bounds the
time in transit by its own clock, however long a link delayed a datagram. A process's partners are its
successors in two orders of all names (the same at all processes that see the same members, so each process is
pulled from by two others) and one random member.
"""

from __future__ import annotations

import random

from dunlinloft.fleet.rendezvous import rank
from dunlinloft.fleet.shared_state.messages import Entry, Message, PullRequest, PullResponse, SendMessage
from dunlinloft.fleet.shared_state.store import MAX_CLOCK_DRIFT, Store

PULL_INTERVAL_MS = 200.0  # per partner
MAX_ENTRIES_BYTES = 1150  # for the records of one datagram
ENTRY_OVERHEAD_BYTES = 26  # of a record, besides its content and its writer's name
MAX_RESPONSE_DATAGRAMS = 3  # per request
RANDOM_PARTNER_INTERVAL_MS = 15_000.0  # after which another random partner is chosen
MAX_PENDING_REQUESTS = 8  # per partner


class Partner:
    """A process that is pulled from: the cursor in its log, and its pending requests."""

    __slots__ = ("cursor", "incarnation", "out_of_order", "sent_ms")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.cursor = 0
        self.sent_ms: dict[int, float] = {}  # by request id
        # Responses that overtook earlier ones, by start cursor, with their end cursor; used by the directory.
        self.out_of_order: dict[int, int] = {}


class AntiEntropy:
    """Creates pull requests, responds to those of others, and chooses the partners."""

    def __init__(
        self, store: Store, rng: random.Random, max_response_datagrams: int = MAX_RESPONSE_DATAGRAMS
    ) -> None:
        self._store = store
        self._rng = rng
        self._max_response_datagrams = max_response_datagrams
        self.partners: dict[str, Partner] = {}
        self._alive: dict[str, int] = {}
        self._random_partner = ""
        self._drawn_ms = -RANDOM_PARTNER_INTERVAL_MS
        self._next_index = 0
        # Ids start at a random number, so no request reuses the id of a former incarnation's: a delayed
        # response would match the later request, and its records would seem younger than they are.
        self._request_id = rng.getrandbits(48)

    def set_members(self, alive: dict[str, int], now: float) -> None:
        """Choose partners among the live members, given by name with their incarnations."""
        redraw = now - self._drawn_ms >= RANDOM_PARTNER_INTERVAL_MS
        if alive == self._alive and not redraw:
            return
        if (redraw or self._random_partner not in alive) and alive:
            self._random_partner = self._rng.choice(sorted(alive))
            self._drawn_ms = now
        self._alive = dict(alive)
        names = {self._successor(salt) for salt in ("a", "b")} | {self._random_partner}
        self.partners = {name: self._partner(name, alive[name]) for name in sorted(names) if name in alive}

    def _partner(self, name: str, incarnation: int) -> Partner:
        partner = self.partners.get(name)
        return partner if partner is not None and partner.incarnation == incarnation else Partner(incarnation)

    def _successor(self, salt: str) -> str:
        own = rank(salt, self._store.name)
        ranked = sorted((rank(salt, name), name) for name in self._alive)
        after = [name for rank_, name in ranked if rank_ > own]
        return (after or [name for _, name in ranked] or [""])[0]

    def pull(self, now: float) -> tuple[list[SendMessage], float]:
        """Return a request to the next partner, and the time in ms until the next call."""
        names = list(self.partners)
        if not names:
            return [], PULL_INTERVAL_MS
        self._next_index += 1
        name = names[self._next_index % len(names)]
        partner = self.partners[name]
        self._request_id += 1
        partner.sent_ms[self._request_id] = now
        if len(partner.sent_ms) > MAX_PENDING_REQUESTS:
            del partner.sent_ms[next(iter(partner.sent_ms))]
        delay_ms = PULL_INTERVAL_MS / len(names) * (0.8 + 0.4 * self._rng.random())
        request = PullRequest(self._request_id, partner.incarnation, partner.cursor)
        return [SendMessage(name, request)], delay_ms

    def receive(self, message: Message, sender: str, now: float) -> list[SendMessage]:
        """Respond to a request, or merge the records of a response."""
        if isinstance(message, PullRequest):
            return [SendMessage(sender, response) for response in self._responses(message, sender, now)]
        partner = self.partners.get(sender)
        sent_ms = partner.sent_ms.get(message.request_id) if partner is not None else None
        if partner is None or sent_ms is None or message.incarnation != partner.incarnation:
            self._store.counts["foreign"] += 1
            return []
        for entry in message.entries:
            self._store.merge(entry, now - sent_ms, sender, now)
        self._advance(partner, message)
        return []

    def _advance(self, partner: Partner, response: PullResponse) -> None:
        """Advance the cursor unless an earlier response is missing, which is then requested again."""
        if response.from_cursor <= partner.cursor:
            partner.cursor = max(partner.cursor, response.cursor)

    def _responses(self, request: PullRequest, sender: str, now: float) -> list[PullResponse]:
        store = self._store
        valid = request.incarnation == store.incarnation and request.cursor <= store.sequence
        cursor = request.cursor if valid else 0
        changes = store.changed_after(cursor, sender)
        responses: list[PullResponse] = []
        while changes and len(responses) < self._max_response_datagrams:
            free_bytes = MAX_ENTRIES_BYTES
            entries: list[Entry] = []
            from_cursor = cursor
            while changes:
                kind, writer, record = changes[0]
                free_bytes -= ENTRY_OVERHEAD_BYTES + len(writer) + len(record.data)
                if free_bytes < 0 and entries:
                    break
                age_ms = int((now - record.written_ms) * (1.0 + MAX_CLOCK_DRIFT)) + 1
                entries.append(Entry(kind, writer, record.incarnation, record.version, age_ms, record.data))
                cursor = record.sequence
                del changes[0]
            responses.append(
                PullResponse(request.request_id, store.incarnation, from_cursor, cursor, entries)
            )
        return responses
