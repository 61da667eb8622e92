"""A voter: the acceptor of PaxosLease (Trencseni, Gazso, Reinhardt 2012), with its state in memory alone.

A process that has started does not know what it promised and accepted before, so it takes no part until
whatever that was has expired.
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

MAX_ROLES = 256  # bounds the memory that a flood of made-up role names can take


class _AcceptorState:
    """What is stored of one role."""

    __slots__ = ("accepted", "expires_ms", "highest_promised", "state", "token")

    def __init__(self, token: int) -> None:
        self.highest_promised = NO_PROPOSAL
        self.accepted = NO_PROPOSAL
        self.expires_ms = 0.0  # of the accepted lease, by this voter's clock
        self.token = token
        self.state = b""


class Voter:
    """One voter's memory of all roles; `manager.LeaseManager` gives it the messages that come.

    It votes once two conditions hold. The longest lease has expired since its start, so nothing that a former
    incarnation may have promised or accepted is still valid. And it knows the tokens that were issued, either
    from so many other voters that every majority contains one of them, or from all others, where they have
    lost their memory too (the entire fleet was started; then the wall clock has to keep tokens rising).

    Parameters: `started_ms` by the process's own monotonic clock; `max_term_ms`, the longest lease that any
    candidate may propose; `drift`, by how much two clocks' rates may differ, as a fraction.
    """

    def __init__(
        self, name: str, voters: list[str], started_ms: float, max_term_ms: float, drift: float
    ) -> None:
        self._name = name
        self._drift = drift
        self._max_term_ms = max_term_ms
        self._recovery_until_ms = started_ms + max_term_ms * (1.0 + drift)
        self._responded: dict[str, bool] = {}  # by other voter: whether it has recovered itself
        self._tokens: dict[str, int] = {}
        self._states: dict[str, _AcceptorState] = {}
        self._recovered = False
        self.request_id = int(started_ms)  # so that no response to a former incarnation is taken
        self.set_voters(voters)

    def set_voters(self, voters: Sequence[str]) -> None:
        """Replace the voter set; this process is in the new one too."""
        self._others = [other for other in voters if other != self._name]
        self._required = len(voters) - majority(len(voters)) + 1
        self._responded = {
            name: recovered for name, recovered in self._responded.items() if name in self._others
        }
        self._check_recovered()

    def recovered(self) -> bool:
        """Whether it knows the tokens that were issued."""
        return self._recovered

    def _check_recovered(self) -> None:
        """Recovery is final: a later change of voters makes it forget nothing."""
        informed = sum(self._responded.values())
        self._recovered |= informed >= self._required or len(self._responded) == len(self._others)

    def may_vote(self, now: float) -> bool:
        """Whether it takes part yet."""
        return now >= self._recovery_until_ms and self.recovered()

    def recovery_requests(self, voters_epoch: int = 0) -> list[SendMessage]:
        """Requests to the voters that have not responded with their memory intact; none once recovered."""
        if self.recovered():
            return []
        request = TokensRequest("", self.request_id, voters_epoch)
        return [SendMessage(other, request) for other in self._others if not self._responded.get(other)]

    def handle_tokens_response(self, message: TokensResponse, sender: str) -> None:
        """Another voter's response to `recovery_requests`."""
        if message.request_id != self.request_id or sender not in self._others:
            return
        self._responded[sender] = message.recovered or self._responded.get(sender, False)
        self._check_recovered()
        self.merge_tokens(message.tokens)

    def merge_tokens(self, tokens: dict[str, int]) -> None:
        """Take note that these tokens were issued."""
        for role, token in tokens.items():
            self._tokens[role] = max(self._tokens.get(role, 0), token)
            if role in self._states:
                self._states[role].token = max(self._states[role].token, token)

    def tokens(self) -> dict[str, int]:
        """The greatest token of each role that this voter knows of."""
        return self._tokens | {
            role: max(state.token, self._tokens.get(role, 0)) for role, state in self._states.items()
        }

    def tokens_response(self, message: TokensRequest, voters_epoch: int = 0) -> TokensResponse:
        """The response to another voter that recovers."""
        return TokensResponse("", message.request_id, self.recovered(), self.tokens(), voters_epoch)

    def handle(
        self, message: Prepare | Propose | Release, now: float
    ) -> PrepareResponse | ProposeResponse | None:
        """The response to a candidate; None for a release, and while this voter does not vote."""
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
        # Equal: the candidate repeats a request whose response was lost.
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
        # A longer term would outlast the recovery time of a voter that restarts.
        accepted = message.proposal >= state.highest_promised and message.term_ms <= self._max_term_ms
        if accepted:
            state.highest_promised = message.proposal
            state.accepted = message.proposal
            # This clock may run faster than the leader's: the drift is added here, and subtracted there.
            state.expires_ms = now + message.term_ms * (1.0 + self._drift)
            self._take_state(state, message.token, message.state)
        return ProposeResponse(message.role, message.proposal, accepted, state.highest_promised)

    def _handle_release(self, state: _AcceptorState, message: Release) -> None:
        proposal = message.proposal
        if state.accepted.proposer() != proposal.proposer() or state.accepted > proposal:
            return
        state.expires_ms = 0.0
        # A renewal by the same proposal may still be on its way: it has to be rejected from now on.
        beyond = ProposalNumber(proposal.round, proposal.candidate, proposal.incarnation + 1)
        state.highest_promised = max(state.highest_promised, beyond)
        self._take_state(state, message.token, message.state)

    @staticmethod
    def _take_state(state: _AcceptorState, token: int, content: bytes) -> None:
        if token >= state.token:
            state.token = token
            state.state = content
