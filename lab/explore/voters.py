"""Voter changes under restarts: once a change is complete, the old voters can no longer form a majority.

Three voters become four, and the fourth already knows the new set. The cores are complete processes without
roles, plus the voter change logic of the state table's holder.
"""

from __future__ import annotations

from typing import Any

from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.messages import (
    MessageReceived,
    SendMessage,
    TokensResponse,
    VoterSet,
    VoterSetAck,
    VoterSetUpdate,
)
from dunlinloft.fleet.leases.voters import VoterChange, VoterChangeStep
from lab.explore.copying import CONSTANT_RANDOM, mark
from lab.explore.net import Explored, ExploredSystem
from lab.explore.search import Move

OLD_VOTERS = ("v1", "v2", "v3")
NEW_VOTERS = (*OLD_VOTERS, "v4")
HOLDER = "h"
STARTED_MS = -1e6  # start time of all processes, so that no recovery period is pending
DRIFT = 0.02


class State(Explored):
    """All processes at one point in time."""

    def __init__(self) -> None:
        super().__init__()
        self.cores: dict[str, LeaseManager] = {}
        self.changes: dict[str, VoterChange] = {}
        self.begun = False
        self.restarts = self.asked = 0


class VotersSystem(ExploredSystem):
    """The explored system; the arguments limit how often each kind of move may occur."""

    name = "voters"

    def __init__(self, restarts: int = 1, asked: int = 1, copies: int = 0) -> None:
        self._restarts, self._asked, self._copies = restarts, asked, copies

    def initial(self) -> State:
        """Return the state in which the old voters have recovered; the table's holder is not a voter."""
        state = State()
        for name in NEW_VOTERS:
            core = state.cores[name] = self._core(name, 1)
            if name not in OLD_VOTERS:
                core.handle(MessageReceived(VoterSetUpdate("", VoterSet(1, NEW_VOTERS)), HOLDER), 0.0)
            for other in OLD_VOTERS:
                if core.member.acceptor is not None and other != name:
                    core.member.acceptor.handle_tokens_response(
                        TokensResponse("", core.member.acceptor.request_id, True, {}), other
                    )
        state.changes = {HOLDER: VoterChange(CONSTANT_RANDOM, 0.0, DRIFT)}
        return state

    def _core(self, name: str, incarnation: int) -> LeaseManager:
        return LeaseManager(
            name, incarnation, list(OLD_VOTERS), [], CONSTANT_RANDOM, _zero_wall_clock, STARTED_MS, 0.0, DRIFT
        )

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        if not state.begun:
            found.append(("begin",))
        recovering = [
            name
            for name, core in state.cores.items()
            if core.member.acceptor and not core.member.acceptor.recovered()
        ]
        if state.asked < self._asked:
            found += [("ask", name) for name in recovering]
        if (
            state.restarts < self._restarts and not recovering
        ):  # of three voters only one may be without state at a time
            found += [("restart", name) for name in OLD_VOTERS]
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                self._deliver(state, *state.take(move))
            case ("begin",):
                state.begun = True
                self._send_all(
                    state,
                    HOLDER,
                    state.changing(state.changes, HOLDER).begin(VoterSet(1, NEW_VOTERS), OLD_VOTERS),
                )
            case ("ask", name):
                state.asked += 1
                self._request_recovery(state, name)
            case ("restart", name):
                state.restarts += 1
                state.cores[name] = self._core(name, 2 + state.restarts)
                state.marks.pop(name, None)
                self._request_recovery(state, name)
        self._check(state)
        return state

    def _request_recovery(self, state: State, name: str) -> None:
        core = state.cores[name]
        if core.member.acceptor is not None:
            self._send_all(state, name, core.member.acceptor.recovery_requests(core.voters.epoch))

    def _deliver(self, state: State, to: str, sender: str, message: Any) -> None:
        if to == HOLDER:
            if isinstance(message, VoterSetAck):
                change = state.changing(state.changes, HOLDER)
                self._send_all(state, HOLDER, change.handle_ack(message, sender, 0.0))
            return
        core = state.changing(state.cores, to)
        actions = core.handle(MessageReceived(message, sender), 0.0)
        self._send_all(state, to, [action for action in actions if isinstance(action, SendMessage)])

    def _send_all(self, state: State, sender: str, requests: list[SendMessage]) -> None:
        for request in requests:
            state.net.add(request.recipient, sender, request.message)

    def _check(self, state: State) -> None:
        if state.changes[HOLDER].step != VoterChangeStep.EXPIRING:
            return
        still_old = [
            name
            for name, core in state.cores.items()
            if core.member.acceptor and core.voters.epoch == 0 and core.member.acceptor.recovered()
        ]
        if len(still_old) >= VoterSet(0, OLD_VOTERS).majority():
            state.broken = f"the change is over, and {', '.join(still_old)} still vote as of before it"

    def mark(self, state: State) -> bytes:
        for name, core_or_change in (*state.cores.items(), *state.changes.items()):
            if name not in state.marks:
                state.marks[name] = repr(mark(core_or_change, 0.0)).encode()
        rest = repr((state.begun, state.restarts, state.asked, state.copies, state.broken)).encode()
        marks = [state.marks[name] for name in sorted(state.marks)]
        return b"".join((rest, *marks, *state.net.marks()))


def _zero_wall_clock() -> int:
    return 0
