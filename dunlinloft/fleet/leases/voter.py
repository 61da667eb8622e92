"""A voter: the acceptor of PaxosLease (Trencseni, Gazso, Reinhardt 2012), with its state in memory only.

A restarted process does not know what it promised and accepted before, so it does not vote until all of that
has expired.
"""

from __future__ import annotations

from collections.abc import Sequence

from dunlinloft.fleet.leases.messages import (
    NO_PROPOSAL,
    Lease,
    Prepare,
    PrepareResponse,
    ProposalNumber,
    Propose,
    ProposeResponse,
    Release,
    SendMessage,
    TokensRequest,
    TokensResponse,
    majority,
)

MAX_ROLES = 256  # limits the memory that a flood of unknown role names can use


class _AcceptorState:
    """The acceptor's state of one role."""

    __slots__ = ("accepted", "expires_ms", "highest_promised", "state", "token")

    def __init__(self, token: int) -> None:
        self.highest_promised = NO_PROPOSAL
        self.accepted = NO_PROPOSAL
        self.expires_ms = 0.0  # of the accepted lease, by this voter's clock
        self.token = token
        self.state = b""


class Voter:
    """One voter's state of all roles; `manager.LeaseManager` passes received messages to it.

    It votes once two conditions hold. First, the longest lease term has passed since its start, so that
    nothing that a former incarnation may have promised or accepted is still valid. Second, it knows the
    tokens that were issued: either from so many other voters that every majority contains one of them, or
    from all others if they have lost their memory too (after a start of the entire fleet; then the wall clock
    must keep tokens increasing).

    Parameters: `started_ms`, by the process's own monotonic clock; `max_term_ms`, the longest lease that any
    candidate may propose; `drift`, the maximum relative difference of two clocks' rates.
    """

    def __init__(
        self, name: str, voters: list[str], started_ms: float, max_term_ms: float, drift: float
    ) -> None:
        self._name = name
        self._drift = drift
        self._max_term_ms = max_term_ms
        self._recovery_until_ms = started_ms + max_term_ms * (1.0 + drift)
        self._responded: dict[str, bool] = {}  # by other voter: whether it has recovered
        self._tokens: dict[str, int] = {}
        self._states: dict[str, _AcceptorState] = {}
        self._recovered = False
        self.request_id = int(started_ms)  # excludes responses to a former incarnation
        self.set_voters(voters)

    def set_voters(self, voters: Sequence[str]) -> None:
        """Replace the voter set; the new one also contains this process."""
        self._others = [other for other in voters if other != self._name]
        self._required = len(voters) - majority(len(voters)) + 1
        self._responded = {
            name: recovered for name, recovered in self._responded.items() if name in self._others
        }
        self._check_recovered()

    def recovered(self) -> bool:
        """Return whether this voter knows the tokens that were issued."""
        return self._recovered

    def _check_recovered(self) -> None:
        """Update whether this voter has recovered; a later change of voters does not revert that."""
        informed = sum(self._responded.values())
        self._recovered |= informed >= self._required or len(self._responded) == len(self._others)

    def may_vote(self, now: float) -> bool:
        """Return whether this voter may vote."""
        return now >= self._recovery_until_ms and self.recovered()

    def recovery_requests(self, voters_epoch: int = 0) -> list[SendMessage]:
        """Return requests to the voters that have not responded with intact memory; none once recovered."""
        if self.recovered():
            return []
        request = TokensRequest("", self.request_id, voters_epoch)
        return [SendMessage(other, request) for other in self._others if not self._responded.get(other)]

    def handle_tokens_response(self, message: TokensResponse, sender: str) -> None:
        """Handle another voter's response to `recovery_requests`."""
        if message.request_id != self.request_id or sender not in self._others:
            return
        self._responded[sender] = message.recovered or self._responded.get(sender, False)
        self._check_recovered()
        self.merge_tokens(message.tokens)

    def merge_tokens(self, tokens: dict[str, int]) -> None:
        """Record that these tokens were issued."""
        for role, token in tokens.items():
            self._tokens[role] = max(self._tokens.get(role, 0), token)
            if role in self._states:
                self._states[role].token = max(self._states[role].token, token)

    def tokens(self) -> dict[str, int]:
        """Return the highest token of each role known to this voter."""
        return self._tokens | {
            role: max(state.token, self._tokens.get(role, 0)) for role, state in self._states.items()
        }

    def tokens_response(self, message: TokensRequest, voters_epoch: int = 0) -> TokensResponse:
        """Return the response to another voter that recovers."""
        return TokensResponse("", message.request_id, self.recovered(), self.tokens(), voters_epoch)

    def handle(
        self, message: Prepare | Propose | Release, now: float
    ) -> PrepareResponse | ProposeResponse | None:
        """Return the response to a candidate; None for a release, and while this voter may not vote."""
        if not self.may_vote(now):
            return None
        state = self._states.get(message.role)
        if state is None:
            if len(self._states) >= MAX_ROLES:
                return None
            state = _AcceptorState(self._tokens.get(message.role, 0))
            self._states[message.role] = state
        match message:
            case Prepare():
                return self._handle_prepare(state, message, now)
            case Propose():
                return self._handle_propose(state, message, now)
            case Release():
                self._handle_release(state, message)
        return None

    def _handle_prepare(self, state: _AcceptorState, message: Prepare, now: float) -> PrepareResponse:
        # Equal if the candidate resends a request whose response was lost.
        granted = message.proposal >= state.highest_promised
        if granted:
            state.highest_promised = message.proposal
        lease = None
        if state.expires_ms > now:
            lease = Lease(state.accepted, state.token, state.expires_ms - now)
        return PrepareResponse(
            message.role, message.proposal, granted, state.highest_promised, lease, state.token, state.state
        )

    def _handle_propose(self, state: _AcceptorState, message: Propose, now: float) -> ProposeResponse:
        # A longer term would exceed the recovery time of a restarted voter.
        accepted = message.proposal >= state.highest_promised and message.term_ms <= self._max_term_ms
        if accepted:
            state.highest_promised = message.proposal
            state.accepted = message.proposal
            # The local clock may run faster than the leader's, so the voter adds the drift and the leader
            # subtracts it.
            state.expires_ms = now + message.term_ms * (1.0 + self._drift)
            self._take_state(state, message.token, message.state)
        return ProposeResponse(message.role, message.proposal, accepted, state.highest_promised)

    def _handle_release(self, state: _AcceptorState, message: Release) -> None:
        proposal = message.proposal
        if state.accepted.proposer() != proposal.proposer() or state.accepted > proposal:
            return
        state.expires_ms = 0.0
        # A renewal with the same proposal may still be in transit and must be rejected from now on.
        beyond = ProposalNumber(proposal.round, proposal.candidate, proposal.incarnation + 1)
        state.highest_promised = max(state.highest_promised, beyond)
        self._take_state(state, message.token, message.state)

    @staticmethod
    def _take_state(state: _AcceptorState, token: int, content: bytes) -> None:
        if token >= state.token:
            state.token = token
            state.state = content
