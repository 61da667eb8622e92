"""The ledger: three voters, holders one after another that do not know of each other, restarts from nothing.

A holder never stops by itself here: the one that was replaced goes on reading and writing with its old
token, which is all that a fence may rest on. What lost messages are repeated for is left out, as messages
may come late and twice anyway.
"""

from __future__ import annotations

from itertools import permutations
from typing import Any

from dunlinloft.fleet.leases.messages import (
    SendMessage,
    TableOpened,
    TablePage,
    TableRead,
    TableWrite,
    TableWriteAck,
    WriteCompleted,
)
from dunlinloft.fleet.leases.table_primary import TablePrimary, TableStep
from dunlinloft.fleet.leases.table_replica import TableReplica
from lab.explore.copying import EVEN, mark
from lab.explore.net import Explored, Told
from lab.explore.search import Move

VOTERS, HOLDERS = ("v1", "v2", "v3"), ("h1", "h2", "h3")
ORDERS = list(permutations(VOTERS))
KEY = "k"


class State(Explored):
    """All processes at one instant."""

    def __init__(self) -> None:
        super().__init__()
        self.keepers: dict[str, TableReplica] = {}
        self.ledgers: dict[str, TablePrimary] = {}
        self.begun = self.writes = self.restarts = 0
        self.acked = 0  # the latest write that was acknowledged,
        self.known = 0  # and that which the latest opening found: older ones may never be found again
        self.gone: frozenset[int] = frozenset()  # writes that an opening did not find: they are no more


class LedgerSystem(Told):
    """The system; bounds are how often each may happen."""

    name = "ledger"

    def __init__(self, holders: int = 3, writes: int = 2, restarts: int = 1, copies: int = 0) -> None:
        self._holders, self._writes, self._restarts, self._copies = holders, writes, restarts, copies

    def initial(self) -> State:
        """All voters are ready, and there is nothing."""
        state = State()
        for name in VOTERS:
            keeper = state.keepers[name] = TableReplica(name, list(VOTERS), 0)
            keeper.ready, keeper.reading_peers = True, False
        return state

    def _ledger(self, state: State, name: str) -> TablePrimary:
        ledger = state.changing(state.ledgers, name)
        ledger.set_timer = _no_timer
        return ledger

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        if state.begun < self._holders:
            found.append(("begin", HOLDERS[state.begun]))
        if state.writes < self._writes:
            found += [
                ("write", name) for name, ledger in state.ledgers.items() if ledger.step == TableStep.OPEN
            ]
        if state.restarts < self._restarts and all(keeper.ready for keeper in state.keepers.values()):
            found += [("restart", name) for name in VOTERS]  # of three one may have forgotten at a time
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                self._deliver(state, *state.take(move))
            case ("begin", name):
                state.begun += 1
                state.ledgers[name] = TablePrimary(list(VOTERS), EVEN)
                state.ledgers[name].set_timer = _no_timer
                state.ledgers[name].start(state.begun)
                self._take(state, name)
            case ("write", name):
                state.writes += 1
                self._ledger(state, name).write(KEY, bytes([state.writes]), state.writes)
                self._take(state, name)
            case ("restart", name):
                state.restarts += 1
                keeper = state.keepers[name] = TableReplica(name, list(VOTERS), state.restarts)
                state.marks.pop(name, None)
                for tell in keeper.recovery_requests():
                    state.net.add(tell.recipient, name, tell.message)
        return state

    def _deliver(self, state: State, to: str, sender: str, message: Any) -> None:
        if to in HOLDERS:
            if to in state.ledgers:
                self._ledger(state, to).handle(message, sender)
                self._take(state, to)
            return
        keeper = state.changing(state.keepers, to)
        match message:
            case TableRead():
                answer: TablePage | TableWriteAck | None = keeper.handle_read(message)
            case TableWrite():
                answer = keeper.handle_write(message)
            case TablePage():
                for tell in keeper.handle_recovery_page(message, sender):
                    state.net.add(tell.recipient, to, tell.message)
                return
        if answer is not None:
            state.net.add(sender, to, answer)

    def _take(self, state: State, name: str) -> None:
        ledger = state.ledgers[name]
        for action in ledger.actions:
            match action:
                case SendMessage():
                    state.net.add(action.recipient, name, action.message)
                case TableOpened():
                    self._opened(state, name, ledger)
                case WriteCompleted() if action.committed:
                    if action.request_id in state.gone:
                        state.broken = f"write {action.request_id} is acknowledged, and a successor lacks it"
                    state.acked = max(state.acked, action.request_id)
        ledger.actions = []

    def _opened(self, state: State, name: str, ledger: TablePrimary) -> None:
        """A holder says what there is: never less than was acknowledged, and never what was gone."""
        row = ledger.rows.get(KEY)
        found = row.value[0] if row is not None else 0
        newest = ledger.token == max(other.token for other in state.ledgers.values())
        if not newest:
            return  # it is being replaced: whatever it writes is refused
        if found < state.acked:
            state.broken = f"{name} finds write {found}, and write {state.acked} was acknowledged"
        elif found in state.gone:
            state.broken = f"{name} finds write {found}, which a former holder did not"
        elif found < state.known:
            state.broken = f"{name} finds write {found}, and a former holder found {state.known}"
        # A later write of the same key replaces an earlier one; what is later than what is found is no more.
        state.known = max(state.known, found)
        state.gone |= frozenset(range(found + 1, state.writes + 1))

    def mark(self, state: State) -> bytes:
        for name, thing in (*state.keepers.items(), *state.ledgers.items()):
            if name not in state.marks:
                state.marks[name] = repr(mark(thing, 0.0)).encode()
        budgets = (
            state.begun,
            state.writes,
            state.restarts,
            state.copies,
            state.acked,
            state.known,
            sorted(state.gone),
        )
        rest = repr((budgets, state.broken)).encode()
        if state.restarts:
            order = sorted(state.marks)
            return rest + b"".join(state.marks[name] for name in order) + b"".join(state.net.marks())
        # Voters are alike: of all ways to name them the one with the least text stands for all.
        return rest + min(self._named(state, order) for order in ORDERS)

    def _named(self, state: State, order: tuple[str, ...]) -> bytes:
        names = [(name.encode(), b"#%d" % n) for n, name in enumerate(order)]

        def renamed(text: bytes) -> bytes:
            for old, new in names:
                text = text.replace(old, new)
            return text

        parts = [renamed(state.marks[name]) for name in (*order, *HOLDERS) if name in state.marks]
        return b"".join(parts) + b"".join(sorted(map(renamed, state.net.marks())))


def _no_timer(delay_ms: float, tick: int) -> None:
    """Nothing is repeated."""
