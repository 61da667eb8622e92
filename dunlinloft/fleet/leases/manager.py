"""The lease manager: all singleton roles of one process, as a pure state machine.

It turns events into actions. It owns the process's candidates, its voter, and the state table's primary, and
decides when a candidate proposes. All members compute the same order of preference (`preference`), so usually
only one proposes at a time. No member proposes against a live leader.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

from dunlinloft.fleet.leases.candidate import CLOCK_DRIFT, LEASE_TERM_MS, Candidate, LeaseTimer
from dunlinloft.fleet.leases.messages import (
    NO_PROPOSAL,
    Action,
    Event,
    HandoverRequested,
    LeaseAcquired,
    LeaseLost,
    MembershipObserved,
    MessageReceived,
    Prepare,
    PrepareResponse,
    ProposalNumber,
    Propose,
    ProposeResponse,
    Release,
    RoleStateChanged,
    SendMessage,
    SetTimer,
    TableOpened,
    TablePage,
    TableRead,
    TableWrite,
    TableWriteAck,
    TimerFired,
    TokensRequest,
    TokensResponse,
    VoterChangeRequested,
    VotersChanged,
    VoterSet,
    VoterSetAck,
    VoterSetUpdate,
    WriteCompleted,
    WriteRequested,
)
from dunlinloft.fleet.leases.preference import preference_order
from dunlinloft.fleet.leases.table_primary import TablePrimary, WriteRejected
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.leases.voters import (
    VOTERS_KEY,
    VoterChange,
    VoterChangeRejected,
    VoterRow,
    decode_voter_row,
    next_voters,
)
from dunlinloft.fleet.leases.voting_member import VotingMember

REVIEW_INTERVAL_MS = 400.0  # between checks for vacant roles; with 20% jitter
PROPOSAL_DELAY_STEP_MS = 60.0  # additional delay of a member for each member preferred to it
MAX_PROPOSAL_DELAY_MS = 1_200.0
NOT_PRIMARY = "this process does not hold the ledger"  # shown to operators


class ManagerTimer(StrEnum):
    """The purpose of the manager's own timers; candidates use `LeaseTimer`."""

    REVIEW = "review"
    PROPOSE = "propose"
    TABLE = "table"


@dataclass(slots=True, frozen=True)
class _Timer:
    """A pending timer: of a role's proposal, of a generation of the table's timers, or the manager's own."""

    kind: ManagerTimer | LeaseTimer
    role: str = ""
    proposal: ProposalNumber = NO_PROPOSAL
    generation: int = 0


@dataclass(slots=True, frozen=True)
class _PendingVoterChange:
    """A change of voters whose row is not committed yet."""

    request_id: int
    row: VoterRow


class LeaseManager:
    """Manages all singleton roles for one process; a host passes events to it and executes the actions.

    Parameters: `incarnation`, a random number unique to this start of the process; `voters`, the configured
    voters; `wall_clock_ms`, Unix time; `now`, here and in all methods, the host's monotonic clock in ms;
    `term_ms`, the lease term; `drift`, as `candidate.CLOCK_DRIFT`. Raises `ValueError` for a duplicate voter,
    as majorities would then not overlap.
    """

    def __init__(
        self, name: str, incarnation: int, voters: list[str], roles: list[str], rng: random.Random,
        wall_clock_ms: Callable[[], int], now: float, term_ms: float = LEASE_TERM_MS,
        drift: float = CLOCK_DRIFT,
    ) -> None:  # fmt: skip
        if len(set(voters)) < len(voters):
            raise ValueError(f"voters: {', '.join(voters)}: duplicate voter")
        self.name = name
        self._rng = rng
        self.candidates = {
            role: Candidate(role, name, incarnation, voters, rng, wall_clock_ms, term_ms, drift)
            for role in roles
        }
        for role, candidate in self.candidates.items():
            candidate.set_timer = partial(self._set_role_timer, role)
        with_table = STATE_TABLE_ROLE in roles
        configured = VoterSet(0, tuple(voters))
        # The acceptor and the table replica of this process, if it is a voter.
        self.member = VotingMember(name, incarnation, configured, with_table, rng, now, term_ms, drift)
        self.table = TablePrimary(voters, rng) if with_table else None
        if self.table is not None:
            self.table.set_timer = self._set_table_timer
        self.voter_change = VoterChange(rng, term_ms, drift)
        self._pending_change: _PendingVoterChange | None = None
        self._observed = MembershipObserved(frozenset((name,)), {})
        self._timers: dict[int, _Timer] = {}
        self._last_timer_token = 0
        self._scheduled_proposals: set[str] = set()  # roles with a pending `PROPOSE` timer
        self._actions: list[Action] = []

    @property
    def voters(self) -> VoterSet:
        """The voter set adopted by this process."""
        return self.member.voters

    def begin(self, now: float) -> list[Action]:
        """Start the manager once the process is reachable."""
        self._actions = []
        self._set_timer(_Timer(ManagerTimer.REVIEW), REVIEW_INTERVAL_MS * self._rng.random())
        return self._actions

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions to execute, in order."""
        self._actions = []
        match event:
            case MessageReceived():
                self._handle_message(event, now)
            case TimerFired():
                self._handle_timer(event.token, now)
            case MembershipObserved():
                self._handle_membership(event, now)
            case HandoverRequested():
                candidate = self.candidates.get(event.role)
                if candidate is not None and event.successor != self.name:
                    candidate.release(event.successor, now)
                    self._take_actions(candidate, now)
            case WriteRequested():
                self._handle_write_request(event, now)
            case VoterChangeRequested():
                self._handle_voter_change_request(event, now)
            case RoleStateChanged() if event.role in self.candidates:
                self.candidates[event.role].state = event.state
        return self._actions

    def holds(self, role: str, now: float) -> bool:
        """Return whether this process may act for the role now; must be checked before each action."""
        return role in self.candidates and self.candidates[role].holds(now)

    # Timers

    def _set_role_timer(self, role: str, kind: LeaseTimer, delay_ms: float, proposal: ProposalNumber) -> None:
        self._set_timer(_Timer(kind, role, proposal), delay_ms)

    def _set_table_timer(self, delay_ms: float, generation: int) -> None:
        self._set_timer(_Timer(ManagerTimer.TABLE, STATE_TABLE_ROLE, generation=generation), delay_ms)

    def _set_timer(self, timer: _Timer, delay_ms: float) -> None:
        self._last_timer_token += 1
        self._timers[self._last_timer_token] = timer
        self._actions.append(SetTimer(self._last_timer_token, max(0.0, delay_ms)))

    def _handle_timer(self, token: int, now: float) -> None:
        timer = self._timers.pop(token, None)
        if timer is None:
            return
        if isinstance(timer.kind, LeaseTimer):
            candidate = self.candidates[timer.role]
            candidate.timer_fired(timer.kind, timer.proposal, now)
            self._take_actions(candidate, now)
        elif timer.kind is ManagerTimer.REVIEW:
            self._review(now)
        elif timer.kind is ManagerTimer.TABLE:
            if self.table is not None and self.holds(STATE_TABLE_ROLE, now):
                self.table.timer_fired(timer.generation)
                self._take_table_actions(now)
        else:
            self._propose_if_vacant(timer.role, now)

    # Proposing

    def _review(self, now: float) -> None:
        """Resend unanswered requests, and schedule proposals for vacant roles."""
        self._actions += self.member.recovery_requests()
        if self.holds(STATE_TABLE_ROLE, now):
            self._actions += self.voter_change.requests()
        self._schedule_proposals(now)
        interval_ms = REVIEW_INTERVAL_MS * (0.8 + 0.4 * self._rng.random())
        self._set_timer(_Timer(ManagerTimer.REVIEW), interval_ms)

    def _handle_membership(self, observed: MembershipObserved, now: float) -> None:
        self._observed = observed
        for role, (_, token) in observed.claims.items():
            if role in self.candidates:
                candidate = self.candidates[role]
                candidate.highest_claimed_token = max(candidate.highest_claimed_token, token)
        if observed.voters is not None:
            self._adopt(observed.voters, now)
        self._schedule_proposals(now)

    def _schedule_proposals(self, now: float) -> None:
        """Schedule a proposal for each vacant role, delayed by this process's rank in preference."""
        if not self._observed.healthy:
            return
        for index, (role, candidate) in enumerate(sorted(self.candidates.items())):
            if role in self._scheduled_proposals or candidate.must_wait(now) or not self._is_vacant(role):
                continue
            alive = self.name in self._observed.alive
            rank = preference_order(role, self._observed, index).index(self.name) if alive else 0
            self._scheduled_proposals.add(role)
            delay_ms = min(MAX_PROPOSAL_DELAY_MS, rank * PROPOSAL_DELAY_STEP_MS)
            timer = _Timer(ManagerTimer.PROPOSE, role)
            self._set_timer(timer, delay_ms * (0.9 + 0.2 * self._rng.random()))

    def _propose_if_vacant(self, role: str, now: float) -> None:
        """Propose at the end of the delay, unless another member has acquired the role."""
        self._scheduled_proposals.discard(role)
        candidate = self.candidates[role]
        if self._is_vacant(role) and not candidate.must_wait(now) and self._observed.healthy:
            candidate.propose(now)
            self._take_actions(candidate, now)

    def _is_vacant(self, role: str) -> bool:
        """Return whether no other live member claims to lead the role."""
        claim = self._observed.claims.get(role)
        return claim is None or claim[0] == self.name or claim[0] not in self._observed.alive

    # Messages

    def _handle_message(self, event: MessageReceived, now: float) -> None:
        sender = event.sender
        match event.message:
            case VoterSetUpdate() as message:
                self._adopt(message.voters, now)
                self._actions += self.member.acknowledge(message, sender)
            case VoterSetAck() as message:
                if self.holds(STATE_TABLE_ROLE, now):
                    self._actions += self.voter_change.handle_ack(message, sender, now)
            case Prepare() | Propose() | TableRead() | TableWrite() as message if (
                message.voters_epoch != self.voters.epoch
            ):
                # The side with the older voter set catches up by this announcement, or by the response to it.
                self._actions.append(self.member.voter_set_for(sender))
            case TableRead() | TableWrite() as message:
                self._actions += self.member.handle_table_message(message, sender)
            case TablePage() | TableWriteAck() as message:
                self._handle_table_response(message, sender, now)
            case TokensRequest() | TokensResponse() as message:
                self._actions += self.member.handle_tokens(message, sender)
            case PrepareResponse() | ProposeResponse() as message:
                candidate = self.candidates.get(message.role)
                if candidate is not None:
                    candidate.handle_response(message, sender, now)
                    self._take_actions(candidate, now)
            case Prepare() | Propose() | Release() as message:
                self._handle_candidate_message(message, sender, now)

    def _handle_table_response(self, message: TablePage | TableWriteAck, sender: str, now: float) -> None:
        # A page without a token is a response to the recovery of this process's replica.
        if isinstance(message, TablePage) and not message.token and self.member.replica is not None:
            self._actions += self.member.handle_table_message(message, sender)
        elif self.table is not None and self.holds(STATE_TABLE_ROLE, now):
            self.table.handle(message, sender)
            self._take_table_actions(now)

    def _handle_candidate_message(
        self, message: Prepare | Propose | Release, sender: str, now: float
    ) -> None:
        if self.member.acceptor is not None:
            response = self.member.acceptor.handle(message, now)
            if response is not None:
                self._actions.append(SendMessage(sender, response))
        candidate = self.candidates.get(message.role)
        if isinstance(message, Release) and message.successor == self.name and candidate is not None:
            candidate.take_over(now)
            self._take_actions(candidate, now)

    # Actions of the components

    def _take_actions(self, candidate: Candidate, now: float) -> None:
        self._actions += candidate.actions
        if candidate.role == STATE_TABLE_ROLE and self.table is not None:
            for action in candidate.actions:
                if isinstance(action, LeaseAcquired):
                    self.table.start(action.token)
                elif isinstance(action, LeaseLost):
                    self.table.stop()
                    self.voter_change.stop()
            self._take_table_actions(now)
        candidate.actions = []

    def _take_table_actions(self, now: float) -> None:
        if self.table is None:
            return
        actions = self.table.actions
        self.table.actions = []
        self._actions += actions
        for action in actions:
            if isinstance(action, TableOpened):
                self._resume_voter_change(self.table, now)
            elif isinstance(action, WriteCompleted) and self._pending_change is not None:
                pending = self._pending_change
                if action.request_id == pending.request_id:
                    self._pending_change = None
                    if action.committed:
                        self._apply_voter_change(pending.row, now)

    def _handle_write_request(self, event: WriteRequested, now: float) -> None:
        try:
            if self.table is None or not self.holds(STATE_TABLE_ROLE, now):
                raise WriteRejected(NOT_PRIMARY)
            self.table.write(event.key, event.value, event.request_id)
        except WriteRejected as rejection:
            self._actions.append(WriteCompleted(event.request_id, False, str(rejection)))
        else:
            self._take_table_actions(now)

    # Changes of voters

    def voter_change_blocked_reason(self, now: float) -> str:
        """Return why the voters can't be changed by this process now, for operators; empty if they can."""
        if self.table is None or not self.holds(STATE_TABLE_ROLE, now):
            return NOT_PRIMARY
        if self._pending_change is not None:
            return "another change of voters is in progress"
        table_complete = self.table.majority_is_complete()
        if self.voter_change.check_complete(table_complete, now):
            return ""
        return self.voter_change.waiting_for(table_complete, now)

    def _handle_voter_change_request(self, event: VoterChangeRequested, now: float) -> None:
        """Write the row that decides the change, which takes effect once the row is committed."""
        try:
            reason = self.voter_change_blocked_reason(now)
            if reason or self.table is None:
                raise VoterChangeRejected(reason)
            names = next_voters(self.voters, event.add, event.remove, self._observed.alive)
            row = VoterRow(self.voters.epoch + 1, self.voters.names, names)
            self.table.write(VOTERS_KEY, row.encode(), event.request_id)
        except (VoterChangeRejected, WriteRejected) as rejection:
            self._actions.append(WriteCompleted(event.request_id, False, str(rejection)))
        else:
            self._pending_change = _PendingVoterChange(event.request_id, row)
            self._take_table_actions(now)

    def _resume_voter_change(self, table: TablePrimary, now: float) -> None:
        """Complete the latest change after the table was opened, wherever the former primary stopped."""
        stored = table.rows.get(VOTERS_KEY)
        row = decode_voter_row(stored.value) if stored is not None else None
        if row is not None and row.epoch >= self.voters.epoch:
            return self._apply_voter_change(row, now)
        names = self.voters.names
        if self.voters.epoch:  # a majority lost the row with its memory; the adopted set stays valid
            table.write(VOTERS_KEY, VoterRow(self.voters.epoch, names, names).encode(), 0)
            self._take_table_actions(now)
        self._actions += self.voter_change.begin(self.voters, names)

    def _apply_voter_change(self, row: VoterRow, now: float) -> None:
        """Adopt a committed change and have the voters adopt it."""
        voters = VoterSet(row.epoch, row.names)
        self._adopt(voters, now)
        self._actions += self.voter_change.begin(voters, row.previous_names)

    def _adopt(self, voters: VoterSet, now: float) -> None:
        """Adopt a voter set in all components, unless it is already known."""
        if voters.epoch <= self.voters.epoch:
            return
        self.member.adopt(voters, now)
        names = list(voters.names)
        for candidate in self.candidates.values():
            candidate.set_voters(names, voters.epoch, now)
            self._take_actions(candidate, now)
        if self.table is not None:
            self.table.set_voters(names, voters.epoch)
            self._take_table_actions(now)
        self._actions.append(VotersChanged(voters))
