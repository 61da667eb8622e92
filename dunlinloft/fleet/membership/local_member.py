"""The local process as a member: its identity, its view of the others, its timers and pending actions."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.local_health import LocalHealth
from dunlinloft.fleet.membership.member import digest_bits
from dunlinloft.fleet.membership.timers import Timer, TimerKind
from dunlinloft.fleet.membership.view import View
from dunlinloft.fleet.messages import ALIVE, Header, MetadataValue, Record, State


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a process at its start.

    Attributes
    ----------
    name: unique in the fleet; kept across restarts.
    address: address at which other members reach it.
    seeds: addresses used to join the fleet.
    uid: unique id of the process; of two processes that claim a name, the one with the lower uid keeps it.
    incarnation: start time of the process (ms, wall clock); must increase with each restart.
    """

    name: str
    address: str
    seeds: list[str]
    uid: int
    incarnation: int


class Divergence(NamedTuple):
    """The number of members whose views differ from ours, and the longest such difference (ms)."""

    members: int
    longest_ms: float


class LocalMember:
    """State shared by all layers of the membership, and helpers to send, set timers and log."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        self.name = identity.name
        self.address = identity.address
        self._seeds = identity.seeds
        self._uid = identity.uid
        self.incarnation = identity.incarnation
        self.revision = 0  # how often this incarnation has refuted a suspicion or its death
        self.status = ALIVE
        self.muted = False  # another process owns the name, so this one sends nothing
        self.rng = rng
        self.view = View(rng)
        self.health = LocalHealth()
        self.actions: list[api.Action] = []  # of the current event
        self._metadata = dict(metadata or {})
        self._metadata_version = 0
        self._digest_bits = digest_bits(self.name, self.incarnation)
        self._timers: dict[int, Timer] = {}
        self._last_timer_token = 0
        self._now = 0.0  # time of the current event, ms

    # Queries

    def alive_count(self) -> int:
        """Return the number of members that are alive or suspect, including this one."""
        return len(self.view.alive) + (self.status == ALIVE)

    def digest(self) -> int:
        """Return the digest of all live members' names and incarnations; equal views have equal digests."""
        return self.view.digest ^ (self._digest_bits if self.status == ALIVE and not self.muted else 0)

    def divergence(self, now: float) -> Divergence:
        """Return how many members' views differ, by the digests in their headers, and for how long."""
        members = self.view.members.values()
        since = [m.diverged_since_ms for m in members if m.is_alive() and m.diverged_since_ms >= 0.0]
        return Divergence(len(since), max((now - at_ms for at_ms in since), default=0.0))

    def own_record(self, include_metadata: bool = True) -> Record:
        """Return the record of this process."""
        return Record(
            self.name,
            self.incarnation,
            self.revision,
            self.status,
            self._uid,
            self.address,
            self._metadata_version,
            self._metadata if include_metadata else None,
        )

    def state(self) -> State:
        """Return the complete view, for a push-pull exchange."""
        return State(self.header(), [self.own_record(), *self.view.records()])

    def state_for(self, requester: State) -> State:
        """Return the response to a push-pull exchange; `requester` is the state that the host received."""
        return self.state()

    def header(self) -> Header:
        """Return the header for a message sent now."""
        return Header(self.name, self.incarnation, self.revision, self.digest(), self.alive_count())

    # Actions

    def send_datagram(self, address: str, message: api.AnyMessage) -> None:
        """Send a datagram, unless this process is muted or the address is unknown."""
        if not self.muted and address:
            self.actions.append(api.SendDatagram(address, message))

    def set_timer(self, delay_ms: float, kind: TimerKind, member: str = "", probe_number: int = 0) -> int:
        """Set a timer and return its token."""
        self._last_timer_token += 1
        self._timers[self._last_timer_token] = Timer(kind, self._now + delay_ms, member, probe_number)
        self.actions.append(api.SetTimer(self._last_timer_token, delay_ms))
        return self._last_timer_token

    def _log(self, event: str, **fields: MetadataValue) -> None:
        self.actions.append(api.LogEvent(event, fields))
