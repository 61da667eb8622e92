"""A candidate for one singleton role: acquires the lease, renews it, and stops before it expires.

The proposer of PaxosLease (Trencseni, Gazso, Reinhardt 2012). The lease term starts before the proposal is
sent and is measured on the local clock with the drift subtracted, so the lease expires here before it does at
any voter.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import StrEnum

from dunlinloft.fleet.leases.messages import (
    NO_PROPOSAL,
    Action,
    Lease,
    LeaseAcquired,
    LeaseLost,
    Message,
    Prepare,
    PrepareResponse,
    ProposalNumber,
    Propose,
    ProposeResponse,
    Release,
    SendMessage,
    majority,
)

LEASE_TERM_MS = 3_000.0
CLOCK_DRIFT = 0.02  # maximum relative difference of the rates of two processes' monotonic clocks
RENEWAL_SHARE = 0.4  # of the term, after which the lease is renewed; with 20% jitter
STOP_MARGIN_MS = 50.0  # work stops this long before the lease expires
RESPONSE_TIMEOUT_MS = 80.0  # for the responses to a request; a round trip across zones takes 7 to 13 ms
MAX_RESENDS = 2  # of a request, before the proposal fails
INITIAL_BACKOFF_MS = 60.0  # between proposals; doubles, with jitter
MAX_BACKOFF_MS = 1_500.0
MAX_RENEWAL_RETRY_DELAY_MS = 150.0
COOLDOWN_AFTER_LOSS_MS = 500.0  # mean time for which a former leader lets other candidates propose first
COOLDOWN_AFTER_HANDOVER_MS = 5_000.0  # a leader that has handed over leaves the role to other candidates
HANDOVER_WINDOW_MS = 1_000.0  # time during which a named successor retries at short intervals
HANDOVER_RETRY_DELAY_MS = 10.0  # mean of these intervals


class ProposalStep(StrEnum):
    """The step of a candidate's proposal."""

    IDLE = "idle"
    PREPARING = "preparing"  # phase 1
    PROPOSING = "proposing"  # phase 2


class LeaseTimer(StrEnum):
    """The purpose of a candidate's timer; see `Candidate.timer_fired`."""

    PREPARE_TIMEOUT = "prepare_timeout"
    PROPOSE_TIMEOUT = "propose_timeout"
    RENEWAL = "renewal"
    HANDOVER_RETRY = "handover_retry"
    EXPIRY = "expiry"


RESPONSE_TIMERS = {
    ProposalStep.PREPARING: LeaseTimer.PREPARE_TIMEOUT,
    ProposalStep.PROPOSING: LeaseTimer.PROPOSE_TIMEOUT,
}


class Candidate:
    """One process's candidacy for one role; `manager.LeaseManager` owns one for each role.

    It appends to `actions`, which the owner collects after each call, and requests timers by `set_timer`.

    Parameters: `wall_clock_ms`, Unix time, used only if all voters have lost their memory; `term_ms`, the
    lease term; `drift`, as `CLOCK_DRIFT`.
    """

    def __init__(
        self, role: str, name: str, incarnation: int, voters: list[str], rng: random.Random,
        wall_clock_ms: Callable[[], int], term_ms: float = LEASE_TERM_MS, drift: float = CLOCK_DRIFT,
    ) -> None:  # fmt: skip
        self.role = role
        self._name = name
        self._incarnation = incarnation
        self._voters = voters
        self._rng = rng
        self.voters_epoch = 0
        self._wall_clock_ms = wall_clock_ms
        self._term_ms = term_ms
        self._drift = drift
        self.step = ProposalStep.IDLE
        self.proposal = NO_PROPOSAL
        self._round = 0
        self._request: Prepare | Propose = Prepare(role, NO_PROPOSAL)
        self._resends = 0
        self._prepare_responses: dict[str, PrepareResponse] = {}
        self._accepted_by: set[str] = set()
        self._proposed_at_ms = 0.0
        self.expires_ms = 0.0  # of the lease, by this process's clock
        self.token = 0
        self._proposed_token = 0
        self.highest_claimed_token = 0  # by other members, as reported by membership
        self.state = b""
        self.is_leader = False
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._cooldown_until_ms = 0.0  # no proposal before this time
        self._named_successor_ms = -1e18  # when a leader named this process its successor
        self.reason = "no proposal has been made yet"  # why this process does not lead, for operators
        self.actions: list[Action] = []
        self.set_timer: Callable[[LeaseTimer, float, ProposalNumber], None] = _no_timer

    def majority(self) -> int:
        """Return the number of voters that must agree."""
        return majority(len(self._voters))

    def set_voters(self, voters: list[str], epoch: int, now: float) -> None:
        """Replace the voter set; a pending proposal fails, as it counted a majority of the old set."""
        self._voters = voters
        self.voters_epoch = epoch
        if self.step is not ProposalStep.IDLE:
            self.reason = "the voter set has changed"
            self._fail(0.0, now)

    def holds(self, now: float) -> bool:
        """Return whether this process may act for the role now; must be checked before each action."""
        return self.is_leader and now < self.expires_ms - STOP_MARGIN_MS

    # Acquiring and renewing

    def propose(self, now: float) -> None:
        """Start phase 1, to acquire or renew the lease."""
        self._round += 1
        self.proposal = ProposalNumber(self._round, self._name, self._incarnation)
        self.step = ProposalStep.PREPARING
        self._prepare_responses.clear()
        self._accepted_by.clear()
        self._request = Prepare(self.role, self.proposal, self.voters_epoch)
        self._send_request()

    def _send_request(self) -> None:
        """Send this step's request to all voters and set the response timer."""
        self._resends = 0
        self._broadcast(self._request)
        self._set_response_timer()

    def _resend_request(self) -> None:
        """Resend this step's request to the voters that have not responded."""
        preparing = self.step is ProposalStep.PREPARING
        responded = self._prepare_responses if preparing else self._accepted_by
        self._resends += 1
        self.actions.extend(
            SendMessage(voter, self._request) for voter in self._voters if voter not in responded
        )
        self._set_response_timer()

    def _set_response_timer(self) -> None:
        self.set_timer(RESPONSE_TIMERS[self.step], RESPONSE_TIMEOUT_MS, self.proposal)

    def must_wait(self, now: float) -> bool:
        """Return whether no proposal may start now: leading, proposal pending, or in a cooldown."""
        return self.is_leader or self.step is not ProposalStep.IDLE or now < self._cooldown_until_ms

    def take_over(self, now: float) -> None:
        """Propose immediately as the leader's named successor, with retries at short intervals."""
        if not self.is_leader and self.step is ProposalStep.IDLE:
            self._named_successor_ms = now
            self.propose(now)

    def _cool_down(self, duration_ms: float, now: float) -> None:
        self._cooldown_until_ms = max(self._cooldown_until_ms, now + duration_ms)

    def handle_response(self, message: PrepareResponse | ProposeResponse, sender: str, now: float) -> None:
        """Handle a voter's response; a response to an earlier proposal or phase is ignored."""
        if message.proposal != self.proposal or sender not in self._voters:
            return
        match message:
            case PrepareResponse() if self.step is ProposalStep.PREPARING:
                self._handle_prepare_response(message, sender, now)
            case ProposeResponse() if self.step is ProposalStep.PROPOSING:
                self._handle_propose_response(message, sender, now)

    def _handle_prepare_response(self, message: PrepareResponse, sender: str, now: float) -> None:
        if not message.granted:
            return self._handle_rejection(message.highest_promised, now)
        self._prepare_responses[sender] = message
        if len(self._prepare_responses) < self.majority():
            return
        responses = self._prepare_responses.values()
        leases_of_others = [r.lease for r in responses if r.lease is not None and not self._is_own(r.lease)]
        if leases_of_others:
            remaining_ms = max(lease.remaining_ms for lease in leases_of_others)
            self.reason = (
                f"{leases_of_others[0].proposal.candidate} holds the lease for another {remaining_ms:.0f} ms"
            )
            # There is no competing proposal, only a lease that must expire, so the backoff need not grow.
            self._backoff_ms = INITIAL_BACKOFF_MS / 2.0
            wait_ms = remaining_ms * (1.0 + self._drift) + INITIAL_BACKOFF_MS * self._rng.random()
            return self._fail(wait_ms, now)
        latest = max(responses, key=lambda response: response.token)
        if not self.is_leader:
            # Greater than any token that a majority has accepted. After a restart of the entire fleet, only
            # the wall clock ensures that tokens increase.
            highest_known = max(latest.token, self.highest_claimed_token)
            self._proposed_token = max(highest_known + 1, self._wall_clock_ms())
            self.state = latest.state
        self.step = ProposalStep.PROPOSING
        self._proposed_at_ms = now
        self._request = Propose(
            self.role, self.proposal, self._term_ms, self._proposed_token, self.state, self.voters_epoch
        )
        self._send_request()

    def _is_own(self, lease: Lease) -> bool:
        """Return whether a lease belongs to this very incarnation, as a former one may still be active."""
        return lease.proposal.proposer() == (self._name, self._incarnation)

    def _handle_propose_response(self, message: ProposeResponse, sender: str, now: float) -> None:
        if not message.accepted:
            return self._handle_rejection(message.highest_promised, now)
        self._accepted_by.add(sender)
        if len(self._accepted_by) < self.majority():
            return
        self.step = ProposalStep.IDLE
        expires_ms = self._proposed_at_ms + self._term_ms * (1.0 - self._drift)
        if now >= expires_ms - STOP_MARGIN_MS:  # responses too late: the lease has nearly expired
            return self._fail(INITIAL_BACKOFF_MS, now)
        self.expires_ms = expires_ms
        self._backoff_ms = INITIAL_BACKOFF_MS
        self.set_timer(LeaseTimer.EXPIRY, expires_ms - STOP_MARGIN_MS - now, self.proposal)
        renewal_ms = self._term_ms * RENEWAL_SHARE * (0.8 + 0.4 * self._rng.random())
        self.set_timer(LeaseTimer.RENEWAL, renewal_ms, self.proposal)
        if not self.is_leader:
            self.is_leader = True
            self.token = self._proposed_token
            self.reason = ""
            self.actions.append(LeaseAcquired(self.role, self.token, self.state))

    def _handle_rejection(self, highest_promised: ProposalNumber, now: float) -> None:
        """Fail, as a voter has promised a competing proposal; the next proposal number exceeds that one."""
        self._round = max(self._round, highest_promised.round)
        self.reason = f"{highest_promised.candidate} has a proposal with a higher number"
        self._fail(0.0, now)

    def _fail(self, min_wait_ms: float, now: float) -> None:
        """End this proposal; exponential backoff with jitter separates competing candidates."""
        self.step = ProposalStep.IDLE
        if not self.is_leader and now - self._named_successor_ms < HANDOVER_WINDOW_MS:
            # Voters may not have the release yet, or may have promised the old leader a higher round.
            delay_ms = HANDOVER_RETRY_DELAY_MS * (0.5 + self._rng.random())
            self.set_timer(LeaseTimer.HANDOVER_RETRY, delay_ms, self.proposal)
            return
        self._backoff_ms = min(MAX_BACKOFF_MS, 2.0 * self._backoff_ms)
        wait_ms = max(min_wait_ms, self._backoff_ms * (0.5 + self._rng.random()))
        if self.is_leader:  # a renewal may be retried until the lease expires
            self.set_timer(LeaseTimer.RENEWAL, min(wait_ms, MAX_RENEWAL_RETRY_DELAY_MS), self.proposal)
        else:
            self._cooldown_until_ms = now + wait_ms

    # Timers

    def timer_fired(self, timer: LeaseTimer, proposal: ProposalNumber, now: float) -> None:
        """Handle a timer that was set during `proposal`.

        An expiry is valid whichever proposal is current; all other timers only if theirs is still current.
        """
        if timer is LeaseTimer.EXPIRY:
            if self.is_leader and now >= self.expires_ms - STOP_MARGIN_MS:
                self.stop("its lease could not be renewed", now)
        elif proposal != self.proposal:
            return
        elif timer is RESPONSE_TIMERS.get(self.step):
            self._handle_response_timeout(now)
        elif self.step is ProposalStep.IDLE and (
            (timer is LeaseTimer.HANDOVER_RETRY and not self.is_leader)
            or (timer is LeaseTimer.RENEWAL and self.is_leader)
        ):
            self.propose(now)

    def _handle_response_timeout(self, now: float) -> None:
        if self._resends < MAX_RESENDS:
            return self._resend_request()
        preparing = self.step is ProposalStep.PREPARING
        count = len(self._prepare_responses) if preparing else len(self._accepted_by)
        self.reason = f"{count} of {len(self._voters)} voters responded, and {self.majority()} are needed"
        self._fail(0.0, now)

    # Giving up the lease

    def stop(self, reason: str, now: float) -> None:
        """Give up leadership and have the role's work stopped."""
        self.is_leader = False
        self.step = ProposalStep.IDLE
        self.reason = reason
        self.actions.append(LeaseLost(self.role, self.token, reason))
        self._cool_down(COOLDOWN_AFTER_LOSS_MS * (0.5 + self._rng.random()), now)

    def release(self, successor: str, now: float) -> None:
        """Release the lease before it expires, if this process leads.

        The work stops before the voters are notified, so that no successor starts while it is still running.
        """
        if not self.is_leader:
            return
        self.stop(f"handed over to {successor or 'the next candidate'}", now)
        self._cool_down(COOLDOWN_AFTER_HANDOVER_MS, now)
        message = Release(self.role, self.proposal, successor, self.token, self.state)
        self._broadcast(message)
        if successor and successor not in self._voters:
            self.actions.append(SendMessage(successor, message))

    def _broadcast(self, message: Message) -> None:
        self.actions.extend(SendMessage(voter, message) for voter in self._voters)


def _no_timer(timer: LeaseTimer, delay_ms: float, proposal: ProposalNumber) -> None:
    """Default of `Candidate.set_timer` until the owner sets it."""
