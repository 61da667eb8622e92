"""Membership: three members, messages in any order, a kill, a leave and a restart under the same name.

What must hold at every change of any view: keys only rise, so nobody who has died, left or been replaced
comes back by old news.
"""

from __future__ import annotations

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import DEAD, LEFT
from lab.explore.copying import EVEN, mark
from lab.explore.net import Explored, Net, Told
from lab.explore.search import Move

NAMES = ("m1", "m2", "m3")
STEP_MS = 250.0
MOST_TIMERS = 24  # of a member that are kept; later ones come when those have fired
Key = tuple[int, bool, int, int]


class State(Explored):
    """All members at one instant."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.cores: dict[str, Membership] = {}
        self.alive: dict[str, bool] = {}
        self.timers: dict[str, list[tuple[float, int]]] = {}
        self.keys: dict[tuple[str, str], Key] = {}  # as of each view
        self.waits = self.kills = self.starts = 0


class MembershipSystem(Told):
    """The system; bounds are how often each may happen."""

    name = "membership"

    def __init__(self, waits: int = 40, kills: int = 1, starts: int = 2, copies: int = 3) -> None:
        self._waits, self._kills, self._starts, self._copies = waits, kills, starts, copies

    def initial(self) -> State:
        """All three know each other."""
        state = State()
        for n, name in enumerate(NAMES):
            self._start(state, name, n + 1)
        for a in NAMES:
            for b in NAMES:
                if a != b:
                    self._give(state, a, api.PushPullReceived(state.cores[b].state(), f"at {b}", True))
        state.net = Net()
        return state

    def _start(self, state: State, name: str, life: int) -> None:
        seeds = [f"at {NAMES[0]}", f"at {NAMES[1]}"]
        state.cores[name] = Membership(name, f"at {name}", seeds, life, life, EVEN)
        state.alive[name] = True
        state.timers[name] = []
        state.keys = {pair: key for pair, key in state.keys.items() if pair[0] != name}
        state.marks.pop(name, None)
        self._give(state, name, api.Started())

    def _core(self, state: State, name: str) -> Membership:
        """A member that may be changed."""
        return state.changing(state.cores, name)

    def moves(self, state: State) -> list[Move]:
        found = state.net.moves(state.copies < self._copies)
        for name in NAMES:
            if state.alive[name]:
                found += [("fire", name, n) for n, t in enumerate(state.timers[name]) if t[0] <= state.now]
                if state.kills < self._kills:
                    found += [("kill", name), ("leave", name)]
            if state.starts < self._starts:
                found.append(("start", name))  # also while it runs: from nothing, under the same name
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
                    self._give(state, to, api.MessageReceived(message, f"at {sender}"))
            case ("fire", name, n):
                timers = list(state.timers[name])
                _, token = timers.pop(n)
                state.timers[name] = timers
                self._core(state, name)
                self._give(state, name, api.TimerFired(token))
            case ("kill", name):
                state.kills += 1
                state.alive[name] = False
            case ("leave", name):
                state.kills += 1
                self._core(state, name)
                self._give(state, name, api.LeaveRequested())
                state.alive[name] = False
            case ("start", name):
                state.starts += 1
                self._start(state, name, 10 + state.starts)
            case ("wait",):
                state.waits += 1
                state.now += STEP_MS
        return state

    def _give(self, state: State, name: str, event: api.Event) -> None:
        for action in state.cores[name].handle(event, state.now):
            match action:
                case api.SendDatagram() if action.address.startswith("at "):
                    state.net.add(action.address.removeprefix("at "), name, action.message)
                case api.SetTimer():
                    due = state.now + action.delay_ms, action.token
                    state.timers[name] = sorted([*state.timers[name], due])[:MOST_TIMERS]
                case api.MemberChanged():
                    self._changed(state, name, action.name)

    def _changed(self, state: State, viewer: str, name: str) -> None:
        member = state.cores[viewer].view.members[name]
        key, before = member.precedence(), state.keys.get((viewer, name))
        if before is not None and key < before:
            state.broken = f"{viewer} goes back on {name}, {before} to {key}"
        elif before is not None and before[3] in (DEAD, LEFT) and member.is_alive() and key[0] == before[0]:
            # Only a word of its own, a higher revision, may bring back one that died; none one that left.
            old = before[1] or key[2] <= before[2]
            state.broken = f"{name} is back for {viewer} by old news, {before} to {key}" if old else ""
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
