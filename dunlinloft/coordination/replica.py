"""A replica of the control plane as one state machine: agreed views, the chain, and operators' calls.

Hand it messages, ticks and `on_persisted`, and perform the actions that it returns, in order. Times are in
milliseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.coordination.actions import Action, Commit, Send
from dunlinloft.coordination.call_messages import CallResult, ForwardedCall
from dunlinloft.coordination.calls import CallHandler
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.chain_messages import (
    AppendEntries,
    Committed,
    InstallSnapshot,
    PredecessorPosition,
    SuccessorPosition,
)
from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_exchange import HeartbeatExchange, ReplicaStatus
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.pending_writes import PendingWrites
from dunlinloft.coordination.records import DurableState, Record
from dunlinloft.coordination.state import ConfigurationChange
from dunlinloft.coordination.verdicts import Validator
from dunlinloft.coordination.view_reconciler import ViewReconciler
from dunlinloft.coordination.views import Member, View
from dunlinloft.coordination.voting import Voting
from dunlinloft.coordination.voting_hooks import VotingHooks
from dunlinloft.coordination.voting_messages import (
    Accept,
    Accepted,
    ConfirmEpoch,
    Decided,
    EpochConfirmed,
    Prepare,
    PrepareResponse,
    ProposalRejected,
)

PREVIOUS_LEASES_EXPIRY_MS = 750.0
"""Since a view was learned, until no lease of an earlier one is left. Longer than
`failure_detector.LEASE_DURATION_MS`, as that runs on the clock of who has the lease."""


class Replica:
    """One replica. Owns its parts and connects them; `ControlPlane` or a simulated machine hosts it."""

    def __init__(
        self,
        local_member: Member,
        quorum_eligible: bool,
        durable: DurableState,
        seeds: tuple[str, ...],
        tolerance: int,
        validate: Validator,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        """Recover from what the disk holds; `start` comes next.

        Parameters
        ----------
        me : this incarnation of the replica's disk.
        quorum_eligible : whether it may vote and hold state; others only forward calls.
        durable : what its disk holds.
        seeds : addresses of replicas to send heartbeats to at first.
        tolerance : how many replicas may be lost at once without losing what was acknowledged.
        validate : checks a configuration change at the head.
        rng : draws nonces and backoffs.
        now_ms : the time.
        """
        self.local_member = local_member
        self._quorum_eligible = quorum_eligible
        self._tolerance = tolerance
        self._actions: list[Action] = []
        self._now_ms = now_ms
        self._leaving = False
        self._writes = PendingWrites(self._emit)
        self.failure_detector = FailureDetector(local_member)
        self.chain = ChainReplica(local_member, durable, self._emit, self._persist, min_synced=tolerance + 1)
        self._calls = CallHandler(local_member, self.chain, validate, self._emit, self._send, rng)
        hooks = VotingHooks(
            send=self._send,
            persist=self._persist,
            on_view_learned=self._on_view_learned,
            on_view_durable=self._on_view_durable,
            seal_epoch=self.chain.seal_epoch,
        )
        self._voting = Voting(local_member, quorum_eligible, durable, rng, now_ms, hooks)
        self._heartbeats = HeartbeatExchange(
            local_member,
            quorum_eligible,
            seeds,
            self.failure_detector,
            self._status,
            lambda: self._voting.view,
            self._send,
            now_ms,
        )
        self._reconciler = ViewReconciler(
            local_member, tolerance, self._voting, self.failure_detector, self._heartbeats, now_ms
        )
        sealed = durable.accepted is not None and durable.accepted.view.sealed_by == local_member.id
        if self.view is not None and not sealed:
            self.chain.enter_epoch(self.view)

    @property
    def view(self) -> View | None:
        """The view in force, as far as is known here."""
        return self._voting.view

    # Events.

    def start(self, initial: View | None) -> list[Action]:
        """Begin; called once, before all other events.

        `initial` is the view to begin with at the first start of all. It is put on disk like any other: a
        replica that is started again may be given other seeds.
        """
        if initial is not None and self.view is None:
            self._voting.learn(initial, self._now_ms)
        if self.chain.committed.sequence:
            self._emit(Commit(self.chain.committed))
        return self._finish_event()

    def handle(self, message: ReplicaMessage, now_ms: float) -> list[Action]:
        """Take a message from another replica."""
        self._now_ms = now_ms
        self._dispatch(message)
        return self._finish_event()

    def tick(self, now_ms: float) -> list[Action]:
        """Let time pass; called every 50 ms or so."""
        self._now_ms = now_ms
        self._heartbeats.on_tick(now_ms)
        self._reconciler.on_tick(now_ms)
        self.chain.on_tick(now_ms)
        return self._finish_event()

    def on_persisted(self, token: int, now_ms: float) -> list[Action]:
        """Take the report that the record of a `Persist` action is on disk."""
        self._now_ms = now_ms
        self._writes.on_persisted(token)
        return self._finish_event()

    def begin_call(self, token: str, change: ConfigurationChange | None, now_ms: float) -> list[Action]:
        """Take an operator's call that came in here: a change, or a read where `change` is None.

        A `Reply` action with the token follows, within `calls.CALL_TIMEOUT_MS` or so.
        """
        self._now_ms = now_ms
        self._calls.begin(token, change, now_ms)
        return self._finish_event()

    def leave(self, now_ms: float) -> list[Action]:
        """Announce that this process shuts down: others replace it in the next view, see `can_stop`."""
        self._now_ms = now_ms
        self._leaving = True
        self._heartbeats.send_to_all(now_ms)
        return self._finish_event()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds: those that a newcomer started with may be gone by now."""
        self._heartbeats.set_seeds(seeds)

    # Questions of the host. They change nothing.

    def has_lease(self, now_ms: float) -> bool:
        """Whether singleton roles of the epoch may be used here: no later view was decided a moment ago.

        Its own acceptance of a later view ends its lease: that may be what made up the later view's majority.
        """
        view = self.view
        if view is None or self._voting.lease_epoch != view.epoch or not self._voting.is_voter:
            return False
        return self.failure_detector.has_lease(view, now_ms)

    def lease_expired(self, address: str, now_ms: float) -> bool:
        """Whether the member that was at an address can use no lease of the previous view any more.

        Nor can anybody use one of a still earlier view, as the previous view has to be older than any lease.
        """
        view = self.view
        previous = self._voting.previous_view
        if view is None or previous is None or self._voting.durable_epoch != view.epoch:
            return False
        if self._voting.entered_ms - self._voting.previous_entered_ms < PREVIOUS_LEASES_EXPIRY_MS:
            return False
        member = next((m for m in previous.chain if m.address == address), None)
        if member is None:
            return False
        return self.failure_detector.lease_expired(member, previous, view.epoch, now_ms)

    def view_with_majority_contact(self, now_ms: float) -> View | None:
        """The view, while a majority of its roster receives from this replica; it need not vote itself."""
        if self.view is None or not self.failure_detector.has_majority_contact(self.view, now_ms):
            return None
        return self.view

    def has_confirmed_state(self, now_ms: float) -> bool:
        """Whether what is committed here is as new as a majority knows: nodes are told so."""
        return self.chain.synced and self.view_with_majority_contact(now_ms) is not None

    def can_stop(self) -> bool:
        """Whether others can do without this process: it is in no chain, and enough have that on disk.

        Enough are so many that one of them is left after the losses that may come at once.
        """
        view = self.view
        if view is None or not self._quorum_eligible:
            return True
        if view.position_of(self.local_member.id) is not None:
            return False
        others = [member for member in view.roster if member.id != self.local_member.id]
        peers = self.failure_detector.peers
        informed = sum(m.id in peers and peers[m.id].heartbeat.epoch >= view.epoch for m in others)
        return informed >= min(self._tolerance + 1, len(others))

    def peer_addresses(self) -> set[str]:
        """The addresses of all other control planes that are known."""
        return self._heartbeats.peer_addresses()

    # Effects of the parts.

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _finish_event(self) -> list[Action]:
        self._calls.advance(self.view, self._now_ms)
        actions = self._actions[:]
        self._actions.clear()
        return actions

    def _persist(self, record: Record, on_durable: Callable[[], None]) -> None:
        self._writes.persist(record, on_durable, self._now_ms)

    def _send(self, address: str, message: ReplicaMessage) -> None:
        if address == self.local_member.address:
            self._dispatch(message)
        else:
            self._emit(Send(address, message))

    def _status(self, now_ms: float) -> ReplicaStatus:
        return ReplicaStatus(
            healthy=self._quorum_eligible and not self._writes.is_stalled(now_ms),
            leaving=self._leaving,
            epoch=self._voting.durable_epoch,
            synced_epoch=self.chain.synced_epoch,
            lease_epoch=self._voting.lease_epoch,
        )

    def _on_view_learned(self) -> None:
        self.chain.leave_epoch()
        self._calls.on_view_changed()

    def _on_view_durable(self, view: View) -> None:
        self.chain.enter_epoch(view)
        self._heartbeats.send_with_next_tick()  # so that all others know soon that it is on disk here

    def _dispatch(self, message: ReplicaMessage) -> None:
        match message:
            case Heartbeat():
                self._heartbeats.on_heartbeat(message, self._now_ms)
            case Prepare() | PrepareResponse() | Accept() | Accepted() | ProposalRejected():
                self._voting.handle(message, self._now_ms)
            case Decided() | ConfirmEpoch():
                self._voting.handle(message, self._now_ms)
            case PredecessorPosition():
                self.chain.on_predecessor_position(message)
            case SuccessorPosition():
                self.chain.on_successor_position(message)
            case AppendEntries():
                self.chain.on_append_entries(message)
            case InstallSnapshot():
                self.chain.on_install_snapshot(message)
            case Committed():
                self.chain.on_committed(message)
            case EpochConfirmed():
                self._calls.on_epoch_confirmed(message)
            case ForwardedCall():
                self._calls.on_forwarded_call(message, self._now_ms)
            case CallResult():
                self._calls.on_result(message)
