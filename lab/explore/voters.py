"""Voters who change while some start anew: once a change is over, no majority of the old voters can be had.

Three voters become four, and the fourth knows that already. The cores are whole processes without a duty, and
the part of whoever holds the ledger.
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
from lab.explore.copying import EVEN, mark
from lab.explore.net import Explored, Told
from lab.explore.search import Move

OLD = ("v1", "v2", "v3")
NEW = (*OLD, "v4")
HOLDER = "h"
LONG_AGO_MS = -1e6  # since when all have run: nobody is silent any more
DRIFT = 0.02


class State(Explored):
    """All processes at one instant."""

    def __init__(self) -> None:
        super().__init__()
        self.cores: dict[str, LeaseManager] = {}
        self.changes: dict[str, VoterChange] = {}
        self.begun = False
        self.restarts = self.asked = 0


class VotersSystem(Told):
    """The system; bounds are how often each may happen."""

    name = "voters"

    def __init__(self, restarts: int = 1, asked: int = 1, copies: int = 0) -> None:
        self._restarts, self._asked, self._copies = restarts, asked, copies

    def initial(self) -> State:
        """The old voters vote and remember; the ledger's holder is none of them."""
        state = State()
        for name in NEW:
            core = state.cores[name] = self._core(name, 1)
            if name not in OLD:
                core.handle(MessageReceived(VoterSetUpdate("", VoterSet(1, NEW)), HOLDER), 0.0)
            for other in OLD:
                if core.member.acceptor is not None and other != name:
                    core.member.acceptor.handle_tokens_response(
                        TokensResponse("", core.member.acceptor.request_id, True, {}), other
                    )
        state.changes = {HOLDER: VoterChange(EVEN, 0.0, DRIFT)}
        return state

    def _core(self, name: str, life: int) -> LeaseManager:
        return LeaseManager(name, life, list(OLD), [], EVEN, _no_wall, LONG_AGO_MS, 0.0, DRIFT)

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        if not state.begun:
            found.append(("begin",))
        forgetful = [
            name
            for name, core in state.cores.items()
            if core.member.acceptor and not core.member.acceptor.recovered()
        ]
        if state.asked < self._asked:
            found += [("ask", name) for name in forgetful]
        if state.restarts < self._restarts and not forgetful:  # of three one may have forgotten at a time
            found += [("restart", name) for name in OLD]
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                self._deliver(state, *state.take(move))
            case ("begin",):
                state.begun = True
                self._tell(state, HOLDER, state.changing(state.changes, HOLDER).begin(VoterSet(1, NEW), OLD))
            case ("ask", name):
                state.asked += 1
                self._recall(state, name)
            case ("restart", name):
                state.restarts += 1
                state.cores[name] = self._core(name, 2 + state.restarts)
                state.marks.pop(name, None)
                self._recall(state, name)
        self._check(state)
        return state

    def _recall(self, state: State, name: str) -> None:
        core = state.cores[name]
        if core.member.acceptor is not None:
            self._tell(state, name, core.member.acceptor.recovery_requests(core.voters.epoch))

    def _deliver(self, state: State, to: str, sender: str, message: Any) -> None:
        if to == HOLDER:
            if isinstance(message, VoterSetAck):
                change = state.changing(state.changes, HOLDER)
                self._tell(state, HOLDER, change.handle_ack(message, sender, 0.0))
            return
        core = state.changing(state.cores, to)
        actions = core.handle(MessageReceived(message, sender), 0.0)
        self._tell(state, to, [action for action in actions if isinstance(action, SendMessage)])

    def _tell(self, state: State, sender: str, tells: list[SendMessage]) -> None:
        for tell in tells:
            state.net.add(tell.recipient, sender, tell.message)

    def _check(self, state: State) -> None:
        if state.changes[HOLDER].step != VoterChangeStep.EXPIRING:
            return
        behind = [
            name
            for name, core in state.cores.items()
            if core.member.acceptor and core.voters.epoch == 0 and core.member.acceptor.recovered()
        ]
        if len(behind) >= VoterSet(0, OLD).majority():
            state.broken = f"the change is over, and {', '.join(behind)} still vote as of before it"

    def mark(self, state: State) -> bytes:
        for name, thing in (*state.cores.items(), *state.changes.items()):
            if name not in state.marks:
                state.marks[name] = repr(mark(thing, 0.0)).encode()
        rest = repr((state.begun, state.restarts, state.asked, state.copies, state.broken)).encode()
        marks = [state.marks[name] for name in sorted(state.marks)]
        return b"".join((rest, *marks, *state.net.marks()))


def _no_wall() -> int:
    return 0
