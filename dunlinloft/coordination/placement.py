"""Which server a request goes to, seen from one place for a whole service.

A node knows only what it sent itself; of a service whose requests come through many nodes that says little of
what a server has to read. So each service has one owner among the control planes, by rendezvous hashing,
that is told of each request before it is sent and when it ends. It only advises: a node that gets no answer
in time picks by itself, and two owners at once do no harm.

The advice: the servers on which a request would wait for the fewest prompt tokens, its own unread ones and
what it would hold up there counted in; among those about as good, smooth weighted rotation by free places.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from dunlinloft.balancer.logic import Rotation
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.fleet.rendezvous import rank

LONG_TOKENS = 1_024  # of a prompt, from which it holds up what runs beside it
HELD_UP_SHARE = 0.15  # of its unread tokens that a long prompt counts for each short one that it holds up
RECENT_MS = 3_000.0  # time constant of what a server had to read of late
RECENT_SHARE = 0.25  # of that which a short prompt expects to be held up by
NEAR_SHARE, NEAR_TOKENS = 0.15, 400.0  # how much worse than the best still takes part in the rotation
AGAIN_X = 4.0  # times its tokens that a shared part counts where it would be read again soon
HOME_SHARE = 0.5  # of its shared tokens, by which a prompt's home is preferred
KEPT_SHARE = 0.7  # of a server's memory that is taken to hold parts of prompts
KEPT_TOKENS = 200_000  # tokens of memory, where the configuration says nothing
FULL_COST = 1e6  # of a server without a free place, in tokens
FAILED_COST = 1e5  # of one that has just failed
FAILED_MS = 1_000.0
USED_MOST = 100_000  # shared parts whose last use is known
TICKETS_MOST = 100_000  # out at once that are counted

TicketId = tuple[int, int]  # the stream that it came on, and its number there


def owner_of_service(service: str, addresses: Collection[str]) -> str | None:
    """The control plane that advises on a service."""
    return max(addresses, key=lambda address: rank(f"placement/{service}", address), default=None)


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a request needs."""

    parts: tuple[tuple[str, int], ...]  # of its prompt, in order: name and tokens
    answer_tokens: int
    patient: bool = False  # takes no server without a free place

    @property
    def shared_part(self) -> tuple[str, int] | None:
        """The last part that others share, and the tokens up to its end."""
        if len(self.parts) < 2:
            return None
        return self.parts[-2][0], sum(tokens for _, tokens in self.parts[:-1])

    @property
    def prompt_tokens(self) -> int:
        """All of its prompt."""
        return sum(tokens for _, tokens in self.parts)


@dataclass(slots=True, eq=False)
class _Ticket:
    """A request that is out."""

    server: _Load
    unread: float  # prompt tokens to be read for it, until its first word
    held: int  # tokens of memory
    short: bool


@dataclass(slots=True, eq=False)
class _Load:
    """One server."""

    record: ServerRecord
    memory: int
    turn: float | None = None
    out: int = 0
    short: int = 0  # of those out, with short prompts
    unread: float = 0.0
    held: int = 0
    recent: float = 0.0  # tokens that it had to read, fading
    recent_ms: float = 0.0
    failed_ms: float = -math.inf
    kept: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    kept_tokens: int = 0

    def recently(self, now_ms: float) -> float:
        """What it had to read of late."""
        return self.recent * math.exp((self.recent_ms - now_ms) / RECENT_MS)

    def add_recent(self, tokens: float, now_ms: float) -> None:
        """It has to read more."""
        self.recent = self.recently(now_ms) + tokens
        self.recent_ms = now_ms

    def kept_parts(self, keys: list[tuple[bytes, int]]) -> int:
        """How many of a prompt's first parts it keeps."""
        for place, (key, _) in enumerate(keys):
            if key not in self.kept:
                return place
        return len(keys)

    def unkept(self, keys: list[tuple[bytes, int]]) -> int:
        """Tokens of a prompt that it would have to read."""
        return sum(tokens for _, tokens in keys[self.kept_parts(keys) :])

    def keep(self, keys: list[tuple[bytes, int]]) -> None:
        """It reads a prompt: its parts are kept, and those unused for longest give way."""
        for key, tokens in keys:
            if key in self.kept:
                self.kept.move_to_end(key)
            else:
                self.kept[key] = tokens
                self.kept_tokens += tokens
        while self.kept_tokens > KEPT_SHARE * self.memory and self.kept:
            _, tokens = self.kept.popitem(last=False)
            self.kept_tokens -= tokens


def _path_keys(parts: tuple[tuple[str, int], ...]) -> list[tuple[bytes, int]]:
    """A key for each part together with all before it, as a part is kept for what precedes it alone."""
    keys = []
    path = hashlib.blake2b(digest_size=8)
    for name, tokens in parts:
        path.update(f"{name}:{tokens},".encode())
        keys.append((path.digest(), tokens))
    return keys


class ServicePlacement:
    """The servers of one service and what is out at them."""

    def __init__(self, rng: random.Random) -> None:
        self.memory = KEPT_TOKENS
        self.again_ms = 0.0  # so long after its last use, reading a shared part again is a waste
        self._used_ms: OrderedDict[bytes, float] = OrderedDict()  # when shared parts were last used
        self._loads: dict[str, _Load] = {}
        self._tickets: dict[TicketId, _Ticket] = {}
        self._rotation = Rotation(rng)

    def set_memory(self, tokens: int) -> None:
        """How many tokens each server has memory for."""
        self.memory = tokens
        for load in self._loads.values():
            load.memory = tokens

    def follow(self, records: Iterable[ServerRecord]) -> None:
        """The servers that there are now."""
        current = {record.id: record for record in records}
        for server_id in self._loads.keys() - current.keys():
            del self._loads[server_id]
        for server_id, record in current.items():
            load = self._loads.get(server_id)
            if load is None:
                self._loads[server_id] = _Load(record, self.memory)
            else:
                load.record = record

    def place(
        self, ticket: TicketId, needs: PlacementRequest, avoided: Collection[str], now_ms: float
    ) -> str | None:
        """The id of the server that a request should go to; it counts as out there from now on."""
        loads = [
            load
            for load in self._loads.values()
            if not load.record.draining and load.record.id not in avoided
        ]
        if not loads or len(self._tickets) >= TICKETS_MOST:
            return None
        keys = _path_keys(needs.parts)
        total = needs.prompt_tokens
        fresh = self._fresh(keys, now_ms)
        costs = [self._cost(load, keys, fresh, total, needs.answer_tokens, now_ms) for load in loads]
        shared = needs.shared_part
        if shared is not None:
            # The same at every owner and node: after a change of owner parts are where they were.
            home = max(range(len(loads)), key=lambda place: rank(shared[0], loads[place].record.id))
            costs[home] -= HOME_SHARE * shared[1]
        least = min(costs)
        if needs.patient and least >= FULL_COST / 2.0:
            return None
        bound = least + NEAR_SHARE * abs(least) + NEAR_TOKENS
        near = [load for load, cost in zip(loads, costs, strict=True) if cost <= bound]
        load = self._rotation.pick((load, max(1.0, load.record.capacity - load.out)) for load in near)
        assert load is not None
        self._take(ticket, load, keys, total, needs.answer_tokens, now_ms)
        return load.record.id

    def chosen(self, ticket: TicketId, needs: PlacementRequest, server_id: str, now_ms: float) -> None:
        """A node sent a request to a server without advice: it counts as out there all the same."""
        load = self._loads.get(server_id)
        if load is None or len(self._tickets) >= TICKETS_MOST:
            return
        keys = _path_keys(needs.parts)
        self._fresh(keys, now_ms)
        self._take(ticket, load, keys, needs.prompt_tokens, needs.answer_tokens, now_ms)

    def _cost(
        self,
        load: _Load,
        keys: list[tuple[bytes, int]],
        fresh: int,
        total: int,
        answer_tokens: int,
        now_ms: float,
    ) -> float:
        """What a request would wait for at a server, and waste there, in prompt tokens.

        The first `fresh` parts of its prompt were used a moment ago somewhere.
        """
        unread = load.unkept(keys)
        again = sum(tokens for _, tokens in keys[load.kept_parts(keys) : fresh])
        cost = load.unread + unread + (AGAIN_X - 1.0) * again
        if total < LONG_TOKENS:
            cost += RECENT_SHARE * load.recently(now_ms)
        else:
            cost += HELD_UP_SHARE * unread * load.short
        if not total:
            cost += NEAR_TOKENS * 2.0 * load.out
        if load.out >= load.record.capacity or load.held + total + answer_tokens > load.memory:
            cost += FULL_COST * (1.0 + load.out / max(1, load.record.capacity))
        if now_ms - load.failed_ms < FAILED_MS:
            cost += FAILED_COST
        return cost

    def _fresh(self, keys: list[tuple[bytes, int]], now_ms: float) -> int:
        """How many of a prompt's first shared parts were used a moment ago; notes their use."""
        fresh = 0
        for place, (key, _) in enumerate(keys[:-1]):
            used_ms = self._used_ms.get(key)
            if used_ms is not None and now_ms - used_ms <= self.again_ms:
                fresh = place + 1
            self._used_ms[key] = now_ms
            self._used_ms.move_to_end(key)
        while len(self._used_ms) > USED_MOST:
            self._used_ms.popitem(last=False)
        return fresh

    def _take(
        self,
        ticket_id: TicketId,
        load: _Load,
        keys: list[tuple[bytes, int]],
        total: int,
        answer_tokens: int,
        now_ms: float,
    ) -> None:
        unread = load.unkept(keys)
        ticket = _Ticket(load, unread, total + answer_tokens, 0 < total < LONG_TOKENS)
        self._tickets[ticket_id] = ticket
        load.out += 1
        load.short += ticket.short
        load.unread += unread
        load.held += ticket.held
        if total >= LONG_TOKENS:
            load.add_recent(unread, now_ms)
        load.keep(keys)

    def began(self, ticket_id: TicketId) -> None:
        """Its first word came: its prompt is read."""
        ticket = self._tickets.get(ticket_id)
        if ticket is not None:
            ticket.server.unread = max(0.0, ticket.server.unread - ticket.unread)
            ticket.unread = 0.0

    def ended(self, ticket_id: TicketId, failed: bool, now_ms: float) -> None:
        """It is no longer out."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            return
        load = ticket.server
        load.out -= 1
        load.short -= ticket.short
        load.unread = max(0.0, load.unread - ticket.unread)
        load.held -= ticket.held
        if failed:
            load.failed_ms = now_ms

    def stream_lost(self, stream: int, now_ms: float) -> None:
        """A node's stream ended: nothing more will be heard of its requests."""
        for ticket_id in [ticket_id for ticket_id in self._tickets if ticket_id[0] == stream]:
            self.ended(ticket_id, False, now_ms)


class Placements:
    """All services that this control plane may be asked about."""

    def __init__(self, rng: random.Random, again_ms: float) -> None:
        self._rng = rng
        self._again_ms = again_ms
        self._services: dict[str, ServicePlacement] = {}

    def service(self, name: str) -> ServicePlacement:
        """One service's servers."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServicePlacement(self._rng)
            found.again_ms = self._again_ms
        return found

    def follow(self, records: Iterable[ServerRecord]) -> None:
        """The servers that there are now, of all services."""
        by_service: dict[str, list[ServerRecord]] = {name: [] for name in self._services}
        for record in records:
            by_service.setdefault(record.service, []).append(record)
        for name, those in by_service.items():
            self.service(name).follow(those)

    def set_memory(self, memory: dict[str, int]) -> None:
        """Tokens of memory of each service's servers, where the configuration tells."""
        for name, tokens in memory.items():
            self.service(name).set_memory(tokens)

    def stream_lost(self, stream: int, now_ms: float) -> None:
        """A node's stream ended."""
        for service in self._services.values():
            service.stream_lost(stream, now_ms)
