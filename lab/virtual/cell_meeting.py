"""How the processes of services in cells reach each other in virtual time: as bytes, over links by group.

What cores, and their bytes, take of this machine's processor is summed up where `timed` asks for it.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.directory import MemberMessageReceived
from dunlinloft.fleet.cells.messages import LookupRequest, SummaryReport
from dunlinloft.fleet.messages import ApplicationMessage, State
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.wire import MAX_DATAGRAM_BYTES, MessageRejected
from lab.lines import LinkFault
from lab.names import Names
from lab.scenario import Network, Nodes, Scenario
from lab.virtual.cell_processes import Guide, Member, Paths, read, read_state, written
from lab.virtual.fleet import Fleet
from lab.virtual.meeting import STREAM_LIMIT_MS, Process

T = TypeVar("T")


class CellMeeting(Fleet):
    """Members and guides, what they say to each other, and what that costs."""

    def __init__(self, seed: int) -> None:
        super().__init__(0, seed)
        self.groups: dict[str, str] = {}  # of processes
        names = Names(Scenario("cells", nodes=Nodes(count=0), network=Network()))
        self.zones = names.nodes  # of groups
        self.lines = Paths(self.groups, names, Network().jitter, self)
        self.refused: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()  # bytes by kind of message
        self.counts: Counter[str] = Counter()  # messages by kind
        self.taken: Counter[str] = Counter()  # bytes of datagrams that came, by process
        self.timed = False
        self.cpu: defaultdict[str, float] = defaultdict(float)  # seconds, by whose and what

    def _timed(self, what: str, process: Process, do: Callable[..., T], *args: Any) -> T:
        """Do it, and see how long it takes."""
        if not self.timed:
            return do(*args)
        begun = time.process_time()
        done = do(*args)
        whose = "directory" if isinstance(process, Guide) else "member"
        self.cpu[f"{whose} {what}"] += time.process_time() - begun
        return done

    # Cores

    def give(self, process: Process, event: api.Event) -> None:
        """Give a core an event and do what it says."""
        if process.alive:
            self.do(process, self._timed("core", process, process.core.handle, event, process.now()))

    def guide(self, guide: Guide, event: Any) -> None:
        """Give a directory's core an event and do what it says."""
        self.guided(guide, self._timed("core", guide, guide.directory.handle, event, guide.now()))

    def guided(self, guide: Guide, actions: list[Any]) -> None:
        """What a directory's core says."""
        for action in actions:
            match action:
                case api.SendDatagram():
                    self.post(guide, action.address, action.message)
                case shared.SendMessage():
                    member = guide.core.view.get(action.recipient)
                    if member is not None and member.is_alive():
                        self.post(
                            guide, member.address, ApplicationMessage(guide.core.header(), action.message)
                        )
                case shared.SetTimer():
                    event = shared.TimerFired(action.token)
                    self.after(action.delay_ms, self.turn, guide, self.guide, guide, event)

    # Bytes

    def post(self, process: Process, address: str, message: api.AnyMessage) -> None:
        """A datagram goes out."""
        data, kind = self._timed("wire", process, written, process, message), type(message).__name__
        if isinstance(message, ApplicationMessage):
            kind = type(message.content).__name__
        if len(data) > MAX_DATAGRAM_BYTES:
            raise AssertionError(f"{kind} of {len(data)} bytes, seed {self.seed}")
        self.bytes[process.name] += len(data)
        self.datagrams[process.name] += 1
        self.kinds[kind] += len(data)
        self.counts[kind] += 1
        target = self.by_address.get(address)
        if target is not None:
            for took in self.lines.between(process.name, target.name).datagram(len(data)):
                self.after(took, self.arrive, address, process.core.address, data)

    def arrive(self, address: str, source: str, data: bytes) -> None:
        """A datagram comes in, at whoever is at this address by now."""
        target = self.by_address.get(address)
        if target is None or not target.alive:
            return
        self.taken[target.name] += len(data)
        try:
            message, cut = self._timed("wire", target, read, target, data)
        except MessageRejected as reason:
            self.refused[str(reason)] += 1
            return
        if isinstance(target, Guide) and isinstance(message, LookupRequest | SummaryReport):
            self.turn(target, self.guide, target, MemberMessageReceived(message, source))
            return
        self.reach_in(target, api.MessageReceived(message, source, cut))
        if isinstance(target, Guide) and isinstance(message, ApplicationMessage):
            self._told(target, message)

    def _told(self, guide: Guide, message: ApplicationMessage) -> None:
        if isinstance(message.content, shared.PullRequest | shared.PullResponse):
            self.turn(guide, self.guide, guide, shared.MessageReceived(message.content, message.header.name))

    def _exchange(self, process: Process, address: str, state: State) -> None:
        assert isinstance(process, Member | Guide)
        data = process.wire.write_state(state)
        self._streamed(process, len(data))
        target = self.by_address.get(address)
        took = None if target is None else self._round_trips(process.name, target.name, 2, 1000)
        if target is None or took is None or not target.alive:
            self.after(STREAM_LIMIT_MS, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        self.after(took * 0.75, self.turn, target, self._asked, target, process, address, data, took * 0.25)

    def _asked(self, target: Process, process: Process, address: str, data: bytes, back_ms: float) -> None:
        assert isinstance(target, Member | Guide)
        try:
            state, cut = read_state(target, data)
        except MessageRejected as reason:
            self.refused[str(reason)] += 1
            self.after(back_ms, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        answer = target.wire.write_state(target.core.state_for(state))
        self._streamed(target, len(answer))
        sender = next((r.address for r in state.records if r.name == state.header.name), "")
        self.give(target, api.PushPullReceived(state, sender, False, cut))
        self.after(back_ms, self._answered, process, address, answer)

    def _answered(self, process: Process, address: str, data: bytes) -> None:
        state, cut = read_state(process, data)
        self.reach_in(process, api.PushPullReceived(state, address, True, cut))

    def _streamed(self, process: Process, size: int) -> None:
        self.stream_bytes[process.name] += size
        self.kinds["State"] += size
        self.counts["State"] += 1

    # Links

    def split(self, *parts: list[str], one_way: bool = False) -> LinkFault:
        """Cut parts off from each other; `lines.remove_fault` ends it."""
        sides = [{self.groups[name] for name in part} for part in parts]
        if any(a & b for n, a in enumerate(sides) for b in sides[:n]):
            sides = [self._apart(part, n) for n, part in enumerate(parts)]
        pairs = frozenset(
            (a, b)
            for i, one in enumerate(sides)
            for j, other in enumerate(sides)
            if (i < j if one_way else i != j)
            for a in one
            for b in other
        )
        ill = LinkFault(pairs, cut=True)
        self.lines.add_fault(ill)
        return ill

    def _apart(self, part: list[str], n: int) -> set[str]:
        """Groups of their own for these, which lie in one with others; nothing may ail links by then."""
        for name in part:
            zone = self.groups[name].partition("~")[0]
            self.groups[name] = group = f"{zone}~{n}"
            self.zones[group] = zone
        return {self.groups[name] for name in part}

    def lose(
        self, share: float, duplicate: float = 0.0, reorder: float = 0.0, jitter_ms: float = 0.0
    ) -> LinkFault:
        """All links lose so much, and may do worse."""
        pairs = frozenset((a, b) for a in self.zones for b in self.zones)
        ill = LinkFault(pairs, loss=share, jitter_ms=jitter_ms, duplicate=duplicate, reorder=reorder)
        self.lines.add_fault(ill)
        return ill
