"""A control-plane replica as one state machine: agreed views, chain replication and operator calls.

The host passes in messages, ticks and completed writes, and performs the returned actions in order. Times are
in milliseconds of a monotonic clock.
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
"""Time after a view was learned until all leases of earlier views have expired. Longer than
`failure_detector.LEASE_DURATION_MS`, because a lease runs on its holder's clock."""


class Replica:
    """One replica: owns and connects its components. Hosted by `ControlPlane` or a simulated machine."""

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
        """Recover from the durable state; `start` must be called next.

        Parameters
        ----------
        local_member : this incarnation of the replica's disk.
        quorum_eligible : whether it may vote and hold state; other replicas only forward calls.
        durable : the state recovered from its disk.
        seeds : addresses of replicas to contact first.
        tolerance : how many replicas may be lost at once without losing acknowledged changes.
        validate : validates configuration changes at the head.
        rng : source of nonces and random backoffs.
        now_ms : the current time.
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
        """The latest view known to this replica."""
        return self._voting.view

    # Events.

    def start(self, initial: View | None) -> list[Action]:
        """Start the replica; called once, before all other events.

        `initial` is the first view of a new cluster; it is ignored if this replica already has a view. It is
        written to disk like any other view, because a replica may be restarted with different seeds.
        """
        if initial is not None and self.view is None:
            self._voting.learn(initial, self._now_ms)
        if self.chain.committed.sequence:
            self._emit(Commit(self.chain.committed))
        return self._finish_event()

    def handle(self, message: ReplicaMessage, now_ms: float) -> list[Action]:
        """Handle a message from another replica."""
        self._now_ms = now_ms
        self._dispatch(message)
        return self._finish_event()

    def tick(self, now_ms: float) -> list[Action]:
        """Run periodic work; called about every 50 ms."""
        self._now_ms = now_ms
        self._heartbeats.on_tick(now_ms)
        self._reconciler.on_tick(now_ms)
        self.chain.on_tick(now_ms)
        return self._finish_event()

    def on_persisted(self, token: int, now_ms: float) -> list[Action]:
        """Handle the completion of a `Persist` action: its record is on disk."""
        self._now_ms = now_ms
        self._writes.on_persisted(token)
        return self._finish_event()

    def begin_call(self, token: str, change: ConfigurationChange | None, now_ms: float) -> list[Action]:
        """Accept an operator call: a change, or a read if `change` is None.

        A `Reply` action with the token follows within about `calls.CALL_TIMEOUT_MS`.
        """
        self._now_ms = now_ms
        self._calls.begin(token, change, now_ms)
        return self._finish_event()

    def leave(self, now_ms: float) -> list[Action]:
        """Announce the shutdown of this process, so that the next view replaces it; see `can_stop`."""
        self._now_ms = now_ms
        self._leaving = True
        self._heartbeats.send_to_all(now_ms)
        return self._finish_event()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds, because those configured at the start may no longer exist."""
        self._heartbeats.set_seeds(seeds)

    # Queries of the host; they change no state.

    def has_lease(self, now_ms: float) -> bool:
        """Return whether this replica has a lease and may exercise the epoch's singleton roles.

        The lease shows that no later view had been decided a moment ago. This replica's own acceptance of a
        later view ends it, because that acceptance may complete the later view's majority.
        """
        view = self.view
        if view is None or self._voting.lease_epoch != view.epoch or not self._voting.is_voter:
            return False
        return self.failure_detector.has_lease(view, now_ms)

    def lease_expired(self, address: str, now_ms: float) -> bool:
        """Return whether the lease of a previous member at an address has certainly expired.

        True only if the previous view is older than any lease, so that leases of still earlier views have
        expired as well.
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
        """Return the view while a majority of its roster receives from this replica, else None.

        The replica need not be a voter itself.
        """
        if self.view is None or not self.failure_detector.has_majority_contact(self.view, now_ms):
            return None
        return self.view

    def has_confirmed_state(self, now_ms: float) -> bool:
        """Return whether the committed state here is confirmed to be current; this is reported to nodes."""
        return self.chain.synced and self.view_with_majority_contact(now_ms) is not None

    def can_stop(self) -> bool:
        """Return whether this process may stop: it is not in the chain, and enough members know that durably.

        Enough means that at least one of them remains after `tolerance` simultaneous losses.
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
        """Return the addresses of all other known control planes."""
        return self._heartbeats.peer_addresses()

    # Callbacks of the components.

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
        self._heartbeats.send_with_next_tick()  # reports the durable view without delay

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
