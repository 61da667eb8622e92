"""The state table: three voters, successive holders unaware of each other, restarts without state.

A holder never stops by itself here: a replaced holder continues to read and write with its old token, so that
safety rests on fencing alone. Retransmission is left out, since messages may arrive late and twice anyway.
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
from lab.explore.copying import CONSTANT_RANDOM, mark
from lab.explore.net import Explored, ExploredSystem
from lab.explore.search import Move

VOTERS, HOLDERS = ("v1", "v2", "v3"), ("h1", "h2", "h3")
ORDERS = list(permutations(VOTERS))
KEY = "k"


class State(Explored):
    """All processes at one point in time."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas: dict[str, TableReplica] = {}
        self.primaries: dict[str, TablePrimary] = {}
        self.begun = self.writes = self.restarts = 0
        self.acked = 0  # the latest acknowledged write
        self.known = 0  # the write found at the latest opening; older ones must never be found again
        self.gone: frozenset[int] = frozenset()  # writes not found at an opening, which must not reappear


class LedgerSystem(ExploredSystem):
    """The explored system; the arguments limit how often each kind of move may occur."""

    name = "ledger"

    def __init__(self, holders: int = 3, writes: int = 2, restarts: int = 1, copies: int = 0) -> None:
        self._holders, self._writes, self._restarts, self._copies = holders, writes, restarts, copies

    def initial(self) -> State:
        """Return the state in which all voters are ready and the table is empty."""
        state = State()
        for name in VOTERS:
            replica = state.replicas[name] = TableReplica(name, list(VOTERS), 0)
            replica.ready, replica.reading_peers = True, False
        return state

    def _primary(self, state: State, name: str) -> TablePrimary:
        primary = state.changing(state.primaries, name)
        primary.set_timer = _no_timer
        return primary

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        if state.begun < self._holders:
            found.append(("begin", HOLDERS[state.begun]))
        if state.writes < self._writes:
            found += [
                ("write", name) for name, primary in state.primaries.items() if primary.step == TableStep.OPEN
            ]
        if state.restarts < self._restarts and all(replica.ready for replica in state.replicas.values()):
            found += [
                ("restart", name) for name in VOTERS
            ]  # of three voters only one may be without state at a time
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                self._deliver(state, *state.take(move))
            case ("begin", name):
                state.begun += 1
                state.primaries[name] = TablePrimary(list(VOTERS), CONSTANT_RANDOM)
                state.primaries[name].set_timer = _no_timer
                state.primaries[name].start(state.begun)
                self._perform_actions(state, name)
            case ("write", name):
                state.writes += 1
                self._primary(state, name).write(KEY, bytes([state.writes]), state.writes)
                self._perform_actions(state, name)
            case ("restart", name):
                state.restarts += 1
                replica = state.replicas[name] = TableReplica(name, list(VOTERS), state.restarts)
                state.marks.pop(name, None)
                for request in replica.recovery_requests():
                    state.net.add(request.recipient, name, request.message)
        return state

    def _deliver(self, state: State, to: str, sender: str, message: Any) -> None:
        if to in HOLDERS:
            if to in state.primaries:
                self._primary(state, to).handle(message, sender)
                self._perform_actions(state, to)
            return
        replica = state.changing(state.replicas, to)
        match message:
            case TableRead():
                answer: TablePage | TableWriteAck | None = replica.handle_read(message)
            case TableWrite():
                answer = replica.handle_write(message)
            case TablePage():
                for request in replica.handle_recovery_page(message, sender):
                    state.net.add(request.recipient, to, request.message)
                return
        if answer is not None:
            state.net.add(sender, to, answer)

    def _perform_actions(self, state: State, name: str) -> None:
        primary = state.primaries[name]
        for action in primary.actions:
            match action:
                case SendMessage():
                    state.net.add(action.recipient, name, action.message)
                case TableOpened():
                    self._check_opened(state, name, primary)
                case WriteCompleted() if action.committed:
                    if action.request_id in state.gone:
                        state.broken = f"write {action.request_id} is acknowledged, and a successor lacks it"
                    state.acked = max(state.acked, action.request_id)
        primary.actions = []

    def _check_opened(self, state: State, name: str, primary: TablePrimary) -> None:
        """Check the row at an opening: not older than acknowledged, and not one that was gone before."""
        row = primary.rows.get(KEY)
        found = row.value[0] if row is not None else 0
        newest = primary.token == max(other.token for other in state.primaries.values())
        if not newest:
            return  # already replaced: its writes are rejected
        if found < state.acked:
            state.broken = f"{name} finds write {found}, and write {state.acked} was acknowledged"
        elif found in state.gone:
            state.broken = f"{name} finds write {found}, which a former holder did not"
        elif found < state.known:
            state.broken = f"{name} finds write {found}, and a former holder found {state.known}"
        # A later write of a key replaces an earlier one; writes later than the one found are gone.
        state.known = max(state.known, found)
        state.gone |= frozenset(range(found + 1, state.writes + 1))

    def mark(self, state: State) -> bytes:
        for name, core in (*state.replicas.items(), *state.primaries.items()):
            if name not in state.marks:
                state.marks[name] = repr(mark(core, 0.0)).encode()
        budgets = (
            state.begun,
            state.writes,
            state.restarts,
            state.copies,
            state.acked,
            state.known,
            sorted(state.gone),
        )
        encoded_rest = repr((budgets, state.broken)).encode()
        if state.restarts:
            order = sorted(state.marks)
            return encoded_rest + b"".join(state.marks[name] for name in order) + b"".join(state.net.marks())
        # Voters are interchangeable: of all permutations, the smallest encoding represents the state.
        return encoded_rest + min(self._encode_with_order(state, order) for order in ORDERS)

    def _encode_with_order(self, state: State, order: tuple[str, ...]) -> bytes:
        names = [(name.encode(), b"#%d" % n) for n, name in enumerate(order)]

        def renamed(text: bytes) -> bytes:
            for old, new in names:
                text = text.replace(old, new)
            return text

        parts = [renamed(state.marks[name]) for name in (*order, *HOLDERS) if name in state.marks]
        return b"".join(parts) + b"".join(sorted(map(renamed, state.net.marks())))


def _no_timer(delay_ms: float, tick: int) -> None:
    """Set no timer: nothing is retransmitted."""
