"""The membership of one process: a pure state machine that receives events and returns actions.

SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2017) and further
changes that `docs/membership.md` lists with their reasons. `fleet.interface` names the hosts.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.dissemination import GOSSIP_FANOUT_LONG_QUEUE
from dunlinloft.fleet.membership.failure_detection import FailureDetection
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.membership.probing import PROBE_PERIOD_MS
from dunlinloft.fleet.membership.rejoin import DEAD_PROBE_INTERVAL_MS
from dunlinloft.fleet.membership.state_exchange import PUSH_PULL_INTERVAL_MS
from dunlinloft.fleet.membership.timers import UNKNOWN_TIMER, Timer, TimerKind
from dunlinloft.fleet.messages import (
    ALIVE,
    LEFT,
    Ack,
    Gossip,
    Message,
    MetadataValue,
    Nack,
    Ping,
    PingRequest,
    State,
)

MAX_CORRECTIONS = 8  # records sent to correct the sender of one message, so that they fit one datagram
LEAVE_FANOUT = 2 * GOSSIP_FANOUT_LONG_QUEUE  # members notified of a leave, enough for it to be disseminated


class Membership(FailureDetection):
    """One process's membership in its fleet.

    A host calls `handle` with each event and executes the returned actions in order. Between calls it may
    read public attributes and call the methods of `LocalMember`. `fleet.cells.core.CellMembership` extends
    it.
    """

    def __init__(
        self, name: str, address: str, seeds: list[str], uid: int, incarnation: int, rng: random.Random,
        metadata: dict[str, MetadataValue] | None = None,
    ) -> None:  # fmt: skip
        super().__init__(Identity(name, address, seeds, uid, incarnation), rng, metadata)
        self._has_joined = False

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handle one event at `now` (ms, monotonic) and return the resulting actions in order."""
        self.actions = []
        self._now = now
        match event:
            case api.MessageReceived():
                self._receive(event.message, event.source, now)
            case api.TimerFired():
                self._handle_timer(event.token, now)
            case api.PushPullReceived():
                self._handle_push_pull(event.state, event.source, event.requested, now)
            case api.PushPullFailed():
                pass  # the timer of the next attempt is already set
            case api.StreamProbeAcked():
                self._handle_ack(event.number, event.name, event.incarnation, now, "")
            case api.MetadataUpdated():
                self._update_metadata(event.metadata)
            case api.LeaveRequested():
                self._leave()
            case api.Started():
                self._start()
        return self.actions

    # Timers

    def _handle_timer(self, token: int, now: float) -> None:
        timer = self._timers.pop(token, UNKNOWN_TIMER)
        in_time = self.health.timer_fired(timer.due_ms, now)
        if self.status == ALIVE:
            self._dispatch_timer(timer, token, in_time, now)

    def _dispatch_timer(self, timer: Timer, token: int, in_time: bool, now: float) -> None:
        match timer.kind:
            case TimerKind.PROBE_PERIOD:
                self._probe_next(now)
            case TimerKind.DIRECT_TIMEOUT:
                self.prober.handle_direct_timeout(timer.probe_number, now)
            case TimerKind.PROBE_TIMEOUT:
                self._handle_probe_timeout(timer.probe_number, in_time, now)
            case TimerKind.INDIRECT_TIMEOUT:
                self.prober.handle_indirect_timeout(timer.probe_number)
            case TimerKind.RESEND_PING:
                self.prober.handle_resend_timer(timer.probe_number)
            case TimerKind.INDIRECT_EXPIRY:
                self.prober.drop_indirect(timer.probe_number)
            case TimerKind.CONFIRM:
                self._confirm(timer.member, now)
            case TimerKind.GOSSIP:
                self._gossip()
            case TimerKind.SUSPICION:
                self._handle_suspicion_timeout(timer.member, token, in_time, now)
            case TimerKind.REJOIN:
                self._rejoin()
            case TimerKind.PUSH_PULL:
                self._push_pull_random(now)
                self._schedule_push_pull()
            case TimerKind.PROBE_DEAD:
                self._probe_dead()
            case TimerKind.NAME_CHECK:
                self._check_name_free()
            case _:
                self._handle_extension_timer(timer.kind, now)

    def _handle_extension_timer(self, kind: TimerKind, now: float) -> None:
        """Hook for the timers of a subclass; does nothing here."""

    def _schedule_push_pull(self) -> None:
        self.set_timer(PUSH_PULL_INTERVAL_MS * (0.5 + self.rng.random()), TimerKind.PUSH_PULL)

    # The local process

    def _start(self) -> None:
        self._rejoin()
        self.set_timer(PROBE_PERIOD_MS * self.rng.random(), TimerKind.PROBE_PERIOD)
        self._schedule_push_pull()
        self.set_timer(DEAD_PROBE_INTERVAL_MS * (0.5 + self.rng.random()), TimerKind.PROBE_DEAD)

    def _update_metadata(self, metadata: dict[str, MetadataValue]) -> None:
        """Update the local metadata and disseminate changed values."""
        changed = {key: value for key, value in metadata.items() if self._metadata.get(key) != value}
        if changed:
            self._metadata |= changed
            self._metadata_version += 1
            self._disseminate(self.name)

    def _leave(self) -> None:
        """Notify enough members of the leave for it to be disseminated; later events are ignored."""
        if self.status != ALIVE:
            return
        self.status = LEFT
        record = self.own_record()
        for name in self.view.alive.sample(LEAVE_FANOUT):
            self.send_datagram(self.view.members[name].address, Gossip(self.header(), [record]))

    # Messages and states

    def _receive(self, message: api.AnyMessage, source: str, now: float) -> None:
        if isinstance(message, Message):
            self._handle_message(message, source, now)

    def _handle_message(self, message: Message, source: str, now: float) -> None:
        """Process the header and the records of a message, then respond to it."""
        if self.status != ALIVE:
            return
        if message.header.name == self.name:
            return  # our own message, or a name conflict, which records detect more reliably
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
                ack = Ack(self.header(), message.number, self.name, self.incarnation, records)
                self.send_datagram(source, ack)
            case Ack():
                self._handle_ack(message.number, message.target, message.incarnation, now, source)
            case PingRequest():
                self.prober.handle_ping_request(message, source)
            case Nack():
                self.prober.handle_nack(message.number)

    def _correct_outdated(self, source: str) -> None:
        """Send newer records to the sender of outdated ones, as the update it missed may not be resent."""
        if self._outdated_claims:
            newer = (self._record_of(name, False) for name in list(self._outdated_claims)[:MAX_CORRECTIONS])
            records = [record for record in newer if record is not None]
            self.send_datagram(source, Gossip(self.header(), records))

    def _handle_push_pull(self, state: State, source: str, requested: bool, now: float) -> None:
        """Merge the state received from another member."""
        if self.status != ALIVE:
            return
        if requested and not self._has_joined:
            self._has_joined = True
            self._disseminate(self.name)
        for record in state.records:
            self._merge_record(record, now)
        if self.muted and requested and all(record.name != self.name for record in state.records):
            self._unmute(None)  # the name is no longer in use
