"""This process itself as a member: its identity, its view of the others, its timers and pending actions."""

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
    """Who a process is when it starts.

    Attributes
    ----------
    name: unique in the fleet; a restart keeps it.
    address: where the others reach it.
    seeds: addresses to join by.
    uid: of this process; the lower one of two keeps a name that both claim.
    incarnation: start of the process (ms of the wall clock); a restart has to have a greater one.
    """

    name: str
    address: str
    seeds: list[str]
    uid: int
    incarnation: int


class Divergence(NamedTuple):
    """How many members' views differ from ours, and for how long the longest has (ms)."""

    members: int
    longest_ms: float


class LocalMember:
    """State shared by all layers of the membership, and the means to send, to set timers and to log."""

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
        self.muted = False  # another process owns our name: nothing is sent under it
        self.rng = rng
        self.view = View(rng)
        self.health = LocalHealth()
        self.actions: list[api.Action] = []  # of the event at hand
        self._metadata = dict(metadata or {})
        self._metadata_version = 0
        self._digest_bits = digest_bits(self.name, self.incarnation)
        self._timers: dict[int, Timer] = {}
        self._last_timer_token = 0
        self._now = 0.0  # of the event at hand, ms

    # What hosts and other members read

    def alive_count(self) -> int:
        """How many members are alive or suspect, this one included."""
        return len(self.view.alive) + (self.status == ALIVE)

    def digest(self) -> int:
        """Digest of the names and incarnations of all members that are alive: equal where views agree."""
        return self.view.digest ^ (self._digest_bits if self.status == ALIVE and not self.muted else 0)

    def divergence(self, now: float) -> Divergence:
        """How far the views of other members, by the digests in their headers, differ from this one."""
        members = self.view.members.values()
        since = [m.diverged_since_ms for m in members if m.is_alive() and m.diverged_since_ms >= 0.0]
        return Divergence(len(since), max((now - at_ms for at_ms in since), default=0.0))

    def own_record(self, include_metadata: bool = True) -> Record:
        """The record of this process itself."""
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
        """The complete view, for a push-pull exchange."""
        return State(self.header(), [self.own_record(), *self.view.records()])

    def state_for(self, requester: State) -> State:
        """The state to answer a push-pull exchange with; called by the host that was given `requester`."""
        return self.state()

    def header(self) -> Header:
        """The header of a message that is sent now."""
        return Header(self.name, self.incarnation, self.revision, self.digest(), self.alive_count())

    # Actions

    def send_datagram(self, address: str, message: api.AnyMessage) -> None:
        """Send a datagram, unless this process is muted or the address is not known."""
        if not self.muted and address:
            self.actions.append(api.SendDatagram(address, message))

    def set_timer(self, delay_ms: float, kind: TimerKind, member: str = "", probe_number: int = 0) -> int:
        """Set a timer; its token."""
        self._last_timer_token += 1
        self._timers[self._last_timer_token] = Timer(kind, self._now + delay_ms, member, probe_number)
        self.actions.append(api.SetTimer(self._last_timer_token, delay_ms))
        return self._last_timer_token

    def _log(self, event: str, **fields: MetadataValue) -> None:
        self.actions.append(api.LogEvent(event, fields))
