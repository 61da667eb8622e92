"""Leases: three voters, two candidates, clock rates at the limits of the drift, restarts without state.

The cores are the production ones. Retransmission and retry delays are left out, since messages may arrive
late and twice anyway and a try may begin at any time. A former holder may act at any time with its old token,
like a process that was paused in the middle of its work.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Self

from dunlinloft.fleet.leases.candidate import STOP_MARGIN_MS, Candidate, LeaseTimer, ProposalStep
from dunlinloft.fleet.leases.guard import FencingGuard
from dunlinloft.fleet.leases.messages import (
    LeaseAcquired,
    LeaseLost,
    PrepareResponse,
    ProposalNumber,
    ProposeResponse,
    SendMessage,
    TokensRequest,
    TokensResponse,
)
from dunlinloft.fleet.leases.voter import Voter
from lab.explore.copying import CONSTANT_RANDOM, clone, mark
from lab.explore.net import Explored, ExploredSystem, Net
from lab.explore.search import Move

ROLE = "d"
TERM_MS, DRIFT = 1000.0, 0.35  # drift large enough for its effects to show in few moves
AFTER_MS = 0.5  # added to the time at which a term ends or a timer is due
VOTERS, CANDIDATES = ("v1", "v2", "v3"), ("a", "b")
RATES = {"v1": 1.15, "v2": 1.15, "v3": 1.0, "a": 0.85, "b": 1.15}  # within the drift of each other


class State(Explored):
    """All processes at one point in time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.voters: dict[str, Voter] = {}
        self.candidates: dict[str, Candidate] = {}
        # Candidate, timer, due time by the candidate's clock, proposal.
        self.timers: list[tuple[str, LeaseTimer, float, ProposalNumber]] = []
        self.guard = FencingGuard()
        self.tries = self.restarts = self.releases = self.waits = 0
        self.last = 0  # the highest token of any lease

    def copy(self) -> Self:
        """Return a copy with its own guard."""
        copy = super().copy()
        copy.guard = clone(self.guard)
        return copy

    def clock(self, name: str) -> float:
        """Return the time by a process's own clock."""
        return self.now * RATES[name]


class Duties(ExploredSystem):
    """The explored system; the arguments limit how often each kind of move may occur."""

    name = "duties"

    def __init__(
        self, held: bool = True, tries: int = 2, restarts: int = 1, copies: int = 1, releases: int = 1,
        waits: int = 6,
    ) -> None:  # fmt: skip
        self._held = held
        self._limits = {"tries": tries, "restarts": restarts, "copies": copies, "releases": releases}
        self._limits["waits"] = waits

    def initial(self) -> State:
        """Return the state with all voters recovered; with `held` the first candidate is the holder."""
        state = State()
        state.voters = {name: self._voter(name, -10.0 * TERM_MS) for name in VOTERS}
        for name, voter in state.voters.items():
            for other in VOTERS:
                if other != name:
                    voter.handle_tokens_response(TokensResponse("", voter.request_id, True, {}), other)
        state.candidates = {name: Candidate(*self._candidate(name, 1)) for name in CANDIDATES}
        for name in CANDIDATES:
            self._bind(state, name)
        if self._held:
            state = self.apply(state, ("try", "a"))
            while not state.candidates["a"].is_leader:
                state = self.apply(state, ("deliver", state.net.names[0]))
            state.net, state.tries = Net(), 0
        return state

    def _voter(self, name: str, began: float) -> Voter:
        return Voter(name, list(VOTERS), began, TERM_MS, DRIFT)

    def _candidate(self, name: str, incarnation: int) -> tuple[Any, ...]:
        return ROLE, name, incarnation, list(VOTERS), CONSTANT_RANDOM, _zero_wall_clock, TERM_MS, DRIFT

    def _bind(self, state: State, name: str) -> None:
        candidate = state.candidates[name]
        candidate.set_timer = partial(self._timer, state, name)
        candidate._wall_clock_ms = _zero_wall_clock

    def _timer(
        self, state: State, name: str, what: LeaseTimer, delay_ms: float, ballot: ProposalNumber
    ) -> None:
        if what in (LeaseTimer.EXPIRY, LeaseTimer.RENEWAL):
            state.timers.append((name, what, state.clock(name) + delay_ms, ballot))

    def _candidate_of(self, state: State, name: str) -> Candidate:
        """Return a candidate that may be changed."""
        candidate = state.changing(state.candidates, name)
        self._bind(state, name)
        return candidate

    # Moves

    def moves(self, state: State) -> list[Move]:
        def available(what: str) -> bool:
            return bool(getattr(state, what) < self._limits[what])

        found = state.net.moves(available("copies"))
        found += [("fire", n) for n, t in enumerate(state.timers) if t[2] <= state.clock(t[0])]
        for name, candidate in state.candidates.items():
            if available("tries") and not candidate.is_leader and candidate.step == ProposalStep.IDLE:
                found.append(("try", name))
            if available("releases") and candidate.is_leader:
                found.append(("release", name))
            if candidate.token > 0 and (candidate.holds(state.clock(name)) or candidate.token < state.last):
                found.append(("act", name))
            if available("restarts"):
                found.append(("restart", name))
        if available("restarts"):
            found += [("restart", name) for name in VOTERS]
        if available("waits"):
            found.append(("wait",))
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                self._deliver(state, *state.take(move))
            case ("fire", n):
                name, what, _, ballot = state.timers.pop(n)
                self._candidate_of(state, name).timer_fired(what, ballot, state.clock(name))
                self._perform_actions(state, name)
            case ("try", name):
                state.tries += 1
                self._candidate_of(state, name).propose(state.clock(name))
                self._perform_actions(state, name)
            case ("release", name):
                state.releases += 1
                self._candidate_of(state, name).release("", state.clock(name))
                self._perform_actions(state, name)
            case ("act", name):
                token = state.candidates[name].token
                if state.guard.admits(ROLE, token) and token < max(state.guard.highest_tokens.values()):
                    state.broken = f"an act of {name} with the old token {token} was obeyed"
            case ("restart", name):
                self._restart(state, name)
            case ("wait",):
                state.waits += 1
                state.marks = {}
                state.now = self._next(state)
        self._check(state)
        return state

    def _next(self, state: State) -> float:
        """Return a time just after the next end of a term or due timer; nothing changes before that."""
        times = [at / RATES[name] for name, _, at, _ in state.timers]
        for name, voter in state.voters.items():
            times += [
                at / RATES[name]
                for at in (voter._recovery_until_ms, *(s.expires_ms for s in voter._states.values()))
            ]
        times += [
            (c.expires_ms - STOP_MARGIN_MS) / RATES[name]
            for name, c in state.candidates.items()
            if c.is_leader
        ]
        return min((at for at in times if at > state.now), default=state.now + TERM_MS) + AFTER_MS

    def _restart(self, state: State, name: str) -> None:
        """Restart a process without its previous state."""
        state.restarts += 1
        state.marks.pop(name, None)
        if name in VOTERS:
            voter = state.voters[name] = self._voter(name, state.clock(name))
            for request in voter.recovery_requests():
                state.net.add(request.recipient, name, request.message)
            return
        old = state.candidates[name]
        state.candidates[name] = Candidate(*self._candidate(name, old._incarnation + 1))
        self._bind(state, name)
        state.timers = [timer for timer in state.timers if timer[0] != name]

    def _deliver(self, state: State, to: str, sender: str, message: Any) -> None:
        if to in state.candidates:
            if isinstance(message, PrepareResponse | ProposeResponse):
                self._candidate_of(state, to).handle_response(message, sender, state.clock(to))
                self._perform_actions(state, to)
            return
        voter = state.changing(state.voters, to)
        if isinstance(message, TokensRequest):
            state.net.add(sender, to, voter.tokens_response(message))
        elif isinstance(message, TokensResponse):
            voter.handle_tokens_response(message, sender)
        elif (answer := voter.handle(message, state.clock(to))) is not None:
            state.net.add(sender, to, answer)

    def _perform_actions(self, state: State, name: str) -> None:
        candidate = state.candidates[name]
        for action in candidate.actions:
            match action:
                case SendMessage():
                    state.net.add(action.recipient, name, action.message)
                case LeaseAcquired():
                    if action.token <= state.last:
                        state.broken = f"{name} began with token {action.token} after {state.last}"
                    state.last = max(state.last, action.token)
                    state.guard.admits(ROLE, action.token)
                case LeaseLost():
                    pass
        candidate.actions = []

    def _check(self, state: State) -> None:
        holders = [name for name, c in state.candidates.items() if c.holds(state.clock(name))]
        if len(holders) > 1 and not state.broken:
            state.broken = f"{' and '.join(holders)} hold it at {state.now:.0f} ms"

    # State fingerprints

    def mark(self, state: State) -> bytes:
        """Encode the state; voters that were not restarted are interchangeable, so names don't matter."""
        marks = state.marks
        for name, voter in state.voters.items():
            if name not in marks:
                marks[name] = repr(mark(voter, state.clock(name)))
        for name, candidate in state.candidates.items():
            if name not in marks:
                known = [
                    self._encode_attribute(candidate, attribute, state.clock(name))
                    for attribute in CANDIDATE_ATTRIBUTES
                ]
                marks[name] = repr(known)
        timers = sorted((name, what, round(at - state.clock(name)), b) for name, what, at, b in state.timers)
        rest = (
            timers, state.tries, state.restarts, state.copies, state.releases, state.waits, state.last,
            state.guard.highest_tokens, state.broken, marks["a"], marks["b"],
        )  # fmt: skip
        if state.restarts:
            answers = [(c._prepare_responses, sorted(c._accepted_by)) for c in state.candidates.values()]
            return repr((rest, answers, [marks[v] for v in VOTERS], state.net.marks())).encode()
        encoded_voters = {name: self._encode_voter(state, name) for name in VOTERS}
        return repr(
            (rest, sorted((encoded_voters["v1"], encoded_voters["v2"])), encoded_voters["v3"])
        ).encode()

    def _encode_voter(self, state: State, name: str) -> str:
        """Encode a voter: its state, messages to and from it, and what the candidates know of it."""
        sent = [
            (to == name, sender if to == name else to, encoded_message.replace(name.encode(), b"v"))
            for (to, sender, _), encoded_message in zip(state.net.sent, state.net.marks(), strict=True)
            if name in (to, sender)
        ]
        known = [(c._prepare_responses.get(name), name in c._accepted_by) for c in state.candidates.values()]
        return repr((state.marks[name].replace(name, "v"), sorted(sent), known))

    def _encode_attribute(self, candidate: Candidate, attribute: str, now: float) -> Any:
        value = getattr(candidate, attribute)
        return round(max(-1.0, value - now), 1) if attribute.endswith("_ms") else value


CANDIDATE_ATTRIBUTES = (
    "step", "proposal", "_round", "_proposed_at_ms", "expires_ms", "token", "_proposed_token",
    "highest_claimed_token", "is_leader", "_incarnation",
)  # fmt: skip


def _zero_wall_clock() -> int:
    return 0
