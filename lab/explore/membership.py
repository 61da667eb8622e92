"""Membership: three members, messages in any order, a kill, a leave and a restart under the same name.

Invariant at every change of any view: precedence keys only increase, so no stale update revives a member that
has died, left or been replaced.
"""

from __future__ import annotations

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import DEAD, LEFT
from lab.explore.copying import CONSTANT_RANDOM, mark
from lab.explore.net import Explored, ExploredSystem, Net
from lab.explore.search import Move

NAMES = ("m1", "m2", "m3")
STEP_MS = 250.0
MAX_TIMERS = 24  # pending timers kept per member
Key = tuple[int, bool, int, int]


class State(Explored):
    """All members at one point in time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.cores: dict[str, Membership] = {}
        self.alive: dict[str, bool] = {}
        self.timers: dict[str, list[tuple[float, int]]] = {}
        self.keys: dict[tuple[str, str], Key] = {}  # by viewer and member
        self.waits = self.kills = self.starts = 0


class MembershipSystem(ExploredSystem):
    """The explored system; the arguments limit how often each kind of move may occur."""

    name = "membership"

    def __init__(self, waits: int = 40, kills: int = 1, starts: int = 2, copies: int = 3) -> None:
        self._waits, self._kills, self._starts, self._copies = waits, kills, starts, copies

    def initial(self) -> State:
        """Return the state in which all three members know each other."""
        state = State()
        for n, name in enumerate(NAMES):
            self._start(state, name, n + 1)
        for a in NAMES:
            for b in NAMES:
                if a != b:
                    self._handle_event(
                        state, a, api.PushPullReceived(state.cores[b].state(), f"at {b}", True)
                    )
        state.net = Net()
        return state

    def _start(self, state: State, name: str, incarnation: int) -> None:
        seeds = [f"at {NAMES[0]}", f"at {NAMES[1]}"]
        state.cores[name] = Membership(name, f"at {name}", seeds, incarnation, incarnation, CONSTANT_RANDOM)
        state.alive[name] = True
        state.timers[name] = []
        state.keys = {pair: key for pair, key in state.keys.items() if pair[0] != name}
        state.marks.pop(name, None)
        self._handle_event(state, name, api.Started())

    def _core(self, state: State, name: str) -> Membership:
        """Return a member that may be changed."""
        return state.changing(state.cores, name)

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        for name in NAMES:
            if state.alive[name]:
                found += [("fire", name, n) for n, t in enumerate(state.timers[name]) if t[0] <= state.now]
                if state.kills < self._kills:
                    found += [("kill", name), ("leave", name)]
            if state.starts < self._starts:
                found.append(
                    ("start", name)
                )  # also while it runs: a restart without state under the same name
        if state.waits < self._waits:
            found.append(("wait",))
        return found

    def apply(self, state: State, move: Move) -> State:
        state = state.copy()
        match move:
            case ("deliver" | "copy", _):
                to, sender, message = state.take(move)
                if state.alive[to]:
                    self._core(state, to)
                    self._handle_event(state, to, api.MessageReceived(message, f"at {sender}"))
            case ("fire", name, n):
                timers = list(state.timers[name])
                _, token = timers.pop(n)
                state.timers[name] = timers
                self._core(state, name)
                self._handle_event(state, name, api.TimerFired(token))
            case ("kill", name):
                state.kills += 1
                state.alive[name] = False
            case ("leave", name):
                state.kills += 1
                self._core(state, name)
                self._handle_event(state, name, api.LeaveRequested())
                state.alive[name] = False
            case ("start", name):
                state.starts += 1
                self._start(state, name, 10 + state.starts)
            case ("wait",):
                state.waits += 1
                state.now += STEP_MS
        return state

    def _handle_event(self, state: State, name: str, event: api.Event) -> None:
        for action in state.cores[name].handle(event, state.now):
            match action:
                case api.SendDatagram() if action.address.startswith("at "):
                    state.net.add(action.address.removeprefix("at "), name, action.message)
                case api.SetTimer():
                    due = state.now + action.delay_ms, action.token
                    state.timers[name] = sorted([*state.timers[name], due])[:MAX_TIMERS]
                case api.MemberChanged():
                    self._changed(state, name, action.name)

    def _changed(self, state: State, viewer: str, name: str) -> None:
        member = state.cores[viewer].view.members[name]
        key, previous_key = member.precedence(), state.keys.get((viewer, name))
        if previous_key is not None and key < previous_key:
            state.broken = f"{viewer} goes back on {name}, {previous_key} to {key}"
        elif (
            previous_key is not None
            and previous_key[3] in (DEAD, LEFT)
            and member.is_alive()
            and key[0] == previous_key[0]
        ):
            # A dead member may return only by its own higher revision; one that left may not return.
            is_stale = previous_key[1] or key[2] <= previous_key[2]
            state.broken = (
                f"{name} is back for {viewer} by old news, {previous_key} to {key}" if is_stale else ""
            )
        state.keys[viewer, name] = key

    def mark(self, state: State) -> bytes:
        for name, core in state.cores.items():
            if name not in state.marks:
                state.marks[name] = repr(mark(core, 0.0)).encode()
        rest = (
            state.now, state.alive, state.timers, state.waits, state.kills, state.starts, state.copies,
            state.broken,
        )  # fmt: skip
        return repr(rest).encode() + b"".join(state.marks[n] for n in NAMES) + b"".join(state.net.marks())
